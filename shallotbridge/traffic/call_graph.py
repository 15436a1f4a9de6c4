"""Learns which routes carry calls of upstreams, and which routes make them.

An upstream makes its calls through the entry node of its own host, while it
runs a request. A call carries no mark, and the same entry node serves clients.
Calls have routes that no client uses. A route whose requests never arrive
while the upstream of the host is idle, though it is idle often enough, is a
route of calls. An upstream that is never idle shows nothing, so routes are
learned when the load is low and are known when it rises.

The load that this module responds to is the overload of a called service: a
request whose call is refused has used its slot for nothing. Requests that make
calls are then refused in proportion, by the client-side throttling of
"Handling Overload" in Beyer et al., Site Reliability Engineering (2016): a
request is refused with the probability ``1 - K * accepts / requests``. A few
are admitted even if no call is served: only requests that run make the calls
that show when the service is back.

The module starts no tasks and reads no clock: callers pass the current time.
"""

import dataclasses

from ..core import decisions

# Priority of calls at owner nodes, that of the most urgent clients. Above
# those, calls made 10 in 100 of them late in bench/overload.py; at their own
# priority, 16 in 100 calls of a service that had lost an upstream failed.
CALL_PRIORITY = 0
# Number of arrivals over which the rate of a route is averaged. It extends
# over several waves of the load for all but the busiest routes.
AVERAGED_ARRIVALS = 100
# A route of clients with a steady rate has a probability of exp(-10) of no
# arrival during the idle time that makes it a route of calls. The margin is
# for rates that are higher while the upstream is busy, as in retries.
CALL_EVIDENCE = 10.0
# Evidence against it of an arrival at an idle upstream. It is finite because
# an upstream may still run a request that its owner node has given up, and
# above 1 for rates that are higher while the upstream is busy.
IDLE_EVIDENCE = 4.0
# Evidence of the idle time between two arrivals is at most this, because the
# rate is an estimate.
MAXIMUM_STEP = 1.0
# Bounds of the evidence, so that what was learned from mixed traffic can
# change.
MINIMUM_EVIDENCE = -6.0
MAXIMUM_EVIDENCE = 20.0
# Calls that a route makes per run are averaged over about this many runs.
AVERAGED_RUNS = 30.0
# Assumed calls per run of a route before its first run has ended; small, so
# that routes known to make calls get the credit.
INITIAL_CALLS_PER_RUN = 0.05
# A route makes calls if it makes at least this many per run. A few are put
# down to routes whose runs overlap with those that make them.
MINIMUM_CALLS_PER_RUN = 0.25
# Half-life of the counts of requests served and refused. A node sees some ten
# requests per second, so a shorter one would compare chance.
RESULT_HALF_LIFE_SECONDS = 2.0
# K of the throttling: calls that are offered per call that is served. Above 1
# it keeps up a surplus of calls that shows when the service has room again.
# With 2, the value of the source, 23 instead of 27 in 100 of the more urgent
# requests had answers in time in bench/overload.py.
THROTTLING_FACTOR = 1.2
# So many recent requests are admitted without regard to their results: a
# single refusal says little, and without any no result would ever change.
MINIMUM_RECENT_REQUESTS = 4.0


@dataclasses.dataclass(slots=True)
class _Arrivals:
    """Arrivals of a route at this entry node.

    Attributes
    ----------
    gap : float
        Average time between them, seconds.
    idle_seconds : float
        Total idle time of the upstream at the last arrival.
    evidence : float
        Logarithm of the odds that the route carries calls.
    """

    arrived_at: float
    idle_seconds: float
    count: int = 0
    gap: float = 0.0
    evidence: float = 0.0
    is_call: bool = False


@dataclasses.dataclass(slots=True)
class _Results:
    """Decaying counts of requests with a response."""

    requested: float = 0.0
    served: float = 0.0
    updated_at: float = 0.0

    def decay(self, now):
        weight = 0.5 ** ((now - self.updated_at) / RESULT_HALF_LIFE_SECONDS)
        self.requested *= weight
        self.served *= weight
        self.updated_at = now

    def ratio(self, now):
        """Return the ratio of served requests, with the surplus; at most 1."""
        self.decay(now)
        if self.requested < MINIMUM_RECENT_REQUESTS:
            return 1.0
        admitted = max(
            MINIMUM_RECENT_REQUESTS, THROTTLING_FACTOR * self.served
        )
        return min(1.0, admitted / self.requested)


class CallGraph:
    """Calls of the upstream beside this node, as learned from traffic.

    Parameters
    ----------
    record : callable
        ``record(action, **fields)`` writes the decision log.

    Attributes
    ----------
    throttled_count : int
        Requests that were refused because their calls are likely to fail.
    """

    def __init__(self, *, record=decisions.record):
        self._record = record
        self._running_by_route = {}
        self._running = 0
        # Total time in which no request was running.
        self._idle_seconds = 0.0
        self._updated_at = None
        self._arrivals_by_route = {}
        self._results_by_route = {}
        # Results of clients' requests, by service and priority.
        self._results_by_kind = {}
        self._services_by_route = {}
        # For each route that ran here, the calls per run by route of calls.
        self._calls_by_route = {}
        self.throttled_count = 0

    def _update_idle_seconds(self, now):
        if self._running == 0 and self._updated_at is not None:
            self._idle_seconds += now - self._updated_at
        self._updated_at = now

    def on_run_started(self, route, now):
        """Count a request that the own upstream begins to run."""
        self._update_idle_seconds(now)
        self._running += 1
        running = self._running_by_route
        running[route] = running.get(route, 0) + 1

    def on_run_ended(self, route, now):
        """Count the end of a run, whatever its outcome."""
        self._update_idle_seconds(now)
        self._running -= 1
        running = self._running_by_route
        running[route] -= 1
        if not running[route]:
            del running[route]
        calls = self._calls_by_route.setdefault(route, {})
        for called in calls:
            calls[called] *= 1 - 1 / AVERAGED_RUNS

    def on_arrival(self, route, service, now):
        """Count a request that arrives at the entry node; classify its route.

        Parameters
        ----------
        route : str
        service : str
            Service that the request is for.
        now : float

        Returns
        -------
        bool
            Whether the request is a call of the own upstream.
        """
        self._update_idle_seconds(now)
        seen = self._arrivals_by_route.get(route)
        if seen is None:
            seen = self._arrivals_by_route[route] = _Arrivals(
                arrived_at=now, idle_seconds=self._idle_seconds
            )
            return False
        seen.count += 1
        seen.gap += (now - seen.arrived_at - seen.gap) / min(
            seen.count, AVERAGED_ARRIVALS
        )
        evidence = seen.evidence
        if self._running == 0:
            evidence -= IDLE_EVIDENCE
        elif seen.gap > 0:
            # Arrivals of clients that were due in the idle time.
            due = (self._idle_seconds - seen.idle_seconds) / seen.gap
            evidence += min(MAXIMUM_STEP, due)
        seen.arrived_at = now
        seen.idle_seconds = self._idle_seconds
        seen.evidence = min(MAXIMUM_EVIDENCE, max(MINIMUM_EVIDENCE, evidence))
        if evidence < 0 or evidence > CALL_EVIDENCE:
            is_call = evidence > CALL_EVIDENCE
            if is_call != seen.is_call:
                self._on_classified(route, seen, is_call)
        if seen.is_call:
            self._services_by_route[route] = service
            self._credit_parents(route)
        return seen.is_call

    def _on_classified(self, route, seen, is_call):
        seen.is_call = is_call
        self._record(
            "call_route",
            chosen=is_call,
            route=route,
            evidence=round(seen.evidence, 1),
            arrivals=seen.count,
            idle_s=round(self._idle_seconds, 1),
        )

    def _credit_parents(self, called):
        """Put a call down to the routes that are running.

        Each gets a part in proportion to the calls that it is known to make,
        as in an expectation-maximization step.
        """
        parts = {}
        for route, count in self._running_by_route.items():
            calls = self._calls_by_route.setdefault(route, {})
            parts[route] = count * calls.get(called, INITIAL_CALLS_PER_RUN)
        total = sum(parts.values())
        for route, part in parts.items():
            calls = self._calls_by_route[route]
            calls[called] = (
                calls.get(called, INITIAL_CALLS_PER_RUN)
                + part / total / AVERAGED_RUNS
            )

    def on_call_result(self, route, is_served, now):
        """Count a call of the own upstream that has its response."""
        _add_result(self._results_by_route, route, is_served, now)

    def on_client_result(self, service, priority, is_served, now):
        """Count a request of a client that has its response."""
        kind = (service, priority)
        _add_result(self._results_by_kind, kind, is_served, now)

    def calls_per_run(self, route):
        """Return the calls that a run of a route makes, by their route."""
        return {
            called: count
            for called, count in self._calls_by_route.get(route, {}).items()
            if count >= MINIMUM_CALLS_PER_RUN
        }

    def success_ratio(self, route, priority, now):
        """Return the ratio of the requests of a route that are to be admitted.

        It is the ratio of its calls that are served or, if lower, that of more
        urgent requests of clients to the called service: the calls would take
        slots from them. It is 1 for a route that makes no calls.

        Parameters
        ----------
        route : str
        priority : int
        now : float
        """
        ratio = self._call_ratio(route, now)
        for called in self.calls_per_run(route):
            service = self._services_by_route[called]
            for (other, urgency), results in self._results_by_kind.items():
                if other == service and urgency < priority:
                    ratio = min(ratio, results.ratio(now))
        return ratio

    def _call_ratio(self, route, now):
        """Return the lowest ratio of served calls among those of a route."""
        return min(
            (
                self._results_by_route[called].ratio(now)
                for called in self.calls_per_run(route)
                if called in self._results_by_route
            ),
            default=1.0,
        )

    def on_throttled(self, route, now):
        """Count a refused request and, if they are refused, its calls.

        Without them the ratio would recover as soon as requests are refused.
        """
        self.throttled_count += 1
        if self._call_ratio(route, now) >= 1:
            return
        for called, count in self.calls_per_run(route).items():
            results = self._results_by_route.get(called)
            if results is not None:
                results.requested += min(1.0, count)

    def call_routes(self):
        """Return the names of the routes that carry calls, sorted."""
        return sorted(
            route
            for route, seen in self._arrivals_by_route.items()
            if seen.is_call
        )


def _add_result(results_by_key, key, is_served, now):
    results = results_by_key.get(key)
    if results is None:
        results = results_by_key[key] = _Results(updated_at=now)
    results.decay(now)
    results.requested += 1
    results.served += is_served
