"""Running one node as a process: signals, logging and exit codes."""

import functools
import gc
import random
import signal
import sys

import eliot
import trio

from . import logs
from . import metrics
from . import node as node_module
from ..operator import server as operator_server
from . import platform
from . import settings as settings_module
from ..transports import grpc_peer
from ..transports import tcp

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
EXIT_INTERRUPTED = 3
EXIT_CANNOT_LISTEN = 4
_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(settings):
    """Run a node until it receives SIGTERM or SIGINT.

    Parameters
    ----------
    settings : NodeSettings

    Returns
    -------
    int
        Exit status, one of those that the help of ``shallotbridge node``
        lists.
    """
    ring = logs.DecisionRing()
    try:
        writer, stop_logging = logs.start_logging(
            log_file=settings.log_file, ring=ring, host_id=settings.host_id
        )
    except OSError as error:
        print(
            f"log_file: found {settings.log_file!r}: {error.strerror}; "
            "allowed: a file that can be written, or -",
            file=sys.stderr,
        )
        return EXIT_SETTINGS
    try:
        return trio.run(_run, settings, ring, writer)
    except Exception:
        eliot.write_traceback()
        return EXIT_FAILED
    finally:
        stop_logging()


def make_random(seed):
    """Return a random generator; a negative seed takes system entropy."""
    return random.Random(None if seed < 0 else seed)


async def _run(settings, ring, writer):
    node_metrics = metrics.Metrics(
        address=settings_module.parse_address(settings.statsd_address)
    )
    node_metrics.register_total("log_lines.dropped", lambda: writer.dropped)
    transport = grpc_peer.GrpcPeerTransport(port=settings.peer_port)
    node = node_module.Node(
        settings=settings,
        network=tcp.tcp_network(),
        peers=transport.make_peer_calls(),
        platform=platform.http_platform(settings.platform_url),
        random=make_random(settings.seed),
        metrics=node_metrics,
        serve_operator=functools.partial(_serve_operator, ring),
    )
    with trio.open_signal_receiver(*_SIGNALS) as signals:
        async with trio.open_nursery() as nursery:
            try:
                await node.start(nursery)
            except BaseExceptionGroup as group:
                os_errors, others = group.split(OSError)
                if others is not None:
                    raise
                for error in _iterate_leaf_errors(os_errors):
                    print(f"cannot listen: {error}", file=sys.stderr)
                return EXIT_CANNOT_LISTEN
            nursery.start_soon(_freeze_when_enforcing, node)
            await signals.__anext__()
            is_drained = await _drain_until_timeout(node, settings, signals)
            await node.close()
            nursery.cancel_scope.cancel()
        await transport.close()
    return EXIT_STOPPED if is_drained else EXIT_INTERRUPTED


def _iterate_leaf_errors(group):
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _iterate_leaf_errors(error)
        else:
            yield error


async def _serve_operator(
    ring, read_status, address, port, task_status=trio.TASK_STATUS_IGNORED
):
    application = operator_server.make_application(
        read_status=read_status, read_decisions=ring.last
    )
    await operator_server.serve(
        application=application,
        address=address,
        port=port,
        task_status=task_status,
    )


async def _freeze_when_enforcing(node):
    """Exclude long-lived objects from garbage collection.

    Otherwise each full collection traverses all modules and the
    configuration, which delays requests.
    """
    await node.wait_until_enforcing()
    gc.collect()
    gc.freeze()


async def _drain_until_timeout(node, settings, signals):
    """Drain a node; return whether it ended before a timeout or a signal."""
    is_drained = False
    with trio.move_on_after(settings.drain_timeout):
        async with trio.open_nursery() as nursery:

            async def cancel_on_second_signal():
                await signals.__anext__()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_second_signal)
            await node.drain()
            is_drained = True
            nursery.cancel_scope.cancel()
    return is_drained
