"""Runs a node as a process on the users' platform."""

import dataclasses
import gc
import math
import os
import random
import signal
import sys
import time

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
from . import signals
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
# A settings file that is invalid at the start is read again for this time: it
# may be being replaced.
SETTINGS_WAIT_SECONDS = 1.0
_SETTINGS_RETRY_SECONDS = 0.02


def main(started_at=-math.inf):
    """Run a node until it receives a stop signal; return the exit status.

    Parameters
    ----------
    started_at : float, optional
        Start of the process, on the clock of ``clock.BootTimeClock``.
    """
    receiver = signals.SignalReceiver(
        numbers=(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    )
    # Before the settings are read, so that no change of them is missed.
    receiver.start()
    try:
        return _run_until_stopped(receiver, started_at)
    finally:
        receiver.close()


def _run_until_stopped(receiver, started_at):
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings_text, node_settings = _load_settings(path)
        node_settings = dataclasses.replace(
            node_settings,
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
            receiver,
            node_settings,
            path,
            settings_text,
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


def _load_settings(path):
    """Return the text of the settings file and the settings in it.

    Raises
    ------
    errors.SettingsError
        The file is still invalid after ``SETTINGS_WAIT_SECONDS``.
    """
    give_up_at = time.monotonic() + SETTINGS_WAIT_SECONDS
    while True:
        try:
            text = settings.read(path)
            return text, settings.parse(text)
        except errors.SettingsError:
            if time.monotonic() >= give_up_at:
                raise
        time.sleep(_SETTINGS_RETRY_SECONDS)


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
    receiver,
    node_settings,
    path,
    settings_text,
    metrics_port,
    started_at,
    log,
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
    async with trio.open_nursery() as nursery:
        await node.start(nursery)
        nursery.start_soon(
            _watch_settings_file, path, settings_text, node_settings
        )
        nursery.start_soon(_start_log, log)
        while await receiver.receive() == signal.SIGHUP:
            _check_settings(path, node_settings, "SIGHUP")
        await node.drain()
        node.close()
        nursery.cancel_scope.cancel()
    store_client.close()
    process_memory.close()
    decisions.record("node_stopped", chosen=node_settings.own_host.name)


async def _watch_settings_file(path, text, node_settings):
    """Detect changes to the settings file that come without a signal.

    Parameters
    ----------
    path : str
    text : str
        Content of the file when it was loaded.
    node_settings : node.NodeSettings
    """
    while True:
        await trio.sleep(SETTINGS_CHECK_INTERVAL_SECONDS)
        try:
            new_text = settings.read(path)
        except errors.SettingsError as error:
            decisions.record(
                "settings_unreadable", reason="; ".join(error.problems)
            )
            continue
        if new_text != text:
            text = new_text
            _check_settings(path, node_settings, "the file changed")


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
