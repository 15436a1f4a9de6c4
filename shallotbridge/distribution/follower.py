"""Keeps a mirror of the published items up to date.

A reader watches the platform; the other nodes pull from their peers.
"""

import collections
import contextlib
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
from . import positions
from . import tree

# Topics; each has its own follower. A configuration of 2,300 routes takes a
# second on a link of 5 Mbit/s, and the removal of an upstream must not queue
# behind it.
UPSTREAMS = 0
CONFIGURATION = 1
# Long-poll timeout of a watch at the platform.
WATCH_TIMEOUT_SECONDS = 10.0
# Fraction of the maximum apply time in which a watch must deliver a change
# after the platform has named its position. A configuration of 2,300 routes
# takes a second on a link of 5 Mbit/s.
DELIVERY_TIMEOUT_RATIO = 0.3
# Maximum rate, averaged over the time since the last one, of full reads that
# only confirm that a watch has missed nothing.
CONFIRMATION_BYTES_PER_SECOND = 32_000
# Fraction of the maximum apply time for which a reader batches changes into
# one call; the rest is left for propagation to the other nodes.
BATCH_WINDOW_RATIO = 0.25
# Polling interval while no node is registered yet.
EMPTY_POLL_SECONDS = 0.5
# How long a starting node waits for the first registered upstream before it
# reads a full snapshot; until then there is nothing to serve.
REGISTRATION_WAIT_SECONDS = 3.0
# How long a starting node tries to get a first copy from its peers.
BOOTSTRAP_TIMEOUT_SECONDS = 2.0
# An entry expires after three missed reports. When an outage begins, the last
# report may be one interval old, so no entry expires in an outage shorter than
# this number of report intervals.
MINIMUM_EXPIRY_REPORTS = 2
# How long a starting node waits for one peer before it queries the next.
BOOTSTRAP_PULL_WAIT_SECONDS = 0.2
# The same for the peers after the first, which is the one that reads the
# platform: they get their copies from it.
LATER_BOOTSTRAP_PULL_WAIT_SECONDS = 0.05
# Backoff while the platform is unavailable: initial and maximum delay.
RETRY_DELAY_SECONDS = 0.3
MAXIMUM_RETRY_DELAY_SECONDS = 0.7
# A node pings a peer for its revision at this interval, and pulls from the
# peer if it is still ahead after the delay.
GOSSIP_INTERVAL_SECONDS = 0.5
CATCH_UP_DELAY_SECONDS = 0.3
# Long-poll timeout of a pull. The parent is chosen again for each pull, which
# covers a reader that lost the platform without noticing.
PULL_WAIT_SECONDS = 1.0
# How long a node may need to learn that its parent, which pulls from it, has
# lost the platform.
MUTUAL_PULL_DELAY_SECONDS = 0.2
# How long a reply may take beyond the long-poll timeout. A node that is silent
# all the while is given up earlier.
PULL_TIMEOUT_SECONDS = 1.5
# Fraction of the maximum apply time after which a pull from a node that does
# not answer pings is given up.
PEER_SILENCE_RATIO = 0.2
# Minimum interval between two log lines about peers whose copies differ, and
# between two attempts to repair the own copy.
DIFFERENCE_LOG_INTERVAL_SECONDS = 1.0
REPAIR_INTERVAL_SECONDS = 5.0
_PULL_ERRORS = (
    errors.CallError,
    errors.PeerUnavailableError,
    errors.PlatformUnavailableError,
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ItemSource:
    """Reads one topic from the platform.

    Attributes
    ----------
    read_all : callable
        ``await read_all(may_be_stale)`` returns all items and the position
        up to which they are complete; see ``positions``.
    watch : callable
        ``await watch(position, seconds)`` returns the changes after a
        position and the position they lead to, after a long poll of at most
        that many seconds; raises ``HistoryLostError``. An empty result does
        not prove that there was no change.
    """

    read_all: typing.Callable
    watch: typing.Callable


class Follower:
    """Keeps the mirror of one topic up to date.

    Parameters
    ----------
    mirror : mirror.ItemMirror
    source : ItemSource
    read_nodes : callable
        ``await read_nodes()`` returns pairs of address and failure domain of
        some nodes with a registered upstream; the result may be stale.
    on_change : callable
        Called without arguments after the mirror has changed.
    own_address : str
    own_domain : str
    list_peers : callable
        ``list_peers()`` returns pairs of address and failure domain of all
        nodes with a registered upstream, including this one.
    link_to : callable
        ``link_to(address)`` returns the ``PeerLink`` to a node.
    monitor : platform_monitor.PlatformMonitor
        Of this node's calls to the platform.
    responds : callable
        ``await responds(address)`` pings a node and returns whether it
        answers.
    topic : int
        ``UPSTREAMS`` or ``CONFIGURATION``.
    gossip : callable
        ``gossip(link)`` sends a ping on the ``PeerLink`` to a gossip peer.
    maximum_apply_seconds : float
        Longest time until a published change must be active.
    report_interval_seconds : float
        Interval between the reports of an upstream to the platform.
    random : random.Random
    wait_for_peers : callable
        ``await wait_for_peers()`` returns when `list_peers` is complete. The
        first copy does not wait for that.
    record : callable
        ``record(action, **fields)`` writes the decision log.

    Attributes
    ----------
    is_current : bool
        Whether the mirror has been up to date at least once since the start.
        A stale first read, which may be some seconds old, does not count.
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
        list_peers,
        link_to,
        monitor,
        responds,
        maximum_apply_seconds,
        report_interval_seconds,
        random,
        topic=UPSTREAMS,
        gossip=lambda peer: peer.ping(),
        wait_for_peers=trio.lowlevel.checkpoint,
        record=decisions.record,
    ):
        self._mirror = mirror
        self._topic = topic
        self._read_all = source.read_all
        self._read_nodes = read_nodes
        self._watch = source.watch
        self._on_change = on_change
        self._own_address = own_address
        self._tree = tree.DistributionTree(
            own_address=own_address,
            own_domain=own_domain,
            list_peers=list_peers,
        )
        self._link_to = link_to
        self._monitor = monitor
        self._responds = responds
        # The node that answered the last pull from a parent.
        self._last_parent = None
        self._pull_scopes_by_address = collections.defaultdict(set)
        self._send_gossip = gossip
        self._wait_for_peers = wait_for_peers
        self._batch_window_seconds = maximum_apply_seconds * BATCH_WINDOW_RATIO
        self._minimum_expiry_seconds = (
            report_interval_seconds * MINIMUM_EXPIRY_REPORTS
        )
        self._random = random
        self._record = record
        self._is_platform_available = True
        self._pull_wakeup = trio.Event()
        self._peer_ahead = None
        self._peer_ahead_event = trio.Event()
        self.is_current = False
        self._became_current = trio.Event()
        self._complete_at = -math.inf
        # Whether a current read, followed by watches without an interruption,
        # shows that the mirror is complete.
        self._is_confirmed = False
        self._confirmation_due_at = -math.inf
        self._watch_scope = trio.CancelScope()
        # Set while this node watches, but would now pull from another one.
        self._parent_returned = trio.Event()
        # Up to here the watches of both topics have delivered all changes.
        self._proved_position = 0
        # A position beyond this copy that the platform has named, and when
        # the watch must have delivered it.
        self._expected_position = 0
        self._delivery_due_at = math.inf
        self._delivery_seconds = maximum_apply_seconds * DELIVERY_TIMEOUT_RATIO
        self._history_lost_at = -math.inf
        self._difference_log_due_at = -math.inf
        self._repair_due_at = -math.inf
        # Whether the next pull is to replace the whole copy.
        self._needs_whole_copy = False
        self._outage_began_at = None
        self._outage_ended_at = -math.inf
        self.platform_call_count = 0

    async def run(self):
        """Follow the published items until cancelled."""
        tasks = [self._follow, self._catch_up, self._hand_back]
        if self._topic == UPSTREAMS:
            # One gossip task is enough: a ping has the positions of all
            # topics.
            tasks.append(self._gossip)
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(supervision.keep_running, task)

    def mirror_state(self):
        """Return the ``mirror.MirrorState`` of this node."""
        return mirrors.MirrorState(
            position=self._mirror.position,
            digest=self._mirror.digest,
            age=trio.current_time() - self._complete_at,
        )

    async def _follow(self):
        failures = 0
        while True:
            began_at = trio.current_time()
            try:
                if not self._mirror.position:
                    await self._bootstrap(failures)
                    await self._wait_for_peers()
                elif (parent := self.parent) is not None:
                    self._is_confirmed = False
                    await self._pull_from_parent(parent)
                elif self._is_confirmed:
                    await self._watch_once()
                else:
                    await self._read_snapshot()
            except errors.HistoryLostError:
                await self._on_history_lost()
            except errors.PlatformUnavailableError as error:
                failures += 1
                self._is_confirmed = False
                self._on_platform_unavailable(error, began_at)
                self._exclude_reader(self._own_address)
                if not self.is_reader():
                    continue
                delay = min(
                    MAXIMUM_RETRY_DELAY_SECONDS,
                    RETRY_DELAY_SECONDS * 1.5 ** (failures - 1),
                )
                await trio.sleep(delay * (0.75 + 0.5 * self._random.random()))
            else:
                failures = 0

    def is_reader(self):
        """Return whether this node watches the platform itself."""
        return self.parent is None

    @property
    def parent(self):
        """Address of the node to pull from; None for a reader."""
        return self._tree.parent()

    def _exclude_reader(self, address):
        """Choose another reader while the platform rejects a node's calls."""
        self._tree.exclude_reader(address)
        if address == self._own_address:
            # Waiting pulls return at once, so that their nodes choose
            # another parent.
            self._wake_pulls()

    async def _bootstrap(self, failures):
        """Get the first copy, from a peer if possible.

        A stale read of some entries finds peers to pull from. If no peer has
        a copy, a full snapshot is read from the platform. It may be stale
        too, so the mirror counts as current only after a current read or a
        pull. The first node of a domain, for which the others wait, makes a
        current read at once.
        """
        until = trio.current_time() + REGISTRATION_WAIT_SECONDS
        nodes = []
        while not nodes and not failures and trio.current_time() < until:
            nodes = await self._read_nodes()
            if not nodes:
                await trio.sleep(EMPTY_POLL_SECONDS)
        parents = self._tree.bootstrap_parents(nodes)
        if nodes and not parents:
            # If the platform limits such reads, a stale one may still work.
            with contextlib.suppress(errors.PlatformUnavailableError):
                await self._read_snapshot()
                return
        with trio.move_on_after(BOOTSTRAP_TIMEOUT_SECONDS):
            if await self._bootstrap_from(parents):
                return
        await self._read_snapshot(may_be_stale=not failures)

    async def _bootstrap_from(self, addresses):
        """Pull from nodes in turn until one that is up to date replies.

        Returns
        -------
        bool
            False if all nodes failed.
        """
        while addresses:
            for address in list(addresses):
                wait = (
                    BOOTSTRAP_PULL_WAIT_SECONDS
                    if address == addresses[0]
                    else LATER_BOOTSTRAP_PULL_WAIT_SECONDS
                )
                try:
                    await self.pull(address, wait)
                except errors.PeerUnavailableError:
                    # The peer is starting too; retried in the next round.
                    continue
                except _PULL_ERRORS as error:
                    addresses.remove(address)
                    self._record_pull_failure(address, error)
                else:
                    return True
        return False

    async def _read_snapshot(self, may_be_stale=False):
        if not self._is_platform_available:
            # Cheaper than a read while the platform is down.
            await self._monitor.check()
        self.platform_call_count += 1
        began_at = trio.current_time()
        previous = self._mirror.position
        if may_be_stale:
            items, position = await self._read_all(may_be_stale)
        else:
            items, position = await self._monitor.read_all(
                self._read_all, may_be_stale
            )
        self._on_platform_available()
        is_applied = self._mirror.replace(items, position)
        if not may_be_stale:
            self._needs_whole_copy = False
            self._is_confirmed = True
            self._expect_delivery(0, math.inf)
            size = sum(len(item.value or b"") for item in items)
            self._confirmation_due_at = (
                trio.current_time() + size / CONFIRMATION_BYTES_PER_SECOND
            )
        if is_applied and not may_be_stale:
            self._complete_at = began_at
            self._set_current()
            self._monitor.report_position()
        self._record(
            "items_read",
            topic=self._topic,
            position=positions.describe(position),
            previous=positions.describe(previous),
            items=len(items),
            may_be_stale=may_be_stale,
            seconds=round(trio.current_time() - began_at, 3),
        )
        self._notify()

    def _set_current(self):
        if not self.is_current:
            self.is_current = True
            self._became_current.set()
            self._record(
                "view_current",
                topic=self._topic,
                position=positions.describe(self._mirror.position),
            )

    async def _on_history_lost(self):
        self._record(
            "history_lost",
            topic=self._topic,
            position=positions.describe(self._mirror.position),
        )
        self._is_confirmed = False
        # A platform that lost its history again after a full read is not
        # read in a loop without a pause.
        if trio.current_time() - self._history_lost_at < RETRY_DELAY_SECONDS:
            await trio.sleep(RETRY_DELAY_SECONDS)
        self._history_lost_at = trio.current_time()

    async def _watch_once(self):
        self.platform_call_count += 1
        began_at = trio.current_time()
        previous = self._mirror.position
        items = ()
        # A change that was named while this node batched is delivered by this
        # watch.
        self._watch_scope = trio.CancelScope(
            deadline=max(
                self._delivery_due_at, began_at + self._delivery_seconds
            )
        )
        with self._watch_scope:
            items, position = await self._monitor.call(
                self._watch, previous, WATCH_TIMEOUT_SECONDS
            )
        if self._watch_scope.cancelled_caught:
            if self.is_reader():
                self._doubt_watch()
            return
        self._on_platform_available()
        if not items:
            return
        self._complete_at = trio.current_time()
        self._record(
            "items_watched",
            topic=self._topic,
            position=positions.describe(position),
            previous=positions.describe(previous),
            items=len(items),
            bytes=sum(len(item.value or b"") for item in items),
        )
        self._mirror.apply(items, position)
        self._monitor.add_changes(item.revision for item in items)
        if self._mirror.position >= self._expected_position:
            self._expect_delivery(0, math.inf)
        self._notify()
        await trio.sleep(self._batch_delay(began_at))

    def on_platform_position(self, position, read_at, *, watches_all=False):
        """Check that a watch has missed no change.

        A platform that dropped its history, or a connection that fell silent,
        may leave a watch unanswered. The copy is complete if the watches of
        this node have delivered all changes up to the platform's latest
        position, those of the other topic included. Otherwise a change may
        just be being delivered; if it is not in time, a full read tells. If
        another node watches the other topic, large topics are read less
        often, as the change may be of that topic.

        Parameters
        ----------
        position : int
            The platform's latest position, of any topic.
        read_at : float
            Time before it was read.
        watches_all : bool
            Whether this node watches both topics.
        """
        if not self.is_reader():
            if self._is_confirmed:
                self._parent_returned.set()
            return
        if self._mirror.position >= self._expected_position:
            self._expect_delivery(0, math.inf)
        proved = max(self._mirror.position, self._proved_position)
        if positions.get_era(position) != positions.get_era(
            self._mirror.position
        ):
            self._watch_scope.cancel()
        elif self._monitor.has_all_changes(proved, position):
            self._proved_position = max(proved, position)
            self._complete_at = max(self._complete_at, read_at)
            self._expect_delivery(0, math.inf)
        elif not self._expected_position:
            due_at = read_at + self._delivery_seconds
            if not watches_all:
                due_at = max(due_at, self._confirmation_due_at)
            self._expect_delivery(position, due_at)

    def _expect_delivery(self, position, due_at):
        """Let a watch that has not delivered a position by a time end."""
        self._expected_position = position
        self._delivery_due_at = self._watch_scope.deadline = due_at

    def _doubt_watch(self):
        """Let the next step read the topic instead of a watch."""
        self._record(
            "watch_doubted",
            topic=self._topic,
            position=positions.describe(self._mirror.position),
            expected=positions.describe(self._expected_position),
        )
        self._expect_delivery(0, math.inf)
        self._is_confirmed = False

    def _batch_delay(self, began_at):
        """Return how long to batch changes after a watch response, seconds.

        For the configuration the window starts with the watch: a large
        configuration takes long to transfer, and changes published meanwhile
        are batched already.
        """
        if self._topic != CONFIGURATION:
            return self._batch_window_seconds
        return max(
            0.0, self._batch_window_seconds - trio.current_time() + began_at
        )

    async def _pull_from_parent(self, address):
        wait = PULL_WAIT_SECONDS if self.is_current else 0.0
        if not await self._try_pull(address, wait):
            if self.parent == address:
                await trio.sleep(RETRY_DELAY_SECONDS)

    async def _try_pull(self, address, wait_seconds):
        """Pull from a node and exclude it for a while if that fails.

        A new parent is pinged first: a frozen one would accept the
        connection.

        Returns
        -------
        bool
            Whether the pull succeeded.
        """
        try:
            if address != self._last_parent and not await self._responds(
                address
            ):
                raise errors.OutcomeUnknownError(
                    f"the node at {address} does not respond"
                )
            await self.pull(address, wait_seconds)
            self._last_parent = address
        except _PULL_ERRORS as error:
            self._last_parent = None
            if isinstance(error, errors.PlatformUnavailableError):
                self._exclude_reader(address)
            else:
                self._tree.exclude(address)
            self._record_pull_failure(address, error)
            return False
        return True

    def _record_pull_failure(self, address, error):
        self._record(
            "pull_failed",
            topic=self._topic,
            peer=address,
            code=error.code,
            detail=error.detail,
            parent=self.parent,
        )

    async def pull(self, address, wait_seconds):
        """Pull the changes since the own revision from a node.

        Parameters
        ----------
        address : str
        wait_seconds : float
            How long the node may hold the pull until there is a change.

        Raises
        ------
        errors.CallError
            The node could not be reached or did not reply.
        errors.PeerUnavailableError
            The node is not up to date itself.
        errors.PlatformUnavailableError
            The platform rejected the node's calls.
        """
        peer = self._link_to(address)
        position = 0 if self._needs_whole_copy else self._mirror.position
        scopes = self._pull_scopes_by_address[address]
        with trio.move_on_after(wait_seconds + PULL_TIMEOUT_SECONDS) as scope:
            scopes.add(scope)
            try:
                reply = await peer.exchange(
                    link.Pull(
                        call_id=peer.next_call_id(),
                        position=position,
                        wait_ms=int(wait_seconds * 1000),
                        may_read=self._tree.is_reader_candidate(),
                        topic=self._topic,
                        sender=self._own_address,
                    )
                )
            finally:
                scopes.discard(scope)
                if not scopes:
                    self._pull_scopes_by_address.pop(address, None)
            if not isinstance(reply, link.Items):
                raise errors.OutcomeUnknownError(
                    f"the node at {address} replied to a pull with the "
                    f"unexpected message {type(reply).__name__}"
                )
            self._apply_reply(reply, address)
            return
        raise errors.OutcomeUnknownError(
            f"the node at {address} did not reply to a pull in time"
        )

    def on_peer_silent(self, address):
        """Give up the pulls from a node that does not answer pings."""
        for scope in self._pull_scopes_by_address.get(address, ()):
            scope.cancel()

    def _apply_reply(self, reply, address):
        if reply.is_turned_away:
            raise errors.PlatformUnavailableError(
                f"the platform rejected the calls of the node at {address}"
            )
        if reply.position == 0:
            raise errors.PeerUnavailableError(
                f"the node at {address} is not up to date yet"
            )
        self._set_current()
        complete_at = trio.current_time() - reply.age_ms / 1000
        if (
            self._outage_began_at is not None
            and complete_at > self._outage_began_at
        ):
            # The platform still responds to other nodes, so no entry
            # expires.
            self._outage_began_at = None
        if reply.position >= self._mirror.position:
            self._complete_at = max(self._complete_at, complete_at)
        if reply.position < self._mirror.position or (
            reply.position == self._mirror.position and not reply.is_whole
        ):
            self._compare_digest(address, reply.position, reply.digest)
            return
        self._record(
            "items_pulled",
            topic=self._topic,
            peer=address,
            position=positions.describe(reply.position),
            previous=positions.describe(self._mirror.position),
            items=len(reply.items),
            is_whole=reply.is_whole,
        )
        items = [_decompress(item) for item in reply.items]
        if reply.is_whole:
            self._needs_whole_copy = False
            self._mirror.replace(items, reply.position)
        else:
            self._mirror.apply(items, reply.position)
        self._compare_digest(address, reply.position, reply.digest)
        self._notify()

    def _compare_digest(self, address, position, digest):
        """Log a peer whose copy of the same position has another digest.

        Either copy may be the wrong one, so both nodes repair theirs: a
        reader reads the platform, others get a whole copy of their parent.
        """
        mirror = self._mirror
        if digest and position == mirror.position and digest != mirror.digest:
            now = trio.current_time()
            if now >= self._repair_due_at:
                self._repair_due_at = now + REPAIR_INTERVAL_SECONDS
                self._is_confirmed = False
                self._needs_whole_copy = True
                self._watch_scope.cancel()
            if now >= self._difference_log_due_at:
                self._difference_log_due_at = (
                    now + DIFFERENCE_LOG_INTERVAL_SECONDS
                )
                self._record(
                    "copies_differ",
                    topic=self._topic,
                    peer=address,
                    position=positions.describe(position),
                    items=len(self._mirror.items_by_key),
                )

    async def answer_pull(self, pull):
        """Return the ``link.Items`` that reply to a pull of another node.

        Waits for a change for as long as the pull allows.
        """
        if not await self._is_current_within(pull.wait_ms / 1000):
            return link.Items(
                call_id=pull.call_id, position=0, is_whole=False, items=()
            )
        is_rejected = await self._is_waiting_for(pull)
        with trio.move_on_after(0 if is_rejected else pull.wait_ms / 1000):
            while self._mirror.position <= pull.position and not (
                pull.may_read and self._has_lost_platform()
            ):
                await self._pull_wakeup.wait()
        if is_rejected or (pull.may_read and self._has_lost_platform()):
            return link.Items(
                call_id=pull.call_id,
                position=0,
                is_whole=False,
                items=(),
                is_turned_away=True,
            )
        state = self.mirror_state()
        is_whole, items = False, ()
        if state.position > pull.position:
            is_whole, items = self._mirror.changes_since(pull.position)
        return link.Items(
            call_id=pull.call_id,
            position=state.position,
            is_whole=is_whole,
            items=tuple(_compress(item) for item in items),
            digest=state.digest,
            age_ms=state.age * 1000,
        )

    def _has_lost_platform(self):
        """Return whether this node is a reader without the platform.

        After its exclusion it has to read the platform before other nodes
        rely on it again.
        """
        return self._tree.is_excluded_reader(self._own_address) or (
            not self._is_platform_available and self.is_reader()
        )

    async def _is_waiting_for(self, pull):
        """Return whether this node pulls from a reader candidate that pulls.

        Neither would read the platform. This node may just be about to
        become the reader, so it is asked again after a moment.
        """
        if (
            not pull.may_read
            or pull.position < self._mirror.position
            or self.parent != pull.sender
        ):
            return False
        await trio.sleep(MUTUAL_PULL_DELAY_SECONDS)
        return self.parent == pull.sender

    async def wait_until_current(self):
        """Wait until the mirror has been up to date at least once."""
        await self._became_current.wait()

    async def _is_current_within(self, seconds):
        with trio.move_on_after(seconds):
            await self.wait_until_current()
        return self.is_current

    def on_position(self, address, position, digest):
        """Compare the revision and the digest of another node's copy.

        Schedules a pull if the node is ahead of this one.
        """
        self._compare_digest(address, position, digest)
        if position > self._mirror.position and (
            self._peer_ahead is None or position > self._peer_ahead[1]
        ):
            self._peer_ahead = (address, position)
            self._peer_ahead_event.set()

    async def _catch_up(self):
        """Pull from a peer that is still ahead after a delay."""
        while True:
            await self._peer_ahead_event.wait()
            await trio.sleep(CATCH_UP_DELAY_SECONDS)
            address, position = self._peer_ahead
            self._peer_ahead = None
            self._peer_ahead_event = trio.Event()
            if position <= self._mirror.position:
                continue
            try:
                await self.pull(address, 0.0)
            except _PULL_ERRORS as error:
                self._record_pull_failure(address, error)

    async def _hand_back(self):
        """End the watch when a reader that was replaced is back.

        The watch goes on until that node has answered a pull: one that is
        still without the platform is excluded again.
        """
        while True:
            await self._parent_returned.wait()
            self._parent_returned = trio.Event()
            parent = self.parent
            if parent is not None and await self._try_pull(parent, 0.0):
                self._watch_scope.cancel()

    def gossip_peers(self):
        """Return the addresses of the nodes that this one pings."""
        return self._tree.gossip_peers(set())

    async def _gossip(self):
        """Ping other nodes to detect whether this one is behind."""
        unreachable = set()
        while True:
            await trio.sleep(
                GOSSIP_INTERVAL_SECONDS * (0.75 + 0.5 * self._random.random())
            )
            addresses = self._tree.gossip_peers(unreachable)
            if not addresses:
                unreachable.clear()
                continue
            address = self._random.choice(addresses)
            peer = self._link_to(address)
            try:
                await peer.connect()
            except errors.CallError:
                # The link logs the failed connection; the next node of the
                # ranking is pinged instead.
                unreachable.add(address)
                continue
            unreachable.clear()
            self._send_gossip(peer)

    def _notify(self):
        self._wake_pulls()
        self._on_change()

    def _wake_pulls(self):
        self._pull_wakeup.set()
        self._pull_wakeup = trio.Event()

    def _on_platform_unavailable(self, error, began_at):
        """Record the start of an outage.

        Parameters
        ----------
        error : errors.PlatformUnavailableError
        began_at : float
            When the failed call began. If the platform sent nothing during
            the call, the outage counts from then or from its last response,
            whichever is later.
        """
        if self._outage_began_at is None:
            now = trio.current_time()
            self._outage_began_at = (
                max(began_at, self._monitor.heard_at)
                if error.is_unanswered
                else now
            )
        if self._is_platform_available:
            self._is_platform_available = False
            self._record(
                "platform_lost",
                code=error.code,
                detail=error.detail,
                position=positions.describe(self._mirror.position),
            )

    def _on_platform_available(self):
        self._outage_ended_at = self.outage_ended_at
        self._outage_began_at = None
        self._tree.include_reader(self._own_address)
        if not self._is_platform_available:
            self._is_platform_available = True
            self._record(
                "platform_regained",
                position=positions.describe(self._mirror.position),
            )

    @property
    def outage_ended_at(self):
        """End of the last outage in which entries may have expired.

        A time of trio's clock; the current time while such an outage lasts.
        """
        now = trio.current_time()
        began_at = self._outage_began_at
        if (
            began_at is not None
            and now - began_at >= self._minimum_expiry_seconds
        ):
            return now
        return self._outage_ended_at

    @property
    def is_platform_available(self):
        """Whether the last call to the platform succeeded."""
        return self._is_platform_available


# Cached because a node sends the same item to each of its children.
@functools.lru_cache(maxsize=64)
def _compress(item):
    """Return an item with its value compressed for transfer between nodes."""
    if item.value is None:
        return item
    return msgspec.structs.replace(item, value=zlib.compress(item.value))


def _decompress(item):
    if item.value is None:
        return item
    try:
        value = zlib.decompress(item.value)
    except zlib.error as error:
        raise errors.OutcomeUnknownError(
            f"the value of item {item.key!r} from a peer cannot be "
            f"decompressed: {error}"
        ) from error
    return msgspec.structs.replace(item, value=value)
