"""Tests of the differences between two configurations."""

import json
import pathlib

import pytest

from shallotbridge.core import diff
from shallotbridge.core import errors
from tests import builders

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


def _configurations():
    caller = builders.make_service(
        name="desk",
        routes=[
            builders.make_route(
                service="desk", path="/desk", depends_on=("showroom",)
            )
        ],
    )
    old = builders.make_configuration(services=[builders.make_service()])
    routes = [
        builders.make_route(deadline_seconds=0.4),
        builders.make_route(name="bins", path="/bins"),
    ]
    new = builders.make_configuration(
        services=[builders.make_service(routes=routes, slots=4), caller],
        out_of_service=["cairo-2"],
    )
    return old, new


def test_compare_lists_all_changes_and_affected_hosts():
    """An operator must see each change before publishing it."""
    old, new = _configurations()
    hosts = [
        builders.make_host("s1"),
        builders.make_host("s2", failure_domain="cairo-2"),
        builders.make_host("d1", service="desk"),
        builders.make_host("x1", service="other"),
    ]
    difference = diff.compare(old, new, hosts=hosts)
    assert diff.to_text(difference).splitlines() == [
        "failure domain cairo-2: taken out of service; "
        "services: desk, showroom; hosts: 1",
        "service desk: added; hosts: 1; hosts of its callers: 0",
        "  route browse: added",
        "service showroom: changed; called by: desk; hosts: 2; "
        "hosts of its callers: 1",
        "  upstream.slots: 6 -> 4",
        "  route bins: added",
        "  route reserve: removed",
        "  route browse: changed",
        "    deadline_seconds: 0.8 -> 0.4",
        "upstream hosts affected: 3",
    ]
    document = json.loads(diff.to_json(difference))
    assert document["hosts_affected"] == 3
    assert document["services"][1]["routes_removed"] == ["reserve"]


def test_reverse_comparison_lists_removals_and_returns():
    """Guards against removals and returns that are left out.

    Without a host list the text has no host numbers.
    """
    old, new = _configurations()
    text = diff.to_text(diff.compare(new, old))
    assert "cairo-2: back in service" in text
    assert "service desk: removed" in text
    assert "hosts" not in text
    assert diff.compare(old, old).is_empty


@pytest.mark.parametrize("name", ["nileweave", "molarline"])
def test_example_host_lists_match_their_trees(name):
    """Every host runs a known service in one of its failure domains."""
    hosts = diff.load_hosts(EXAMPLES / name / "hosts.json")
    configuration = diff.load_configuration(EXAMPLES / name)
    for host in hosts:
        service = configuration.services_by_name[host.service]
        assert host.failure_domain in service.upstream.failure_domains
    assert len({host.address for host in hosts}) == len(hosts)


@pytest.mark.parametrize(
    "text", ["", "[]", '{"a": 1}', '{"a": {"hosts": [{}]}}', "[" * 100_000]
)
def test_malformed_host_list_error_states_the_format(text, tmp_path):
    """An operator must learn from the error what is allowed."""
    path = tmp_path / "hosts.json"
    path.write_text(text)
    with pytest.raises(errors.MalformedHostListError, match="allowed"):
        diff.load_hosts(path)
