"""Makes a checked view of the published items."""

import eliot

from ..core import decisions
from ..core import errors
from ..traffic import model

# Entries that lapsed while the platform was away are back about 2 s after its
# return if their upstream lives. A node notices the return some tenths of a
# second late, and must not use what was removed for much longer, s.
LAPSED_SECONDS = 1.5


class ViewBuilder:
    """Keeps the ``MeshView`` in force.

    Parameters
    ----------
    decode : callable
        ``decode(key, value)`` returns a ``model.Configuration``, a
        ``model.Upstream``, the name of a failure domain that is out of
        service, or None for a key without meaning; it raises
        ``errors.DistributionError``.
    record : callable
        ``record(action, **fields)`` writes the decision log.

    Attributes
    ----------
    view : model.MeshView
    """

    def __init__(self, *, decode, record=decisions.record):
        self._decode = decode
        self._record = record
        # For each key its revision and what it says, or None.
        self._decoded_by_key = {}
        self._lapsed_by_id = {}
        self.view = model.EMPTY_VIEW

    def update(self, items_by_key, *, now, outage_ended_at, position=0):
        """Decode what is new and put the next view in force.

        Parameters
        ----------
        items_by_key : mapping of str to link.PublishedItem
        now : float
        outage_ended_at : float
            End of the last outage of the platform in which entries may have
            lapsed; those that are removed soon after that may be back.
        position : int
            Revision up to which the items are complete, for the log.

        Returns
        -------
        float or None
            When to update again although nothing was published.
        """
        configuration = self.view.configuration
        upstreams_by_id = {}
        domains_out = set()
        for key in self._decoded_by_key.keys() - items_by_key.keys():
            del self._decoded_by_key[key]
        for item in items_by_key.values():
            content = self._content(item)
            if isinstance(content, model.Upstream):
                upstreams_by_id[content.upstream_id] = content
            elif isinstance(content, str):
                domains_out.add(content)
            elif content is not None:
                configuration = self._newer(configuration, content)
        self._drop_superseded(upstreams_by_id)
        again_at = self._keep_lapsed(upstreams_by_id, now, outage_ended_at)
        self._record_changes(upstreams_by_id, domains_out, position)
        self.view = model.make_view(
            configuration=configuration,
            upstreams_by_id=upstreams_by_id,
            domains_out=domains_out,
        )
        return again_at

    def _content(self, item):
        known = self._decoded_by_key.get(item.key)
        if known is not None and known[0] == item.revision:
            return known[1]
        content = None
        try:
            content = self._decode(item.key, item.value)
        except errors.DistributionError as error:
            self._record_rejected(item, error)
        except Exception as fault:
            # One item must not keep all others from being used.
            eliot.write_traceback()
            self._record_rejected(
                item,
                errors.MalformedEntryError(
                    f"a fault of the decoder: {fault!r}"
                ),
            )
        if known is not None and _is_older_report(content, known[1]):
            self._record(
                "report_ignored",
                chosen=content.upstream_id,
                report=content.report,
                known=known[1].report,
                revision=item.revision,
            )
            content = known[1]
        self._decoded_by_key[item.key] = (item.revision, content)
        return content

    def _record_rejected(self, item, error):
        self._record(
            "item_rejected",
            key=item.key,
            revision=item.revision,
            code=error.code,
            detail=error.detail,
        )

    def _newer(self, known, found):
        """Return the configuration that is in force; it never goes back."""
        if known is not None and found.version <= known.version:
            if found.version < known.version:
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

    def _drop_superseded(self, upstreams_by_id):
        """Keep only the newest upstream at each address.

        The entry of one that crashed stays until its heartbeats are missed.
        """
        newest_by_place = {}
        for upstream in upstreams_by_id.values():
            place = (upstream.address, upstream.port)
            known = newest_by_place.get(place)
            if known is None or known.started_ms < upstream.started_ms:
                newest_by_place[place] = upstream
        for upstream_id, upstream in list(upstreams_by_id.items()):
            if newest_by_place[upstream.address, upstream.port] is not (
                upstream
            ):
                del upstreams_by_id[upstream_id]

    def _keep_lapsed(self, upstreams_by_id, now, outage_ended_at):
        """Keep upstreams whose entries may come back."""
        until = outage_ended_at + LAPSED_SECONDS
        for upstream_id, upstream in self.view.upstreams_by_id.items():
            if upstream_id in upstreams_by_id:
                self._lapsed_by_id.pop(upstream_id, None)
            elif now < until and not upstream.is_draining:
                if upstream_id not in self._lapsed_by_id:
                    self._lapsed_by_id[upstream_id] = upstream
                    self._record(
                        "upstream_kept",
                        chosen=upstream_id,
                        for_s=round(until - now, 3),
                        reason="its entry may only have lapsed",
                    )
        if now >= until:
            self._lapsed_by_id.clear()
            return None
        if not self._lapsed_by_id:
            return None
        upstreams_by_id.update(self._lapsed_by_id)
        return until

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
                    position=position,
                )
        for upstream_id in known.keys() - upstreams_by_id.keys():
            self._record(
                "upstream_removed", chosen=upstream_id, position=position
            )
        if previous.domains_out != domains_out:
            self._record(
                "domains_out",
                chosen=sorted(domains_out),
                previous=sorted(previous.domains_out),
            )


def _is_older_report(found, known):
    """Tell whether an upstream made one report before another.

    Without the time of its start a restart could not be told apart.
    """
    return (
        isinstance(found, model.Upstream)
        and isinstance(known, model.Upstream)
        and found.started_ms == known.started_ms > 0
        and found.report < known.report
    )
