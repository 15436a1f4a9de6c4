"""Tests of customers and quotas at complete nodes on loopback addresses."""

import contextlib

import eliot
import trio

from tests.platform import test_items
from tests.runtime import loopback

KEY = "key-of-acme-1"
RATE = 2.0
BURST = 6.0


@contextlib.asynccontextmanager
async def _start_mesh(count, **changes):
    """Start a mesh whose configuration has a customer ``acme``."""
    async with loopback.start_mesh(count) as mesh:
        await _publish(mesh, 8, **changes)
        yield mesh


async def _publish(mesh, version, **changes):
    customer = {
        "name": "acme",
        "api_keys": [KEY],
        "rate_per_s": RATE,
        "burst": BURST,
    }
    mesh.store.put(
        "op/config",
        test_items.CONFIGURATION
        | {"version": version, "tenants": [customer | changes]},
    )
    await loopback.wait_until(
        lambda: all(
            node.read_view().configuration.version == version
            for node in mesh.nodes
        )
    )


async def _send(mesh, number, request_id, key=KEY):
    return await mesh.send_request(
        number,
        request_id,
        headers=(("x-api-key", key),),
        **loopback.UNSPLIT_REQUEST,
    )


async def test_a_quota_holds_over_all_nodes():
    """Guards against a quota for each node instead of one for all."""
    async with _start_mesh(3) as mesh:
        started = trio.current_time()
        responses = [
            await _send(mesh, index % 3 + 1, f"r{index}")
            for index in range(24)
        ]
        elapsed = trio.current_time() - started
        served = [each for each in responses if each.status == 200]
        refused = [each for each in responses if each.status == 429]
        assert len(served) + len(refused) == 24
        assert BURST <= len(served) <= BURST + RATE * elapsed + 1
        assert all(float(each.header("retry-after")) > 0 for each in refused)
        assert sum(len(each.requests) for each in mesh.upstreams) == len(
            served
        )
        request = mesh.upstreams[0].requests[0]
        assert request.header("tenant-name") == "acme"
        assert request.header("x-api-key") is None


async def test_requests_pass_while_the_home_node_is_frozen():
    """Guards against customers that are refused until a node is back."""
    async with _start_mesh(3, rate_per_s=40, burst=40) as mesh:
        order = mesh.nodes[0]._quotas._order
        home = order.candidates("acme", lambda address: False)[0]
        number = int(home.rpartition(".")[2])
        entry = number % 3 + 1
        mesh.freeze(mesh.nodes[number - 1])
        with trio.fail_after(8):
            served = attempts = 0
            while served < 5:
                attempts += 1
                response = await _send(mesh, entry, f"r{attempts}")
                assert response.status in (200, 429, 502, 503)
                served += response.status == 200
                await trio.sleep(0.02)


async def test_a_revoked_key_gets_401_and_no_output_has_a_key():
    """Guards against keys that outlast their revocation, or leave traces."""
    lines = []
    eliot.add_destinations(lines.append)
    try:
        async with _start_mesh(2) as mesh:
            seen = [await _send(mesh, 1, "r1"), await _send(mesh, 2, "r2")]
            assert [each.status for each in seen] == [200, 200]
            # The shared key rejects this version; the one before stays.
            mesh.store.put(
                "op/config",
                test_items.CONFIGURATION
                | {
                    "version": 9,
                    "tenants": [
                        {"name": name, "api_keys": [KEY]} for name in "ab"
                    ],
                },
            )
            await loopback.wait_until(
                lambda: any("SB-2011" in repr(line) for line in lines)
            )
            seen.append(await _send(mesh, 1, "r3"))
            assert seen[-1].status == 200
            await _publish(mesh, 10, api_keys=["key-of-acme-2"])
            seen.append(await _send(mesh, 1, "r4"))
            seen.append(await _send(mesh, 1, "r5", "key-of-acme-2"))
            assert [each.status for each in seen[-2:]] == [401, 200]
            metrics = [node._metrics.render() for node in mesh.nodes]
            upstreams = [each.requests for each in mesh.upstreams]
    finally:
        eliot.remove_destination(lines.append)
    assert lines
    assert "shallotbridge_quota_questions_total" in metrics[0]
    for found in (lines, seen, metrics, upstreams):
        assert "key-of-acme" not in repr(found)
