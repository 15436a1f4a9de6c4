"""Route lookup by host and longest path prefix, and traffic splits."""

from ..core import errors


def find_route(configuration, host, target):
    """Return the route with the longest prefix of a request's path.

    Parameters
    ----------
    configuration : model.Configuration
    host : str or None
        Value of the Host header.
    target : str
        Path and query of the request.

    Returns
    -------
    model.Route

    Raises
    ------
    errors.NoRouteError
        No route of that host has a prefix of the path.
    """
    name = (host or "").partition(":")[0].lower()
    routes_by_prefix = configuration.routes_by_host.get(name)
    if routes_by_prefix is not None:
        path = target.partition("?")[0]
        end = len(path)
        # Each prefix ends with a slash, so only those places can match.
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
    raise errors.NoRouteError(
        f"no route of version {configuration.version} for host {name!r} and "
        f"path {target[:100]!r}"
    )


class SplitCounters:
    """Chooses destinations so that each gets exactly its share.

    Smooth weighted round robin: over any run of requests, no destination is
    more than one request away from its share.
    """

    def __init__(self):
        self._credits_by_route = {}

    def choose(self, route):
        """Return the name of the service for the next request of a route.

        Examples
        --------
        >>> from shallotbridge.traffic import model
        >>> route = model.Route(
        ...     name="r",
        ...     host="h",
        ...     path_prefix="/",
        ...     destinations=(
        ...         model.Destination(service="a", weight=3),
        ...         model.Destination(service="b", weight=1),
        ...     ),
        ...     is_idempotent=True,
        ...     timeout_seconds=1.0,
        ...     objective_seconds=0.3,
        ...     maximum_attempts=2,
        ...     priority=0,
        ... )
        >>> counters = SplitCounters()
        >>> [counters.choose(route) for _ in range(8)]
        ['a', 'a', 'b', 'a', 'a', 'a', 'b', 'a']
        """
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        key = (route.host, route.path_prefix, destinations)
        credits = self._credits_by_route.get(key)
        if credits is None:
            credits = [0] * len(destinations)
            self._credits_by_route[key] = credits
        total = 0
        best = 0
        for index, destination in enumerate(destinations):
            credits[index] += destination.weight
            total += destination.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= total
        return destinations[best].service

    def forget(self, configuration):
        """Drop the counters of routes that a configuration lacks."""
        known = {
            (route.host, route.path_prefix, route.destinations)
            for routes in configuration.routes_by_host.values()
            for route in routes.values()
        }
        for key in self._credits_by_route.keys() - known:
            del self._credits_by_route[key]
