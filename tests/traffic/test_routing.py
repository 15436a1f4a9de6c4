"""Tests of route lookup and traffic splits."""

import dataclasses

import pytest

from shallotbridge.core import errors
from shallotbridge.traffic import model
from shallotbridge.traffic import routing

from tests.traffic import builders


@pytest.mark.parametrize(
    ("target", "expected"),
    [
        ("/shop/1", "shop"),
        ("/shop/carpets/1?q=/shop/", "carpets"),
        ("/shop/carpetsx/1", "shop"),
        ("/shop/", "shop"),
    ],
)
def test_longest_path_prefix_is_selected(target, expected):
    """Guards against matching a shorter or textually similar prefix."""
    configuration = builders.configuration(
        builders.route(name="shop"),
        builders.route(name="carpets", path_prefix="/shop/carpets/"),
    )
    found = routing.find_route(configuration, "Shop.Example:80", target)
    assert found.name == expected


@pytest.mark.parametrize(
    ("host", "target"),
    [
        ("other.example", "/shop/1"),
        ("shop.example", "/shop"),
        ("shop.example", "/x/shop/1"),
        (None, "/shop/1"),
    ],
)
def test_request_without_matching_route_is_an_error(host, target):
    """Guards against routes that match more than their prefix."""
    configuration = builders.configuration(builders.route())
    with pytest.raises(errors.NoRouteError):
        routing.find_route(configuration, host, target)


def test_a_path_of_slashes_takes_few_lookups():
    """Guards against requests that cost much processor time to route."""

    class CountingRoutes(dict):
        lookups = 0

        def get(self, prefix):
            self.lookups += 1
            return super().get(prefix)

    routes = CountingRoutes({"/shop/": builders.route()})
    configuration = dataclasses.replace(
        builders.configuration(builders.route()),
        routes_by_host={"shop.example": routes},
    )
    with pytest.raises(errors.NoRouteError):
        routing.find_route(configuration, "shop.example", "/" * 16_000)
    assert routes.lookups <= len("/shop/")


def test_split_is_exact_over_each_hundred_requests():
    """Guards against shares that are only right on average."""
    split = builders.route(
        destinations=(
            model.Destination(service="shop", weight=90),
            model.Destination(service="new", weight=10),
        )
    )
    splitter = routing.TrafficSplitter()
    chosen = [splitter.choose(split) for _ in range(1000)]
    for start in range(0, 1000, 100):
        assert chosen[start : start + 100].count("new") == 10


def test_changed_split_starts_without_old_credits():
    """Guards against reusing the credits of an older split."""
    splitter = routing.TrafficSplitter()
    old = builders.route(
        destinations=(
            model.Destination(service="shop", weight=1),
            model.Destination(service="new", weight=1),
        )
    )
    splitter.choose(old)
    splitter.prune(builders.configuration(builders.route()))
    assert splitter.choose(old) == "shop"
