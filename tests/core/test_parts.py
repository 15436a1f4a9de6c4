"""Tests of the canonical encoding of a configuration."""

import pytest

from shallotbridge.core import checks
from shallotbridge.core import errors
from shallotbridge.core import model
from shallotbridge.core import parts
from tests import builders


def test_decoding_gives_the_encoded_configuration():
    """Guards against a field that the encoding loses."""
    configuration = builders.make_configuration()
    contents_by_name = parts.encode_parts(configuration)
    decoded = parts.decode_configuration(configuration.head, contents_by_name)
    assert decoded == configuration


def test_root_digest_depends_on_version_base_and_each_part():
    """Guards against different contents with the same digest."""
    digests = {
        parts.root_digest(
            version=version, base_digest=base, digests_by_name=by_name
        )
        for version in (1, 2)
        for base in (b"", b"b" * 32)
        for by_name in ({"a": b"1"}, {"a": b"2"}, {"b": b"1"}, {})
    }
    assert len(digests) == 16


def test_part_with_another_service_name_is_rejected():
    """Guards against a service that is enforced under another name."""
    contents_by_name = parts.encode_parts(builders.make_configuration())
    contents_by_name["cutting-floor"] = contents_by_name["showroom"]
    with pytest.raises(errors.MalformedPartError, match="cutting-floor"):
        parts.decode_configuration(model.NO_HEAD, contents_by_name)


def test_a_dangling_dependency_is_a_problem():
    """Guards against a route to a service that does not exist."""
    route = builders.make_route(depends_on=("absent",))
    configuration = builders.make_configuration(
        services=[builders.make_service(routes=[route])]
    )
    problems = checks.find_problems(configuration)
    assert [problem.found for problem in problems] == ["absent"]
