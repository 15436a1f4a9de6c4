"""Choice of the owner node that runs a request."""

import collections
import dataclasses

import trio

from . import errors
from . import keys as key_window

# A reported number of free slots is a guess after this time.
REPORT_SECONDS = 1.0
REFUSAL_BACKOFF_SECONDS = 0.02
MAXIMUM_REFUSAL_BACKOFF_SECONDS = 0.5
FAILURE_BACKOFF_SECONDS = 0.25
MAXIMUM_FAILURE_BACKOFF_SECONDS = 10.0
IDLE_SECONDS = 300.0
SWEEP_SECONDS = 30.0
# Share of a returning failure domain at its return; the owners refuse what
# is beyond their cold slots, so it only needs some requests to warm up.
FIRST_SHARE = 0.02
OWN_DOMAIN = "own domain"
SAME_REGION = "same region"
OTHER_REGION = "other region"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """Why a host was chosen, for the decision log.

    Attributes
    ----------
    candidates : tuple of str
        Host ids that were compared.
    group : str
        Where the host is, seen from this node.
    reason : str
    free : int
        Estimated free slots of the host.
    """

    host_id: str
    candidates: tuple[str, ...]
    group: str
    reason: str
    free: int


class _Statistics:
    """What is known of one host from own requests."""

    __slots__ = (
        "outstanding",
        "free",
        "reported_at",
        "sent_since",
        "avoid_until",
        "failures",
        "error",
        "used_at",
    )

    def __init__(self, *, now):
        self.outstanding = 0
        self.free = None
        self.reported_at = now
        self.sent_since = 0
        self.avoid_until = now
        self.failures = 0
        self.error = None
        self.used_at = now


class _Presence:
    """Since when a failure domain serves a service."""

    __slots__ = ("is_present", "returned_at", "used_at")

    def __init__(self, *, is_present, now):
        self.is_present = is_present
        self.returned_at = None
        self.used_at = now


class OwnerDirectory:
    """Chooses an owner for each request from the node's own evidence.

    Parameters
    ----------
    own_host : model.Host
    hosts : object
        With ``hosts_of_service(name)``, as ``hosts.HostTable``.
    random : random.Random
    """

    def __init__(self, *, own_host, hosts, random):
        self._own_host = own_host
        self._hosts = hosts
        self._random = random
        self._statistics_by_host_id = {}
        self._presences = {}
        self._swept_at = trio.current_time()

    def __len__(self):
        return len(self._statistics_by_host_id)

    def choose(self, call, excluded=()):
        """Choose the host whose node runs a request.

        Parameters
        ----------
        call : model.Call
        excluded : collection of str
            Host ids that were tried for this call.

        Returns
        -------
        tuple of (model.Host, Choice)

        Raises
        ------
        errors.NoUpstreamError
        """
        now = trio.current_time()
        self._sweep(now)
        service = call.configuration.services_by_name[call.route.service]
        hosts = self._hosts.hosts_of_service(service.name)
        present, ruled_out = _present_hosts(hosts, call, service)
        shares = self._shares_by_domain(present, service, now)
        if key_window.needs_key_check(call):
            return self._choose_key_owner(
                call, service, present, excluded, ruled_out, now
            )
        slots = service.upstream.slots
        near, held_back, full, avoided = {}, [], [], []
        # A call that was refused once has few attempts left, so it goes to a
        # returning domain only if all others are full.
        draw = 1.0 if excluded else self._random.random()
        for host in present:
            if host.host_id in excluded:
                ruled_out["tried for this call"] += 1
                continue
            known = self._statistics_by_host_id.get(host.host_id)
            if known is not None and known.avoid_until > now:
                avoided.append(host)
            elif known is not None and _free(known, slots, now) <= 0:
                full.append(host)
            elif draw > shares.get(host.failure_domain, 1.0):
                held_back.append(host)
            else:
                group = self._group(host, call.configuration)
                near.setdefault(group, []).append(host)
        for group in (OWN_DOMAIN, SAME_REGION, OTHER_REGION):
            if near.get(group):
                return self._pick(near[group], call, now, "nearest with room")
        if held_back:
            return self._pick(held_back, call, now, "others are full")
        if full:
            # Their queues may still have places.
            return self._pick(full, call, now, "all are full")
        if avoided:
            host = min(
                avoided,
                key=lambda each: self._statistics_by_host_id[
                    each.host_id
                ].avoid_until,
            )
            return self._pick([host], call, now, "all are avoided")
        raise _no_upstream(service, hosts, ruled_out)

    def _choose_key_owner(
        self, call, service, present, excluded, ruled_out, now
    ):
        order = key_window.key_order(key_window.scoped_key(call), present)
        for position, host in enumerate(order):
            known = self._statistics_by_host_id.get(host.host_id)
            error = None if known is None else known.error
            if host.host_id in excluded:
                if isinstance(error, key_window.MOVING_ERRORS):
                    ruled_out[f"key owner refused with {error.code}"] += 1
                    continue
                code = "without a reason" if error is None else error.code
                raise errors.NoUpstreamError(
                    f"{host.host_id} owns the idempotency key and refused "
                    f"with {code}; send the request again later"
                )
            is_last = position == len(order) - 1
            if (
                known is not None
                and known.avoid_until > now
                and isinstance(error, key_window.MOVING_ERRORS)
                and not is_last
            ):
                continue
            return self._pick([host], call, now, "owner of the key")
        raise _no_upstream(service, order, ruled_out)

    def _pick(self, hosts, call, now, reason):
        """Take the less utilized of two random hosts."""
        if len(hosts) > 2:
            hosts = self._random.sample(hosts, 2)
        elif len(hosts) == 2 and self._random.random() < 0.5:
            # Equal utilization is decided by the order.
            hosts = [hosts[1], hosts[0]]
        service = call.configuration.services_by_name[call.route.service]
        slots = service.upstream.slots
        free_by_host_id = {}
        for host in hosts:
            known = self._statistics_by_host_id.get(host.host_id)
            free_by_host_id[host.host_id] = (
                slots if known is None else _free(known, slots, now)
            )
        chosen = max(hosts, key=lambda host: free_by_host_id[host.host_id])
        return chosen, Choice(
            host_id=chosen.host_id,
            candidates=tuple(free_by_host_id),
            group=self._group(chosen, call.configuration),
            reason=reason,
            free=free_by_host_id[chosen.host_id],
        )

    def _group(self, host, configuration):
        own = self._own_host.failure_domain
        if host.failure_domain == own:
            return OWN_DOMAIN
        domains = configuration.failure_domains_by_name
        own_domain = domains.get(own)
        if (
            own_domain is not None
            and domains[host.failure_domain].region == own_domain.region
        ):
            return SAME_REGION
        return OTHER_REGION

    def _shares_by_domain(self, present, service, now):
        """Return the shares of the failure domains that came back."""
        domains = {host.failure_domain for host in present}
        shares = {}
        for name in service.upstream.failure_domains:
            key = (service.name, name)
            presence = self._presences.get(key)
            is_present = name in domains
            if presence is None:
                # Seen for the first time: not known to have been absent.
                self._presences[key] = _Presence(
                    is_present=is_present, now=now
                )
                continue
            presence.used_at = now
            if is_present and not presence.is_present:
                presence.returned_at = now
            presence.is_present = is_present
            if presence.returned_at is None:
                continue
            elapsed = now - presence.returned_at
            if elapsed >= service.upstream.ramp_seconds:
                presence.returned_at = None
            else:
                share = elapsed / service.upstream.ramp_seconds
                shares[name] = max(FIRST_SHARE, share)
        return shares

    def _statistics(self, host_id):
        now = trio.current_time()
        known = self._statistics_by_host_id.get(host_id)
        if known is None:
            known = _Statistics(now=now)
            self._statistics_by_host_id[host_id] = known
        known.used_at = now
        return known

    def on_sent(self, host_id):
        """Count a request that is sent to a host."""
        known = self._statistics(host_id)
        known.outstanding += 1
        known.sent_since += 1

    def on_ended(self, host_id):
        """Count the end of a request, whatever its outcome."""
        known = self._statistics(host_id)
        known.outstanding = max(0, known.outstanding - 1)
        if known.outstanding == 0:
            known.sent_since = 0

    def on_response(self, host_id, free):
        """Take the free slots that a host reported with an answer.

        Parameters
        ----------
        host_id : str
        free : int or None
            None if the answer carries no number.
        """
        known = self._statistics(host_id)
        known.failures = 0
        known.error = None
        known.avoid_until = trio.current_time()
        self._take_free(known, free)

    def on_refused(self, host_id, error, free=None):
        """Avoid a host that refused a request.

        Parameters
        ----------
        host_id : str
        error : errors.CallError
            With outcome "not run".
        free : int, optional
            Free slots reported with the refusal.
        """
        known = self._statistics(host_id)
        if isinstance(error, key_window.MOVING_ERRORS):
            self._avoid(
                known,
                FAILURE_BACKOFF_SECONDS,
                MAXIMUM_FAILURE_BACKOFF_SECONDS,
            )
        elif not isinstance(
            error, (errors.QuarantinedError, errors.DeadlineBeforeSendError)
        ):
            self._avoid(
                known,
                REFUSAL_BACKOFF_SECONDS,
                MAXIMUM_REFUSAL_BACKOFF_SECONDS,
            )
        known.error = error
        self._take_free(known, free)

    def on_failed(self, host_id, error=None):
        """Avoid a host whose node could not be reached or broke off.

        Parameters
        ----------
        host_id : str
        error : errors.CallError, optional
            ``UpstreamUnreachableError`` lets a key move on; after an unknown
            outcome it does not.
        """
        known = self._statistics(host_id)
        self._avoid(
            known, FAILURE_BACKOFF_SECONDS, MAXIMUM_FAILURE_BACKOFF_SECONDS
        )
        known.error = error
        known.free = None

    def _avoid(self, known, first, maximum):
        now = trio.current_time()
        backoff = min(maximum, first * 2 ** min(known.failures, 10))
        # Half of the backoff is jitter, so that the nodes that were refused
        # together do not come back together.
        backoff *= self._random.uniform(0.5, 1.0)
        if now >= known.avoid_until:
            known.failures += 1
        known.avoid_until = max(known.avoid_until, now + backoff)

    def _take_free(self, known, free):
        if free is not None:
            known.free = free
            known.reported_at = trio.current_time()
            known.sent_since = 0

    def _sweep(self, now):
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        self._statistics_by_host_id = {
            host_id: known
            for host_id, known in self._statistics_by_host_id.items()
            if known.outstanding or now - known.used_at < IDLE_SECONDS
        }
        self._presences = {
            key: presence
            for key, presence in self._presences.items()
            if now - presence.used_at < IDLE_SECONDS
        }


def _free(known, slots, now):
    """Estimate the free slots of a host."""
    if known.free is not None and now - known.reported_at <= REPORT_SECONDS:
        return known.free - known.sent_since
    if known.failures and not known.outstanding:
        # One request finds out whether it accepts work again.
        return 1
    if known.failures:
        return 0
    return slots - known.outstanding


def _present_hosts(hosts, call, service):
    """Return the hosts that may get new work, and why others may not."""
    configuration = call.configuration
    allowed = {
        name
        for name in service.upstream.failure_domains
        if configuration.is_in_service(name)
    }
    present = []
    ruled_out = collections.Counter()
    for host in hosts:
        if host.is_leaving:
            ruled_out["leaving"] += 1
        elif host.failure_domain in allowed:
            present.append(host)
        elif host.failure_domain in service.upstream.failure_domains:
            ruled_out[f"{host.failure_domain} is out of service"] += 1
        else:
            ruled_out[f"{host.failure_domain} is not of the service"] += 1
    return present, ruled_out


def _no_upstream(service, hosts, ruled_out):
    reasons = ", ".join(
        f"{reason}: {count}" for reason, count in sorted(ruled_out.items())
    )
    return errors.NoUpstreamError(
        f"no upstream of {service.name} can be chosen from {len(hosts)} "
        f"hosts ({reasons or 'the host list has none'}); send the request "
        "again later"
    )
