"""The node's process on the users' platform."""

import gc
import os
import random
import signal
import sys

import eliot
import trio

from ..core import decisions
from ..core import errors
from ..core import logs
from . import items
from . import names
from ..runtime import metrics as metrics_module
from ..runtime import node as runtime
from . import settings
from . import store
from ..traffic import clock
from ..transports import tcp

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
SETTINGS_VARIABLE = "SHALLOTBRIDGE_SETTINGS"
METRICS_PORT_VARIABLE = "SHALLOTBRIDGE_METRICS_PORT"
# The settings file is looked at this often for changes without a signal, s.
SETTINGS_CHECK_SECONDS = 2.0


def main():
    """Run a node until it is told to stop; returns the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        terms = settings.load(path)
        metrics_port = _metrics_port()
    except errors.SettingsError as error:
        print(f"{error.code}: {path!r} is not allowed", file=sys.stderr)
        for problem in error.problems:
            print(f"  {problem}", file=sys.stderr)
        return EXIT_SETTINGS
    # No endpoint shows the last lines here.
    ring = logs.DecisionRing(lines=0)
    _, stop_logging = logs.start_logging(
        log_file=logs.STANDARD_OUTPUT, ring=ring, host_id=terms.own_host.name
    )
    try:
        trio.run(_run, terms, path, metrics_port, clock=clock.BootTimeClock())
        return EXIT_STOPPED
    except Exception:
        eliot.write_traceback()
        return EXIT_FAILED
    finally:
        stop_logging()


def _metrics_port():
    text = os.environ.get(METRICS_PORT_VARIABLE, "")
    if not text:
        return None
    if not text.isdecimal() or not 0 < int(text) < 65536:
        raise errors.SettingsError(
            [f"{METRICS_PORT_VARIABLE}: found {text!r}; expected a port"]
        )
    return int(text)


async def _run(terms, path, metrics_port):
    network = tcp.tcp_network()
    address, port = terms.platform_address
    client = store.Store(
        open_stream=network.open_stream, address=address, port=port
    )
    node = runtime.Node(
        terms=terms,
        names=names.HEADER_NAMES,
        ready_path=names.READY_PATH,
        network=network,
        upstream_source=client.source(items.UPSTREAM_PREFIX),
        configuration_source=client.source(items.OPERATOR_PREFIX),
        read_nodes=client.read_nodes,
        decode_item=items.decode_item,
        random=random.Random(),
        metrics=metrics_module.Metrics(),
        metrics_port=metrics_port,
    )
    with trio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as signals:
        async with trio.open_nursery() as nursery:
            await node.start(nursery)
            nursery.start_soon(_watch_settings, path, terms)
            gc.collect()
            gc.freeze()
            async for number in signals:
                if number != signal.SIGHUP:
                    break
                _check_settings(path, terms, "SIGHUP")
            await node.drain()
            node.close()
            nursery.cancel_scope.cancel()
    client.close()
    decisions.record("node_stopped", chosen=terms.own_host.name)


async def _watch_settings(path, terms):
    """Notice changes of the settings file that no signal tells of."""
    known = _modified_at(path)
    while True:
        await trio.sleep(SETTINGS_CHECK_SECONDS)
        found = _modified_at(path)
        if found != known:
            known = found
            _check_settings(path, terms, "the file changed")


def _modified_at(path):
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        decisions.record("settings_unreadable", reason=str(error))
        return None


def _check_settings(path, terms, reason):
    """Report which settings differ; they hold from the next start on."""
    try:
        found = settings.load(path)
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
        is_changed=found != terms,
        chosen="the settings of the start",
    )
