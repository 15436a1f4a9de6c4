"""Read-only client of the platform's store."""

import base64
import binascii
import errno
import functools
import math
import urllib.parse

import msgspec
import trio

from .._generated import link
from ..core import decisions
from ..core import errors
from ..distribution import follower
from ..distribution import positions
from . import items
from . import names
from ..traffic import upstream_client

# Timeout of a range read, and of a watch in addition to its wait time. The
# store usually responds in 4 ms; on slow days in some hundred milliseconds.
RESPONSE_TIMEOUT_SECONDS = 1.0
# Timeout of a read whose response keeps arriving. A configuration of 2,400
# routes takes seconds on a link of 5 Mbit/s that also carries requests; with
# RESPONSE_TIMEOUT_SECONDS for the whole read, all readers of a failure domain
# gave up in turn and none got the configuration.
READ_TIMEOUT_SECONDS = 10.0
# How often a read of several pages starts again because the store was restored
# between two pages.
MAXIMUM_READ_RESTARTS = 3
_MAXIMUM_ERA_DIGITS = 9


class _Item(msgspec.Struct):
    key: str
    revision: int
    # Base64; absent in deletion events.
    value: str | None = None
    deleted: bool = False


class _Response(msgspec.Struct, kw_only=True):
    # From the header, not the body.
    era: int = positions.FIRST_ERA


class _RangeResponse(_Response):
    items: list[_Item]
    # Revision of the store when it created this page.
    at: int
    has_more: bool = False


class _EventsResponse(_Response):
    events: list[_Item]
    at: int


class StoreClient:
    """Reads and watches items of the platform's store.

    Parameters
    ----------
    open_stream : callable
        ``await open_stream(address, port)``.
    address : str
    port : int
    """

    def __init__(self, *, open_stream, address, port):
        self._host_header = f"{address}:{port}"
        self._latest_era = positions.FIRST_ERA
        self._is_era_logged = False
        self._http_client = upstream_client.UpstreamClient(
            open_stream=open_stream,
            address=address,
            port=port,
            header_names=names.HEADER_NAMES,
        )

    def source(self, prefix):
        """Return the ``follower.ItemSource`` of a key prefix."""
        return follower.ItemSource(
            read_all=functools.partial(self.read_all, prefix=prefix),
            watch=functools.partial(self.watch, prefix=prefix),
        )

    async def read_all(self, may_be_stale=False, prefix=""):
        """Return all items and the position from which to watch.

        The pages of a read are not one snapshot, so the watch starts at the
        lowest revision of any page. Pages of two eras are never mixed.

        Parameters
        ----------
        may_be_stale : bool
            Whether items may be some seconds old. Such a read costs a tenth
            of a current one.
        prefix : str
            Limits the read to keys that begin with this.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        published_items = []
        position = None
        after = ""
        restarts = 0
        stale_ok = "1" if may_be_stale else ""
        while True:
            page = await self._get(
                "/v1/kv-range",
                {"after": after, "stale_ok": stale_ok},
                _RangeResponse,
                READ_TIMEOUT_SECONDS,
                prefix,
                stall_seconds=RESPONSE_TIMEOUT_SECONDS,
            )
            page_position = positions.make_position(page.era, page.at)
            if position is not None and (
                positions.get_era(position) != page.era
            ):
                restarts += 1
                if restarts > MAXIMUM_READ_RESTARTS:
                    raise errors.PlatformUnavailableError(
                        "the pages of a read are of different eras"
                    )
                published_items, position, after = [], None, ""
                continue
            # Pages of a stale read can have different revisions.
            position = min(page_position, position or page_position)
            published_items.extend(
                _to_published_item(item, page.era) for item in page.items
            )
            if not page.has_more or not page.items:
                return published_items, position
            after = page.items[-1].key

    async def read_position(self, may_be_stale=False):
        """Return the store's latest position.

        Reads the few items under one prefix, because each range response has
        the revision.

        Parameters
        ----------
        may_be_stale : bool
            Whether the position may be some seconds old. Such a read costs a
            tenth of a current one and does not count towards the store's
            rate limit.

        Raises
        ------
        errors.PlatformUnavailableError
        """
        page = await self._get(
            "/v1/kv-range",
            {"stale_ok": "1" if may_be_stale else ""},
            _RangeResponse,
            RESPONSE_TIMEOUT_SECONDS,
            items.OUT_OF_SERVICE_PREFIX,
        )
        return positions.make_position(page.era, page.at)

    async def read_nodes(self):
        """Return the addresses at which some upstreams are registered.

        Reads one page that may be some seconds old. That costs a tenth of a
        current read.

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
            _RangeResponse,
            RESPONSE_TIMEOUT_SECONDS,
            items.UPSTREAM_PREFIX,
        )
        upstreams = []
        for item in page.items:
            try:
                upstreams.append(
                    items.decode_item(
                        item.key, _to_published_item(item, page.era).value
                    )
                )
            except errors.MalformedEntryError:
                # The mirror reports malformed entries.
                continue
        return [
            (upstream.address, upstream.failure_domain)
            for upstream in upstreams
        ]

    async def watch(self, position, seconds, prefix=""):
        """Return the changes after a position, and the latest position.

        Parameters
        ----------
        position : int
        seconds : float
            Time to wait for a change.
        prefix : str
            Limits the watch to keys that begin with this.

        Raises
        ------
        errors.HistoryLostError
            The changes are not available, or the store has been restored
            since.
        errors.PlatformUnavailableError
        """
        response = await self._get(
            "/v1/kv-watch",
            {
                "after": str(positions.get_revision(position)),
                "wait_timeout_ms": str(int(seconds * 1000)),
            },
            _EventsResponse,
            seconds + RESPONSE_TIMEOUT_SECONDS,
            prefix,
        )
        if response.era != positions.get_era(position):
            raise errors.HistoryLostError(
                f"watch from {positions.describe(position)} answered in era "
                f"{response.era}"
            )
        return [
            _to_published_item(item, response.era) for item in response.events
        ], positions.make_position(response.era, response.at)

    async def _get(
        self,
        path,
        query,
        response_type,
        seconds,
        prefix="",
        stall_seconds=math.inf,
    ):
        parameters = {name: text for name, text in query.items() if text}
        target = f"{path}?path_prefix={prefix}"
        if parameters:
            target += "&" + urllib.parse.urlencode(parameters)
        request = upstream_client.make_request(
            method="GET", target=target, headers=(("host", self._host_header),)
        )
        try:
            response = await self._http_client.exchange(
                request,
                deadline_at=trio.current_time() + seconds,
                stall_seconds=stall_seconds,
            )
        except errors.CallError as error:
            unavailable = errors.PlatformUnavailableError(
                f"GET {path}: {error.detail}"
            )
            unavailable.is_unanswered = _is_unanswered(error)
            raise unavailable from error
        if response.status == 410:
            raise errors.HistoryLostError(f"GET {target}: 410")
        if response.status == 429:
            raise errors.PlatformRateError(f"GET {path}: 429")
        if response.status != 200:
            raise errors.PlatformUnavailableError(
                f"GET {path}: status {response.status}"
            )
        era = self._read_era(response.header(names.STORE_ERA))
        try:
            return msgspec.structs.replace(
                msgspec.json.decode(response.body, type=response_type), era=era
            )
        except (msgspec.MsgspecError, RecursionError) as error:
            raise errors.PlatformUnavailableError(
                f"GET {path}: {error}"
            ) from error

    def _read_era(self, value):
        """Return the era that an answer names, or the latest known one."""
        if (
            value is not None
            and value.isascii()
            and value.isdecimal()
            and len(value) <= _MAXIMUM_ERA_DIGITS
            and positions.FIRST_ERA <= int(value) <= positions.MAXIMUM_ERA
        ):
            era = int(value)
            self._latest_era = max(self._latest_era, era)
            return era
        if not self._is_era_logged:
            self._is_era_logged = True
            decisions.record(
                "store_era_unknown",
                found=value and value[:_MAXIMUM_ERA_DIGITS],
                chosen=self._latest_era,
            )
        return self._latest_era

    def close(self):
        """Close the connections."""
        self._http_client.close()


def _is_unanswered(error):
    """Return whether a call failed because no response arrived."""
    if isinstance(error, errors.DeadlineAfterSendError):
        return True
    # A connection whose TCP keepalive probes fail ends with ETIMEDOUT.
    connection_error = error.__cause__
    cause = None if connection_error is None else connection_error.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT


def _to_published_item(item, era):
    """Return a ``PublishedItem``; a value that is not base64 stays as is."""
    if item.deleted or item.value is None:
        value = None
    else:
        try:
            value = base64.b64decode(item.value, validate=True)
        except (binascii.Error, ValueError):
            # Written by another program; decoding the entry reports it.
            value = item.value.encode()
    return link.PublishedItem(
        key=item.key,
        revision=positions.make_position(era, item.revision),
        value=value,
    )
