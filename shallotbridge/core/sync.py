"""Exchange of configuration and host changes between nodes."""

import trio

from .._generated import peer_pb2
from . import decisions
from . import errors
from . import model
from . import pacing
from . import store as store_module

# Time for which a parent holds a call that has nothing new, seconds. With
# ANSWER_SECONDS it bounds how long two silent parents (a rack that lost its
# power) go unnoticed, which must stay below the 4 s for convergence.
POLL_WAIT_SECONDS = 2.0
# Longest hold that a caller may ask for, seconds.
MAXIMUM_WAIT_SECONDS = 30.0
MAXIMUM_HELD_CALLS = 32
# Time for an answer beyond the wait that was asked for, seconds.
ANSWER_SECONDS = 1.5
SYNC_ONCE_SECONDS = 1.0
BACKOFF_FIRST_SECONDS = 0.2
BACKOFF_MAXIMUM_SECONDS = 10.0
# A call that ends later than its timeout by this was delayed by a pause of
# this process, which says nothing about the peer.
PAUSE_SECONDS = 1.0
# Time that a held call is left to end by itself after another source gave a
# newer head; parents usually get it at about the same time.
OUTDATED_SECONDS = 0.4
# Peers that sync_once asks at once.
SYNC_ONCE_PEERS = 3
# Of these, so many answers with a version are waited for.
SYNC_ONCE_ENOUGH = 2
# Longest time between trials of a suspected peer, seconds. They end the
# isolation of a node soon after a partition of which it suspects all peers.
PROBE_SECONDS = 4.0
# Senders that are ahead and wait to be asked for what they have.
_QUEUED_PULLS = 4
_MILLISECONDS = 1000


class SyncServer:
    """Answers the Sync calls of peers from the own store and host table.

    Parameters
    ----------
    host_id : str
        Own host.
    store : store.ConfigurationStore
    hosts : hosts.HostTable
    maximum_held : int
        Calls held at once; further ones are answered at once.
    on_ahead : callable, optional
        ``on_ahead(host_id)`` is called when a sender states something newer
        than this node has.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Sizes of the messages, without transport framing.
    """

    def __init__(
        self,
        *,
        host_id,
        store,
        hosts,
        maximum_held=MAXIMUM_HELD_CALLS,
        on_ahead=None,
    ):
        self.bytes_sent = 0
        self.bytes_received = 0
        self.held_count = 0
        self._host_id = host_id
        self._store = store
        self._hosts = hosts
        self._maximum_held = maximum_held
        self._on_ahead = on_ahead

    async def sync(self, request):
        """Answer with what is newer than the request states.

        Parameters
        ----------
        request : peer_pb2.SyncRequest

        Returns
        -------
        peer_pb2.SyncReply
            At once if there is anything newer, else when there is or when
            the wait has elapsed.
        """
        self.bytes_received += request.ByteSize()
        head = store_module.from_message(request.head)
        revisions_by_domain = dict(request.host_revisions)
        self._report_ahead(request.sender, head, revisions_by_domain)
        wait = min(request.wait_ms / _MILLISECONDS, MAXIMUM_WAIT_SECONDS)
        if (
            wait > 0
            and self.held_count < self._maximum_held
            and not self._has_news(head, revisions_by_domain)
        ):
            await self._hold(head, revisions_by_domain, wait)
        reply = peer_pb2.SyncReply(
            head=store_module.to_message(self._store.head),
            hosts=self._hosts.updates_since(revisions_by_domain),
            sender=self._host_id,
        )
        update = self._store.update_since(head)
        if update is not None:
            reply.update.CopyFrom(update)
        self.bytes_sent += reply.ByteSize()
        return reply

    def _has_news(self, head, revisions_by_domain):
        return self._store.head > head or self._hosts.has_updates_since(
            revisions_by_domain
        )

    def _report_ahead(self, sender, head, revisions_by_domain):
        if self._on_ahead is None or not sender:
            return
        known = self._hosts.revisions_by_domain
        if head > self._store.head or any(
            revision > known.get(name, 0)
            for name, revision in revisions_by_domain.items()
        ):
            self._on_ahead(sender)

    async def _hold(self, head, revisions_by_domain, wait):
        self.held_count += 1
        try:
            with trio.move_on_after(wait):
                async with trio.open_nursery() as nursery:

                    async def wait_hosts():
                        generation = self._hosts.generation
                        while not self._hosts.has_updates_since(
                            revisions_by_domain
                        ):
                            generation = await self._hosts.wait_change(
                                generation
                            )
                        nursery.cancel_scope.cancel()

                    nursery.start_soon(wait_hosts)
                    await self._store.wait_newer(head)
                    nursery.cancel_scope.cancel()
        finally:
            self.held_count -= 1


class SyncClient:
    """Long-polls the parents, with one task for each.

    Parameters
    ----------
    own_host : model.Host
    store : store.ConfigurationStore
    hosts : hosts.HostTable
    topology : topology.Topology
    peers : peer_calls.PeerCalls
        Only ``sync`` is used.
    random : random.Random
    poll_wait : float
        Seconds.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Sizes of the messages, without transport framing.
    call_count : int
    """

    def __init__(
        self,
        *,
        own_host,
        store,
        hosts,
        topology,
        peers,
        random,
        poll_wait=POLL_WAIT_SECONDS,
    ):
        self.bytes_sent = 0
        self.bytes_received = 0
        self.call_count = 0
        self._own_host = own_host
        self._store = store
        self._hosts = hosts
        self._topology = topology
        self._peers = peers
        self._random = random
        self._poll_wait = poll_wait
        # Peers whose delta did not lead to the announced digest.
        self._full_copy_ids = set()
        self._send_pull, self._receive_pull = trio.open_memory_channel(
            _QUEUED_PULLS
        )

    async def run(self):
        """Keep one task for each parent until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._pull)
            nursery.start_soon(self._probe)
            scopes_by_parent = {}
            while True:
                generation = self._topology.generation
                wanted = dict.fromkeys(
                    self._topology.parents() + self._topology.remote_parents()
                )
                for parent in [
                    parent
                    for parent in scopes_by_parent
                    if parent not in wanted
                ]:
                    scopes_by_parent.pop(parent).cancel()
                added = [
                    parent
                    for parent in wanted
                    if parent not in scopes_by_parent
                ]
                for parent in added:
                    scopes_by_parent[parent] = trio.CancelScope()
                    nursery.start_soon(
                        self._follow, parent, scopes_by_parent[parent]
                    )
                if added:
                    decisions.record(
                        "parents_chosen",
                        chosen=[parent.host_id for parent in wanted],
                        candidates=len(self._hosts.hosts_by_id),
                        reason="place in the order of the failure domain",
                    )
                await self._topology.wait_change(generation)

    async def sync_once(self, timeout=SYNC_ONCE_SECONDS):
        """Ask the parents, or else other peers, once without waiting.

        Returns
        -------
        int
            Peers that answered within the timeout (seconds).
        """
        wanted = self._topology.parents() + self._topology.remote_parents()
        others = [
            host
            for host in self._hosts.hosts_of_domain(
                self._own_host.failure_domain
            )
            if host not in wanted and self.is_other(host)
        ]
        missing = max(0, SYNC_ONCE_PEERS - len(wanted))
        wanted += self._random.sample(others, min(missing, len(others)))
        heads_by_id = await self.ask(
            wanted[:SYNC_ONCE_PEERS],
            timeout,
            lambda heads_by_id: _informed(heads_by_id) >= SYNC_ONCE_ENOUGH,
        )
        return len(heads_by_id)

    async def ask(self, hosts, timeout=SYNC_ONCE_SECONDS, is_enough=None):
        """Ask several peers at once, without waiting for news.

        Parameters
        ----------
        hosts : iterable of model.Host
        timeout : float
            Seconds.
        is_enough : callable, optional
            Return as soon as it is true of the answers so far.

        Returns
        -------
        dict of str to model.HeadReference
            Head that each peer stated, by the peer's host id; only those
            that answered usably in time.
        """
        heads_by_id = {}

        async def ask_one(host):
            try:
                reply = await self.exchange(host, 0.0, timeout)
            except errors.DistributionError as error:
                self._record_failure(host, error)
                self._suspect(host, error)
            else:
                self._topology.clear(host.host_id)
                heads_by_id[host.host_id] = store_module.from_message(
                    reply.head
                )
                if is_enough is not None and is_enough(heads_by_id):
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(ask_one, host)
        return heads_by_id

    async def exchange(self, host, wait, timeout):
        """Make one Sync call and apply the answer.

        Parameters
        ----------
        host : model.Host
        wait : float
            Time for which the peer may hold the call, seconds.
        timeout : float
            Seconds.

        Returns
        -------
        peer_pb2.SyncReply

        Raises
        ------
        errors.DistributionError
            The peer did not answer, or the answer is not valid.
        """
        head = self._store.head
        is_full_copy = host.host_id in self._full_copy_ids
        request = peer_pb2.SyncRequest(
            sender=self._own_host.host_id,
            head=store_module.to_message(
                model.NO_HEAD if is_full_copy else head
            ),
            host_revisions=self._hosts.revisions_by_domain,
            wait_ms=0 if is_full_copy else round(wait * _MILLISECONDS),
            failure_domain=self._own_host.failure_domain,
        )
        self.call_count += 1
        self.bytes_sent += request.ByteSize()
        reply = await self._peers.sync(host.address, request, timeout)
        self.bytes_received += reply.ByteSize()
        self._full_copy_ids.discard(host.host_id)
        self._apply(host, reply)
        return reply

    def request_pull(self, host_id):
        """Ask a peer soon that is known to have something newer.

        A node whose parents are behind, such as a restarted reader of a
        stale platform, thereby gets what its children have.
        """
        host = self._hosts.hosts_by_id.get(host_id)
        if host is None or not self.is_other(host):
            return
        try:
            self._send_pull.send_nowait(host)
        except trio.WouldBlock:
            # The sender polls again, so nothing is lost.
            pass

    def is_other(self, host):
        """Tell whether a host is a usable peer of this one."""
        return (
            host.host_id != self._own_host.host_id
            and not host.is_leaving
            and host.host_id not in self._topology.suspected_ids()
        )

    def _apply(self, host, reply):
        """Apply an answer; each part of it is tried before an error ends."""
        first_error = None
        for update in reply.hosts:
            try:
                self._hosts.apply(update)
            except errors.DistributionError as error:
                first_error = first_error or error
        if reply.HasField("update"):
            try:
                self._store.apply(reply.update)
            except errors.DeltaBaseError:
                # An update from another parent came first.
                pass
            except errors.DigestMismatchError as error:
                if reply.update.base.version:
                    self._full_copy_ids.add(host.host_id)
                else:
                    first_error = first_error or error
            except errors.DistributionError as error:
                first_error = first_error or error
        if first_error is not None:
            raise first_error

    async def _pull(self):
        async for host in self._receive_pull:
            await self.ask([host])

    async def _probe(self):
        """Try one of the unreachable peers now and then."""
        while True:
            await trio.sleep(self._random.uniform(0.5, 1.0) * PROBE_SECONDS)
            suspected_ids = self._topology.unreachable_ids()
            listed = map(self._hosts.hosts_by_id.get, sorted(suspected_ids))
            suspected = [host for host in listed if host is not None]
            suspected += [
                seed
                for seed in self._topology.seeds
                if seed.host_id in suspected_ids
            ]
            if suspected:
                await self.ask([self._random.choice(suspected)])

    async def _follow(self, parent, scope):
        with scope:
            failures = 0
            while True:
                started_at = trio.current_time()
                previous = self._store.head, self._hosts.generation
                timeout = self._poll_wait + ANSWER_SECONDS
                try:
                    is_answered = await self._poll(parent, timeout)
                except errors.DistributionError as error:
                    failures += 1
                    self._record_failure(parent, error)
                    elapsed = trio.current_time() - started_at
                    if elapsed < timeout + PAUSE_SECONDS:
                        self._suspect(parent, error)
                    await trio.sleep(
                        pacing.backoff_seconds(
                            self._random,
                            failures,
                            first=BACKOFF_FIRST_SECONDS,
                            maximum=BACKOFF_MAXIMUM_SECONDS,
                        )
                    )
                    continue
                if not is_answered:
                    continue
                failures = 0
                self._topology.clear(parent.host_id)
                elapsed = trio.current_time() - started_at
                if (
                    previous == (self._store.head, self._hosts.generation)
                    and parent.host_id not in self._full_copy_ids
                    and elapsed < self._poll_wait / 2
                ):
                    # The parent holds as many calls as it can, or sent what
                    # another parent had sent before.
                    await trio.sleep(
                        self._random.uniform(0.1, 0.5) * self._poll_wait
                    )

    async def _poll(self, parent, timeout):
        """Poll a parent; ask anew when another source gave a newer head.

        A call that is held states the old head. Stating the new one tells a
        parent that is behind, which then asks this node.

        Returns
        -------
        bool
            Whether the parent answered.
        """
        # Errors are raised outside the nursery, which would group them.
        caught = None
        is_answered = False
        stated_head = self._store.head
        async with trio.open_nursery() as nursery:

            async def end_when_outdated():
                await self._store.wait_newer(stated_head)
                await trio.sleep(
                    self._random.uniform(0.5, 1.0) * OUTDATED_SECONDS
                )
                nursery.cancel_scope.cancel()

            nursery.start_soon(end_when_outdated)
            try:
                await self.exchange(parent, self._poll_wait, timeout)
                is_answered = True
            except errors.DistributionError as error:
                caught = error
            nursery.cancel_scope.cancel()
        if caught is not None:
            raise caught
        return is_answered

    def _suspect(self, host, error):
        self._topology.suspect(
            host.host_id,
            is_faulty=not isinstance(error, errors.PeerUnavailableError),
        )

    def _record_failure(self, host, error):
        decisions.record(
            "sync_failed",
            candidate=host.host_id,
            address=host.address,
            code=error.code,
            reason=error.detail,
        )


def _informed(heads_by_id):
    """Return the number of peers that stated a version."""
    return sum(head.version > 0 for head in heads_by_id.values())
