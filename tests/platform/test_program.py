"""Tests of the program that runs a node, as a process."""

import copy
import json
import os
import signal
import subprocess
import sys

import trio

from shallotbridge.core import decisions
from shallotbridge.transports import tcp
from standins import store as store_standin

from tests.platform import test_items
from tests.runtime import loopback

SETTINGS = """
[self]
node_name = "node-1"
ip_address = "{address}"
zone = "a"
application_address = "{address}:{upstream}"
service = "shop"
[network]
internal_port_range = [{peer}, {peer}]
[network.listen_addresses]
outbound = "{address}:{client}"
ready = "{address}:{ready}"
[platform.platform]
address = "{store}:{store_port}"
[terms.bounds]
grace_period = "2s"
config_apply = "2000ms"
retry_budget_ratio = 0.2
budget_window = "10s"
retry_budget_slack = 56
"""


async def test_a_request_during_the_start_is_served_and_the_log_is_whole(
    tmp_path,
):
    """Guards against refusals while a node starts, and against lost lines.

    The upstream accepts connections only after the request has come. Lines
    from before the log library is loaded are written in order; the process
    starts without the libraries that only the log needs.
    """
    async with trio.open_nursery() as nursery:
        mesh = loopback.LoopbackMesh(nursery)
        address = mesh.address(1)
        await nursery.start(
            tcp.serve,
            mesh.address(200),
            loopback.STORE_PORT,
            store_standin.make_handler(mesh.store.handle_request),
        )
        configuration = copy.deepcopy(test_items.CONFIGURATION)
        rule = configuration["listeners"][0]["rules"][0]
        rule["target_latency"] = rule["action"]["timeout"] = "9s"
        mesh.store.put("op/config", configuration)
        mesh.store.put("servers/i-1", mesh.make_entry(1, "a"))
        settings = tmp_path / "settings.toml"
        settings.write_text(
            SETTINGS.format(
                address=address,
                store=mesh.address(200),
                upstream=loopback.UPSTREAM_PORT,
                peer=loopback.PEER_PORT,
                client=loopback.CLIENT_PORT,
                ready=loopback.READINESS_PORT,
                store_port=loopback.STORE_PORT,
            )
        )
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "shallotbridge.platform"],
            env=os.environ | {"SHALLOTBRIDGE_SETTINGS": str(settings)},
            stdout=subprocess.PIPE,
        )
        responses = []
        accepted = trio.Event()

        async def send():
            while not accepted.is_set():
                try:
                    stream = await tcp.open_stream(
                        address, loopback.CLIENT_PORT
                    )
                except OSError:
                    await trio.sleep(0.005)
                else:
                    stream.close()
                    accepted.set()
            responses.append(
                await mesh.send_request(1, "r", **loopback.UNSPLIT_REQUEST)
            )

        with trio.fail_after(30):
            async with trio.open_nursery() as requests:
                requests.start_soon(send)
                await accepted.wait()
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
    lines = [json.loads(line) for line in output.splitlines()]
    actions = [
        line["message_type"].removeprefix(decisions.MESSAGE_PREFIX)
        for line in lines
    ]
    chain = ("node_started", "view_current", "upstream_open", "run", "route")
    found = [actions.index(action) for action in chain]
    assert found == sorted(found)
    assert actions[-1] == "node_stopped"
    assert len({line["task_uuid"] for line in lines}) == len(lines)
    assert responses[0].status == 200


def test_the_start_imports_nothing_that_only_the_log_needs():
    """Guards against imports that delay the start of each node."""
    code = (
        "import sys, shallotbridge.platform.__main__ as m; "
        "print([n for n in ('pyrsistent', 'zope', 'typing_extensions') "
        "if n in sys.modules]); import eliot; eliot.log_message; "
        "import typing_extensions; print('pyrsistent' in sys.modules)"
    )
    done = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True
    )
    assert done.stdout.split("\n")[:2] == ["[]", "True"], done.stderr
