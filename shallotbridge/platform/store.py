"""Client of the platform's store, which can only be read."""

import base64
import binascii
import errno
import functools
import urllib.parse

import msgspec
import trio

from .._generated import link
from ..core import errors
from ..distribution import follower
from . import items
from . import names
from ..traffic import upstream_client

# A range or watch answer that takes longer than this, beyond the time that a
# watch waits, is given up, s. The store answers in 4 ms; on slow days in
# some hundred ms.
ANSWER_SECONDS = 1.2


class _Item(msgspec.Struct):
    key: str
    revision: int
    # Base64; absent in events of deletions.
    value: str | None = None
    deleted: bool = False


class _Range(msgspec.Struct):
    items: list[_Item]
    # The store's revision when it made this page.
    at: int
    has_more: bool = False


class _Events(msgspec.Struct):
    events: list[_Item]
    at: int


class Store:
    """Reads and watches the platform's store.

    Parameters
    ----------
    open_stream : callable
        ``await open_stream(address, port)``.
    address : str
    port : int
    """

    def __init__(self, *, open_stream, address, port):
        self._host = f"{address}:{port}"
        self._client = upstream_client.UpstreamClient(
            open_stream=open_stream,
            address=address,
            port=port,
            names=names.HEADER_NAMES,
        )

    def source(self, prefix):
        """Return the ``follower.Source`` of the items below a prefix."""
        return follower.Source(
            read_all=functools.partial(self.read_all, prefix=prefix),
            watch=functools.partial(self.watch, prefix=prefix),
        )

    async def read_all(self, may_be_stale=False, prefix=""):
        """Return all items and the revision from which to watch.

        Pages are not a snapshot, so the watch starts at the oldest of them.

        Parameters
        ----------
        may_be_stale : bool
            The items may be some seconds old; such a read costs a tenth.
        prefix : str
            Only items whose keys begin so.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        found = []
        position = None
        after = ""
        stale_ok = "1" if may_be_stale else ""
        while True:
            page = await self._get(
                "/v1/kv-range",
                {"after": after, "stale_ok": stale_ok},
                _Range,
                ANSWER_SECONDS,
                prefix,
            )
            # Pages of a read that may be stale can come from different times.
            position = page.at if position is None else min(position, page.at)
            found.extend(_published(item) for item in page.items)
            if not page.has_more or not page.items:
                return found, position
            after = page.items[-1].key

    async def read_nodes(self):
        """Return where some upstreams are registered.

        One page, which may be some seconds old, costs a tenth of a read.

        Returns
        -------
        list of (str, str)
            Pairs of address and failure domain.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        page = await self._get(
            "/v1/kv-range",
            {"stale_ok": "1"},
            _Range,
            ANSWER_SECONDS,
            items.UPSTREAM_PREFIX,
        )
        upstreams = []
        for item in page.items:
            try:
                upstreams.append(
                    items.decode_item(item.key, _published(item).value)
                )
            except errors.MalformedEntryError:
                # The mirror reports entries that cannot be read.
                continue
        return [(one.address, one.failure_domain) for one in upstreams]

    async def watch(self, position, seconds, prefix=""):
        """Return the changes after a revision, and the newest revision.

        Parameters
        ----------
        position : int
        seconds : float
            How long to wait for a change.
        prefix : str
            Only items whose keys begin so.

        Raises
        ------
        errors.HistoryLostError
        errors.PlatformUnavailableError
        """
        answer = await self._get(
            "/v1/kv-watch",
            {
                "after": str(position),
                "wait_timeout_ms": str(int(seconds * 1000)),
            },
            _Events,
            seconds + ANSWER_SECONDS,
            prefix,
        )
        return [_published(item) for item in answer.events], answer.at

    async def _get(self, path, query, answer_type, seconds, prefix=""):
        parameters = {name: text for name, text in query.items() if text}
        target = f"{path}?path_prefix={prefix}"
        if parameters:
            target += "&" + urllib.parse.urlencode(parameters)
        request = upstream_client.make_request(
            method="GET", target=target, headers=(("host", self._host),)
        )
        try:
            response = await self._client.exchange(
                request, deadline_at=trio.current_time() + seconds
            )
        except errors.CallError as error:
            unavailable = errors.PlatformUnavailableError(
                f"GET {path}: {error.detail}"
            )
            unavailable.is_silent = _is_silence(error)
            raise unavailable from error
        if response.status == 410:
            raise errors.HistoryLostError(f"GET {target}: 410")
        if response.status == 429:
            raise errors.PlatformRateError(f"GET {path}: 429")
        if response.status != 200:
            raise errors.PlatformUnavailableError(
                f"GET {path}: status {response.status}"
            )
        try:
            return msgspec.json.decode(response.body, type=answer_type)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.PlatformUnavailableError(
                f"GET {path}: {error}"
            ) from error

    def close(self):
        """Close the connections."""
        self._client.close()


def _is_silence(error):
    """Tell whether a call failed because nothing came back."""
    if isinstance(error, errors.DeadlineAfterSendError):
        return True
    # The kernel's own probes of a connection end with this number.
    broken = error.__cause__
    cause = None if broken is None else broken.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT


def _published(item):
    """Return an item in the project's form; bytes that are no base64 stay."""
    if item.deleted or item.value is None:
        value = None
    else:
        try:
            value = base64.b64decode(item.value, validate=True)
        except (binascii.Error, ValueError):
            # Another writer's; decoding it as an entry reports it.
            value = item.value.encode()
    return link.PublishedItem(
        key=item.key, revision=item.revision, value=value
    )
