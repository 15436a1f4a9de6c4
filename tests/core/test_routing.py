"""Tests of the matching of requests to routes."""

import gc

import pytest

from shallotbridge.core import errors
from shallotbridge.core import routing
from tests import builders


def _configuration(*paths):
    routes = [builders.make_route(name=path, path=path) for path in paths]
    return builders.make_configuration(
        services=[builders.make_service(routes=routes)]
    )


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/rolls/new", "/rolls/new"),
        ("/rolls/17?x=/rolls/new", "/rolls/{roll}"),
        ("/rolls/17/bin", "/rolls/{roll}/bin"),
        ("/rolls/17/cut/3", "/rolls/*"),
        ("/rolls/new/label", "/rolls/new/*"),
        ("/rolls/new/bin", "/rolls/new/*"),
        ("/rolls/", "/rolls/*"),
    ],
)
def test_the_most_specific_route_is_found(target, expected):
    """Guards against a wildcard that matches another route's requests."""
    configuration = _configuration(
        "/rolls/*",
        "/rolls/{roll}",
        "/rolls/{roll}/bin",
        "/rolls/new",
        "/rolls/new/*",
    )
    route = routing.find_route(configuration, "GET", target)
    assert route.name == expected


def test_the_error_for_a_missing_route_lists_methods():
    """Guards against a 404 that does not say what to correct."""
    configuration = _configuration("/rolls/{roll}")
    with pytest.raises(errors.NoRouteError, match="has routes for GET"):
        routing.find_route(configuration, "POST", "/rolls/1")
    with pytest.raises(errors.NoRouteError, match="no route has this path"):
        routing.find_route(configuration, "GET", "/rolls/")


def test_the_index_is_removed_with_its_configuration():
    """Guards against a memory leak and against an index of an old version."""
    count_before = len(routing._indexes_by_configuration_id)
    for number in range(20):
        configuration = _configuration(f"/{number}")
        routing.find_route(configuration, "GET", f"/{number}")
    del configuration
    gc.collect()
    assert len(routing._indexes_by_configuration_id) <= count_before
