"""Distribution of configuration and host changes between nodes.

A node keeps a long poll open at each of its parents.
"""

import trio

from .._generated import peer_pb2
from . import decisions
from . import errors
from . import model
from . import pacing
from . import store as store_module

# Time for which a parent holds a call while it has nothing newer. Together
# with RESPONSE_MARGIN_SECONDS it bounds the time to detect that both parents
# are unresponsive (as when a rack loses power), which must stay below the
# 4 s allowed for convergence.
POLL_WAIT_SECONDS = 2.0
# Limit of the hold time that a peer may request.
MAXIMUM_HOLD_SECONDS = 30.0
MAXIMUM_HELD_CALLS = 32
# Time allowed for the response after the requested hold time.
RESPONSE_MARGIN_SECONDS = 1.5
SYNC_ONCE_TIMEOUT_SECONDS = 1.0
BACKOFF_FIRST_SECONDS = 0.2
BACKOFF_MAXIMUM_SECONDS = 10.0
# A call that ends this long after its timeout was delayed by a pause of this
# process, so the peer is not suspected.
PROCESS_PAUSE_SECONDS = 1.0
# Time before a held call is cancelled after another source delivered a newer
# head. Parents usually receive it at about the same time, which ends the call.
OUTDATED_GRACE_SECONDS = 0.4
# Peers that sync_once queries concurrently.
SYNC_ONCE_PEERS = 3
# sync_once returns early after this many responses with a version.
SYNC_ONCE_SUFFICIENT_PEERS = 2
# Maximum time between probes of unreachable peers. With probes, a node that
# suspects all of its peers recovers soon after a partition heals.
PROBE_INTERVAL_SECONDS = 4.0
# Maximum number of senders with newer data that are queued to be queried.
_MAXIMUM_QUEUED_PULLS = 4
_MS_PER_SECOND = 1000


class SyncServer:
    """Serves the Sync calls of peers from this node's store and host table.

    Parameters
    ----------
    host_id : str
        Id of this node's host.
    store : store.ConfigurationStore
    hosts : hosts.HostTable
    maximum_held : int
        Maximum number of calls held at a time; the server responds to
        further calls without a hold.
    on_sender_ahead : callable, optional
        ``on_sender_ahead(host_id)`` is called when a request shows that its
        sender has a newer head or host list than this node.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Sizes of the messages, without transport framing.
    held_count : int
        Calls held now.
    """

    def __init__(
        self,
        *,
        host_id,
        store,
        hosts,
        maximum_held=MAXIMUM_HELD_CALLS,
        on_sender_ahead=None,
    ):
        self.bytes_sent = 0
        self.bytes_received = 0
        self.held_count = 0
        self._host_id = host_id
        self._store = store
        self._hosts = hosts
        self._maximum_held = maximum_held
        self._on_sender_ahead = on_sender_ahead

    async def sync(self, request):
        """Return the changes since the head and revisions in the request.

        Parameters
        ----------
        request : peer_pb2.SyncRequest

        Returns
        -------
        peer_pb2.SyncReply
            Returned immediately if this node has anything newer or holds its
            maximum number of calls, else on the next change or when the
            requested hold time has elapsed.
        """
        self.bytes_received += request.ByteSize()
        head = store_module.head_from_message(request.head)
        revisions_by_domain = dict(request.host_revisions)
        self._report_sender_ahead(request.sender, head, revisions_by_domain)
        wait = min(request.wait_ms / _MS_PER_SECOND, MAXIMUM_HOLD_SECONDS)
        if (
            wait > 0
            and self.held_count < self._maximum_held
            and not self._has_changes(head, revisions_by_domain)
        ):
            await self._wait_for_changes(head, revisions_by_domain, wait)
        reply = peer_pb2.SyncReply(
            head=store_module.head_to_message(self._store.head),
            hosts=self._hosts.updates_since(revisions_by_domain),
            sender=self._host_id,
        )
        update = self._store.update_since(head)
        if update is not None:
            reply.update.CopyFrom(update)
        self.bytes_sent += reply.ByteSize()
        return reply

    def _has_changes(self, head, revisions_by_domain):
        return self._store.head > head or self._hosts.has_updates_since(
            revisions_by_domain
        )

    def _report_sender_ahead(self, sender, head, revisions_by_domain):
        if self._on_sender_ahead is None or not sender:
            return
        known = self._hosts.revisions_by_domain
        if head > self._store.head or any(
            revision > known.get(name, 0)
            for name, revision in revisions_by_domain.items()
        ):
            self._on_sender_ahead(sender)

    async def _wait_for_changes(self, head, revisions_by_domain, wait):
        self.held_count += 1
        try:
            with trio.move_on_after(wait):
                async with trio.open_nursery() as nursery:

                    async def wait_for_hosts():
                        generation = self._hosts.generation
                        while not self._hosts.has_updates_since(
                            revisions_by_domain
                        ):
                            generation = await self._hosts.wait_for_change(
                                generation
                            )
                        nursery.cancel_scope.cancel()

                    nursery.start_soon(wait_for_hosts)
                    await self._store.wait_for_newer_head(head)
                    nursery.cancel_scope.cancel()
        finally:
            self.held_count -= 1


class SyncClient:
    """Long-polls the parents for changes, with one task per parent.

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
        Hold time requested from parents, seconds.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Sizes of the messages, without transport framing.
    call_count : int
        Sync calls sent.
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
        # Peers that sent a delta whose result lacks the announced digest; a
        # snapshot is requested from them.
        self._snapshot_peer_ids = set()
        self._send_pull, self._receive_pull = trio.open_memory_channel(
            _MAXIMUM_QUEUED_PULLS
        )

    async def run(self):
        """Run one polling task per parent until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_pulls)
            nursery.start_soon(self._probe_unreachable_peers)
            scopes_by_parent = {}
            while True:
                generation = self._topology.generation
                current_parents = dict.fromkeys(
                    self._topology.parents() + self._topology.remote_parents()
                )
                for parent in [
                    parent
                    for parent in scopes_by_parent
                    if parent not in current_parents
                ]:
                    scopes_by_parent.pop(parent).cancel()
                added = [
                    parent
                    for parent in current_parents
                    if parent not in scopes_by_parent
                ]
                for parent in added:
                    scopes_by_parent[parent] = trio.CancelScope()
                    nursery.start_soon(
                        self._poll_parent, parent, scopes_by_parent[parent]
                    )
                if added:
                    decisions.record(
                        "parents_chosen",
                        chosen=[parent.host_id for parent in current_parents],
                        candidates=len(self._hosts.hosts_by_id),
                        reason="rank in the failure domain's order",
                    )
                await self._topology.wait_for_change(generation)

    async def sync_once(self, timeout=SYNC_ONCE_TIMEOUT_SECONDS):
        """Query up to three peers, parents first, without a hold time.

        Parameters
        ----------
        timeout : float
            Seconds.

        Returns
        -------
        int
            Number of peers that sent a valid response before this method
            returned.
        """
        targets = self._topology.parents() + self._topology.remote_parents()
        others = [
            host
            for host in self._hosts.hosts_of_domain(
                self._own_host.failure_domain
            )
            if host not in targets and self.is_usable_peer(host)
        ]
        missing_count = max(0, SYNC_ONCE_PEERS - len(targets))
        targets += self._random.sample(others, min(missing_count, len(others)))
        heads_by_id = await self.query_peers(
            targets[:SYNC_ONCE_PEERS],
            timeout,
            lambda heads: _count_informed(heads) >= SYNC_ONCE_SUFFICIENT_PEERS,
        )
        return len(heads_by_id)

    async def query_peers(
        self, hosts, timeout=SYNC_ONCE_TIMEOUT_SECONDS, is_enough=None
    ):
        """Query several peers concurrently, without a hold time.

        Parameters
        ----------
        hosts : iterable of model.Host
        timeout : float
            Seconds.
        is_enough : callable, optional
            ``is_enough(heads_by_id)`` is called after each response; the
            remaining queries are cancelled when it returns true.

        Returns
        -------
        dict of str to model.HeadReference
            Head of each peer that sent a valid response in time, by the
            peer's host id.
        """
        heads_by_id = {}

        async def query_one(host):
            try:
                reply = await self.sync_with(host, 0.0, timeout)
            except errors.DistributionError as error:
                self._record_failure(host, error)
                self._suspect(host, error)
            else:
                self._topology.clear_suspicion(host.host_id)
                heads_by_id[host.host_id] = store_module.head_from_message(
                    reply.head
                )
                if is_enough is not None and is_enough(heads_by_id):
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for host in hosts:
                nursery.start_soon(query_one, host)
        return heads_by_id

    async def sync_with(self, host, wait, timeout):
        """Send one Sync call to a peer and apply its response.

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
            The peer did not respond, or its response is not valid.
        """
        head = self._store.head
        requests_snapshot = host.host_id in self._snapshot_peer_ids
        request = peer_pb2.SyncRequest(
            sender=self._own_host.host_id,
            head=store_module.head_to_message(
                model.NO_HEAD if requests_snapshot else head
            ),
            host_revisions=self._hosts.revisions_by_domain,
            wait_ms=0 if requests_snapshot else round(wait * _MS_PER_SECOND),
            failure_domain=self._own_host.failure_domain,
        )
        self.call_count += 1
        self.bytes_sent += request.ByteSize()
        reply = await self._peers.sync(host.address, request, timeout)
        self.bytes_received += reply.ByteSize()
        self._snapshot_peer_ids.discard(host.host_id)
        self._apply(host, reply)
        return reply

    def schedule_pull(self, host_id):
        """Schedule a query of a peer that has something newer.

        A node with outdated sources, such as a restarted reader of a stale
        platform, catches up from its children this way.
        """
        host = self._hosts.hosts_by_id.get(host_id)
        if host is None or not self.is_usable_peer(host):
            return
        try:
            self._send_pull.send_nowait(host)
        except trio.WouldBlock:
            # The peer's next poll leads to another query.
            pass

    def is_usable_peer(self, host):
        """Return whether a host is a peer that can be queried.

        False for this node's own host and for hosts that are leaving or
        suspected.
        """
        return (
            host.host_id != self._own_host.host_id
            and not host.is_leaving
            and host.host_id not in self._topology.suspected_ids()
        )

    def _apply(self, host, reply):
        """Apply all updates of a response, then raise the first error."""
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
                # An update from another parent was applied first.
                pass
            except errors.DigestMismatchError as error:
                if reply.update.base.version:
                    self._snapshot_peer_ids.add(host.host_id)
                else:
                    first_error = first_error or error
            except errors.DistributionError as error:
                first_error = first_error or error
        if first_error is not None:
            raise first_error

    async def _run_pulls(self):
        async for host in self._receive_pull:
            await self.query_peers([host])

    async def _probe_unreachable_peers(self):
        """Query a random unreachable peer at random intervals."""
        while True:
            await trio.sleep(
                self._random.uniform(0.5, 1.0) * PROBE_INTERVAL_SECONDS
            )
            suspected_ids = self._topology.unreachable_ids()
            listed = map(self._hosts.hosts_by_id.get, sorted(suspected_ids))
            suspected = [host for host in listed if host is not None]
            suspected += [
                seed
                for seed in self._topology.seeds
                if seed.host_id in suspected_ids
            ]
            if suspected:
                await self.query_peers([self._random.choice(suspected)])

    async def _poll_parent(self, parent, scope):
        with scope:
            failures = 0
            while True:
                started_at = trio.current_time()
                previous = self._store.head, self._hosts.generation
                timeout = self._poll_wait + RESPONSE_MARGIN_SECONDS
                try:
                    has_responded = await self._poll_once(parent, timeout)
                except errors.DistributionError as error:
                    failures += 1
                    self._record_failure(parent, error)
                    elapsed = trio.current_time() - started_at
                    if elapsed < timeout + PROCESS_PAUSE_SECONDS:
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
                if not has_responded:
                    continue
                failures = 0
                self._topology.clear_suspicion(parent.host_id)
                elapsed = trio.current_time() - started_at
                if (
                    previous == (self._store.head, self._hosts.generation)
                    and parent.host_id not in self._snapshot_peer_ids
                    and elapsed < self._poll_wait / 2
                ):
                    # The parent holds its maximum number of calls, or sent
                    # changes that were already received from another parent.
                    await trio.sleep(
                        self._random.uniform(0.1, 0.5) * self._poll_wait
                    )

    async def _poll_once(self, parent, timeout):
        """Poll a parent; cancel the call if its head becomes outdated.

        A held call carries the head that this node had when the call
        started. The next call carries the newer one, so that a parent that
        lacks it can query this node.

        Returns
        -------
        bool
            Whether the parent responded; false if the call was cancelled.
        """
        # Raised after the nursery, which would wrap it in an exception group.
        poll_error = None
        has_responded = False
        sent_head = self._store.head
        async with trio.open_nursery() as nursery:

            async def cancel_when_outdated():
                await self._store.wait_for_newer_head(sent_head)
                await trio.sleep(
                    self._random.uniform(0.5, 1.0) * OUTDATED_GRACE_SECONDS
                )
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_when_outdated)
            try:
                await self.sync_with(parent, self._poll_wait, timeout)
                has_responded = True
            except errors.DistributionError as error:
                poll_error = error
            nursery.cancel_scope.cancel()
        if poll_error is not None:
            raise poll_error
        return has_responded

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


def _count_informed(heads_by_id):
    """Return the number of peers that have a version."""
    return sum(head.version > 0 for head in heads_by_id.values())
