"""Tests of the program that runs a node, as a process."""

import copy
import json
import os
import signal
import subprocess
import sys

import trio

from shallotbridge.transports import tcp
from soak import fleet
from standins import store as store_standin

from tests.platform import test_items
from tests.runtime import loopback


async def test_a_request_during_the_start_is_served_and_the_log_is_whole(
    tmp_path,
):
    """Guards against refusals while a node starts, and against lost lines.

    The store answers the current read of the upstreams only when that of the
    configuration has come. The upstream accepts connections only after the
    request has come. Lines from before the log library is loaded are written
    in order.
    """
    configuration_read = trio.Event()

    async def answer_read(request):
        if "stale_ok" not in request.target:
            if "path_prefix=op/" in request.target:
                configuration_read.set()
            await configuration_read.wait()
        return await mesh.store.handle_request(request)

    async with trio.open_nursery() as nursery:
        mesh = loopback.LoopbackMesh(nursery)
        address = mesh.address(1)
        await nursery.start(
            tcp.serve,
            mesh.address(200),
            loopback.STORE_PORT,
            store_standin.make_handler(answer_read),
        )
        configuration = copy.deepcopy(test_items.CONFIGURATION)
        rule = configuration["listeners"][0]["rules"][0]
        rule["target_latency"] = rule["action"]["timeout"] = "9s"
        mesh.store.put("op/config", configuration)
        mesh.store.put("servers/i-1", mesh.make_entry(1, "a"))
        settings = tmp_path / "settings.toml"
        settings.write_text(
            fleet._SETTINGS.format(
                number=1,
                own=address,
                public=address,
                domain="a",
                service="shop",
                store=mesh.address(200),
                memory_mb=fleet.MEMORY_MB,
                upstream_port=loopback.UPSTREAM_PORT,
                peer_port=loopback.PEER_PORT,
                caller_port=loopback.CLIENT_PORT,
                ready_port=loopback.READINESS_PORT,
                store_port=loopback.STORE_PORT,
            )
        )
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "shallotbridge.platform"],
            env=os.environ | {"SHALLOTBRIDGE_SETTINGS": str(settings)},
            stdout=subprocess.PIPE,
        )
        responses = []

        async def send():
            responses.append(
                await mesh.send_request(1, "r", **loopback.UNSPLIT_REQUEST)
            )

        with trio.fail_after(30):
            while True:
                try:
                    probe = await tcp.open_stream(
                        address, loopback.CLIENT_PORT
                    )
                    break
                except OSError:
                    await trio.sleep(0.005)
            probe.close()
            async with trio.open_nursery() as requests:
                requests.start_soon(send)
                await trio.sleep(0.2)
                upstream = store_standin.UpstreamState("i-1")
                await nursery.start(
                    store_standin.serve_upstream,
                    upstream,
                    upstream.handle_request,
                    address,
                    loopback.UPSTREAM_PORT,
                )
            process.send_signal(signal.SIGTERM)
            output = b""
            while received := await process.stdout.receive_some():
                output += received
            assert await process.wait() == 0
        nursery.cancel_scope.cancel()
    actions = [
        json.loads(line)["message_type"].partition(":")[2]
        for line in output.splitlines()
    ]
    chain = ("node_started", "view_current", "upstream_open", "run", "route")
    found = [actions.index(action) for action in chain]
    assert found == sorted(found)
    assert actions[-1] == "node_stopped"
    assert responses[0].status == 200


def test_a_signal_about_settings_does_not_end_a_starting_process():
    """Guards against a process that a change of its settings ends.

    The signal comes as soon as the module runs, before the node handles it.
    """
    code = (
        "import runpy, signal, sys; "
        "from shallotbridge.platform import deferred_imports as d; "
        "d.defer_log_library = lambda: signal.raise_signal(signal.SIGHUP); "
        "runpy.run_module('shallotbridge.platform', run_name='__main__')"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    # There is no settings file.
    assert done.returncode == 2, done.stderr
    assert "settings file" in done.stderr


def test_the_start_imports_nothing_that_only_the_log_needs():
    """Guards against imports that delay the start of each node."""
    code = (
        "import sys, shallotbridge.platform.__main__ as m; "
        "print([n for n in ('pyrsistent', 'zope') "
        "if n in sys.modules]); import eliot; eliot.log_message; "
        "print('pyrsistent' in sys.modules)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    assert done.stdout.split("\n")[:2] == ["[]", "True"], done.stderr
