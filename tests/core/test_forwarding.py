"""Tests of the forwarding of calls to owner nodes."""

import pytest
import trio

from shallotbridge.core import errors
from shallotbridge.core import forwarding
from shallotbridge.core import model
from tests import builders
from tests.core import streams

REQUEST = model.Request(method="GET", target="/showroom/stock", headers=())


def make_call():
    return model.Call(
        request=REQUEST,
        request_id="r1",
        route=builders.make_route(),
        configuration=builders.make_configuration(),
        deadline=trio.current_time() + 1,
        retries_left=1,
    )


@pytest.mark.parametrize(
    "code, outcome, expected",
    [
        ("SB-3004", "not-run", errors.OverloadedError),
        ("SB-3012", "unknown", errors.OutcomeUnknownError),
        ("SB-3012", "not-run", errors.AnswerMismatchError),
        ("SB-1001", "not-run", errors.AnswerMismatchError),
        ("SB-9999", "not-run", errors.AnswerMismatchError),
        (None, "not-run", errors.AnswerMismatchError),
    ],
)
async def test_errors_of_the_owner_node_keep_their_type(
    nursery, autojump_clock, code, outcome, expected
):
    """Guards against "not run" that the owner node did not guarantee."""
    headers = [model.Header(name="x-shallotbridge-outcome", value=outcome)]
    if code:
        headers.append(model.Header(name="x-shallotbridge-code", value=code))

    async def behave(server, stream, reader):
        request = await server.run(reader)
        await stream.send_all(
            streams.answer_bytes(request, 503, tuple(headers))
        )

    server = streams.CountingServer(nursery, behave)
    forwarder = forwarding.Forwarder(open_stream=server.open_stream)
    with pytest.raises(errors.CallError) as caught:
        await forwarder.forward(builders.make_host(), make_call())
    assert type(caught.value) is expected


async def test_idle_connections_are_bounded_over_all_owners(
    nursery, autojump_clock
):
    """Guards against a node that keeps connections to all owner nodes."""
    run = (model.Header(name="x-shallotbridge-outcome", value="run"),)

    async def behave(server, stream, reader):
        while request := await server.run(reader):
            await stream.send_all(streams.answer_bytes(request, 200, run))

    server = streams.CountingServer(nursery, behave)
    forwarder = forwarding.Forwarder(open_stream=server.open_stream)
    for number in range(40):
        host = builders.make_host(f"h{number}", address=f"127.0.1.{number}")
        await forwarder.forward(host, make_call())
    assert forwarder.idle_count == forwarding.MAXIMUM_IDLE_CONNECTIONS
    await forwarder.close()
