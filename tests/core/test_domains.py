"""Tests of taking failure domains out of service and back."""

import pytest

from shallotbridge.core import domains
from shallotbridge.core import errors
from shallotbridge.core import tree

MESH = """# The mesh.
name = "nileweave"

[[failure_domain]]  # the first
name = "cairo-1"
region = "cairo"
in_service = true  # since May

# The second has no in_service.
[[failure_domain]]
name = "cairo-2"
region = "cairo"

# The third.
[[failure_domain]]
name = "cairo-3"
region = "cairo"
"""
SERVICE = """service = "{name}"
upstream = {{failure_domains = {domains}, slots = 1, connections = 2}}
route = [{{name = "r", method = "GET", path = "/{name}"}}]
"""


@pytest.fixture
def directory(tmp_path):
    (tmp_path / "mesh.toml").write_text(MESH)
    for name, names in {
        "showroom": ["cairo-1", "cairo-2"],
        "archive": ["cairo-1"],
    }.items():
        (tmp_path / name).mkdir()
        (tmp_path / name / tree.SERVICE_FILE).write_text(
            SERVICE.format(name=name, domains=names)
        )
    return tmp_path


def _change(directory, name, **arguments):
    domains.change_domain(directory, name, **arguments)
    return (directory / "mesh.toml").read_text()


def test_taking_a_domain_out_and_back_changes_only_in_service(directory):
    """Guards against lost comments and against a change of other values."""
    text = _change(directory, "cairo-1", in_service=False, force=True)
    assert text == MESH.replace("true  # since", "false  # since")
    assert _change(directory, "cairo-1", in_service=True) == MESH
    text = _change(directory, "cairo-2", in_service=False)
    assert text.replace("in_service = false\n", "") == MESH
    states = domains.list_domains(tree.load_tree(directory))
    assert [state.in_service for state in states] == [True, False, True]
    assert states[0].services == ("archive", "showroom")


def test_a_service_is_not_left_without_domain_unless_forced(directory):
    """Guards against an operator who takes down a service by accident."""
    with pytest.raises(errors.ServiceWithoutDomainError, match="archive"):
        _change(directory, "cairo-1", in_service=False)
    _change(directory, "cairo-2", in_service=False)
    with pytest.raises(errors.ServiceWithoutDomainError, match="showroom"):
        _change(directory, "cairo-1", in_service=False)


def test_the_plan_contains_the_remaining_domains_and_their_ratio(directory):
    """Guards against a wrong ratio of remaining failure domains."""
    configuration = tree.load_tree(directory)
    plan = domains.plan_change(configuration, "cairo-1", in_service=False)
    ratios_by_service = {
        each.service: each.remaining_ratio for each in plan.effects
    }
    assert ratios_by_service == {"archive": 0.0, "showroom": 0.5}
    assert plan.effects[1].remaining == ("cairo-2",)
    assert "50%" in domains.to_text(plan)


def test_an_unknown_domain_or_unchanged_state_does_not_edit_the_file(
    directory,
):
    """Guards against an edit for an unknown name or an unchanged state."""
    with pytest.raises(errors.UnknownFailureDomainError, match="cairo-3"):
        _change(directory, "cairo-9", in_service=False)
    assert _change(directory, "cairo-1", in_service=True) == MESH


@pytest.mark.parametrize("newline", ["\n", "\r\n"])
def test_inline_tables_are_edited(directory, newline):
    """Guards against an edit that only works for one TOML notation."""
    text = newline.join(
        [
            'name = "n"',
            "failure_domain = [",
            '  {name = "cairo-1", region = "c"},  # first',
            '  {name = "cairo-2", region = "c", in_service = true},',
            "]",
            "",
        ]
    )
    path = directory / "mesh.toml"
    path.write_bytes(text.encode())
    domains.change_domain(directory, "cairo-2", in_service=False)
    assert path.read_bytes() == text.replace("true", "false").encode()
