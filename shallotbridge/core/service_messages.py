"""Messages among the nodes of one service: crash reports and keys."""

import trio

from .._generated import peer_pb2
from . import decisions
from . import errors
from . import keys as key_window

CRASH_REPORT_TIMEOUT_SECONDS = 2.0
HAND_OVER_TIMEOUT_SECONDS = 2.0
# 5,000 keys take about 100 KB in one message.
HAND_OVER_BATCH_SIZE = 5_000
_MILLISECONDS = 1000
_MESSAGE_STATES_BY_KEY_STATE = {
    key_window.KeyState.SEEN: peer_pb2.KeyAnswer.SEEN,
    key_window.KeyState.NOT_SEEN: peer_pb2.KeyAnswer.NOT_SEEN,
    key_window.KeyState.UNCERTAIN: peer_pb2.KeyAnswer.UNCERTAIN,
}
_KEY_STATES_BY_MESSAGE_STATE = {
    state: key_state
    for key_state, state in _MESSAGE_STATES_BY_KEY_STATE.items()
}


class ServiceMessageHandler:
    """Handles messages from other nodes of the service.

    Parameters
    ----------
    own_host : model.Host
    keys : keys.KeyWindow
    suspects : suspects.SuspectTable

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Sizes of the messages, without transport framing.
    """

    def __init__(self, *, own_host, keys, suspects):
        self.bytes_sent = 0
        self.bytes_received = 0
        self._own_host = own_host
        self._keys = keys
        self._suspects = suspects

    def _count_and_check_service(self, message):
        """Count a message's bytes; return whether it is of this service."""
        self.bytes_received += message.ByteSize()
        return message.service == self._own_host.service

    async def handle_crash_report(self, report):
        """Add the suspects that another node found."""
        if self._count_and_check_service(report):
            self._suspects.on_crash_report(
                report.fingerprints, report.quarantined
            )

    async def handle_key_query(self, query):
        """Return the state of a key at this node as a message."""
        state = key_window.KeyState.UNCERTAIN
        if self._count_and_check_service(query):
            state = self._keys.get_state(
                query.key, query.sender, query.uptime_ms / _MILLISECONDS
            )
        answer = peer_pb2.KeyAnswer(state=_MESSAGE_STATES_BY_KEY_STATE[state])
        self.bytes_sent += answer.ByteSize()
        return answer

    async def handle_hand_over(self, message):
        """Add the keys of a leaving owner, or apply hints about keys."""
        if not self._count_and_check_service(message):
            return
        if message.kind == peer_pb2.KeyHandOver.LEAVING:
            self._add_handed_over_keys(message)
            return
        is_retracted = message.kind == peer_pb2.KeyHandOver.RETRACTION
        for key in message.keys:
            self._keys.apply_hint(key, is_retracted)

    def _add_handed_over_keys(self, message):
        pairs = list(zip(message.keys, message.ages_ms))
        self._keys.add_handed_over_keys(
            [key for key, _ in pairs],
            [age / _MILLISECONDS for _, age in pairs],
        )
        decisions.record(
            "keys_taken_over", candidates=[message.sender], keys=len(pairs)
        )


class ServiceMessageSender:
    """Sends messages to other nodes of a service.

    Parameters
    ----------
    own_host : model.Host
    hosts : hosts.HostTable
    peers : peer_calls.PeerCalls
    spawn : callable
        ``spawn(function, *arguments)`` runs an async function in the
        background.
    read_uptime : callable
        ``read_uptime()`` returns the time since this node started, seconds.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Sizes of the messages, without transport framing.
    """

    def __init__(self, *, own_host, hosts, peers, spawn, read_uptime):
        self.bytes_sent = 0
        self.bytes_received = 0
        self._own_host = own_host
        self._hosts = hosts
        self._peers = peers
        self._spawn = spawn
        self._read_uptime = read_uptime

    async def query_key_state(self, host, key, timeout):
        """Query another owner for the state of a key.

        Returns
        -------
        keys.KeyState

        Raises
        ------
        errors.PeerUnavailableError
        """
        query = peer_pb2.KeyQuery(
            sender=self._own_host.host_id,
            service=self._own_host.service,
            key=key,
            uptime_ms=round(self._read_uptime() * _MILLISECONDS),
        )
        self.bytes_sent += query.ByteSize()
        answer = await self._peers.lookup_key(host.address, query, timeout)
        self.bytes_received += answer.ByteSize()
        return _KEY_STATES_BY_MESSAGE_STATE.get(
            answer.state, key_window.KeyState.UNCERTAIN
        )

    async def report_crash(self, finding):
        """Send a finding to the service's other nodes and wait for all.

        The reports are sent in the background, so that they continue when
        the caller, which waits for a limited time, is cancelled.
        """
        all_sent = trio.Event()
        self._spawn(self._send_reports, finding, all_sent)
        await all_sent.wait()

    async def _send_reports(self, finding, all_sent):
        others = [
            host
            for host in self._hosts.hosts_of_service(self._own_host.service)
            if host.host_id != self._own_host.host_id
        ]
        try:
            async with trio.open_nursery() as nursery:
                for fingerprints, is_quarantined in (
                    (finding.suspects, False),
                    (finding.quarantined, True),
                ):
                    for host in others if fingerprints else ():
                        nursery.start_soon(
                            self._send_report,
                            host,
                            fingerprints,
                            is_quarantined,
                        )
        finally:
            all_sent.set()

    async def _send_report(self, host, fingerprints, is_quarantined):
        report = peer_pb2.CrashReport(
            sender=self._own_host.host_id,
            service=self._own_host.service,
            fingerprints=fingerprints,
            quarantined=is_quarantined,
        )
        self.bytes_sent += report.ByteSize()
        try:
            await self._peers.report_crash(
                host.address, report, CRASH_REPORT_TIMEOUT_SECONDS
            )
        except errors.PeerUnavailableError as error:
            decisions.record(
                "crash_report_failed",
                candidate=host.host_id,
                code=error.code,
                reason=error.detail,
            )

    async def send_key_hint(
        self, host, service_name, key, is_retracted, timeout
    ):
        """Send an owner the hint that a key may have run, or its retraction.

        Raises
        ------
        errors.PeerUnavailableError
        """
        message = peer_pb2.KeyHandOver(
            sender=self._own_host.host_id,
            service=service_name,
            keys=[key],
            ages_ms=[0],
            kind=(
                peer_pb2.KeyHandOver.RETRACTION
                if is_retracted
                else peer_pb2.KeyHandOver.HINT
            ),
        )
        self.bytes_sent += message.ByteSize()
        await self._peers.hand_over(host.address, message, timeout)

    async def hand_over_keys(self, entries_by_host_id):
        """Send this node's keys to their next owners.

        Parameters
        ----------
        entries_by_host_id : dict of str to list of keys.KeyEntry
        """
        async with trio.open_nursery() as nursery:
            for host_id, entries in entries_by_host_id.items():
                host = self._hosts.hosts_by_id.get(host_id)
                if host is not None:
                    nursery.start_soon(self._send_hand_over, host, entries)

    async def _send_hand_over(self, host, entries):
        for first in range(0, len(entries), HAND_OVER_BATCH_SIZE):
            batch = entries[first : first + HAND_OVER_BATCH_SIZE]
            message = peer_pb2.KeyHandOver(
                sender=self._own_host.host_id,
                service=self._own_host.service,
                keys=[entry.key for entry in batch],
                ages_ms=[round(entry.age * _MILLISECONDS) for entry in batch],
            )
            self.bytes_sent += message.ByteSize()
            reason = "leaving"
            try:
                await self._peers.hand_over(
                    host.address, message, HAND_OVER_TIMEOUT_SECONDS
                )
            except errors.PeerUnavailableError as error:
                reason = f"failed with {error.code}: {error.detail}"
            decisions.record(
                "keys_handed_over",
                chosen=host.host_id,
                keys=len(batch),
                reason=reason,
            )
