"""Selects the upstream for a request.

Selects the upstream with the lowest cost, which is the expected time until its
answer. The cost combines the queue time that the owner node last reported, the
requests that this node has sent there since, the recent response time and
failures of the upstream, and a penalty for leaving the local failure domain.
"""

import dataclasses
import hashlib
import math

from ..core import errors

# Weight of the newest sample in the exponential moving averages.
SMOOTHING_FACTOR = 0.15
# Weight of the newest sample in the averages of a whole service.
SERVICE_SMOOTHING_FACTOR = 0.05
# Assumed duration of a request on a route without measurements.
INITIAL_DURATION_SECONDS = 0.1
# Exponent of the slowdown that owner nodes report. All entry nodes act on the
# same report, and with an exponent of 1 the queue that they form at a fast
# upstream costs more than its speed gains.
SLOWDOWN_EXPONENT = 0.5
# Half-life of the average of the reported queue times.
USUAL_WAIT_HALF_LIFE_SECONDS = 1.0
# Older load reports are ignored.
MAXIMUM_LOAD_AGE_SECONDS = 2.0
# An upstream in another failure domain must be faster by at least this much.
# Covers the round trip and limits the traffic between domains.
CROSS_DOMAIN_PENALTY_SECONDS = 0.045
# Additional cost of an upstream that fails all requests. It is multiplied by
# the failure ratio of the upstream.
FAILURE_PENALTY_SECONDS = 1.5
# Half-life of the slowdown and the failure ratio of an upstream. The decay
# lets an avoided upstream be tried again.
HALF_LIFE_SECONDS = 4.0
# An owner node that reports that it accepts no work is skipped for this time.
CLOSED_COOLDOWN_SECONDS = 0.3
# An upstream whose owner node reports another instance is skipped for this
# time. Its registry entry is corrected within some seconds.
INSTANCE_MISMATCH_COOLDOWN_SECONDS = 1.0
# Additional penalty for each MB of request and answer bodies, because traffic
# between failure domains is expensive.
CROSS_DOMAIN_PENALTY_SECONDS_PER_MB = 5.0
# A node uses all upstreams of a small service and a subset of a large one,
# mostly in the local failure domain. This keeps the number of connections and
# the time of a selection independent of the size of the fleet.
SUBSET_SIZE_OWN_DOMAIN = 8
SUBSET_SIZE_OTHER_DOMAINS = 6
# If no upstream of the subset is expected to have a slot within this time, a
# random sample of all upstreams of the service is compared too.
MAXIMUM_SUBSET_WAIT_SECONDS = 0.02
FALLBACK_SAMPLE_SIZE = 6
# Random part of the cost. Keeps nodes from selecting the same upstream at the
# same time (thundering herd).
JITTER_SECONDS = 0.008
# A node may use its share of the limit of an upstream this far in advance.
PACE_BURST_SECONDS = 0.25
# A limit is assumed for this time without another answer or load report.
NAMED_LIMIT_SECONDS = 10.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _UpstreamState:
    """What this node measured of an upstream and its owner node.

    Attributes
    ----------
    load : link.Load or None
        Last load report of the owner node.
    sent_since_load : int
        Requests that this node sent since that report.
    outstanding : int
        Requests that this node sent and that have not ended.
    slowdown : float
        Average of the duration relative to the average of the route; above 1
        is slower.
    failure_ratio : float
        Average ratio of failed or refused requests.
    updated_at : float
        Time of the last update of the two averages.
    is_unreachable : bool
        Whether the owner node was reported unreachable and not reached since.
    excluded_until : float
        End of the cooldown in which the upstream is not selected.
    named_limit : float or None
        Limit in requests per second that its last answer named.
    paced_until : float
        Time at which this node's requests fit its share of the limit.
    usual_wait : float
        Average of the reported queue times, seconds.
    """

    load: object = None
    load_received_at: float = 0.0
    sent_since_load: int = 0
    outstanding: int = 0
    slowdown: float = 1.0
    failure_ratio: float = 0.0
    updated_at: float = 0.0
    is_unreachable: bool = False
    excluded_until: float = 0.0
    named_limit: float | None = None
    named_at: float = 0.0
    paced_until: float = 0.0
    usual_wait: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _BestUpstream:
    """The upstream with the lowest cost so far.

    Attributes
    ----------
    cost : float
        Expected time until the answer, with penalties, seconds.
    wait : float
        Expected queue time, seconds.
    candidates : int
        Number of eligible upstreams that were compared.
    skipped_wait : float
        Shortest time until the limit of a skipped upstream allows a request,
        seconds.
    slowdown : float
        Factor of the route's duration at the upstream.
    """

    upstream: object = None
    cost: float = math.inf
    wait: float = 0.0
    candidates: int = 0
    skipped_wait: float = math.inf
    slowdown: float = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """A selected upstream and the figures behind the selection.

    Attributes
    ----------
    upstream : model.Upstream
    candidates : int
        Number of eligible upstreams that were compared.
    expected_wait : float
        Expected queue time, seconds.
    load_age : float or None
        Age of the owner node's load report, seconds; None without a report.
    limit : float or None
        Limit of the upstream that the selection assumed, requests per second.
    slowdown : float or None
        Factor of the route's duration that the selection assumed; None unless
        capacity is learned.
    """

    upstream: object
    candidates: int
    expected_wait: float
    load_age: float | None
    limit: float | None = None
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RankedUpstream:
    """An upstream with the cost that a selection would compare now.

    Attributes
    ----------
    upstream : model.Upstream
    cost : float
        Expected time until the answer, with penalties, seconds; infinite if
        the upstream is not eligible.
    wait : float
        Expected queue time, seconds.
    is_in_subset : bool
        Whether it is one of those that this node prefers.
    """

    upstream: object
    cost: float
    wait: float
    is_in_subset: bool


class Selector:
    """Selects among the upstreams of a service.

    Parameters
    ----------
    own_address : str
        Address of this node; determines its subset of a large service.
    own_domain : str
        Failure domain of this node.
    random : random.Random
    is_capacity_learned : bool
        Whether the cost uses the slowdown and the learned slots that owner
        nodes report.
    """

    def __init__(
        self, *, own_address, own_domain, random, is_capacity_learned=False
    ):
        self._is_capacity_learned = is_capacity_learned
        self._own_address = own_address
        self._own_domain = own_domain
        self._random = random
        self._states_by_id = {}
        self._ids_by_address = {}
        self._durations_by_route = {}
        self._bytes_by_route = {}
        self._failure_ratios_by_service = {}
        self._overload_ratios_by_service = {}
        # For each service a pair of all its upstreams and the subset of them.
        self._subsets_by_service = {}
        self._hashes_by_id = {}

    def expected_seconds(self, route):
        """Return the average duration of a request of a route, seconds."""
        return (
            self._durations_by_route.get(route.name)
            or INITIAL_DURATION_SECONDS
        )

    def on_view_changed(self, view):
        """Remove the state of upstreams that the view does not contain."""
        for upstream_id in self._states_by_id.keys() - (
            view.upstreams_by_id.keys()
        ):
            del self._states_by_id[upstream_id]
        for upstream_id in self._hashes_by_id.keys() - (
            view.upstreams_by_id.keys()
        ):
            del self._hashes_by_id[upstream_id]
        self._subsets_by_service.clear()
        self._ids_by_address = {
            upstream.address: upstream.upstream_id
            for upstream in view.upstreams_by_id.values()
        }

    def _state(self, upstream_id):
        state = self._states_by_id.get(upstream_id)
        if state is None:
            state = self._states_by_id[upstream_id] = _UpstreamState()
        return state

    def choose(
        self, upstreams, route, excluded, now, maximum_wait_seconds=math.inf
    ):
        """Return the best upstream for the next offer of a request.

        Parameters
        ----------
        upstreams : sequence of model.Upstream
            Upstreams of the service that accept new requests.
        route : model.Route
        excluded : set of str
            Ids of the upstreams to skip.
        now : float
            Current time, seconds.
        maximum_wait_seconds : float
            Upstreams with a longer expected queue time are skipped, seconds.

        Returns
        -------
        Choice

        Raises
        ------
        errors.NoUpstreamError
            No upstream is eligible.
        """
        best = _BestUpstream()
        subset = self._subset(upstreams)
        self._update_best(
            best, subset, route, excluded, now, maximum_wait_seconds
        )
        if len(subset) < len(upstreams) and (
            best.upstream is None or best.wait > MAXIMUM_SUBSET_WAIT_SECONDS
        ):
            others = self._random.sample(
                upstreams, min(FALLBACK_SAMPLE_SIZE, len(upstreams))
            )
            self._update_best(
                best, others, route, excluded, now, maximum_wait_seconds
            )
        if best.upstream is None:
            error = errors.NoUpstreamError(
                f"none of {len(upstreams)} upstreams is eligible for route "
                f"{route.name!r}; {len(excluded)} were excluded"
            )
            if math.isfinite(best.skipped_wait):
                error.retry_after = best.skipped_wait
            raise error
        state = self._state(best.upstream.upstream_id)
        return Choice(
            upstream=best.upstream,
            candidates=best.candidates,
            expected_wait=best.wait,
            load_age=(
                None if state.load is None else now - state.load_received_at
            ),
            limit=self._limit(state, now)[0],
            slowdown=best.slowdown if self._is_capacity_learned else None,
        )

    def rank(self, upstreams, route, now):
        """Return all upstreams of a service in the order of their costs.

        Those of the subset come first; the others are compared only if none
        of these has a slot soon. A selection adds up to ``JITTER_SECONDS``.
        """
        if not upstreams:
            return []
        preferred_ids = {
            upstream.upstream_id for upstream in self._subset(upstreams)
        }
        ranked = []
        for upstream in upstreams:
            found = _BestUpstream()
            self._update_best(found, (upstream,), route, (), now, math.inf)
            ranked.append(
                RankedUpstream(
                    upstream=upstream,
                    cost=found.cost,
                    wait=found.wait,
                    is_in_subset=upstream.upstream_id in preferred_ids,
                )
            )
        return sorted(
            ranked, key=lambda each: (not each.is_in_subset, each.cost)
        )

    def _update_best(
        self, best, upstreams, route, excluded, now, maximum_wait_seconds
    ):
        """Replace the best upstream if one of a sequence has a lower cost."""
        run_seconds = self.expected_seconds(route)
        cross_domain_seconds = CROSS_DOMAIN_PENALTY_SECONDS + (
            self._bytes_by_route.get(route.name, 0.0)
            / 1e6
            * CROSS_DOMAIN_PENALTY_SECONDS_PER_MB
        )
        for upstream in upstreams:
            upstream_id = upstream.upstream_id
            if upstream_id in excluded:
                continue
            state = self._state(upstream_id)
            if state.is_unreachable or state.excluded_until > now:
                continue
            slowdown, failure_ratio = self._decayed_averages(state, now)
            if self._is_capacity_learned:
                slowdown = self._reported_slowdown(state, slowdown, now)
                wait = self._forecast_wait(
                    state, upstream, run_seconds * slowdown, now
                )
            else:
                wait = self._expected_wait(state, upstream, run_seconds, now)
            limit, is_enforced = self._limit(state, now)
            if limit is not None:
                pace_wait = max(
                    0.0, state.paced_until - now - PACE_BURST_SECONDS
                )
                wait = max(wait, pace_wait)
                if math.isinf(wait) or (pace_wait > 0 and not is_enforced):
                    # Without a known end of the wait the owner node is asked
                    # again when its load report is old.
                    best.skipped_wait = min(
                        best.skipped_wait,
                        (
                            wait
                            if math.isfinite(wait)
                            else MAXIMUM_LOAD_AGE_SECONDS
                        ),
                    )
                    continue
            if wait > maximum_wait_seconds:
                continue
            best.candidates += 1
            cost = (
                wait
                + run_seconds * slowdown
                + failure_ratio * FAILURE_PENALTY_SECONDS
                + self._random.random() * JITTER_SECONDS
            )
            if upstream.failure_domain != self._own_domain:
                cost += cross_domain_seconds
            if cost < best.cost:
                best.upstream = upstream
                best.cost = cost
                best.wait = wait
                best.slowdown = slowdown

    def _subset(self, upstreams):
        """Return the subset of a service's upstreams that this node uses.

        Rendezvous hashing spreads the subsets of all nodes evenly over the
        upstreams, and few subsets change when an upstream is added or removed.
        """
        if (
            len(upstreams)
            <= SUBSET_SIZE_OWN_DOMAIN + SUBSET_SIZE_OTHER_DOMAINS
        ):
            return upstreams
        service = upstreams[0].service
        cached = self._subsets_by_service.get(service)
        if cached is not None and cached[0] is upstreams:
            return cached[1]
        own = []
        others = []
        for upstream in sorted(upstreams, key=self._rendezvous_hash):
            is_own = upstream.failure_domain == self._own_domain
            (own if is_own else others).append(upstream)
        subset = (
            own[:SUBSET_SIZE_OWN_DOMAIN] + others[:SUBSET_SIZE_OTHER_DOMAINS]
        )
        self._subsets_by_service[service] = (upstreams, subset)
        return subset

    def _rendezvous_hash(self, upstream):
        upstream_id = upstream.upstream_id
        hash_value = self._hashes_by_id.get(upstream_id)
        if hash_value is None:
            text = f"{self._own_address} {upstream_id}".encode()
            hash_value = hashlib.blake2b(text, digest_size=8).digest()
            self._hashes_by_id[upstream_id] = hash_value
        return hash_value

    def _expected_wait(self, state, upstream, run_seconds, now):
        load = state.load
        slots = max(1, upstream.slots)
        if (
            load is None
            or now - state.load_received_at > MAXIMUM_LOAD_AGE_SECONDS
        ):
            excess = state.outstanding - slots
            return max(0.0, (excess + 1) * run_seconds / slots)
        if self._is_capacity_learned:
            slots = max(1, load.slots)
        wait = load.wait_ms / 1000
        if 0 <= load.limit < math.inf:
            # Time alone ends the wait for a rate limit.
            wait = max(0.0, wait - (now - state.load_received_at))
        excess = state.sent_since_load - max(0, load.free)
        if load.free > 0:
            # The reported queue time is that of a free slot. The first request
            # beyond the free slots has to wait too.
            excess += 1
        return wait + max(0, excess) * run_seconds / slots

    @staticmethod
    def _reported_slowdown(state, measured, now):
        """Return the slowdown that the owner node reports.

        Without a recent report, or one of an older build, it is what this
        node measured.
        """
        load = state.load
        if (
            load is None
            or load.slowdown <= 0
            or now - state.load_received_at > MAXIMUM_LOAD_AGE_SECONDS
        ):
            return measured
        return load.slowdown**SLOWDOWN_EXPONENT

    def _forecast_wait(self, state, upstream, run_seconds, now):
        """Return the expected queue time, with regard to the report's age.

        What a report says about the queue is outdated after about the
        duration of a request. The average of the earlier reports tells more
        then.

        Parameters
        ----------
        state : _UpstreamState
        upstream : model.Upstream
        run_seconds : float
            Expected duration on this upstream.
        now : float
        """
        load = state.load
        age = now - state.load_received_at
        if load is None or age > MAXIMUM_LOAD_AGE_SECONDS:
            return self._expected_wait(state, upstream, run_seconds, now)
        if 0 <= load.limit < math.inf:
            # The wait is for the limit, not for a slot.
            return self._expected_wait(state, upstream, run_seconds, now)
        weight = 0.5 ** (age / run_seconds)
        reported = self._expected_wait(state, upstream, run_seconds, now)
        return weight * reported + (1 - weight) * state.usual_wait

    def _limit(self, state, now):
        """Return the limit of an upstream and whether its owner enforces it.

        An owner node of an older build neither reports nor enforces limits;
        then each node keeps to its share of the limit that the upstream named.

        Returns
        -------
        float or None
            Requests per second of all nodes; None without a known limit.
        bool
        """
        load = state.load
        if load is not None and load.limit >= 0:
            if math.isinf(load.limit):
                return None, True
            # A limit changes less often than the load. One of 0 is checked
            # again as soon as the report is old.
            maximum_age = (
                NAMED_LIMIT_SECONDS
                if load.limit > 0
                else MAXIMUM_LOAD_AGE_SECONDS
            )
            if now - state.load_received_at > maximum_age:
                return None, True
            return load.limit, True
        return self._named_limit(state, now), False

    @staticmethod
    def _named_limit(state, now):
        if (
            state.named_limit is None
            or now - state.named_at > NAMED_LIMIT_SECONDS
        ):
            return None
        return state.named_limit

    def known_limit(self, upstream_id, now):
        """Return the limit that an upstream named lately, or None."""
        return self._named_limit(self._state(upstream_id), now)

    def on_self_report(self, upstream_id, report, sent_at, now):
        """Store the limit that an answer of an upstream names.

        Parameters
        ----------
        upstream_id : str
        report : self_report.SelfReport
        sent_at : float
            Time at which the answered request was sent, seconds. Only an
            answer to a later request shows the end of a limit.
        now : float
        """
        state = self._state(upstream_id)
        if report.limit is not None:
            state.named_limit = report.limit
            state.named_at = now
        elif not report.names_limit and sent_at >= state.named_at:
            state.named_limit = None

    def limited_count(self, now):
        """Return the number of upstreams with a known limit."""
        return sum(
            self._limit(state, now)[0] is not None
            for state in self._states_by_id.values()
        )

    def _pace(self, state, now):
        """Count a request towards this node's share of a limit."""
        limit, is_enforced = self._limit(state, now)
        if limit is None or limit <= 0:
            return
        sharers = max(1, len(self._ids_by_address))
        if is_enforced:
            sharers = max(1, state.load.sender_count)
        state.paced_until = max(now, state.paced_until) + sharers / limit

    def _decayed_averages(self, state, now):
        """Return slowdown and failure ratio, decayed by their age."""
        weight = 0.5 ** ((now - state.updated_at) / HALF_LIFE_SECONDS)
        return (
            1.0 + (state.slowdown - 1.0) * weight,
            state.failure_ratio * weight,
        )

    def on_sent(self, upstream_id, now):
        """Count a request that this node sends to an owner node."""
        state = self._state(upstream_id)
        self._pace(state, now)
        state.outstanding += 1
        state.sent_since_load += 1

    def on_ended(self, upstream_id):
        """Count the end of a request, whatever its outcome."""
        state = self._states_by_id.get(upstream_id)
        if state is not None:
            state.outstanding -= 1

    def on_load_report(self, address, load, now):
        """Store the load report of an owner node."""
        upstream_id = self._ids_by_address.get(address)
        if upstream_id is None:
            return
        state = self._state(upstream_id)
        if self._is_capacity_learned:
            self._update_usual_wait(state, load, now)
        state.load = load
        state.load_received_at = now
        state.sent_since_load = 0
        # One that is starting reports how long it takes until it is open; a
        # request may wait there if no other owner node is open.
        is_usable = load.is_open or load.wait_ms > 0
        state.excluded_until = (
            0.0 if is_usable else now + CLOSED_COOLDOWN_SECONDS
        )

    def _update_usual_wait(self, state, load, now):
        """Update the average of the reported queue times with a report."""
        age = now - state.load_received_at
        weight = 1.0
        if state.load is not None:
            weight = 1 - 0.5 ** (age / USUAL_WAIT_HALF_LIFE_SECONDS)
        state.usual_wait += weight * (load.wait_ms / 1000 - state.usual_wait)

    def on_instance_mismatch(self, upstream_id, now):
        """Exclude an upstream for a cooldown: its host runs another one."""
        self._state(upstream_id).excluded_until = (
            now + INSTANCE_MISMATCH_COOLDOWN_SECONDS
        )

    def on_owner_reachable(self, address):
        """Make an owner node eligible again after a connection to it."""
        state = self._states_by_id.get(self._ids_by_address.get(address))
        if state is not None:
            state.is_unreachable = False

    def on_owner_unreachable(self, address):
        """Exclude an owner node until it is reached again."""
        upstream_id = self._ids_by_address.get(address)
        if upstream_id is not None:
            state = self._state(upstream_id)
            state.is_unreachable = True
            state.load = None

    def unreachable_addresses(self):
        """Return the addresses of owner nodes that are unreachable."""
        return [
            address
            for address, upstream_id in self._ids_by_address.items()
            if (state := self._states_by_id.get(upstream_id)) is not None
            and state.is_unreachable
        ]

    def has_unreachable_owner(self):
        """Return whether any owner node that got requests is unreachable."""
        return any(
            state.is_unreachable for state in self._states_by_id.values()
        )

    def service_failure_ratio(self, service):
        """Return the recent ratio of failed requests of a service."""
        return self._failure_ratios_by_service.get(service, 0.0)

    def overload_refusal_ratio(self, service):
        """Return the recent ratio of offers refused for overload."""
        return self._overload_ratios_by_service.get(service, 0.0)

    def on_admission_result(self, service, is_refused):
        """Update the overload ratio with an offer that was refused or run."""
        average = self._overload_ratios_by_service.get(service, 0.0)
        self._overload_ratios_by_service[service] = (
            average + SERVICE_SMOOTHING_FACTOR * (is_refused - average)
        )

    def _update_failure_ratio(self, service, is_failure):
        average = self._failure_ratios_by_service.get(service, 0.0)
        self._failure_ratios_by_service[service] = (
            average + SERVICE_SMOOTHING_FACTOR * (is_failure - average)
        )

    def on_answer(self, upstream, route, seconds, now, byte_count=None):
        """Update the averages with an answer of an upstream.

        Parameters
        ----------
        upstream : model.Upstream
        route : model.Route
        seconds : float
            Duration of the request at the upstream.
        now : float
            Current time, seconds.
        byte_count : int, optional
            Total size of the request and answer bodies. Without it, the
            average size of the route is not updated.
        """
        if byte_count is not None:
            average = self._bytes_by_route.get(route.name, byte_count)
            self._bytes_by_route[route.name] = average + SMOOTHING_FACTOR * (
                byte_count - average
            )
        expected = self.expected_seconds(route)
        self._durations_by_route[route.name] = expected + SMOOTHING_FACTOR * (
            seconds - expected
        )
        self._update_failure_ratio(upstream.service, False)
        state = self._state(upstream.upstream_id)
        slowdown, failure_ratio = self._decayed_averages(state, now)
        state.slowdown = slowdown + SMOOTHING_FACTOR * (
            seconds / expected - slowdown
        )
        state.failure_ratio = failure_ratio * (1 - SMOOTHING_FACTOR)
        state.updated_at = now

    def on_failure(self, upstream, now):
        """Update the averages with a request that failed at an upstream."""
        self._update_failure_ratio(upstream.service, True)
        self.on_refused(upstream, now)

    def on_refused(self, upstream, now):
        """Update the averages with a request that an upstream refused.

        Unlike a failure it does not count towards the failure ratio that
        disables retries, because a refusal costs the service almost nothing.
        """
        state = self._state(upstream.upstream_id)
        slowdown, failure_ratio = self._decayed_averages(state, now)
        state.slowdown = slowdown
        state.failure_ratio = failure_ratio + SMOOTHING_FACTOR * (
            1 - failure_ratio
        )
        state.updated_at = now
