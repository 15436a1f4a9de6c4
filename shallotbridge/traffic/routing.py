"""Route lookup by host and longest path prefix, and traffic splits."""

from ..core import errors


def host_name(host):
    """Return the name in the value of a Host header, in lower case.

    Examples
    --------
    >>> host_name("Shop.example:80"), host_name(None)
    ('shop.example', '')
    """
    return (host or "").partition(":")[0].lower()


def find_route(configuration, host, target):
    """Return the route whose path prefix is the longest match.

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
        No route of the host has a prefix that matches the path.
    """
    name = host_name(host)
    routes_by_prefix = configuration.routes_by_host.get(name)
    if routes_by_prefix is not None:
        path = target.partition("?")[0]
        # Each prefix ends with a slash, so only prefixes up to a slash match.
        # A path of slashes only is not searched beyond the longest prefix.
        end = min(len(path), configuration.longest_prefix_length)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes_by_prefix.get(path[: end + 1])
            if route is not None:
                return route
    raise errors.NoRouteError(
        f"no route of version {configuration.version} for host "
        f"{name!r} and path {target[:100]!r}"
    )


class TrafficSplitter:
    """Splits the traffic of routes over their destinations by weight.

    Smooth weighted round robin: in any sequence of requests, the count of each
    destination differs from its share by at most one request.
    """

    def __init__(self):
        self._credits_by_route = {}

    def choose(self, route):
        """Return the name of the destination of the next request of a route.

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
        >>> splitter = TrafficSplitter()
        >>> [splitter.choose(route) for _ in range(8)]
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

    def prune(self, configuration):
        """Remove the state of routes that a configuration does not contain."""
        configured_keys = {
            (route.host, route.path_prefix, route.destinations)
            for routes in configuration.routes_by_host.values()
            for route in routes.values()
        }
        for key in self._credits_by_route.keys() - configured_keys:
            del self._credits_by_route[key]
