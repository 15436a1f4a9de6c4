"""Tests of the client of the platform's store."""

import base64
import json

import msgspec
import pytest
import trio

from shallotbridge.core import errors
from shallotbridge.core import model
from shallotbridge.distribution import positions
from shallotbridge.platform import store

from tests.platform import test_items


async def test_paged_read_returns_the_lowest_revision_of_its_pages():
    """Guards against changes that no later watch reports.

    The second page of a stale read can come from a replica that is further
    behind than that of the first page. A watch from the first page's revision
    misses removals, and nodes keep sending requests to a removed upstream.
    """
    pages = [
        {
            "items": [{"key": "servers/a", "revision": 4, "value": "e30="}],
            "has_more": True,
            "at": 10,
        },
        {
            "items": [{"key": "servers/b", "revision": 5, "value": "e30="}],
            "has_more": False,
            "at": 7,
        },
    ]

    async def get(path, query, response_type, seconds, prefix="", **_):
        return msgspec.convert(pages.pop(0), response_type)

    client = store.StoreClient(open_stream=None, address="10.0.0.1", port=1)
    client._get = get
    items, position = await client.read_all(may_be_stale=True)
    assert [item.key for item in items] == ["servers/a", "servers/b"]
    assert position == 7


class _HttpClient:
    """Returns prepared responses in turn."""

    def __init__(self, *responses):
        self._responses = list(responses)
        self.targets = []

    async def exchange(self, request, *, deadline_at, stall_seconds):
        self.targets.append(request.target)
        era, status, document = self._responses.pop(0)
        headers = ()
        if era is not None:
            headers = (model.Header(name="store-era", value=era),)
        return model.Response(
            status=status, headers=headers, body=json.dumps(document).encode()
        )


def _client(*responses):
    client = store.StoreClient(open_stream=None, address="10.0.0.1", port=1)
    client._http_client = _HttpClient(*responses)
    return client


def _page(key, revision, has_more=False):
    item = {"key": key, "revision": revision, "value": "e30="}
    return {"items": [item], "has_more": has_more, "at": revision}


async def test_pages_of_two_eras_are_not_mixed():
    """Guards against a copy of which half was lost by a restore."""
    client = _client(
        ("1", 200, _page("servers/a", 90, has_more=True)),
        ("2", 200, _page("servers/b", 20)),
        ("2", 200, _page("servers/a", 20, has_more=True)),
        ("2", 200, _page("servers/b", 21)),
    )
    items, position = await client.read_all()
    assert [item.key for item in items] == ["servers/a", "servers/b"]
    assert position == positions.make_position(2, 20)
    assert items[1].revision == positions.make_position(2, 21)


async def test_a_watch_that_crosses_a_restore_is_not_continued():
    """Guards against changes that are missed in silence.

    The restored store has given out the revision again, so it answers a
    watch from the earlier one without a 410.
    """
    events = {"events": [{"key": "a", "revision": 16, "value": ""}], "at": 16}
    client = _client(("2", 200, events), ("2", 200, events))
    with pytest.raises(errors.HistoryLostError):
        await client.watch(positions.make_position(1, 15), 1.0)
    items, position = await client.watch(positions.make_position(2, 15), 1.0)
    assert "after=15" in client._http_client.targets[1]
    assert position == items[0].revision == positions.make_position(2, 16)


@pytest.mark.parametrize("era", [None, "", "0", "-3", "x", "9" * 5000, "٣"])
async def test_an_odd_era_is_taken_as_the_latest_known_one(era, monkeypatch):
    """Guards against a reader that stops at an answer without an era."""
    lines = []
    monkeypatch.setattr(
        store.decisions,
        "record",
        lambda action, **fields: lines.append(action),
    )
    client = _client(
        ("4", 200, _page("a", 5)), *[(era, 200, _page("a", 6))] * 3
    )
    await client.read_all()
    for _ in range(3):
        _, position = await client.read_all()
        assert position == positions.make_position(4, 6)
    assert lines == ["store_era_unknown"]


async def test_odd_entries_do_not_end_the_first_read_of_nodes():
    """Guards against a node that never starts because of one odd entry."""
    entry = dict(test_items.ENTRY)
    values = [
        entry | {"address": "10.1.0.9:" + "1" * 5000},
        entry | {"born": 10**300},
        entry,
    ]
    page = {
        "items": [
            {
                "key": f"servers/{number}",
                "revision": number,
                "value": base64.b64encode(json.dumps(value).encode()).decode(),
            }
            for number, value in enumerate(values)
        ],
        "at": 9,
    }
    client = _client(("1", 200, page))
    assert await client.read_nodes() == [("10.1.0.9", "cairo-a")]


class _SlowStream:
    """Receives parts of an answer with a pause before each."""

    def __init__(self, parts):
        self._parts = parts

    async def send_some(self, data):
        return len(data)

    async def receive_some(self, maximum_bytes):
        pause, part = self._parts.pop(0)
        await trio.sleep(pause)
        return part

    def close(self):
        pass


async def _read_from_slow_store(pauses):
    value = base64.b64encode(b"x" * 100_000).decode()
    item = {"key": "op/config", "revision": 4, "value": value}
    body = json.dumps({"items": [item], "has_more": False, "at": 4}).encode()
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body)
    answer += body
    size = len(answer) // len(pauses) + 1

    async def open_stream(address, port):
        return _SlowStream(
            [
                (pause, answer[index * size : (index + 1) * size])
                for index, pause in enumerate(pauses)
            ]
        )

    client = store.StoreClient(
        open_stream=open_stream, address="10.0.0.1", port=1
    )
    items, _ = await client.read_all(prefix="op/")
    return items


async def test_a_large_read_on_a_slow_link_is_completed(autojump_clock):
    """Guards against readers that all give up a read that makes progress.

    Then no node of the failure domain gets the new configuration.
    """
    items = await _read_from_slow_store([0.5] * 8)
    assert len(items[0].value) == 100_000


async def test_a_read_that_stalls_is_given_up(autojump_clock):
    """Guards against a reader that waits for a connection that fell silent."""
    began_at = trio.current_time()
    with pytest.raises(errors.PlatformUnavailableError):
        await _read_from_slow_store([0.5, 60.0])
    assert trio.current_time() - began_at < 2.0
