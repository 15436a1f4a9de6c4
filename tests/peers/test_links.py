"""Tests of connections between nodes, over loopback."""

import collections

import pytest
import trio

from shallotbridge._generated import link
from shallotbridge.core import errors
from shallotbridge.core import memory_account
from shallotbridge.distribution import mirror
from shallotbridge.peers import frames
from shallotbridge.peers import links
from shallotbridge.peers import server
from shallotbridge.transports import tcp

MIRROR_STATE = mirror.MirrorState(position=1, digest=1, age=0.0)
MIRROR_STATES = mirror.MirrorStates(
    upstreams=MIRROR_STATE, configuration=MIRROR_STATE
)
SILENCE_SECONDS = 0.4
LOAD = link.Load(slots=1, free=1, wait_ms=0.0, is_open=True, position=5)


def _work(call_id, body=b""):
    return link.Work(
        call_id=call_id,
        upstream_id="u",
        service="shop",
        route="browse",
        request_id=f"r{call_id}",
        method="GET",
        target="/",
        headers=(),
        body=body,
        remaining_ms=1000.0,
        objective_ms=300.0,
        priority=1,
        is_idempotent=True,
        expected_ms=100.0,
        sent_at=trio.current_time(),
    )


def _answer(work):
    return link.Answer(
        call_id=work.call_id,
        status=200,
        headers=(),
        body=work.request_id.encode(),
        run_ms=1.0,
        load=LOAD,
    )


class _Peer:
    """A node that serves on loopback, and a link to it."""

    def __init__(
        self,
        run_work,
        keepalive_seconds=links.KEEPALIVE_SECONDS,
        account=None,
    ):
        self.run_work = run_work
        self.account = account
        self.keepalive_seconds = keepalive_seconds
        self.states = []
        self.positions = []
        self.silent_at = []

    async def start(self, nursery):
        async def answer_pull(pull):
            return link.Items(
                call_id=pull.call_id,
                position=9,
                is_whole=False,
                items=(),
            )

        peer_server = server.PeerServer(
            run_work=self.run_work,
            answer_pull=answer_pull,
            read_load=lambda: LOAD,
            on_position=lambda address, message: None,
            account=self.account,
        )
        self.address, self.port = await nursery.start(
            tcp.serve, "127.0.0.1", 0, peer_server.handle
        )
        self.link = links.PeerLink(
            open_stream=tcp.open_stream,
            address=self.address,
            port=self.port,
            nursery=nursery,
            read_mirror_states=lambda: MIRROR_STATES,
            on_position=lambda address, message: self.positions.append(
                message.position
            ),
            on_load_report=lambda address, load: None,
            on_reachability_changed=lambda _, is_up, why: self.states.append(
                is_up
            ),
            on_silent=lambda _: self.silent_at.append(trio.current_time()),
            silence_seconds=SILENCE_SECONDS,
            keepalive_seconds=self.keepalive_seconds,
        )


async def test_replies_out_of_order_reach_their_own_requests(nursery):
    """Guards against a reply that goes to another request."""
    first_may_end = trio.Event()

    async def run_work(work, delay):
        if work.call_id == 1:
            await first_may_end.wait()
        return _answer(work)

    peer = _Peer(run_work)
    await peer.start(nursery)
    bodies = []

    async def ask():
        call_id = peer.link.next_call_id()
        reply = await peer.link.exchange(_work(call_id))
        bodies.append((call_id, reply.body))
        first_may_end.set()

    with trio.fail_after(5):
        async with trio.open_nursery() as callers:
            callers.start_soon(ask)
            await trio.testing.wait_all_tasks_blocked(0.05)
            callers.start_soon(ask)
    assert bodies == [(2, b"r2"), (1, b"r1")]
    assert 5 in peer.positions


async def test_a_cancelled_request_is_cancelled_at_the_peer(nursery):
    """Guards against upstreams that run requests of departed callers."""
    started = trio.Event()
    ended = trio.Event()

    async def run_work(work, delay):
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            ended.set()

    peer = _Peer(run_work)
    await peer.start(nursery)
    with trio.fail_after(5):
        async with trio.open_nursery() as callers:
            callers.start_soon(
                peer.link.exchange, _work(peer.link.next_call_id())
            )
            await started.wait()
            callers.cancel_scope.cancel()
        await ended.wait()


async def test_a_refused_connection_means_not_run(nursery):
    """Guards against an unknown outcome although nothing was sent."""
    peer = _Peer(None)
    await peer.start(nursery)
    with trio.socket.socket() as unused:
        await unused.bind(("127.0.0.1", 0))
        peer.link._port = unused.getsockname()[1]
        with pytest.raises(errors.UpstreamUnreachableError):
            await peer.link.exchange(_work(1))
    assert peer.states == [False]


async def test_a_connection_lost_in_flight_leaves_the_outcome_unknown(
    nursery,
):
    """Guards against reporting "not run" when the peer may have run it."""
    peer = _Peer(None)
    await peer.start(nursery)

    async def reset(stream):
        await stream.receive_some()

    peer.link._port = (await nursery.start(tcp.serve, "127.0.0.1", 0, reset))[
        1
    ]
    with trio.fail_after(5), pytest.raises(errors.OutcomeUnknownError):
        await peer.link.exchange(_work(1))


async def test_an_unresponsive_peer_is_suspected_and_then_disconnected(
    nursery,
):
    """Guards against requests that wait for an unreachable peer."""
    peer = _Peer(None)
    await peer.start(nursery)

    async def never_reply(stream):
        await trio.sleep_forever()

    peer.link._port = (
        await nursery.start(tcp.serve, "127.0.0.1", 0, never_reply)
    )[1]
    started = trio.current_time()
    with trio.fail_after(10), pytest.raises(errors.OutcomeUnknownError):
        await peer.link.exchange(_work(1))
    assert trio.current_time() - started < 3 * links.PEER_TIMEOUT_SECONDS
    assert peer.states[:2] == [True, False]


def _pull(peer):
    return link.Pull(
        call_id=peer.link.next_call_id(), position=9, wait_ms=1000
    )


@pytest.mark.parametrize(
    "keepalive_seconds",
    [links.KEEPALIVE_SECONDS, links.BULK_KEEPALIVE_SECONDS],
)
async def test_silence_is_reported_in_time(nursery, keepalive_seconds):
    """Guards against a pull that waits for a frozen node (CONFIG).

    A node that was frozen kept its children waiting for up to 2.5 s.
    """
    peer = _Peer(None, keepalive_seconds)
    await peer.start(nursery)

    async def never_reply(stream):
        await trio.sleep_forever()

    peer.link._port = (
        await nursery.start(tcp.serve, "127.0.0.1", 0, never_reply)
    )[1]
    started_at = trio.current_time()
    with pytest.raises(errors.OutcomeUnknownError):
        await peer.link.exchange(_pull(peer))
    assert len(peer.silent_at) == 1
    assert peer.silent_at[0] - started_at <= (
        links.silence_detection_seconds(keepalive_seconds, SILENCE_SECONDS)
        + 0.05
    )


async def test_a_large_item_in_transfer_is_no_silence(nursery):
    """Guards against a parent that is given up while it sends a large item.

    A configuration of 2,300 routes takes a second on a link of 5 Mbit/s, and
    the answers to pings wait behind it.
    """
    peer = _Peer(None, links.BULK_KEEPALIVE_SECONDS)
    await peer.start(nursery)
    chunks = 15

    async def reply_slowly(stream):
        reader = frames.FrameReader(stream=stream)
        pull = await reader.read()
        value = b"x" * 60000
        frame = frames.encode_frame(
            link.Items(
                call_id=pull.call_id,
                position=10,
                is_whole=True,
                items=(link.PublishedItem(key="a", revision=1, value=value),),
            )
        )
        size = -(-len(frame) // chunks)
        for start in range(0, len(frame), size):
            await stream.send_all(frame[start : start + size])
            await trio.sleep(0.1)
        await trio.sleep_forever()

    peer.link._port = (
        await nursery.start(tcp.serve, "127.0.0.1", 0, reply_slowly)
    )[1]
    reply = await peer.link.exchange(_pull(peer))
    assert reply.position == 10
    assert peer.silent_at == []


async def test_a_frozen_peer_is_noticed_before_it_is_used(nursery):
    """Guards against a wait for a node that accepts connections only."""
    peer = _Peer(None)
    await peer.start(nursery)
    is_frozen = True

    async def reply_once_thawed(stream):
        reader = frames.FrameReader(stream=stream)
        while await reader.read() is not None:
            if not is_frozen:
                await stream.send_all(
                    frames.encode_frame(link.Pong(load=LOAD))
                )

    peer.link._port = (
        await nursery.start(tcp.serve, "127.0.0.1", 0, reply_once_thawed)
    )[1]
    started_at = trio.current_time()
    assert not await peer.link.responds()
    assert trio.current_time() - started_at < SILENCE_SECONDS
    is_frozen = False
    assert await peer.link.responds()


class _StepCounter(trio.abc.Instrument):
    def __init__(self):
        self.steps = 0

    def before_task_step(self, task):
        self.steps += 1


async def test_a_connection_without_calls_needs_no_cpu_time(nursery):
    """Guards against timers for each peer of a large fleet.

    A node has connections to all nodes of its fleet, most of them idle.
    """

    async def run_work(work, delay):
        return _answer(work)

    peers = [_Peer(run_work) for _ in range(10)]
    for peer in peers:
        await peer.start(nursery)
        await peer.link.exchange(_work(1))
    await trio.sleep(3 * links.KEEPALIVE_SECONDS)
    counter = _StepCounter()
    trio.lowlevel.add_instrument(counter)
    await trio.sleep(10 * links.KEEPALIVE_SECONDS)
    trio.lowlevel.remove_instrument(counter)
    assert counter.steps < 10


async def test_liveness_checks_resume_with_the_next_call(nursery):
    """Guards against a peer that becomes unresponsive after idle time.

    The task that pings the peer must wake up with the next call.
    """
    may_respond = True

    async def run_work(work, delay):
        if not may_respond:
            await trio.sleep_forever()
        return _answer(work)

    peer = _Peer(run_work)
    await peer.start(nursery)
    await peer.link.exchange(_work(1))
    await trio.sleep(3 * links.KEEPALIVE_SECONDS)
    may_respond = False
    with trio.move_on_after(4 * links.KEEPALIVE_SECONDS):
        await peer.link.exchange(_work(2))
    # The peer runs and answers the pings that the waiting call causes.
    assert peer.link._last_received_at > peer.link._last_used_at


async def test_malformed_bytes_end_only_their_connection(nursery):
    """Guards against a stray client that stops the node's server."""

    async def run_work(work, delay):
        return _answer(work)

    peer = _Peer(run_work)
    await peer.start(nursery)
    with trio.fail_after(5):
        stream = await tcp.open_stream(peer.address, peer.port)
        await stream.send_all(b"GET / HTTP/1.1\r\n\r\n" * 10)
        assert await stream.receive_some() == b""
        reply = await peer.link.exchange(_work(1))
    assert reply.status == 200


async def test_network_delay_is_relative_to_the_fastest_message():
    """Guards against running a request whose caller has left already."""
    delays = server._TransitDelays()
    now = trio.current_time()
    assert delays.measure(now + 100.0) == 0.0
    assert delays.measure(now + 99.0) == pytest.approx(1.0, abs=0.05)


def test_a_frame_beyond_the_limit_is_rejected():
    """Guards against a length prefix that would exhaust the memory."""

    class _Stream:
        async def receive_some(self, max_bytes):
            return b"\xff" * 8

    async def read():
        await frames.FrameReader(stream=_Stream()).read()

    with pytest.raises(errors.MalformedFrameError):
        trio.run(read)


@pytest.mark.parametrize(
    "content",
    [
        b"\x91" * 100_000,
        frames.encode_frame(link.Pong(load=None))[4:],
        frames.encode_frame(link.Cancel(call_id=1))[4:],
        b"\xc1",
        b"",
    ],
)
async def test_a_malformed_reply_does_not_end_the_node(nursery, content):
    """Guards against a faulty peer that stops other nodes.

    A peer replies with deeply nested arrays, with fields of another type or
    with a message that is no reply.
    """

    async def handle(stream):
        await stream.receive_some()
        size = len(content).to_bytes(4, "big")
        await stream.send_all(size + content)
        await stream.receive_some()

    _, port = await nursery.start(tcp.serve, "127.0.0.1", 0, handle)
    faulty = links.PeerLink(
        open_stream=tcp.open_stream,
        address="127.0.0.1",
        port=port,
        nursery=nursery,
        read_mirror_states=lambda: MIRROR_STATES,
        on_position=lambda address, message: None,
        on_load_report=lambda address, load: None,
        on_reachability_changed=lambda address, is_reachable, reason: None,
    )
    with trio.move_on_after(0.5):
        try:
            reply = await faulty.exchange(_work(1))
        except errors.OutcomeUnknownError:
            pass
        else:
            assert not isinstance(reply, link.Answer)
    # The nursery of the node's tasks still runs.
    with trio.fail_after(1.0):
        await nursery.start(_started)


async def _started(task_status):
    task_status.started()


async def test_a_node_without_cpu_time_suspects_no_peer(nursery):
    """Guards against an overloaded node that avoids healthy peers.

    Overloaded nodes of 0.43 cores read the answers to their pings late, so
    that the peers seemed slow (kozmisir-mesh-grown scale-1). Here the whole
    process is blocked for half a second after a ping.
    """
    may_respond = trio.Event()

    async def run_work(work, delay):
        await may_respond.wait()
        return _answer(work)

    peer = _Peer(run_work)
    await peer.start(nursery)
    ping_sent = trio.Event()
    send_ping = peer.link._send_ping

    def send_ping_and_notify(writer, now):
        send_ping(writer, now)
        ping_sent.set()

    peer.link._send_ping = send_ping_and_notify

    async def block_process():
        await ping_sent.wait()
        until = trio.current_time() + 0.5
        while trio.current_time() < until:
            pass
        await trio.sleep(3 * links.KEEPALIVE_SECONDS)
        may_respond.set()

    nursery.start_soon(block_process)
    with trio.fail_after(5):
        await peer.link.exchange(_work(1))
    assert False not in peer.states


@pytest.mark.parametrize(
    "keepalive_seconds",
    [links.KEEPALIVE_SECONDS, links.BULK_KEEPALIVE_SECONDS],
)
async def test_a_long_poll_causes_few_pings(nursery, keepalive_seconds):
    """Guards against pings that cost more than the awaited changes.

    A long poll for changes of the configuration takes 1.5 s on a separate
    connection, where one is in flight most of the time.
    """

    async def run_work(work, delay):
        await trio.sleep(1.5)
        return _answer(work)

    peer = _Peer(run_work, keepalive_seconds)
    await peer.start(nursery)
    with trio.fail_after(5):
        await peer.link.exchange(_work(peer.link.next_call_id()))
    # Each answer to a ping has a position, and so has the reply.
    assert 1 < len(peer.positions) <= 1.5 / keepalive_seconds + 1


async def test_small_requests_find_room_beside_large_ones(nursery):
    """Guards against a crowd that shuts out all callers of its entry node.

    All requests of an entry node come on one connection, and the large ones
    may take the share of that connection.
    """
    all_may_end = trio.Event()

    async def run_work(work, delay):
        if work.body:
            await trio.sleep_forever()
        await all_may_end.wait()
        return _answer(work)

    account = memory_account.MemoryAccount(limit_bytes=20_000_000)
    peer = _Peer(run_work, account=account)
    await peer.start(nursery)
    types_by_size = collections.defaultdict(list)

    async def ask(size):
        call_id = peer.link.next_call_id()
        reply = await peer.link.exchange(_work(call_id, bytes(size)))
        types_by_size[size].append(type(reply))

    with trio.fail_after(5):
        async with trio.open_nursery() as callers:
            # The smaller ones fill what is left beside the larger ones.
            for size in (500_000, 70_000):
                for _ in range(60):
                    callers.start_soon(ask, size)
                while not types_by_size[size]:
                    await trio.sleep(0.01)
            for _ in range(40):
                callers.start_soon(ask, 0)
            await trio.testing.wait_all_tasks_blocked(0.05)
            all_may_end.set()
            while len(types_by_size[0]) < 40:
                await trio.sleep(0.01)
            callers.cancel_scope.cancel()
    assert types_by_size[500_000][0] is link.Refusal
    assert set(types_by_size[0]) == {link.Answer}
    nursery.cancel_scope.cancel()
