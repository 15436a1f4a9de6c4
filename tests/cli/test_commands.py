"""Tests of the operators' commands: output, error codes and exit codes."""

import json
import pathlib
import shutil

import pytest
import typer.main
import typer.testing

from shallotbridge import cli

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"


@pytest.fixture
def run(tmp_path, monkeypatch):
    """Return a function that runs a command next to an example in ``mesh``."""
    shutil.copytree(EXAMPLES / "nileweave", tmp_path / "mesh")
    monkeypatch.chdir(tmp_path)

    def _run(line, exit_code, **environment):
        runner = typer.testing.CliRunner()
        result = runner.invoke(cli.app, line.split(), env=environment)
        assert result.exit_code == exit_code, result.output
        return result.output

    return _run


def test_typical_operator_session(run):
    """Guards against commands that do not work together."""
    run("check mesh", 0)
    run("build mesh --base none --output v1", 0)
    assert "75%" in run("domain out cairo-2 --tree mesh", 0)
    assert "cairo-2  cairo  out of" in run("domain list --tree mesh", 0)
    text = run("diff v1 mesh --hosts mesh/hosts.json --format json", 0)
    assert json.loads(text)["domains"][0]["kind"] == "out"
    run("build mesh --base v1 --output v2", 0)
    assert "version 2" in run("check v2", 0)
    run("domain in cairo-2 --tree mesh", 0)
    assert "back in service" in run("diff v2 mesh", 0)
    assert "shallotbridge 0" in run("version", 0)


def test_refused_commands_print_an_error_code_and_exit_code(run):
    """Guards against a script that takes a refused command for success."""
    run("build mesh --base none --output v1", 0)
    text = run("build mesh --base v1 --output v2", 3)
    assert "SB-1006" in text
    assert not pathlib.Path("v2").exists()
    build = "build mesh --base v1 --output v2 --allow-unchanged"
    assert "SB-1003" in run(f"{build} --version 9", 3)
    run(build, 0)
    for name in ("1", "2", "3"):
        run(f"domain out cairo-{name} --tree mesh", 0)
    assert "SB-1007" in run("domain out cairo-4 --tree mesh", 3)
    assert "warning" in run("domain out cairo-4 --tree mesh --force", 0)
    assert "SB-1005" in run("domain out cairo-5 --tree mesh", 2)
    assert "SB-1008" in run("build mesh --base absent --output v3", 2)
    run("build mesh", 2)
    for path in pathlib.Path("v1/configuration/bundle").iterdir():
        path.unlink()
    assert "SB-1008" in run("check v1", 1)
    assert "SB-1008" in run("diff v1 mesh", 1)


def test_check_prints_all_problems(run):
    """Guards against a check that stops at the first problem."""
    path = pathlib.Path("mesh/showroom/shallotbridge.toml")
    text = path.read_text().replace("slots = 6", "slots = 0", 1)
    path.write_text(text.replace('"GET"', '"got"'))
    lines = run("check mesh", 1).splitlines()
    assert [line.split(":")[1].strip() for line in lines] == [
        "upstream.slots",
        "route.browse-stock.method",
        "route.bin-location.method",
    ]
    assert all(line.startswith("SB-1001 showroom/") for line in lines)


def test_options_are_read_from_the_environment(run):
    """Guards against environment variables that the command ignores."""
    run(
        "build",
        0,
        SHALLOTBRIDGE_TREE="mesh",
        SHALLOTBRIDGE_BASE="none",
        SHALLOTBRIDGE_OUTPUT="v1",
    )
    assert pathlib.Path("v1/configuration/head").exists()


def _commands(command):
    for child in getattr(command, "commands", {}).values():
        yield child
        yield from _commands(child)


def test_options_have_environment_variables_and_commands_have_examples():
    """Guards against an option that a script cannot set."""
    for command in _commands(typer.main.get_command(cli.app)):
        for parameter in command.params:
            if parameter.name != "help":
                assert parameter.envvar, (command.name, parameter.name)
        if not getattr(command, "commands", None):
            assert "Example" in command.help, command.name
