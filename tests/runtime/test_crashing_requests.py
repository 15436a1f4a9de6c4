"""Tests of requests that end the upstreams that run them."""

import trio

from shallotbridge.traffic import crash_records

from tests.runtime import loopback

HARMFUL_PATH = "/browse/harmful"
# Bound of the users' deployments for what a node must know.
CONTACT_WINDOW_SECONDS = 3.0


def _run_count(mesh, target):
    return sum(
        request.target == target
        for upstream in mesh.upstreams
        for request in upstream.requests
    )


async def _check_is_served(mesh, path):
    """Check that a path is not refused; part of its route has no upstream."""
    statuses = [
        (await mesh.send_request(2, f"check-{index}", path=path)).status
        for index in range(10)
    ]
    assert 200 in statuses and 429 not in statuses


async def _send_until_three_crashes(mesh):
    """Send the harmful request to one node until it is known as such."""
    for upstream in mesh.upstreams:
        upstream.crashing_target = HARMFUL_PATH
    number = 0
    with trio.fail_after(20):
        while sum(each.crash_count for each in mesh.upstreams) < 3:
            number += 1
            await mesh.send_request(
                number % 3 + 1, f"h{number}", path=HARMFUL_PATH
            )
            await trio.sleep(0.1)


async def test_no_node_sends_on_a_request_that_ended_three_upstreams():
    """Guards against a request that takes a service down (BUDGET).

    Its client repeats it at any node with a new id. A node that had no part
    in the crashes knows within the time in which nodes learn of changes.
    """
    async with loopback.start_mesh(6) as mesh:
        await _send_until_three_crashes(mesh)
        await trio.sleep(CONTACT_WINDOW_SECONDS)
        sent_before = _run_count(mesh, HARMFUL_PATH)
        for number in range(1, 7):
            started = trio.current_time()
            response = await mesh.send_request(
                number, f"again-{number}", path=HARMFUL_PATH
            )
            assert response.status == 429
            assert float(response.header("retry-after")) > 60
            assert trio.current_time() - started < 0.5
        assert _run_count(mesh, HARMFUL_PATH) == sent_before
        await _check_is_served(mesh, "/browse/1")


async def test_a_node_that_restarts_learns_which_requests_are_refused():
    """Guards against a restart that lets a harmful request through again."""
    async with loopback.start_mesh(4) as mesh:
        await _send_until_three_crashes(mesh)
        await loopback.wait_until(
            lambda: all(
                node._crash_records.barred_count for node in mesh.nodes
            )
        )
        mesh.nodes[0].close()
        await trio.sleep(0.2)
        restarted = mesh.make_node(1, "b")
        await restarted.start(mesh.nursery)
        mesh.nodes[0] = restarted
        with trio.fail_after(CONTACT_WINDOW_SECONDS):
            while not restarted._crash_records.barred_count:
                await trio.sleep(0.02)


async def test_requests_beside_a_harmful_one_and_resets_are_not_refused():
    """Guards against bystanders that are refused.

    A frequent request with an equal content each time runs beside the
    harmful one; at one upstream, connections are reset without a crash.
    """
    async with loopback.start_mesh(4) as mesh:
        async with trio.open_nursery() as nursery:

            async def browse():
                for index in range(10_000):
                    await mesh.send_request(index % 4 + 1, f"b{index}")

            nursery.start_soon(browse)
            await trio.sleep(0.3)
            await _send_until_three_crashes(mesh)
            await trio.sleep(1.0)
            nursery.cancel_scope.cancel()
        mesh.upstreams[0].cut_response = b""
        for index in range(3 * crash_records.CRASH_LIMIT):
            await mesh.send_request(
                index % 4 + 1, f"c{index}", path="/browse/cut"
            )
        mesh.upstreams[0].cut_response = None
        await trio.sleep(1.5)
        for path in ("/browse/1", "/browse/cut"):
            await _check_is_served(mesh, path)


async def test_a_server_error_does_not_clear_a_harmful_request():
    """Guards against a harmful request that an impaired upstream answers."""
    async with loopback.start_mesh(2) as mesh:
        records = mesh.nodes[0]._crash_records
        records.on_crash([1], 1)
        for node in mesh.nodes:
            node._owner._make_fingerprint = lambda work: 1
        for upstream in mesh.upstreams:
            upstream.cut_response = (
                b"HTTP/1.1 500 Internal Server Error\r\nattempt-id: r\r\n"
                b"server-signature: s\r\ncontent-length: 0\r\n\r\n"
            )
        response = await mesh.send_request(1, "r", **loopback.UNSPLIT_REQUEST)
        assert response.status == 500
        assert records.crash_count(1) == 1


async def test_records_are_sent_only_to_nodes_that_lack_them():
    """Guards against messages that grow with old crashes."""
    async with loopback.start_mesh(4) as mesh:
        first = mesh.nodes[0]
        first._crash_records.on_crash([1, 2], 7)
        first._spread_crash_records((1, 2))
        await loopback.wait_until(
            lambda: all(len(node._crash_records) == 2 for node in mesh.nodes)
        )
        await trio.sleep(1.0)
        sent = []
        for node in mesh.nodes:
            node._crash_records.export = lambda *only: sent.append(only) or ()
        await trio.sleep(2.0)
        assert not sent
