"""Runs a node as a process on the users' platform."""

import dataclasses
import gc
import math
import os
import random
import signal
import sys

import eliot
import trio

from ..core import decisions
from ..core import errors
from ..core import logs
from ..core import resident_memory
from . import deferred_imports
from . import items
from . import names
from ..runtime import metrics as metrics_module
from ..runtime import node as node_module
from . import settings
from . import store
from ..traffic import clock
from ..transports import tcp

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
SETTINGS_VARIABLE = "SHALLOTBRIDGE_SETTINGS"
METRICS_PORT_VARIABLE = "SHALLOTBRIDGE_METRICS_PORT"
CAPACITY_VARIABLE = "SHALLOTBRIDGE_CAPACITY"
OVERLOAD_VARIABLE = "SHALLOTBRIDGE_OVERLOAD"
# How often the settings file is checked for changes made without a SIGHUP.
SETTINGS_CHECK_INTERVAL_SECONDS = 2.0


def main(started_at=-math.inf):
    """Run a node until it receives a stop signal; return the exit status.

    Parameters
    ----------
    started_at : float, optional
        Start of the process, on the clock of ``clock.BootTimeClock``.
    """
    path = os.environ.get(SETTINGS_VARIABLE, "")
    modified_at = _modified_at(path)
    try:
        node_settings = dataclasses.replace(
            settings.load(path),
            is_capacity_learned=read_choice(
                CAPACITY_VARIABLE, ("registered", "learned")
            ),
            is_overload_control_enabled=read_choice(
                OVERLOAD_VARIABLE, ("basic", "outcome")
            ),
        )
        metrics_port = _metrics_port()
    except errors.SettingsError as error:
        print(
            f"{error.code}: settings file {path!r} is invalid", file=sys.stderr
        )
        for problem in error.problems:
            print(f"  {problem}", file=sys.stderr)
        return EXIT_SETTINGS
    log = _Log(host_id=node_settings.own_host.name)
    decisions.begin_deferral(log.start)
    try:
        trio.run(
            _run,
            node_settings,
            path,
            modified_at,
            metrics_port,
            started_at,
            log,
            clock=clock.BootTimeClock(),
        )
        return EXIT_STOPPED
    except Exception:
        log.start()
        eliot.write_traceback()
        return EXIT_FAILED
    finally:
        log.stop()


class _Log:
    """The log on standard output, which starts after the node has.

    Parameters
    ----------
    host_id : str
    """

    def __init__(self, *, host_id):
        self._host_id = host_id
        self._stop = None

    def start(self):
        """Load the log library and write the lines that were kept."""
        if self._stop is None:
            # This process has no endpoint that serves recent log lines.
            _, self._stop = logs.start_logging(
                log_file=logs.STANDARD_OUTPUT,
                ring=logs.DecisionRing(lines=0),
                host_id=self._host_id,
            )
            decisions.end_deferral()

    def stop(self):
        """Write all lines."""
        self.start()
        self._stop()


async def _start_log(log):
    await deferred_imports.load_log_library(trio.sleep)
    log.start()
    # Not before the log has started: that takes processor time, too.
    gc.collect()
    gc.freeze()


def _metrics_port():
    text = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not text:
        return None
    if not text.isdecimal() or not 0 < int(text) < 65536:
        raise errors.SettingsError(
            [f"{METRICS_PORT_VARIABLE}: found {text!r}; expected a port"]
        )
    return int(text)


def read_choice(variable, values):
    """Return whether a variable has the second value; the first if unset.

    Raises
    ------
    errors.SettingsError
        The variable has neither value.
    """
    text = os.environ.get(variable) or values[0]
    if text not in values:
        raise errors.SettingsError(
            [f"{variable}: found {text!r}; expected one of {values}"]
        )
    return text == values[1]


async def _run(
    node_settings, path, modified_at, metrics_port, started_at, log
):
    network = tcp.tcp_network()
    address, port = node_settings.platform_address
    store_client = store.StoreClient(
        open_stream=network.open_stream, address=address, port=port
    )
    process_memory = resident_memory.ResidentMemory()
    process_memory.start()
    node = node_module.Node(
        settings=node_settings,
        header_names=names.HEADER_NAMES,
        readiness_path=names.READINESS_PATH,
        network=network,
        upstream_source=store_client.source(items.UPSTREAM_PREFIX),
        configuration_source=store_client.source(items.OPERATOR_PREFIX),
        read_nodes=store_client.read_nodes,
        read_position=store_client.read_position,
        decode_item=items.decode_item,
        random=random.Random(),
        metrics=metrics_module.Metrics(),
        metrics_port=metrics_port,
        process_started_at=started_at,
        read_resident_bytes=process_memory.read,
        trim_heap=resident_memory.trim_heap,
    )
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with trio.open_nursery() as nursery:
            await node.start(nursery)
            nursery.start_soon(
                _watch_settings_file, path, modified_at, node_settings
            )
            nursery.start_soon(_start_log, log)
            async for signal_number in signals:
                if signal_number != signal.SIGHUP:
                    break
                _check_settings(path, node_settings, "SIGHUP")
            await node.drain()
            node.close()
            nursery.cancel_scope.cancel()
    store_client.close()
    process_memory.close()
    decisions.record("node_stopped", chosen=node_settings.own_host.name)


async def _watch_settings_file(path, last_modified_at, node_settings):
    """Detect changes to the settings file that come without a signal.

    Parameters
    ----------
    path : str
    last_modified_at : int or None
        When the file was modified last before it was loaded, nanoseconds.
    node_settings : node.NodeSettings
    """
    while True:
        await trio.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)
        modified_at = _modified_at(path, _record_unreadable)
        if modified_at != last_modified_at:
            last_modified_at = modified_at
            _check_settings(path, node_settings, "the file changed")


def _modified_at(path, on_error=lambda error: None):
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        on_error(error)
        return None


def _record_unreadable(error):
    decisions.record("settings_unreadable", reason=str(error))


def _check_settings(path, node_settings, reason):
    """Log whether the settings changed; changes take effect on restart."""
    try:
        new_settings = dataclasses.replace(
            settings.load(path),
            is_capacity_learned=node_settings.is_capacity_learned,
            is_overload_control_enabled=(
                node_settings.is_overload_control_enabled
            ),
        )
    except errors.SettingsError as error:
        decisions.record(
            "settings_rejected",
            reason=reason,
            code=error.code,
            problems=[str(problem) for problem in error.problems],
        )
        return
    decisions.record(
        "settings_read",
        reason=reason,
        is_changed=new_settings != node_settings,
        chosen="the settings loaded at startup",
    )
