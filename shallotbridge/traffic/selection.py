"""Chooses the upstream that a request is sent to.

The choice takes the least expected time until the answer: what the owner
node last said of its queue, what this node has sent there since, how fast
the upstream was, and what it costs to leave the own failure domain.
"""

import dataclasses
import hashlib
import math

from ..core import errors

# Share of the newest sample in the running means.
SMOOTHING = 0.15
# The same for the share of failures of a whole service.
SERVICE_SMOOTHING = 0.05
# Duration assumed for a route that has not run yet, s.
INITIAL_SECONDS = 0.1
# A load report older than this is not used any more, s.
LOAD_AGE_SECONDS = 2.0
# What leaving the own failure domain has to gain, s. It covers the way there
# and back and keeps bytes between domains low.
OTHER_DOMAIN_SECONDS = 0.045
# Failures count like this much more time, s, multiplied by their share.
FAILURE_SECONDS = 1.5
# Time after which half of what is known of an upstream's speed and failures
# is forgotten, so that it is tried again, s.
HALF_LIFE_SECONDS = 4.0
# An owner node that takes no work is asked again after this time, s.
CLOSED_SECONDS = 0.3
# An upstream whose owner node says that another instance runs there is left
# out for this time, s; entries are corrected within some seconds.
OTHER_INSTANCE_SECONDS = 1.0
# What a request and its answer carry out of the own failure domain has to gain
# this much more, s for each MB: the links between domains are dear.
OTHER_DOMAIN_SECONDS_PER_MB = 5.0
# Upstreams that a node uses: all of a small service, and of a large one a
# part, mostly of the own failure domain. Connections of a node and the time of
# a choice then do not grow with the fleet.
NEAR_OWN_DOMAIN = 8
NEAR_OTHER_DOMAINS = 6
# When none of them is expected to have a slot within this time, s, some others
# are compared too.
NEAR_WAIT_SECONDS = 0.02
COMPARED_OTHERS = 6
# Random part of the expected time, s: keeps the nodes from choosing the same
# upstream in the same moment.
SPREAD_SECONDS = 0.008


@dataclasses.dataclass(kw_only=True, slots=True)
class _OwnerState:
    """What this node knows of one upstream and its owner node."""

    load: object = None
    load_at: float = 0.0
    sent_since_load: int = 0
    outstanding: int = 0
    speed: float = 1.0
    failures: float = 0.0
    learned_at: float = 0.0
    is_suspect: bool = False
    closed_until: float = 0.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Found:
    """The best upstream of those that were compared so far."""

    upstream: object = None
    cost: float = math.inf
    wait: float = 0.0
    candidates: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Choice:
    """A chosen upstream and what decided.

    Attributes
    ----------
    expected_wait : float
        Seconds until it is expected to start.
    load_age : float or None
        Age of the owner's report, seconds.
    """

    upstream: object
    candidates: int
    expected_wait: float
    load_age: float | None


class Selector:
    """Chooses among the upstreams of a service.

    Parameters
    ----------
    own_address : str
        Address of this node; decides which part of a service it uses.
    own_domain : str
        Failure domain of this node.
    random : random.Random
    """

    def __init__(self, *, own_address, own_domain, random):
        self._own_address = own_address
        self._own_domain = own_domain
        self._random = random
        self._states_by_id = {}
        self._ids_by_address = {}
        self._seconds_by_route = {}
        self._bytes_by_route = {}
        self._failures_by_service = {}
        self._overload_by_service = {}
        # For each service its upstreams and the part that this node uses.
        self._near_by_service = {}
        self._ranks_by_id = {}

    def expected_seconds(self, route):
        """Return how long a request of a route usually runs."""
        return self._seconds_by_route.get(route.name) or INITIAL_SECONDS

    def on_view(self, view):
        """Forget upstreams that are gone."""
        for upstream_id in self._states_by_id.keys() - (
            view.upstreams_by_id.keys()
        ):
            del self._states_by_id[upstream_id]
        for upstream_id in self._ranks_by_id.keys() - (
            view.upstreams_by_id.keys()
        ):
            del self._ranks_by_id[upstream_id]
        self._near_by_service.clear()
        self._ids_by_address = {
            upstream.address: upstream.upstream_id
            for upstream in view.upstreams_by_id.values()
        }

    def _state(self, upstream_id):
        state = self._states_by_id.get(upstream_id)
        if state is None:
            state = self._states_by_id[upstream_id] = _OwnerState()
        return state

    def choose(self, upstreams, route, excluded, now, maximum_wait=math.inf):
        """Return the best upstream for the next attempt of a request.

        Parameters
        ----------
        upstreams : sequence of model.Upstream
            Those that may get new work.
        route : model.Route
        excluded : set of str
            Ids that this request was already offered to.
        now : float
        maximum_wait : float
            Owner nodes that recently stated a longer one are left out, s.

        Returns
        -------
        Choice

        Raises
        ------
        errors.NoUpstreamError
            None can be chosen.
        """
        found = _Found()
        near = self._near(upstreams)
        self._compare(found, near, route, excluded, now, maximum_wait)
        if len(near) < len(upstreams) and (
            found.upstream is None or found.wait > NEAR_WAIT_SECONDS
        ):
            others = self._random.sample(
                upstreams, min(COMPARED_OTHERS, len(upstreams))
            )
            self._compare(found, others, route, excluded, now, maximum_wait)
        if found.upstream is None:
            raise errors.NoUpstreamError(
                f"none of {len(upstreams)} upstreams can take a request of "
                f"{route.name!r}; {len(excluded)} were tried"
            )
        state = self._state(found.upstream.upstream_id)
        return Choice(
            upstream=found.upstream,
            candidates=found.candidates,
            expected_wait=found.wait,
            load_age=None if state.load is None else now - state.load_at,
        )

    def _compare(self, found, upstreams, route, excluded, now, maximum_wait):
        """Note the upstream with the least expected time until the answer."""
        run_seconds = self.expected_seconds(route)
        crossing_seconds = OTHER_DOMAIN_SECONDS + (
            self._bytes_by_route.get(route.name, 0.0)
            / 1e6
            * OTHER_DOMAIN_SECONDS_PER_MB
        )
        for upstream in upstreams:
            upstream_id = upstream.upstream_id
            if upstream_id in excluded:
                continue
            state = self._state(upstream_id)
            if state.is_suspect or state.closed_until > now:
                continue
            wait = self._expected_wait(state, upstream, run_seconds, now)
            if wait > maximum_wait:
                continue
            found.candidates += 1
            speed, failures = self._recent(state, now)
            cost = (
                wait
                + run_seconds * speed
                + failures * FAILURE_SECONDS
                + self._random.random() * SPREAD_SECONDS
            )
            if upstream.failure_domain != self._own_domain:
                cost += crossing_seconds
            if cost < found.cost:
                found.upstream = upstream
                found.cost = cost
                found.wait = wait

    def _near(self, upstreams):
        """Return the part of a service that this node uses.

        Rendezvous hashing: each upstream is used by about as many nodes as
        any other, and few nodes change their part when one comes or goes.
        """
        if len(upstreams) <= NEAR_OWN_DOMAIN + NEAR_OTHER_DOMAINS:
            return upstreams
        service = upstreams[0].service
        known = self._near_by_service.get(service)
        if known is not None and known[0] is upstreams:
            return known[1]
        own = []
        others = []
        for upstream in sorted(upstreams, key=self._rank):
            is_own = upstream.failure_domain == self._own_domain
            (own if is_own else others).append(upstream)
        near = own[:NEAR_OWN_DOMAIN] + others[:NEAR_OTHER_DOMAINS]
        self._near_by_service[service] = (upstreams, near)
        return near

    def _rank(self, upstream):
        upstream_id = upstream.upstream_id
        rank = self._ranks_by_id.get(upstream_id)
        if rank is None:
            text = f"{self._own_address} {upstream_id}".encode()
            rank = hashlib.blake2b(text, digest_size=8).digest()
            self._ranks_by_id[upstream_id] = rank
        return rank

    def _expected_wait(self, state, upstream, run_seconds, now):
        load = state.load
        slots = max(1, upstream.slots)
        if load is None or now - state.load_at > LOAD_AGE_SECONDS:
            beyond = state.outstanding - slots
            return max(0.0, (beyond + 1) * run_seconds / slots)
        wait = load.wait_ms / 1000
        beyond = state.sent_since_load - max(0, load.free)
        if load.free > 0:
            # The stated wait is that of a free slot.
            beyond += 1
        return wait + max(0, beyond) * run_seconds / slots

    def _recent(self, state, now):
        """Return speed and share of failures, faded with their age."""
        weight = 0.5 ** ((now - state.learned_at) / HALF_LIFE_SECONDS)
        return 1.0 + (state.speed - 1.0) * weight, state.failures * weight

    def on_sent(self, upstream_id):
        """Count a request that is sent to an owner node."""
        state = self._state(upstream_id)
        state.outstanding += 1
        state.sent_since_load += 1

    def on_ended(self, upstream_id):
        """Count the end of a request that was sent."""
        state = self._states_by_id.get(upstream_id)
        if state is not None:
            state.outstanding -= 1

    def on_load(self, address, load, now):
        """Take what an owner node says of itself."""
        upstream_id = self._ids_by_address.get(address)
        if upstream_id is None:
            return
        state = self._state(upstream_id)
        state.load = load
        state.load_at = now
        state.sent_since_load = 0
        state.closed_until = 0.0 if load.is_open else now + CLOSED_SECONDS

    def on_other_instance(self, upstream_id, now):
        """Avoid an upstream whose host now runs another one."""
        self._state(upstream_id).closed_until = now + OTHER_INSTANCE_SECONDS

    def on_reached(self, address):
        """Note that an owner node can be reached."""
        state = self._states_by_id.get(self._ids_by_address.get(address))
        if state is not None:
            state.is_suspect = False

    def on_unreachable(self, address):
        """Avoid an owner node until it is reached again."""
        upstream_id = self._ids_by_address.get(address)
        if upstream_id is not None:
            state = self._state(upstream_id)
            state.is_suspect = True
            state.load = None

    def suspect_addresses(self):
        """Return the addresses of owner nodes that could not be reached."""
        return [
            address
            for address, upstream_id in self._ids_by_address.items()
            if (state := self._states_by_id.get(upstream_id)) is not None
            and state.is_suspect
        ]

    def failure_share(self, service):
        """Return the recent share of failed requests of a service."""
        return self._failures_by_service.get(service, 0.0)

    def overload_share(self, service):
        """Return the recent share of offers that were refused for overload."""
        return self._overload_by_service.get(service, 0.0)

    def on_overload(self, service, is_refused):
        """Learn whether an offer was refused for overload or was run."""
        known = self._overload_by_service.get(service, 0.0)
        self._overload_by_service[service] = known + SERVICE_SMOOTHING * (
            is_refused - known
        )

    def _note_outcome(self, service, is_failure):
        known = self._failures_by_service.get(service, 0.0)
        self._failures_by_service[service] = known + SERVICE_SMOOTHING * (
            is_failure - known
        )

    def on_answer(self, upstream, route, seconds, now, byte_count=None):
        """Learn from an answer how fast an upstream is.

        Parameters
        ----------
        upstream : model.Upstream
        route : model.Route
        seconds : float
            Time at the upstream.
        now : float
        byte_count : int, optional
            Bytes of the request's and the answer's bodies.
        """
        if byte_count is not None:
            known = self._bytes_by_route.get(route.name, byte_count)
            self._bytes_by_route[route.name] = known + SMOOTHING * (
                byte_count - known
            )
        usual = self.expected_seconds(route)
        self._seconds_by_route[route.name] = usual + SMOOTHING * (
            seconds - usual
        )
        self._note_outcome(upstream.service, False)
        state = self._state(upstream.upstream_id)
        speed, failures = self._recent(state, now)
        state.speed = speed + SMOOTHING * (seconds / usual - speed)
        state.failures = failures * (1 - SMOOTHING)
        state.learned_at = now

    def on_failure(self, upstream, now):
        """Learn that an upstream did not give a good answer."""
        self._note_outcome(upstream.service, True)
        self.on_refused(upstream, now)

    def on_refused(self, upstream, now):
        """Learn that an upstream refused a request that it got.

        Unlike a failure it does not count against repeats: what was refused
        costs the service next to nothing.
        """
        state = self._state(upstream.upstream_id)
        speed, failures = self._recent(state, now)
        state.speed = speed
        state.failures = failures + SMOOTHING * (1 - failures)
        state.learned_at = now
