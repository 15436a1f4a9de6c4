"""Selection of the owner node that runs a request."""

import collections
import dataclasses

import trio

from . import errors
from . import keys as keys_module

# Age up to which a reported number of free slots is used.
REPORT_VALIDITY_SECONDS = 1.0
REFUSAL_BACKOFF_SECONDS = 0.02
MAXIMUM_REFUSAL_BACKOFF_SECONDS = 0.5
FAILURE_BACKOFF_SECONDS = 0.25
MAXIMUM_FAILURE_BACKOFF_SECONDS = 10.0
RETENTION_SECONDS = 300.0
SWEEP_INTERVAL_SECONDS = 30.0
# Fraction of requests that may go to a failure domain at the beginning of its
# slow start ramp. Owners refuse requests beyond their cold slots, so a few
# requests suffice for the warm-up.
INITIAL_RAMP_RATIO = 0.02
OWN_DOMAIN = "own domain"
SAME_REGION = "same region"
OTHER_REGION = "other region"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Choice:
    """A chosen host and the reason, for the decision log.

    Attributes
    ----------
    candidates : tuple of str
        Host ids that were compared.
    group : str
        Location of the host relative to this node.
    reason : str
    free : int
        Estimated free slots of the host.
    """

    host_id: str
    candidates: tuple[str, ...]
    group: str
    reason: str
    free: int


class _HostStatistics:
    """Statistics of one host, from the requests that this node sent to it."""

    __slots__ = (
        "outstanding",
        "free",
        "reported_at",
        "sent_since_report",
        "cooldown_until",
        "failure_count",
        "last_error",
        "last_used_at",
    )

    def __init__(self, *, now):
        self.outstanding = 0
        self.free = None
        self.reported_at = now
        self.sent_since_report = 0
        self.cooldown_until = now
        self.failure_count = 0
        self.last_error = None
        self.last_used_at = now


class _DomainPresence:
    """Whether and since when a failure domain has hosts of a service."""

    __slots__ = ("is_present", "returned_at", "last_used_at")

    def __init__(self, *, is_present, now):
        self.is_present = is_present
        self.returned_at = None
        self.last_used_at = now


class OwnerSelector:
    """Chooses an owner per request from statistics of this node's requests.

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
        self._presence_by_key = {}
        self._last_sweep_at = trio.current_time()

    def __len__(self):
        return len(self._statistics_by_host_id)

    def choose(self, call, excluded=()):
        """Choose the host whose node runs a request.

        Parameters
        ----------
        call : model.Call
        excluded : collection of str
            Ids of the hosts that were already tried for this call.

        Returns
        -------
        tuple of (model.Host, Choice)

        Raises
        ------
        errors.NoUpstreamError
        """
        now = trio.current_time()
        self._drop_idle_entries(now)
        service = call.configuration.services_by_name[call.route.service]
        hosts = self._hosts.hosts_of_service(service.name)
        eligible, exclusions = _eligible_hosts(hosts, call, service)
        ratios = self._ramp_ratios_by_domain(eligible, service, now)
        if keys_module.needs_key_check(call):
            return self._choose_key_owner(
                call, service, eligible, excluded, exclusions, now
            )
        slots = service.upstream.slots
        hosts_by_group, ramping, full, cooling_down = {}, [], [], []
        # A call that was already refused has few attempts left, so it goes
        # to a returning domain only if all others are full.
        random_draw = 1.0 if excluded else self._random.random()
        for host in eligible:
            if host.host_id in excluded:
                exclusions["tried for this call"] += 1
                continue
            stats = self._statistics_by_host_id.get(host.host_id)
            if stats is not None and stats.cooldown_until > now:
                cooling_down.append(host)
            elif stats is not None and _estimate_free(stats, slots, now) <= 0:
                full.append(host)
            elif random_draw > ratios.get(host.failure_domain, 1.0):
                ramping.append(host)
            else:
                group = self._locality_group(host, call.configuration)
                hosts_by_group.setdefault(group, []).append(host)
        for group in (OWN_DOMAIN, SAME_REGION, OTHER_REGION):
            if hosts_by_group.get(group):
                return self._pick(
                    hosts_by_group[group],
                    call,
                    now,
                    "nearest with free slots",
                )
        if ramping:
            return self._pick(ramping, call, now, "others are full")
        if full:
            # Their queues may still accept the request.
            return self._pick(full, call, now, "all are full")
        if cooling_down:
            host = min(
                cooling_down,
                key=lambda each: self._statistics_by_host_id[
                    each.host_id
                ].cooldown_until,
            )
            return self._pick([host], call, now, "all are in a cooldown")
        raise _make_no_upstream_error(service, hosts, exclusions)

    def _choose_key_owner(
        self, call, service, eligible, excluded, exclusions, now
    ):
        order = keys_module.owner_order(keys_module.scoped_key(call), eligible)
        for position, host in enumerate(order):
            stats = self._statistics_by_host_id.get(host.host_id)
            error = None if stats is None else stats.last_error
            if host.host_id in excluded:
                if isinstance(error, keys_module.FAILOVER_ERRORS):
                    exclusions[f"key owner refused with {error.code}"] += 1
                    continue
                code = "without a reason" if error is None else error.code
                raise errors.NoUpstreamError(
                    f"{host.host_id} owns the idempotency key and refused "
                    f"with {code}; send the request again later"
                )
            is_last = position == len(order) - 1
            if (
                stats is not None
                and stats.cooldown_until > now
                and isinstance(error, keys_module.FAILOVER_ERRORS)
                and not is_last
            ):
                continue
            return self._pick([host], call, now, "owner of the key")
        raise _make_no_upstream_error(service, order, exclusions)

    def _pick(self, hosts, call, now, reason):
        """Choose the less utilized of two random hosts.

        Returns
        -------
        tuple of (model.Host, Choice)
        """
        if len(hosts) > 2:
            hosts = self._random.sample(hosts, 2)
        elif len(hosts) == 2 and self._random.random() < 0.5:
            # In random order, since max() returns the first of equals.
            hosts = [hosts[1], hosts[0]]
        service = call.configuration.services_by_name[call.route.service]
        slots = service.upstream.slots
        free_by_host_id = {}
        for host in hosts:
            stats = self._statistics_by_host_id.get(host.host_id)
            free_by_host_id[host.host_id] = (
                slots if stats is None else _estimate_free(stats, slots, now)
            )
        chosen = max(hosts, key=lambda host: free_by_host_id[host.host_id])
        return chosen, Choice(
            host_id=chosen.host_id,
            candidates=tuple(free_by_host_id),
            group=self._locality_group(chosen, call.configuration),
            reason=reason,
            free=free_by_host_id[chosen.host_id],
        )

    def _locality_group(self, host, configuration):
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

    def _ramp_ratios_by_domain(self, eligible, service, now):
        """Return the traffic ratios of returned domains in slow start."""
        domains = {host.failure_domain for host in eligible}
        ratios = {}
        for name in service.upstream.failure_domains:
            key = (service.name, name)
            presence = self._presence_by_key.get(key)
            is_present = name in domains
            if presence is None:
                # At first sight it is unknown whether the domain was absent,
                # so there is no slow start.
                self._presence_by_key[key] = _DomainPresence(
                    is_present=is_present, now=now
                )
                continue
            presence.last_used_at = now
            if is_present and not presence.is_present:
                presence.returned_at = now
            presence.is_present = is_present
            if presence.returned_at is None:
                continue
            elapsed = now - presence.returned_at
            if elapsed >= service.upstream.ramp_seconds:
                presence.returned_at = None
            else:
                ratio = elapsed / service.upstream.ramp_seconds
                ratios[name] = max(INITIAL_RAMP_RATIO, ratio)
        return ratios

    def _get_statistics(self, host_id):
        now = trio.current_time()
        stats = self._statistics_by_host_id.get(host_id)
        if stats is None:
            stats = _HostStatistics(now=now)
            self._statistics_by_host_id[host_id] = stats
        stats.last_used_at = now
        return stats

    def on_sent(self, host_id):
        """Count a request that was sent to a host."""
        stats = self._get_statistics(host_id)
        stats.outstanding += 1
        stats.sent_since_report += 1

    def on_ended(self, host_id):
        """Count the end of a request, regardless of its outcome."""
        stats = self._get_statistics(host_id)
        stats.outstanding = max(0, stats.outstanding - 1)
        if stats.outstanding == 0:
            stats.sent_since_report = 0

    def on_response(self, host_id, free):
        """End the cooldown of a host that sent a response.

        Parameters
        ----------
        host_id : str
        free : int or None
            Free slots reported with the response; None if it has no report.
        """
        stats = self._get_statistics(host_id)
        stats.failure_count = 0
        stats.last_error = None
        stats.cooldown_until = trio.current_time()
        self._update_free(stats, free)

    def on_refused(self, host_id, error, free=None):
        """Start the cooldown of a host that refused a request.

        There is none if the refusal is due to the request: its quarantine or
        its deadline.

        Parameters
        ----------
        host_id : str
        error : errors.CallError
            With outcome "not run".
        free : int, optional
            Free slots reported with the refusal.
        """
        stats = self._get_statistics(host_id)
        if isinstance(error, keys_module.FAILOVER_ERRORS):
            self._start_cooldown(
                stats,
                FAILURE_BACKOFF_SECONDS,
                MAXIMUM_FAILURE_BACKOFF_SECONDS,
            )
        elif not isinstance(
            error, (errors.QuarantinedError, errors.DeadlineBeforeSendError)
        ):
            self._start_cooldown(
                stats,
                REFUSAL_BACKOFF_SECONDS,
                MAXIMUM_REFUSAL_BACKOFF_SECONDS,
            )
        stats.last_error = error
        self._update_free(stats, free)

    def on_failed(self, host_id, error=None):
        """Start the cooldown of a host that was unreachable or disconnected.

        Parameters
        ----------
        host_id : str
        error : errors.CallError, optional
            After ``UpstreamUnreachableError`` the next owner of a key may
            get its request, but not after an unknown outcome.
        """
        stats = self._get_statistics(host_id)
        self._start_cooldown(
            stats, FAILURE_BACKOFF_SECONDS, MAXIMUM_FAILURE_BACKOFF_SECONDS
        )
        stats.last_error = error
        stats.free = None

    def _start_cooldown(self, stats, first, maximum):
        now = trio.current_time()
        backoff = min(maximum, first * 2 ** min(stats.failure_count, 10))
        # Half of the backoff is jitter, so that nodes that were refused at
        # the same time do not retry at the same time.
        backoff *= self._random.uniform(0.5, 1.0)
        if now >= stats.cooldown_until:
            stats.failure_count += 1
        stats.cooldown_until = max(stats.cooldown_until, now + backoff)

    def _update_free(self, stats, free):
        if free is not None:
            stats.free = free
            stats.reported_at = trio.current_time()
            stats.sent_since_report = 0

    def _drop_idle_entries(self, now):
        if now - self._last_sweep_at < SWEEP_INTERVAL_SECONDS:
            return
        self._last_sweep_at = now
        self._statistics_by_host_id = {
            host_id: stats
            for host_id, stats in self._statistics_by_host_id.items()
            if stats.outstanding
            or now - stats.last_used_at < RETENTION_SECONDS
        }
        self._presence_by_key = {
            key: presence
            for key, presence in self._presence_by_key.items()
            if now - presence.last_used_at < RETENTION_SECONDS
        }


def _estimate_free(stats, slots, now):
    """Estimate the free slots of a host."""
    if (
        stats.free is not None
        and now - stats.reported_at <= REPORT_VALIDITY_SECONDS
    ):
        return stats.free - stats.sent_since_report
    if stats.failure_count and not stats.outstanding:
        # A single request probes whether the host accepts work again.
        return 1
    if stats.failure_count:
        return 0
    return slots - stats.outstanding


def _eligible_hosts(hosts, call, service):
    """Return the hosts that may get new work, and counts of the others.

    The counts are by the reason of the exclusion.
    """
    configuration = call.configuration
    allowed = {
        name
        for name in service.upstream.failure_domains
        if configuration.is_in_service(name)
    }
    eligible = []
    exclusions = collections.Counter()
    for host in hosts:
        if host.is_leaving:
            exclusions["leaving"] += 1
        elif host.failure_domain in allowed:
            eligible.append(host)
        elif host.failure_domain in service.upstream.failure_domains:
            exclusions[f"{host.failure_domain} is out of service"] += 1
        else:
            exclusions[f"{host.failure_domain} is not of the service"] += 1
    return eligible, exclusions


def _make_no_upstream_error(service, hosts, exclusions):
    reasons = ", ".join(
        f"{reason}: {count}" for reason, count in sorted(exclusions.items())
    )
    return errors.NoUpstreamError(
        f"no upstream of {service.name} can be chosen from {len(hosts)} "
        f"hosts ({reasons or 'the host list has none'}); send the request "
        "again later"
    )
