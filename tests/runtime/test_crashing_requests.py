"""Tests of requests that end the upstreams that run them."""

import collections
import itertools

import pytest
import trio

from shallotbridge.traffic import crash_records

from tests.runtime import loopback

HARMFUL_PATH = "/browse/harmful"
# Bound of the users' deployments for what a node must know.
CONTACT_WINDOW_SECONDS = 3.0


def _run_count(mesh, path):
    return sum(
        request.target.partition("?")[0] == path
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


def _crash_count(mesh):
    return sum(upstream.crash_count for upstream in mesh.upstreams)


async def _send_until_crashes(
    mesh, count=3, make_options=None, upstreams=None
):
    """Send the harmful request until it has ended some upstreams.

    Parameters
    ----------
    upstreams : list, optional
        Those that it ends; all by default.
    make_options : callable, optional
        ``make_options(number)`` returns options of the request.
    """
    for upstream in mesh.upstreams if upstreams is None else upstreams:
        upstream.crashing_paths = {HARMFUL_PATH}
    with trio.fail_after(20):
        for number in itertools.count():
            if _crash_count(mesh) >= count:
                return
            options = make_options(number) if make_options else {}
            await mesh.send_request(
                number % min(3, len(mesh.nodes)) + 1,
                f"h{number}",
                **{"path": HARMFUL_PATH} | options,
            )
            await trio.sleep(0.1)


async def test_no_node_sends_on_a_request_that_ended_three_upstreams():
    """Guards against a request that takes a service down (BUDGET).

    Its client repeats it at any node with a new id. A node that had no part
    in the crashes knows within the time in which nodes learn of changes.
    """
    async with loopback.start_mesh(6) as mesh:
        await _send_until_crashes(mesh)
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
        await _send_until_crashes(mesh)
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
            await _send_until_crashes(mesh)
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


@pytest.mark.parametrize(("status", "answered"), [(500, 500), (429, 502)])
async def test_an_error_does_not_clear_a_harmful_request(status, answered):
    """Guards against a harmful request that an impaired upstream answers."""
    async with loopback.start_mesh(2) as mesh:
        records = mesh.nodes[0]._crash_records
        records.on_crash([1], 1)
        for node in mesh.nodes:
            node._owner._make_fingerprints = lambda work: (1,)
        for upstream in mesh.upstreams:
            upstream.cut_response = (
                b"HTTP/1.1 %d Error\r\nattempt-id: r\r\n"
                b"server-signature: s\r\ncontent-length: 0\r\n\r\n" % status
            )
        response = await mesh.send_request(1, "r", **loopback.UNSPLIT_REQUEST)
        assert response.status == answered
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


def _with_another_query(number):
    return {"path": f"{HARMFUL_PATH}?page={number}"}


def _with_another_method(number):
    return {"method": ("GET", "POST", "PUT")[number % 3]}


def _with_another_host(number):
    return {"host": ("shop.example", "Shop.Example:80")[number % 2]}


@pytest.mark.parametrize(
    "make_options",
    [_with_another_query, _with_another_method, _with_another_host],
)
async def test_a_repetition_with_an_equal_path_is_refused(make_options):
    """Guards against an identity that is narrower than the rule's (BUDGET).

    The pages compare path, caller and body.
    """
    async with loopback.start_mesh(6) as mesh:
        await _send_until_crashes(mesh, make_options=make_options)
        await trio.sleep(CONTACT_WINDOW_SECONDS)
        sent_before = _run_count(mesh, HARMFUL_PATH)
        for number in range(100, 112):
            response = await mesh.send_request(
                number % 6 + 1,
                f"again-{number}",
                **{"path": HARMFUL_PATH} | make_options(number),
            )
            assert response.status == 429
        assert _run_count(mesh, HARMFUL_PATH) == sent_before
        await _check_is_served(mesh, "/browse/1")


async def test_a_request_under_which_upstreams_fall_silent_is_blamed():
    """Guards against crashes that reset no connection.

    The upstream accepts connections and answers nothing until it is back.
    """
    async with loopback.start_mesh(2) as mesh:
        for upstream in mesh.upstreams:
            upstream.crashes_silently = True
            upstream.down_seconds = 5.0
        await _send_until_crashes(mesh, 1)
        with trio.fail_after(CONTACT_WINDOW_SECONDS):
            while not any(len(node._crash_records) for node in mesh.nodes):
                await trio.sleep(0.05)


async def test_a_request_whose_upstreams_return_under_their_id_is_blamed():
    """Guards against a crash that looks like a reset.

    A health check names the id that is known; the start that the upstream
    publishes is later.
    """
    async with loopback.start_mesh(2) as mesh:
        for upstream in mesh.upstreams:
            upstream.down_seconds = 0.0
        await _send_until_crashes(mesh, 1)
        await trio.sleep(0.3)
        assert not any(len(node._crash_records) for node in mesh.nodes)
        for number, upstream in enumerate(mesh.upstreams, 1):
            if upstream.crash_count:
                mesh.store.put(
                    f"servers/i-{number}",
                    mesh.make_entry(
                        number, "ab"[number % 2], restarts=upstream.crash_count
                    ),
                )
        with trio.fail_after(CONTACT_WINDOW_SECONDS):
            while not all(len(node._crash_records) for node in mesh.nodes):
                await trio.sleep(0.02)


async def test_a_request_whose_client_leaves_is_blamed():
    """Guards against a client that leaves before its request ends upstreams.

    The upstream runs the request on.
    """
    async with loopback.start_mesh(2) as mesh:
        for upstream in mesh.upstreams:
            upstream.crashing_paths = {HARMFUL_PATH}
            upstream.seconds = 0.15
        with trio.fail_after(10):
            for number in itertools.count():
                with trio.move_on_after(0.05):
                    await mesh.send_request(
                        number % 2 + 1, f"h{number}", path=HARMFUL_PATH
                    )
                await trio.sleep(0.2)
                if _crash_count(mesh):
                    break
        await loopback.wait_until(
            lambda: all(len(node._crash_records) for node in mesh.nodes)
        )


async def test_a_node_that_was_cut_off_learns_which_requests_are_refused():
    """Guards against a node that misses the news of crashes for good."""
    async with loopback.start_mesh(4) as mesh:
        cut_off = mesh.nodes[3]
        mesh.freeze(cut_off)
        await _send_until_crashes(mesh, upstreams=mesh.upstreams[:3])
        await loopback.wait_until(
            lambda: all(
                node._crash_records.barred_count for node in mesh.nodes[:3]
            )
        )
        assert not cut_off._crash_records.barred_count
        mesh.thaw(cut_off)
        with trio.fail_after(CONTACT_WINDOW_SECONDS):
            while not cut_off._crash_records.barred_count:
                await trio.sleep(0.02)


async def test_harmful_requests_in_bursts_are_refused_and_no_others():
    """Guards against blame that one harmful request takes from another.

    Three come at once at any node, with another query each time, beside a
    frequent harmless request.
    """
    paths = [f"/browse/harmful{number}" for number in range(3)]
    statuses_by_path = collections.defaultdict(collections.Counter)
    async with loopback.start_mesh(6) as mesh:
        for upstream in mesh.upstreams:
            upstream.crashing_paths = frozenset(paths)

        async def send(path, number):
            response = await mesh.send_request(
                number % 6 + 1, f"r{path}{number}", path=f"{path}?{number}"
            )
            statuses_by_path[path][response.status] += 1

        async def send_in_bursts(seconds):
            ends_at = trio.current_time() + seconds
            async with trio.open_nursery() as nursery:
                while trio.current_time() < ends_at:
                    for path in (*paths, "/browse/1"):
                        nursery.start_soon(send, path, next(numbers))
                    await trio.sleep(0.05)

        numbers = itertools.count()
        await send_in_bursts(5.0)
        sent_before = [_run_count(mesh, path) for path in paths]
        await send_in_bursts(2.0)
        sent_after = [_run_count(mesh, path) for path in paths]
    for path, before, after in zip(paths, sent_before, sent_after):
        assert after <= before + 3
        assert statuses_by_path[path][429] > 0
    assert 429 not in statuses_by_path["/browse/1"]
