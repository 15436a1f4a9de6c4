"""Tests of the chain from the start of a node to its first view."""

import trio

from shallotbridge.transports import tcp
from standins import store as store_standin

from tests.platform import test_items
from tests.runtime import loopback


async def test_the_configuration_is_read_beside_the_upstreams():
    """Guards against a first view that waits for two reads in turn.

    The store answers the current read of the upstreams only when that of the
    configuration has come. Nothing is sent to the upstream before both.
    """
    async with trio.open_nursery() as nursery:
        mesh = loopback.LoopbackMesh(nursery)
        configuration_read = trio.Event()

        async def respond(request):
            if "stale_ok" not in request.target:
                if "path_prefix=op/" in request.target:
                    configuration_read.set()
                elif "kv-range" in request.target:
                    assert not mesh.upstreams[0].requests
                    await configuration_read.wait()
            return await mesh.store.handle_request(request)

        await nursery.start(
            tcp.serve,
            mesh.address(200),
            loopback.STORE_PORT,
            store_standin.make_handler(respond),
        )
        mesh.store.put("op/config", test_items.CONFIGURATION)
        await mesh._start_host(1, "a")
        await loopback.wait_until(lambda: mesh.nodes[0].is_ready)
        node = mesh.nodes[0]
        assert node._configuration_follower.platform_call_count <= 2
        response = await mesh.send_request(1, "r")
        assert response.status == 200
        node.close()
        nursery.cancel_scope.cancel()
