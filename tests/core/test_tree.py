"""Tests of loading the operators' configuration tree."""

import pathlib
import subprocess
import sys

import hypothesis
import pytest

from shallotbridge.core import errors
from shallotbridge.core import model
from shallotbridge.core import parts
from shallotbridge.core import tree

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
MESH = b"""name = "nileweave"
[[failure_domain]]
name = "cairo-1"
region = "cairo"
"""
SERVICE = b"""service = "showroom"
[upstream]
failure_domains = ["cairo-1"]
slots = 6
connections = 100
ramp_seconds = 20.5
[[route]]
name = "browse"
method = "GET"
path = "/showroom/stock/{roll}"
retry_ratio = 0.125
"""


def _problems(service=SERVICE, mesh=MESH, **others):
    contents_by_file = {"mesh.toml": mesh, "a/shallotbridge.toml": service}
    for name, content in others.items():
        contents_by_file[f"{name}/shallotbridge.toml"] = content
    with pytest.raises(errors.TreeError) as raised:
        tree.parse_tree(contents_by_file)
    return raised.value.problems


@pytest.mark.parametrize("name", ["nileweave", "molarline"])
def test_examples_survive_encoding_and_decoding(name):
    """Guards against a value that a node decodes differently."""
    configuration = tree.load_tree(EXAMPLES / name)
    contents_by_name = parts.encode_parts(configuration)
    decoded = parts.decode_configuration(model.NO_HEAD, contents_by_name)
    assert decoded == configuration


def test_defaults_are_those_of_the_schema():
    """Guards against routes that are idempotent by default."""
    configuration = tree.parse_tree(
        {"mesh.toml": MESH, "a/shallotbridge.toml": SERVICE}
    )
    service = configuration.services_by_name["showroom"]
    assert configuration.failure_domains_by_name["cairo-1"].in_service
    assert (service.upstream.cold_slots, service.upstream.queue) == (1, 0)
    route = service.routes_by_name["browse"]
    assert not route.is_idempotent
    assert (route.deadline_seconds, route.depends_on) == (1.0, ())


@pytest.mark.parametrize(
    ("old", "new", "key", "found"),
    [
        (b"slots = 6", b"slots = 0", "upstream.slots", "0"),
        (b"slots = 6", b"slots = true", "upstream.slots", "True"),
        (b"slots = 6", b"", "upstream.slots", "nothing"),
        (b"slots = 6", b"slots = 101", "upstream.connections", "100"),
        (b"slots = 6", b"slots = 6\nslot = 7", "upstream.slot", "7"),
        (b"slots = 6", b"slots = 6\n'a b' = 7", 'upstream."a b"', "7"),
        (b"20.5", b"nan", "upstream.ramp_seconds", "nan"),
        (b"20.5", b"0.0001", "upstream.ramp_seconds", "0.0001"),
        (b"0.125", b"1.5", "route.browse.retry_ratio", "1.5"),
        (b"{roll}", b"../x", "route.browse.path", "'/showroom/stock/../x'"),
        (b"browse", b"Browse", "route[0].name", "'Browse'"),
        (b'"showroom"', b'"mesh"', "service", "'mesh'"),
        (b'"showroom"', b'"a\\n"', "service", "'a\\n'"),
        (b'["cairo-1"]', b'["x"]', "upstream.failure_domains", "x"),
        (
            b"retry_ratio",
            b'depends_on = ["absent"]\nretry_ratio',
            "route.browse.depends_on",
            "absent",
        ),
    ],
)
def test_problem_names_file_and_key_of_invalid_value(old, new, key, found):
    """Guards against an invalid value that is accepted or not located."""
    (problem,) = _problems(service=SERVICE.replace(old, new))
    assert problem.file == "a/shallotbridge.toml"
    assert (problem.key, problem.found) == (key, found)
    assert problem.allowed


def test_all_problems_are_reported_in_one_run():
    """Guards against reporting only the first problem of a tree."""
    problems = _problems(
        mesh=MESH.replace(b"region", b"area"),
        service=SERVICE.replace(b"GET", b"get") + b"\n[[route]]\n",
        syntax=b"service = \n",
        encoding=b'service = "\xff"',
        oversize=b"#" * (tree.MAXIMUM_FILE_BYTES + 1),
    )
    locations = {(each.file.split("/")[0], each.key) for each in problems}
    assert locations == {
        ("mesh.toml", "failure_domain.cairo-1.area"),
        ("mesh.toml", "failure_domain.cairo-1.region"),
        ("a", "route.browse.method"),
        ("a", "route[1].name"),
        ("a", "route[1].method"),
        ("a", "route[1].path"),
        ("syntax", ""),
        ("encoding", ""),
        ("oversize", ""),
    }
    lines = {each.file: each.line for each in problems}
    assert lines["syntax/shallotbridge.toml"] == 1


def test_problem_of_duplicate_names_first_definition():
    """Guards against a definition that silently replaces another."""
    route = SERVICE[SERVICE.index(b"[[route]]") :]
    problems = _problems(
        service=SERVICE + route.replace(b"/stock", b"/other"), b=SERVICE
    )
    assert [str(problem) for problem in problems] == [
        "a/shallotbridge.toml: route[1].name: found 'browse'; allowed: a name "
        "that differs from route[0]"
    ]
    problems = _problems(b=SERVICE)
    assert "a/shallotbridge.toml" in problems[0].allowed
    assert problems[0].file == "b/shallotbridge.toml"


def test_broken_file_causes_no_problems_in_other_files():
    """Guards against reporting references to a file with a syntax error."""
    caller = SERVICE.replace(b"showroom", b"caller")
    caller += b'depends_on = ["showroom"]\n'
    problems = _problems(service=SERVICE + b"x = [", b=caller)
    assert [problem.file for problem in problems] == ["a/shallotbridge.toml"]


def test_unreadable_files_and_directories_are_problems(tmp_path):
    """Guards against an OSError instead of a TreeError."""
    with pytest.raises(errors.TreeError, match="No such file"):
        tree.load_tree(tmp_path / "absent")
    with pytest.raises(errors.TreeError, match="mesh.toml: found no file"):
        tree.load_tree(tmp_path)
    (tmp_path / "mesh.toml").symlink_to("/dev/null")
    with pytest.raises(errors.TreeError, match="no regular file"):
        tree.load_tree(tmp_path)


_TOKENS = (
    b"nan -inf -1 1e400 99999999999999999999 true [] {} [[]] '' '\\n' "
    b"1979-05-27 07:32:00 {a=1} [1,'a',{}] \xff \x00 '\xf0\x9f\x90\xaa' "
    b"'mesh' 'cairo-1' [[route]] [upstream] # = \n \""
).split(b" ") + [b"[" * 5000, b"9" * 5000]


@hypothesis.given(
    edits=hypothesis.strategies.lists(
        hypothesis.strategies.tuples(
            hypothesis.strategies.booleans(),
            hypothesis.strategies.integers(0, 40),
            hypothesis.strategies.integers(0, 1),
            hypothesis.strategies.sampled_from(_TOKENS)
            | hypothesis.strategies.binary(max_size=4),
        ),
        min_size=1,
        max_size=4,
    )
)
@hypothesis.settings(max_examples=400)
def test_any_mutation_gives_problems_or_a_configuration(edits):
    """Guards against a file that makes a command fail without a message."""
    contents_by_file = {"mesh.toml": MESH, "a/shallotbridge.toml": SERVICE}
    for is_mesh, position, removed, token in edits:
        file = "mesh.toml" if is_mesh else "a/shallotbridge.toml"
        tokens = contents_by_file[file].replace(b"\n", b" \n ").split(b" ")
        position %= len(tokens)
        tokens[position : position + removed] = [token]
        contents_by_file[file] = b" ".join(tokens)
    try:
        configuration = tree.parse_tree(contents_by_file)
    except errors.TreeError as error:
        assert error.problems and str(error)
    else:
        decoded = parts.decode_configuration(
            model.NO_HEAD, parts.encode_parts(configuration)
        )
        assert decoded == configuration


def test_node_does_not_import_operator_libraries():
    """Guards against nodes that spend memory on jsonschema or tomlkit."""
    code = (
        "import sys, shallotbridge, shallotbridge.cli;"
        "from shallotbridge.core import parts, checks;"
        "sys.exit('jsonschema' in sys.modules or 'tomlkit' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code]).returncode == 0
