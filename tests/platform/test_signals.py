"""Tests of signals at any moment of a process on the users' platform."""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import sysconfig
import threading
import tomllib

import pytest

from soak import fleet

_ROOT = pathlib.Path(__file__).resolve().parents[2]
_RUN = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())["roles"][
    "node"
]["run"].split()
_TIMEOUT_SECONDS = 60
_host_numbers = itertools.count(1)


def _make_settings(service="shop"):
    own = f"127.18.{os.getpid() % 250 + 1}.{next(_host_numbers)}"
    return fleet._SETTINGS.format(
        number=1,
        own=own,
        public=own,
        domain="a",
        service=service,
        # Nothing listens there.
        store=own,
        memory_mb=fleet.MEMORY_MB,
        upstream_port=18145,
        peer_port=17380,
        caller_port=18147,
        ready_port=18141,
        store_port=18142,
    )


def _environment(settings_path, *directories):
    """Return the environment of the node; directories are searched first."""
    return os.environ | {
        "SHALLOTBRIDGE_SETTINGS": str(settings_path),
        "PYTHONPATH": os.pathsep.join(
            [*map(str, directories), sysconfig.get_path("purelib")]
        ),
    }


@contextlib.contextmanager
def _run_node(settings_path, *, is_pipe=False):
    """Run the command of the deploy file; kill what is left of it.

    With ``is_pipe``, the settings file is a named pipe. If the process ends
    before it has opened the pipe, a test that opens it does not wait forever.
    """
    process = subprocess.Popen(
        [sys.executable, *_RUN[1:]],
        cwd=_ROOT,
        env=_environment(settings_path),
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    # Keeps the pipe that ``settings_path`` names now.
    pipe_path = settings_path.with_suffix(".pipe")
    if is_pipe:
        os.link(settings_path, pipe_path)

    def give_up():
        process.kill()
        if is_pipe:
            os.close(os.open(pipe_path, os.O_RDONLY | os.O_NONBLOCK))

    watchdog = threading.Timer(_TIMEOUT_SECONDS, give_up)
    watchdog.start()
    try:
        yield process
    finally:
        watchdog.cancel()
        process.kill()
        process.communicate()


def _read_until(process, action):
    """Return the next line of the log with an action."""
    for line in process.stdout:
        fields = json.loads(line)
        if fields.get("message_type", "").endswith(f":{action}"):
            return fields
    raise AssertionError(f"no {action!r}; {process.stderr.read().decode()}")


@pytest.mark.parametrize("module", ["sitecustomize", "enum"])
def test_a_signal_about_settings_comes_before_the_first_imports(
    module, tmp_path
):
    """Guards against a process that a change of its settings ends.

    The signal comes with the first import from a file, by the interpreter or
    by the program.
    """
    assert _RUN[0] == "python3"
    (tmp_path / f"{module}.py").write_text(
        "import _signal, sys\n"
        "_signal.raise_signal(_signal.SIGHUP)\n"
        f"sys.path.remove({str(tmp_path)!r})\n"
        f"del sys.modules[{module!r}]\n"
        "import enum\n"
    )
    done = subprocess.run(
        [sys.executable, *_RUN[1:]],
        cwd=_ROOT,
        env=_environment(tmp_path / "missing.toml", tmp_path),
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_SECONDS,
    )
    # There is no settings file.
    assert done.returncode == 2, done.stderr
    assert "settings file" in done.stderr


def test_a_change_of_the_settings_during_the_start_is_noticed(tmp_path):
    """Guards against changes that are lost while their signal is ignored.

    The file changes as soon as the node has read it, within the resolution
    of the file system's clock, and long before the node has started.
    """
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    modified_ns = path.stat().st_mtime_ns
    first = _make_settings()
    changed = tmp_path / "changed.toml"
    changed.write_text(first.replace("cold_slack = 5", "cold_slack = 6"))
    os.utime(changed, ns=(modified_ns, modified_ns))
    with _run_node(path, is_pipe=True) as process:
        # Opening a pipe waits for the process that reads it.
        with open(path, "w") as pipe:
            pipe.write(first)
            os.replace(changed, path)
            process.send_signal(signal.SIGHUP)
        line = _read_until(process, "settings_read")
        assert line["is_changed"] is True
        process.send_signal(signal.SIGTERM)
        _read_until(process, "node_stopped")
        assert process.wait(_TIMEOUT_SECONDS) == 0


def test_a_settings_file_that_is_being_replaced_is_read_again(tmp_path):
    """Guards against a start that ends because the file is written just then.

    The node reads the file while it is empty.
    """
    path = tmp_path / "settings.toml"
    os.mkfifo(path)
    whole = tmp_path / "whole.toml"
    whole.write_text(_make_settings())
    with _run_node(path, is_pipe=True) as process:
        with open(path, "w"):
            os.replace(whole, path)
        _read_until(process, "node_started")
        process.send_signal(signal.SIGTERM)
        _read_until(process, "node_stopped")
        assert process.wait(_TIMEOUT_SECONDS) == 0


def test_signals_during_a_stop_do_not_end_the_process(tmp_path):
    """Guards against stops that end without their last lines of the log.

    All signals come again and again from the first moment of the stop until
    the process has ended.
    """
    path = tmp_path / "settings.toml"
    path.write_text(_make_settings())
    with _run_node(path) as process:
        _read_until(process, "node_started")
        process.send_signal(signal.SIGTERM)
        _read_until(process, "node_leaving")
        stopped = threading.Event()

        def send_signals():
            while process.poll() is None and not stopped.wait(0.001):
                for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                    process.send_signal(number)

        sender = threading.Thread(target=send_signals)
        sender.start()
        try:
            _read_until(process, "node_stopped")
            assert process.wait(_TIMEOUT_SECONDS) == 0
        finally:
            stopped.set()
            sender.join()
