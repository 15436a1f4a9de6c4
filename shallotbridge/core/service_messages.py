"""Messages among the nodes of one service: crash reports and keys."""

import trio

from .._generated import peer_pb2
from . import decisions
from . import errors
from . import keys as key_window

CRASH_REPORT_SECONDS = 2.0
HAND_OVER_SECONDS = 2.0
# Keys in one message; 5,000 take about 100 KB.
HAND_OVER_KEYS = 5_000
_MILLISECONDS = 1000
_STATES_BY_KEY_STATE = {
    key_window.KeyState.SEEN: peer_pb2.KeyAnswer.SEEN,
    key_window.KeyState.NOT_SEEN: peer_pb2.KeyAnswer.NOT_SEEN,
    key_window.KeyState.UNCERTAIN: peer_pb2.KeyAnswer.UNCERTAIN,
}
_KEY_STATES_BY_STATE = {
    state: key_state for key_state, state in _STATES_BY_KEY_STATE.items()
}


class ServiceMessageHandler:
    """Takes what other nodes of the service report.

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

    def _is_of_own_service(self, message):
        self.bytes_received += message.ByteSize()
        return message.service == self._own_host.service

    async def take_crash_report(self, report):
        """Enter the suspects that another node found."""
        if self._is_of_own_service(report):
            self._suspects.on_crash_report(report.fingerprints, report.quarantined)

    async def answer_key_query(self, query):
        """Return what the own memory knows of a key, as a message."""
        state = key_window.KeyState.UNCERTAIN
        if self._is_of_own_service(query):
            state = self._keys.get_state(
                query.key, query.sender, query.uptime_ms / _MILLISECONDS
            )
        answer = peer_pb2.KeyAnswer(state=_STATES_BY_KEY_STATE[state])
        self.bytes_sent += answer.ByteSize()
        return answer

    async def take_hand_over(self, message):
        """Enter the keys of a leaving owner, or a hint at one key."""
        if not self._is_of_own_service(message):
            return
        if message.kind == peer_pb2.KeyHandOver.LEAVING:
            self._take_over(message)
            return
        is_retracted = message.kind == peer_pb2.KeyHandOver.RETRACTION
        for key in message.keys:
            self._keys.take_hint(key, is_retracted)

    def _take_over(self, message):
        pairs = list(zip(message.keys, message.ages_ms))
        self._keys.take_over(
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
    peers : peer_calls.Peers
    spawn : callable
        ``spawn(function, *arguments)`` runs an async function in the
        background.
    read_uptime : callable
        ``read_uptime()`` returns the seconds since this node started.

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

    async def look_up_key(self, host, key, timeout):
        """Ask another owner for a key.

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
        return _KEY_STATES_BY_STATE.get(
            answer.state, key_window.KeyState.UNCERTAIN
        )

    async def report_crash(self, finding):
        """Tell the service's other nodes; ends when all have answered.

        The gate waits for a short time only; the reports go on after it.
        """
        is_done = trio.Event()
        self._spawn(self._send_reports, finding, is_done)
        await is_done.wait()

    async def _send_reports(self, finding, is_done):
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
            is_done.set()

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
                host.address, report, CRASH_REPORT_SECONDS
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
        """Tell an owner that a key may have run elsewhere, or did not.

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
        """Send the own keys to their next owners.

        Parameters
        ----------
        entries_by_host_id : dict of str to list of keys.KeyEntry
        """
        async with trio.open_nursery() as nursery:
            for host_id, entries in entries_by_host_id.items():
                host = self._hosts.hosts_by_id.get(host_id)
                if host is not None:
                    nursery.start_soon(self._hand_over_to, host, entries)

    async def _hand_over_to(self, host, entries):
        for first in range(0, len(entries), HAND_OVER_KEYS):
            batch = entries[first : first + HAND_OVER_KEYS]
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
                    host.address, message, HAND_OVER_SECONDS
                )
            except errors.PeerUnavailableError as error:
                reason = f"failed with {error.code}: {error.detail}"
            decisions.record(
                "keys_handed_over",
                chosen=host.host_id,
                keys=len(batch),
                reason=reason,
            )
