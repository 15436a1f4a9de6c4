"""Route lookup and splits."""

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
def test_the_longest_prefix_wins(target, expected):
    """Guards against requests on a shorter or textually similar prefix."""
    in_force = builders.configuration(
        builders.route(name="shop"),
        builders.route(name="carpets", path_prefix="/shop/carpets/"),
    )
    found = routing.find_route(in_force, "Shop.Example:80", target)
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
def test_what_no_route_matches_is_refused(host, target):
    """Guards against routes that match more than their prefix."""
    in_force = builders.configuration(builders.route())
    with pytest.raises(errors.NoRouteError):
        routing.find_route(in_force, host, target)


def test_a_split_keeps_its_weights_in_any_hundred_requests():
    """Guards against shares that are only right on average."""
    split = builders.route(
        destinations=(
            model.Destination(service="shop", weight=90),
            model.Destination(service="new", weight=10),
        )
    )
    counters = routing.SplitCounters()
    chosen = [counters.choose(split) for _ in range(1000)]
    for start in range(0, 1000, 100):
        assert chosen[start : start + 100].count("new") == 10


def test_a_changed_split_starts_anew():
    """Guards against credits of an older split."""
    counters = routing.SplitCounters()
    old = builders.route(
        destinations=(
            model.Destination(service="shop", weight=1),
            model.Destination(service="new", weight=1),
        )
    )
    counters.choose(old)
    counters.forget(builders.configuration(builders.route()))
    assert counters.choose(old) == "shop"
