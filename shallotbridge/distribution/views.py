"""Builds the mesh view from the published items, without malformed ones."""

import collections
import math

import eliot

from ..core import decisions
from ..core import errors
from . import positions
from ..traffic import model

# Upstreams whose entries expired during a platform outage register again about
# 2 s after its end if they are still running. A node detects the end some
# tenths of a second late, and must not use removed upstreams for much longer.
EXPIRED_ENTRY_GRACE_SECONDS = 1.5
# Upstreams and operators write again what a restored store has lost, in about
# the interval between two reports of an upstream.
RESTORED_ENTRY_GRACE_SECONDS = 2.0
# A restored store lists upstreams that have left since its copy, until they
# have missed three reports.
DEPARTED_ENTRY_SECONDS = 6.0
# How long an upstream that was removed is remembered.
DEPARTURE_SECONDS = 60.0
MAXIMUM_DEPARTURES = 2000
MAXIMUM_LOGGED_CHARACTERS = 300


class ViewBuilder:
    """Builds the active ``MeshView`` and updates it.

    Parameters
    ----------
    decode : callable
        ``decode(key, value)`` returns a ``model.Configuration``, a
        ``model.Upstream``, the name of a failure domain that is out of
        service, or None for an irrelevant key; it raises
        ``errors.DistributionError`` for a malformed item.
    record : callable
        ``record(action, **fields)`` writes the decision log.
    mark_leaving : callable
        ``mark_leaving(upstream)`` returns the upstream, as draining if one of
        its answers said that it is leaving.

    Attributes
    ----------
    view : model.MeshView
    """

    def __init__(
        self,
        *,
        decode,
        record=decisions.record,
        mark_leaving=lambda upstream: upstream,
    ):
        self._decode = decode
        self._mark_leaving = mark_leaving
        self._record = record
        # Pairs of revision and decoded content, which may be None.
        self._decoded_by_key = {}
        self._expired_by_id = {}
        # Removed upstreams and the time of their removal, oldest first.
        self._removed_by_id = collections.OrderedDict()
        self._ignored_ids = set()
        self._ignored_version = None
        self._upstream_restore = _Restore()
        self._operator_restore = _Restore()
        self.view = model.EMPTY_VIEW

    def update(
        self,
        items_by_key,
        *,
        now,
        outage_ended_at,
        position=0,
        configuration_position=0,
    ):
        """Decode new items and replace the view.

        Parameters
        ----------
        items_by_key : mapping of str to link.PublishedItem
        now : float
            Current time on the same clock as `outage_ended_at`, seconds.
        outage_ended_at : float
            End of the last platform outage in which entries may have expired.
            Upstreams that are removed soon after it are retained for a while,
            as they may register again.
        position, configuration_position : int
            Positions up to which the upstreams, and the configuration and the
            failure domains out of service, are complete. In the first update
            of a later era, items up to these are from the copy from which the
            store was restored.

        Returns
        -------
        float or None
            When to update again even if nothing is published, because
            retained upstreams are dropped then, or what a restored store
            lists counts again.
        """
        configuration = self.view.configuration
        self._upstream_restore.update(position, now)
        self._operator_restore.update(configuration_position, now)
        upstreams_by_id = {}
        domains_out = set()
        restored_domains = set()
        has_ignored = False
        for key in self._decoded_by_key.keys() - items_by_key.keys():
            del self._decoded_by_key[key]
        for item in items_by_key.values():
            content = self._decode_cached(item)
            if isinstance(content, model.Upstream):
                if self._has_left(content, item.revision, now):
                    has_ignored = True
                else:
                    upstreams_by_id[content.upstream_id] = content
            elif isinstance(content, str):
                domains_out.add(content)
                if self._operator_restore.is_from_copy(item.revision):
                    restored_domains.add(content)
            elif content is not None:
                configuration = self._select_configuration(
                    configuration, content
                )
        next_update_at = self._retain_expired(
            upstreams_by_id, now, outage_ended_at
        )
        self._drop_superseded(upstreams_by_id, configuration)
        operators_write_until = (
            self._operator_restore.began_at + RESTORED_ENTRY_GRACE_SECONDS
        )
        if now < operators_write_until:
            # Until then the copy does not tell which domains were taken out
            # of service or back since.
            domains_out -= restored_domains - self.view.domains_out
            domains_out |= self.view.domains_out
            next_update_at = min(
                operators_write_until, next_update_at or math.inf
            )
        if has_ignored:
            next_update_at = min(
                self._upstream_restore.began_at + DEPARTED_ENTRY_SECONDS,
                next_update_at or math.inf,
            )
        upstreams_by_id = {
            upstream_id: self._mark_leaving(upstream)
            for upstream_id, upstream in upstreams_by_id.items()
        }
        self._remember_removed(upstreams_by_id, now)
        self._record_changes(upstreams_by_id, domains_out, position)
        self.view = model.make_view(
            configuration=configuration,
            upstreams_by_id=upstreams_by_id,
            domains_out=domains_out,
        )
        return next_update_at

    def _decode_cached(self, item):
        known = self._decoded_by_key.get(item.key)
        if known is not None and known[0] == item.revision:
            return known[1]
        content = None
        try:
            content = self._decode(item.key, item.value)
        except errors.DistributionError as error:
            self._record_rejection(item, error)
        except Exception as internal_error:
            # A decoding failure must not block the other items.
            eliot.write_traceback()
            self._record_rejection(
                item,
                errors.MalformedEntryError(
                    f"internal error of the decoder: {internal_error!r}"
                ),
            )
        if known is not None and _is_older_report(
            content,
            known[1],
            self._upstream_restore.is_from_copy(item.revision),
        ):
            self._record(
                "report_ignored",
                chosen=content.upstream_id,
                report=content.report,
                known=known[1].report,
                revision=positions.describe(item.revision),
            )
            content = known[1]
        self._decoded_by_key[item.key] = (item.revision, content)
        return content

    def _record_rejection(self, item, error):
        self._record(
            "item_rejected",
            key=item.key[:MAXIMUM_LOGGED_CHARACTERS],
            revision=positions.describe(item.revision),
            code=error.code,
            detail=error.detail[:MAXIMUM_LOGGED_CHARACTERS],
        )

    def _select_configuration(self, known, found):
        """Return the newer of two configurations; the version never drops."""
        if known is not None and found.version <= known.version:
            if (
                found.version < known.version
                and found.version != self._ignored_version
            ):
                self._ignored_version = found.version
                self._record(
                    "configuration_ignored",
                    chosen=known.version,
                    found=found.version,
                    reason="older than the version in force",
                )
            return known
        self._record(
            "configuration_applied",
            chosen=found.version,
            previous=None if known is None else known.version,
            hosts=len(found.routes_by_host),
            services=len(found.services_by_name),
        )
        return found

    def _drop_superseded(self, upstreams_by_id, configuration):
        """Keep only the most recently started upstream at each address.

        The entry of a crashed upstream stays until it expires for lack of
        reports. An entry of an unknown service, which may be of another
        writer, does not supersede one of a known service.
        """
        services_by_name = {}
        if configuration is not None:
            services_by_name = configuration.services_by_name

        def rank(upstream):
            return upstream.service in services_by_name, upstream.started_ms

        newest_by_endpoint = {}
        for upstream in upstreams_by_id.values():
            endpoint = (upstream.address, upstream.port)
            known = newest_by_endpoint.get(endpoint)
            if known is None or rank(known) < rank(upstream):
                newest_by_endpoint[endpoint] = upstream
        for upstream_id, upstream in list(upstreams_by_id.items()):
            if newest_by_endpoint[upstream.address, upstream.port] is not (
                upstream
            ):
                del upstreams_by_id[upstream_id]

    def _retain_expired(self, upstreams_by_id, now, outage_ended_at):
        """Add the upstreams whose entries may only have expired in an outage.

        Returns
        -------
        float or None
            When they are dropped; None if there are none.
        """
        until = max(
            outage_ended_at + EXPIRED_ENTRY_GRACE_SECONDS,
            self._upstream_restore.began_at + RESTORED_ENTRY_GRACE_SECONDS,
        )
        for upstream_id, upstream in self.view.upstreams_by_id.items():
            if upstream_id in upstreams_by_id:
                self._expired_by_id.pop(upstream_id, None)
            elif now < until and not upstream.is_draining:
                if upstream_id not in self._expired_by_id:
                    self._expired_by_id[upstream_id] = upstream
                    self._record(
                        "upstream_kept",
                        chosen=upstream_id,
                        for_s=round(until - now, 3),
                        reason="its entry may have expired in an outage, or "
                        "been lost when the store was restored",
                    )
        if now >= until:
            self._expired_by_id.clear()
            return None
        if not self._expired_by_id:
            return None
        upstreams_by_id.update(self._expired_by_id)
        return until

    def _has_left(self, upstream, revision, now):
        """Return whether an entry is that of an upstream that has left.

        The copy from which a store was restored may list it still. An entry
        that the upstream wrote later, or that outlasts its expiry, counts.
        """
        removed = self._removed_by_id.get(upstream.upstream_id)
        if (
            removed is None
            or not self._upstream_restore.is_from_copy(revision)
            or removed[1] >= self._upstream_restore.began_at
            or now >= self._upstream_restore.began_at + DEPARTED_ENTRY_SECONDS
        ):
            return False
        left = removed[0]
        has_left = upstream.started_ms < left.started_ms or (
            upstream.started_ms == left.started_ms
            and upstream.report <= left.report
        )
        if has_left and upstream.upstream_id not in self._ignored_ids:
            self._ignored_ids.add(upstream.upstream_id)
            self._record(
                "upstream_ignored",
                chosen=upstream.upstream_id,
                revision=positions.describe(revision),
                removed_s=round(now - removed[1], 3),
                reason="it left before the store was restored",
            )
        return has_left

    def _remember_removed(self, upstreams_by_id, now):
        """Remember the upstreams that are removed by this update."""
        removed_by_id = self._removed_by_id
        for upstream_id in removed_by_id.keys() & upstreams_by_id.keys():
            del removed_by_id[upstream_id]
            self._ignored_ids.discard(upstream_id)
        for upstream_id, upstream in self.view.upstreams_by_id.items():
            if upstream_id not in upstreams_by_id:
                removed_by_id[upstream_id] = (upstream, now)
                removed_by_id.move_to_end(upstream_id)
        while removed_by_id and (
            len(removed_by_id) > MAXIMUM_DEPARTURES
            or next(iter(removed_by_id.values()))[1] < now - DEPARTURE_SECONDS
        ):
            upstream_id, _ = removed_by_id.popitem(last=False)
            self._ignored_ids.discard(upstream_id)

    def _record_changes(self, upstreams_by_id, domains_out, position):
        previous = self.view
        known = previous.upstreams_by_id
        for upstream_id, upstream in upstreams_by_id.items():
            before = known.get(upstream_id)
            if before is None or before.is_draining != upstream.is_draining:
                self._record(
                    "upstream_changed",
                    chosen=upstream_id,
                    service=upstream.service,
                    address=upstream.address,
                    failure_domain=upstream.failure_domain,
                    is_draining=upstream.is_draining,
                    started_ms=upstream.started_ms,
                    report=upstream.report,
                    position=positions.describe(position),
                )
        for upstream_id in known.keys() - upstreams_by_id.keys():
            self._record(
                "upstream_removed",
                chosen=upstream_id,
                position=positions.describe(position),
            )
        if previous.domains_out != domains_out:
            self._record(
                "domains_out",
                chosen=sorted(domains_out),
                previous=sorted(previous.domains_out),
            )


class _Restore:
    """The last restore of the store that a topic has seen.

    Attributes
    ----------
    began_at : float
        When this node learned of it; minus infinity before the first one.
    """

    def __init__(self):
        self.began_at = -math.inf
        self._position = 0

    def update(self, position, now):
        """Note a restore if the position is in a later era."""
        era = positions.get_era(self._position)
        if not self._position or positions.get_era(position) > era:
            if self._position:
                self.began_at = now
            self._position = position

    def is_from_copy(self, revision):
        """Return whether an item may be from the copy of the last restore."""
        return self.began_at > -math.inf and revision <= self._position


def _is_older_report(found, known, is_from_copy):
    """Return whether a report of an upstream precedes the known one.

    The numbering of reports starts again with a restart. An earlier start is
    older only in a copy from which the store was restored.
    """
    if not (
        isinstance(found, model.Upstream) and isinstance(known, model.Upstream)
    ):
        return False
    if found.started_ms != known.started_ms:
        return is_from_copy and found.started_ms < known.started_ms
    return found.started_ms > 0 and found.report < known.report
