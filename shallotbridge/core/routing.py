"""Choice of the route of a request."""

import weakref

from . import errors

_PREFIX_SEGMENT = "*"


class _Node:
    """One path segment of the index."""

    __slots__ = ("children_by_segment", "parameter", "prefix", "exact")

    def __init__(self):
        self.children_by_segment = {}
        self.parameter = None
        self.prefix = None
        self.exact = None


class _RouteIndex:
    """Routes of one configuration by method and path."""

    def __init__(self, *, configuration):
        self._routes_by_method_and_path = {}
        self._roots_by_method = {}
        for service in configuration.services_by_name.values():
            for route in service.routes_by_name.values():
                self._add(route)

    def _add(self, route):
        segments = route.path.split("/")[1:]
        is_pattern = segments[-1] == _PREFIX_SEGMENT or any(
            _is_parameter(segment) for segment in segments
        )
        if not is_pattern:
            key = (route.method, route.path)
            self._routes_by_method_and_path[key] = route
            return
        node = self._roots_by_method.setdefault(route.method, _Node())
        for position, segment in enumerate(segments):
            if segment == _PREFIX_SEGMENT and position == len(segments) - 1:
                node.prefix = route
                return
            if _is_parameter(segment):
                if node.parameter is None:
                    node.parameter = _Node()
                node = node.parameter
            else:
                node = node.children_by_segment.setdefault(segment, _Node())
        node.exact = route

    def find(self, method, path):
        route = self._routes_by_method_and_path.get((method, path))
        if route is not None:
            return route
        root = self._roots_by_method.get(method)
        if root is None:
            return None
        return _find_below(root, path.split("/"), 1)

    def methods(self, path):
        """Return the methods for which a path has a route."""
        methods = {method for method, _ in self._routes_by_method_and_path}
        methods.update(self._roots_by_method)
        return sorted(each for each in methods if self.find(each, path))


def _is_parameter(segment):
    return segment.startswith("{") and segment.endswith("}")


def _find_below(node, segments, position):
    if position == len(segments):
        return node.exact
    segment = segments[position]
    child = node.children_by_segment.get(segment)
    if child is not None:
        route = _find_below(child, segments, position + 1)
        if route is not None:
            return route
    if node.parameter is not None and segment:
        route = _find_below(node.parameter, segments, position + 1)
        if route is not None:
            return route
    return node.prefix


# Configurations are immutable and compared by content, which is slow, so the
# index is looked up by identity. The weak reference removes the entry with
# the configuration, before its id can be used again.
_indexes_by_id = {}


def _index_of(configuration):
    key = id(configuration)
    found = _indexes_by_id.get(key)
    if found is not None:
        return found[1]
    index = _RouteIndex(configuration=configuration)
    reference = weakref.ref(
        configuration, lambda _: _indexes_by_id.pop(key, None)
    )
    _indexes_by_id[key] = (reference, index)
    return index


def find_route(configuration, method, target):
    """Return the most specific route that matches a request.

    At each segment a literal is preferred to ``{name}``, and that to ``/*``.
    A parameter matches one segment that is not empty; ``/a/*`` matches all
    paths that start with ``/a/``. The query is ignored and the path is
    compared as it was sent, without decoding.

    Parameters
    ----------
    configuration : model.Configuration
    method : str
    target : str
        Path with an optional query, as in the request line.

    Returns
    -------
    model.Route

    Raises
    ------
    errors.NoRouteError

    Examples
    --------
    >>> import types
    >>> from shallotbridge.core import model
    >>> route = model.Route(
    ...     name="roll", service="showroom", method="GET",
    ...     path="/rolls/{roll}/bin", is_idempotent=True,
    ...     deadline_seconds=0.5, retry_ratio=0.1)
    >>> service = model.Service(
    ...     name="showroom", upstream=None, routes_by_name={"roll": route})
    >>> configuration = model.Configuration(
    ...     head=model.NO_HEAD, mesh_name="nileweave",
    ...     failure_domains_by_name={},
    ...     services_by_name={"showroom": service})
    >>> find_route(configuration, "GET", "/rolls/17/bin?unit=cm").name
    'roll'
    """
    index = _index_of(configuration)
    path = target.partition("?")[0]
    route = index.find(method, path)
    if route is None:
        methods = index.methods(path)
        known = (
            f"this path has routes for {', '.join(methods)}"
            if methods
            else "no route has this path"
        )
        raise errors.NoRouteError(
            f"no route for {method} {path[:200]} in version "
            f"{configuration.head.version}: {known}; check the method and "
            "path, or the route in the service's shallotbridge.toml"
        )
    return route
