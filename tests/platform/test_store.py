"""Tests of the client of the platform's store."""

import msgspec

from shallotbridge.platform import store


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

    async def get(path, query, response_type, seconds, prefix=""):
        return msgspec.convert(pages.pop(0), response_type)

    client = store.StoreClient(open_stream=None, address="10.0.0.1", port=1)
    client._get = get
    items, position = await client.read_all(may_be_stale=True)
    assert [item.key for item in items] == ["servers/a", "servers/b"]
    assert position == 7
