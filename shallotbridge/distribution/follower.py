"""Follows the published items, at the platform or at other nodes."""

import dataclasses
import functools
import math
import typing
import zlib

import msgspec
import trio

from .._generated import link
from ..core import decisions
from ..core import errors
from ..core import supervision
from . import mirror as mirrors
from . import tree

# What a follower keeps a copy of. Upstreams and configuration are followed
# apart: a configuration of 2,300 routes takes a second on a link of 5 Mbit/s,
# and the news that an upstream leaves must not wait behind it.
UPSTREAMS = 0
CONFIGURATION = 1
# Time that a watch waits at the platform for news, s. A lost answer is
# noticed after it, and each watch costs a call.
WATCH_SECONDS = 4.0
# Share of the time until a change has to be in force in which a reader gathers
# further changes into one call; the rest is for the way to the other nodes.
GATHER_SHARE = 0.25
# Time between reads while nothing is published yet, s.
EMPTY_SECONDS = 0.5
# A node that starts waits this long until an upstream is registered, s, before
# it reads everything: until then there is nothing to serve.
NOBODY_SECONDS = 3.0
# Time in which a node that starts tries to get a first copy from others, s.
BEGIN_SECONDS = 2.0
# An entry lapses after three reports that did not come. The last one may be
# as old as the time between two, so no entry lapses in an outage that is
# shorter than this number of reports.
LAPSE_REPORTS = 2
# Time that a node which starts waits for one node before it asks the next, s.
FIRST_PULL_SECONDS = 0.2
# Time between attempts while the platform is unavailable, s.
RETRY_SECONDS = 0.3
MAXIMUM_RETRY_SECONDS = 0.7
# A peer is asked for its revision this often, s, and asked for its items if
# it is still ahead after the delay.
GOSSIP_SECONDS = 0.5
CATCH_UP_DELAY_SECONDS = 0.3
# Longest time that a pull waits at a reader for news, s. The next pull goes
# to another reader, which covers one that lost the platform unnoticed.
PULL_WAIT_SECONDS = 1.0
PULL_TIMEOUT_SECONDS = 1.5
# Time between two lines about peers with other contents, s.
DIFFERENCE_SECONDS = 1.0
_PULL_ERRORS = (
    errors.CallError,
    errors.PeerUnavailableError,
    errors.PlatformUnavailableError,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Source:
    """How the platform is read.

    Attributes
    ----------
    read_all : callable
        ``await read_all(may_be_stale)`` returns items and their revision.
    watch : callable
        ``await watch(position, seconds)`` returns changes and their
        revision; raises ``HistoryLostError``.
    """

    read_all: typing.Callable
    watch: typing.Callable


class Follower:
    """Keeps a mirror up to date.

    Parameters
    ----------
    mirror : mirror.ItemMirror
    source : Source
    read_nodes : callable
        ``await read_nodes()`` returns pairs of address and failure domain of
        some nodes with a registered upstream; they may be old.
    on_change : callable
        Called without arguments after the mirror has changed.
    own_address : str
    own_domain : str
    peers_of : callable
        ``peers_of()`` returns pairs of address and failure domain of the
        other nodes.
    links : callable
        ``links(address)`` returns the ``PeerLink`` to a node.
    topic : int
        ``UPSTREAMS`` or ``CONFIGURATION``.
    apply_seconds : float
        Time after which a published change has to be in force.
    report_seconds : float
        Time between the reports of an upstream to the platform.
    random : random.Random
    record : callable
        ``record(action, **fields)`` writes the decision log.

    Attributes
    ----------
    is_current : bool
        Whether the mirror was up to date once since the start: a first read
        may be some seconds old.
    """

    def __init__(
        self,
        *,
        mirror,
        source,
        read_nodes,
        on_change,
        own_address,
        own_domain,
        peers_of,
        links,
        apply_seconds,
        report_seconds,
        random,
        topic=UPSTREAMS,
        record=decisions.record,
    ):
        self._mirror = mirror
        self._topic = topic
        self._read_all = source.read_all
        self._read_nodes = read_nodes
        self._watch = source.watch
        self._on_change = on_change
        self._own_address = own_address
        self._tree = tree.ReadingTree(
            own_address=own_address,
            own_domain=own_domain,
            peers_of=peers_of,
        )
        self._links = links
        self._gather_seconds = apply_seconds * GATHER_SHARE
        self._lapse_seconds = report_seconds * LAPSE_REPORTS
        self._random = random
        self._record = record
        self._is_available = True
        self._changed = trio.Event()
        self._ahead = None
        self._ahead_event = trio.Event()
        self.is_current = False
        self._became_current = trio.Event()
        self._complete_at = -math.inf
        self._difference_due_at = -math.inf
        self._outage_began_at = None
        self._outage_ended_at = -math.inf
        self.call_count = 0

    async def run(self):
        """Follow the published items until cancelled."""
        tasks = [self._follow, self._catch_up]
        if self._topic == UPSTREAMS:
            # Its pings tell the positions of all topics.
            tasks.append(self._gossip)
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(supervision.keep_running, task)

    def copy_state(self):
        """Return the ``mirror.CopyState`` of this node."""
        return mirrors.CopyState(
            position=self._mirror.position,
            digest=self._mirror.digest,
            age=trio.current_time() - self._complete_at,
        )

    async def _follow(self):
        failures = 0
        while True:
            began = trio.current_time()
            try:
                if not self._mirror.position:
                    await self._begin(failures)
                elif (parent := self.parent) is None:
                    await self._watch_once()
                else:
                    await self._pull_from_parent(parent)
            except errors.HistoryLostError:
                await self._read_whole_again()
            except errors.PlatformUnavailableError as error:
                failures += 1
                self._note_unavailable(error, began)
                self._turn_away(self._own_address)
                if not self.is_reader():
                    continue
                delay = min(
                    MAXIMUM_RETRY_SECONDS,
                    RETRY_SECONDS * 1.5 ** (failures - 1),
                )
                await trio.sleep(delay * (0.75 + 0.5 * self._random.random()))
            else:
                failures = 0

    def is_reader(self):
        """Tell whether this node watches the platform itself."""
        return self.parent is None

    @property
    def parent(self):
        """Address of the node that this one pulls from; None for a reader."""
        return self._tree.parent()

    def _turn_away(self, address):
        """Let another node read in place of one without the platform."""
        self._tree.turn_away(address)
        if address == self._own_address:
            # Nodes that wait here for news are told to go elsewhere.
            self._wake_pulls()

    async def _begin(self, failures):
        """Get the first copy, from another node if there is one.

        A read of some entries, which may be old, names nodes to pull from. A
        node that finds none reads everything, which may be old as well: the
        mirror counts as current only after a watch or a pull.
        """
        until = trio.current_time() + NOBODY_SECONDS
        nodes = []
        while not nodes and not failures and trio.current_time() < until:
            nodes = await self._read_nodes()
            if not nodes:
                await trio.sleep(EMPTY_SECONDS)
        with trio.move_on_after(BEGIN_SECONDS):
            if await self._pull_first(self._tree.first_parents(nodes)):
                return
        await self._read_whole(may_be_stale=not failures)

    async def _pull_first(self, addresses):
        """Ask nodes in turn until one that is up to date has answered."""
        while addresses:
            for address in list(addresses):
                try:
                    await self.pull(address, FIRST_PULL_SECONDS)
                except errors.PeerUnavailableError:
                    # It has just started too and is asked again.
                    continue
                except _PULL_ERRORS as error:
                    addresses.remove(address)
                    self._note_pull_failed(address, error)
                else:
                    return True
        return False

    async def _read_whole(self, may_be_stale=False):
        self.call_count += 1
        began = trio.current_time()
        previous = self._mirror.position
        items, position = await self._read_all(may_be_stale)
        self._note_available()
        self._mirror.replace(items, position)
        if items and not may_be_stale:
            self._complete_at = began
            self._set_current()
        self._record(
            "items_read",
            topic=self._topic,
            position=position,
            previous=previous,
            items=len(items),
            may_be_stale=may_be_stale,
            seconds=round(trio.current_time() - began, 3),
        )
        self._notify()

    def _set_current(self):
        if not self.is_current:
            self.is_current = True
            self._became_current.set()
            self._record(
                "view_current",
                topic=self._topic,
                position=self._mirror.position,
            )

    async def _read_whole_again(self):
        self._record(
            "history_lost", topic=self._topic, position=self._mirror.position
        )
        began = trio.current_time()
        try:
            await self._read_whole()
        except errors.PlatformUnavailableError as error:
            self._note_unavailable(error, began)
            await trio.sleep(RETRY_SECONDS)

    async def _watch_once(self):
        self.call_count += 1
        began = trio.current_time()
        previous = self._mirror.position
        items, position = await self._watch(
            previous, WATCH_SECONDS if self.is_current else 0.0
        )
        self._note_available()
        self._complete_at = trio.current_time()
        self._set_current()
        if items:
            self._record(
                "items_watched",
                topic=self._topic,
                position=position,
                previous=previous,
                items=len(items),
                bytes=sum(len(item.value or b"") for item in items),
            )
            self._mirror.apply(items, position)
            self._notify()
            await trio.sleep(self._pause_after(began))

    def _pause_after(self, began):
        """Return how long to gather changes after a watch's answer, seconds.

        A large configuration takes long to arrive; the changes of that time
        are gathered already.
        """
        if self._topic != CONFIGURATION:
            return self._gather_seconds
        return max(0.0, self._gather_seconds - trio.current_time() + began)

    async def _pull_from_parent(self, address):
        wait = PULL_WAIT_SECONDS if self.is_current else 0.0
        if not await self._try_pull(address, wait):
            if self.parent == address:
                await trio.sleep(RETRY_SECONDS)

    async def _try_pull(self, address, wait_seconds):
        """Pull from a node; pass it over if that fails."""
        try:
            await self.pull(address, wait_seconds)
        except _PULL_ERRORS as error:
            if isinstance(error, errors.PlatformUnavailableError):
                self._turn_away(address)
            else:
                self._tree.pass_over(address)
            self._note_pull_failed(address, error)
            return False
        return True

    def _note_pull_failed(self, address, error):
        self._record(
            "pull_failed",
            topic=self._topic,
            peer=address,
            code=error.code,
            detail=error.detail,
            parent=self.parent,
        )

    async def pull(self, address, wait_seconds):
        """Ask a node for what is newer than the own revision.

        Raises
        ------
        errors.CallError
            The node could not be reached or did not answer.
        errors.PeerUnavailableError
            The node is not up to date itself.
        errors.PlatformUnavailableError
            The platform turned the node away.
        """
        peer = self._links(address)
        position = self._mirror.position
        with trio.move_on_after(wait_seconds + PULL_TIMEOUT_SECONDS):
            reply = await peer.exchange(
                link.Pull(
                    call_id=peer.next_call_id(),
                    position=position,
                    wait_ms=int(wait_seconds * 1000),
                    may_read=self._tree.may_read(),
                    topic=self._topic,
                )
            )
            if not isinstance(reply, link.Items):
                raise errors.OutcomeUnknownError(
                    f"the node at {address} answered a pull with a "
                    f"{type(reply).__name__}"
                )
            self._take(reply, address)
            return
        raise errors.OutcomeUnknownError(
            f"the node at {address} did not answer a pull"
        )

    def _take(self, reply, address):
        if reply.is_turned_away:
            raise errors.PlatformUnavailableError(
                f"the platform turned the node at {address} away"
            )
        if reply.position == 0:
            raise errors.PeerUnavailableError(
                f"the node at {address} is not up to date itself"
            )
        self._set_current()
        complete_at = trio.current_time() - reply.age_ms / 1000
        if (
            self._outage_began_at is not None
            and complete_at > self._outage_began_at
        ):
            # The platform answers others, so nothing lapses.
            self._outage_began_at = None
        if reply.position >= self._mirror.position:
            self._complete_at = max(self._complete_at, complete_at)
        if reply.position <= self._mirror.position:
            self._compare(address, reply.position, reply.digest)
            return
        self._record(
            "items_pulled",
            topic=self._topic,
            peer=address,
            position=reply.position,
            previous=self._mirror.position,
            items=len(reply.items),
            is_whole=reply.is_whole,
        )
        items = [_decompressed(item) for item in reply.items]
        if reply.is_whole:
            self._mirror.replace(items, reply.position)
        else:
            self._mirror.apply(items, reply.position)
        self._compare(address, reply.position, reply.digest)
        self._notify()

    def _compare(self, address, position, digest):
        """Report a node whose copy of the same revision differs."""
        mirror = self._mirror
        if digest and position == mirror.position and digest != mirror.digest:
            now = trio.current_time()
            if now >= self._difference_due_at:
                self._difference_due_at = now + DIFFERENCE_SECONDS
                self._record(
                    "copies_differ",
                    topic=self._topic,
                    peer=address,
                    position=position,
                    items=len(self._mirror.items_by_key),
                )

    async def answer_pull(self, pull):
        """Return the ``link.Items`` that answer another node's pull."""
        if not await self._wait_current(pull.wait_ms / 1000):
            return link.Items(
                call_id=pull.call_id, position=0, is_whole=False, items=()
            )
        with trio.move_on_after(pull.wait_ms / 1000):
            while self._mirror.position <= pull.position and not (
                pull.may_read and self._tree.is_turned_away(self._own_address)
            ):
                await self._changed.wait()
        if pull.may_read and self._tree.is_turned_away(self._own_address):
            return link.Items(
                call_id=pull.call_id,
                position=0,
                is_whole=False,
                items=(),
                is_turned_away=True,
            )
        state = self.copy_state()
        is_whole, items = False, ()
        if state.position > pull.position:
            is_whole, items = self._mirror.changes_since(pull.position)
        return link.Items(
            call_id=pull.call_id,
            position=state.position,
            is_whole=is_whole,
            items=tuple(_compressed(item) for item in items),
            digest=state.digest,
            age_ms=state.age * 1000,
        )

    async def wait_current(self):
        """Wait until the mirror was up to date once."""
        await self._became_current.wait()

    async def _wait_current(self, seconds):
        with trio.move_on_after(seconds):
            await self.wait_current()
        return self.is_current

    def on_position(self, address, position, digest):
        """Note the revision of another node and the digest of its copy."""
        self._compare(address, position, digest)
        if position > self._mirror.position and (
            self._ahead is None or position > self._ahead[1]
        ):
            self._ahead = (address, position)
            self._ahead_event.set()

    async def _catch_up(self):
        """Pull from a node that stays ahead of this one."""
        while True:
            await self._ahead_event.wait()
            await trio.sleep(CATCH_UP_DELAY_SECONDS)
            address, position = self._ahead
            self._ahead = None
            self._ahead_event = trio.Event()
            if position <= self._mirror.position:
                continue
            try:
                await self.pull(address, 0.0)
            except _PULL_ERRORS as error:
                self._note_pull_failed(address, error)

    async def _gossip(self):
        """Learn from other nodes whether this one is behind."""
        unreachable = set()
        while True:
            await trio.sleep(
                GOSSIP_SECONDS * (0.75 + 0.5 * self._random.random())
            )
            addresses = self._tree.neighbours(unreachable)
            if not addresses:
                unreachable.clear()
                continue
            address = self._random.choice(addresses)
            peer = self._links(address)
            try:
                await peer.connect()
            except errors.CallError:
                # The link itself reports that it cannot connect; the next
                # node of the ranking takes its place.
                unreachable.add(address)
                continue
            unreachable.clear()
            peer.ping()

    def _notify(self):
        self._wake_pulls()
        self._on_change()

    def _wake_pulls(self):
        self._changed.set()
        self._changed = trio.Event()

    def _note_unavailable(self, error, began):
        """Note that a call failed that began at a time."""
        if self._outage_began_at is None:
            now = trio.current_time()
            self._outage_began_at = began if error.is_silent else now
        if self._is_available:
            self._is_available = False
            self._record(
                "platform_lost",
                code=error.code,
                detail=error.detail,
                position=self._mirror.position,
            )

    def _note_available(self):
        self._outage_ended_at = self.outage_ended_at
        self._outage_began_at = None
        if not self._is_available:
            self._is_available = True
            self._record("platform_regained", position=self._mirror.position)

    @property
    def outage_ended_at(self):
        """When the last outage ended in which entries may have lapsed.

        The time is on trio's clock; it is now while such an outage lasts.
        """
        now = trio.current_time()
        began_at = self._outage_began_at
        if began_at is not None and now - began_at >= self._lapse_seconds:
            return now
        return self._outage_ended_at

    @property
    def is_available(self):
        """Whether the last call to the platform was answered."""
        return self._is_available


# A reader sends the same item to each node of its domain.
@functools.lru_cache(maxsize=64)
def _compressed(item):
    """Return an item as it travels between nodes."""
    if item.value is None:
        return item
    return msgspec.structs.replace(item, value=zlib.compress(item.value))


def _decompressed(item):
    if item.value is None:
        return item
    try:
        value = zlib.decompress(item.value)
    except zlib.error as error:
        raise errors.OutcomeUnknownError(
            f"item {item.key!r} of a peer cannot be read: {error}"
        ) from error
    return msgspec.structs.replace(item, value=value)
