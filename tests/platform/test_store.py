"""Reads of the platform's store."""

import msgspec

from shallotbridge.platform import store


# Requests for an upstream whose removal a first read in pages has missed.
async def test_a_read_in_pages_is_as_old_as_its_oldest_page():
    """Guards against changes that no later watch tells.

    Pattern: the second page of a cheap read comes from a replica that is
    further behind than that of the first page.
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

    async def get(path, query, answer_type, seconds, prefix=""):
        return msgspec.convert(pages.pop(0), answer_type)

    client = store.Store(open_stream=None, address="10.0.0.1", port=1)
    client._get = get
    items, position = await client.read_all(may_be_stale=True)
    assert [item.key for item in items] == ["servers/a", "servers/b"]
    assert position == 7
