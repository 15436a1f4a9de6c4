"""Matching of requests to routes."""

import weakref

from . import errors

_WILDCARD_SEGMENT = "*"


class _PathNode:
    """Node of the path trie; each level is one path segment."""

    __slots__ = (
        "children_by_segment",
        "parameter_child",
        "wildcard_route",
        "exact_route",
    )

    def __init__(self):
        self.children_by_segment = {}
        self.parameter_child = None
        self.wildcard_route = None
        self.exact_route = None


class _RouteIndex:
    """Index of a configuration's routes by method and path.

    Literal paths are in a dictionary, paths with parameters or a wildcard in
    one trie for each method.
    """

    def __init__(self, *, configuration):
        self._routes_by_method_and_path = {}
        self._roots_by_method = {}
        for service in configuration.services_by_name.values():
            for route in service.routes_by_name.values():
                self._add(route)

    def _add(self, route):
        segments = route.path.split("/")[1:]
        is_pattern = segments[-1] == _WILDCARD_SEGMENT or any(
            _is_parameter(segment) for segment in segments
        )
        if not is_pattern:
            key = (route.method, route.path)
            self._routes_by_method_and_path[key] = route
            return
        node = self._roots_by_method.setdefault(route.method, _PathNode())
        for position, segment in enumerate(segments):
            if segment == _WILDCARD_SEGMENT and position == len(segments) - 1:
                node.wildcard_route = route
                return
            if _is_parameter(segment):
                if node.parameter_child is None:
                    node.parameter_child = _PathNode()
                node = node.parameter_child
            else:
                node = node.children_by_segment.setdefault(
                    segment, _PathNode()
                )
        node.exact_route = route

    def find(self, method, path):
        route = self._routes_by_method_and_path.get((method, path))
        if route is not None:
            return route
        root = self._roots_by_method.get(method)
        if root is None:
            return None
        return _find_in_subtree(root, path.split("/"), 1)

    def methods_for(self, path):
        """Return the methods for which a path has a route, sorted."""
        methods = {method for method, _ in self._routes_by_method_and_path}
        methods.update(self._roots_by_method)
        return sorted(each for each in methods if self.find(each, path))


def _is_parameter(segment):
    return segment.startswith("{") and segment.endswith("}")


def _find_in_subtree(node, segments, position):
    if position == len(segments):
        return node.exact_route
    segment = segments[position]
    child = node.children_by_segment.get(segment)
    if child is not None:
        route = _find_in_subtree(child, segments, position + 1)
        if route is not None:
            return route
    if node.parameter_child is not None and segment:
        route = _find_in_subtree(node.parameter_child, segments, position + 1)
        if route is not None:
            return route
    return node.wildcard_route


# Configurations are immutable. Comparing them by content is slow, so an index
# is looked up by the id of its configuration. A weak reference removes the
# index together with the configuration, before the id can be reused.
_indexes_by_configuration_id = {}


def _get_index(configuration):
    key = id(configuration)
    entry = _indexes_by_configuration_id.get(key)
    if entry is not None:
        return entry[1]
    index = _RouteIndex(configuration=configuration)
    reference = weakref.ref(
        configuration, lambda _: _indexes_by_configuration_id.pop(key, None)
    )
    _indexes_by_configuration_id[key] = (reference, index)
    return index


def find_route(configuration, method, target):
    """Return the most specific route that matches a request.

    At each segment a literal has precedence over a parameter ``{name}``, and
    a parameter over the wildcard ``*``. A parameter matches one segment that
    is not empty; ``/a/*`` matches all paths that start with ``/a/``. The
    query is ignored, and the path is matched as sent, without decoding.

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
    index = _get_index(configuration)
    path = target.partition("?")[0]
    route = index.find(method, path)
    if route is None:
        methods = index.methods_for(path)
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
