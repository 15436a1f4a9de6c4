"""Memory of idempotency keys, so that no key is admitted twice."""

import collections
import dataclasses
import enum
import hashlib
import math
import types

import trio

from . import errors

WINDOW_SECONDS = 600.0
MAXIMUM_KEYS = 20_000
MAXIMUM_RESPONSE_BYTES = 16 * 1024 * 1024
LOOKUP_TIMEOUT_SECONDS = 0.2
# Marks that the hosts were not looked at yet.
_NOT_OBSERVED = types.MappingProxyType({})
# Bytes of a header field and of an entry apart from their text.
_OVERHEAD_BYTES = 100
_DIGEST_BYTES = 16
# Refusals after which the next owner in a key's order may take the key: the
# owner will not be able to run it for as long as it stays in this state.
MOVING_ERRORS = (
    errors.LeavingError,
    errors.OutOfServiceError,
    errors.UpstreamUnreachableError,
)


class KeyState(enum.Enum):
    """What a memory knows of a key; mirrors ``KeyAnswer.State``."""

    SEEN = "seen"
    NOT_SEEN = "not seen"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyEntry:
    """A key that is handed over, and its age in seconds."""

    key: bytes
    age: float


def needs_key_check(call):
    """Tell whether a call's key decides its admission.

    A key on an idempotent route does not bind the call to one owner.
    """
    return call.idempotency_key is not None and not call.route.is_idempotent


def scoped_key(call):
    """Return a digest of the service, the route and the caller's key."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in (call.route.service, call.route.name, call.idempotency_key):
        encoded = text.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()


def key_order(key, hosts):
    """Return hosts in the rendezvous order of a key; the owner is first.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> hosts = [
    ...     model.Host(host_id=name, address="127.0.0.1",
    ...                service="showroom", failure_domain="cairo-1")
    ...     for name in ("a", "b", "c")]
    >>> order = key_order(b"key", hosts)
    >>> order[1:] == key_order(b"key", hosts[::-1])[1:]
    True
    """
    return sorted(
        hosts, key=lambda host: (_rank(key, host.host_id), host.host_id)
    )


def _rank(key, host_id):
    return hashlib.blake2b(
        host_id.encode(), key=key[:64], digest_size=8
    ).digest()


def _request_digest(request):
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f"{request.method} {request.target}\n".encode())
    digest.update(request.body)
    return digest.digest()


# Shared by all entries that are finished, because an event of their own
# takes about a third of the memory of 20,000 keys.
_FINISHED = trio.Event()
_FINISHED.set()


class _Entry:
    __slots__ = (
        "began",
        "request_digest",
        "response",
        "size",
        "finished",
        "is_forgotten",
    )

    def __init__(self, *, began, request_digest=None):
        self.began = began
        self.request_digest = request_digest
        self.response = None
        self.size = 0
        self.finished = trio.Event()
        self.is_forgotten = False

    def finish(self):
        """Let go those that wait for the outcome."""
        self.finished.set()
        self.finished = _FINISHED


class KeyWindow:
    """Keys that this owner started within the last ten minutes.

    Parameters
    ----------
    own_host : model.Host
    hosts_of_service : callable
        ``hosts_of_service(name)`` returns all known hosts of a service,
        leaving ones and those of domains out of service included.
    lookup : callable, optional
        ``await lookup(host, key, timeout)`` asks another owner and returns a
        ``KeyState`` or raises ``errors.PeerUnavailableError``.
    window : float
        Seconds for which a key is remembered.
    """

    def __init__(
        self,
        *,
        own_host,
        hosts_of_service,
        lookup=None,
        window=WINDOW_SECONDS,
        maximum_keys=MAXIMUM_KEYS,
        maximum_response_bytes=MAXIMUM_RESPONSE_BYTES,
    ):
        self._own_host = own_host
        self._hosts_of_service = hosts_of_service
        self._lookup = lookup
        self._window = window
        self._maximum_keys = maximum_keys
        self._maximum_response_bytes = maximum_response_bytes
        self._entries_by_key = collections.OrderedDict()
        self._keys_with_response = collections.OrderedDict()
        self._response_bytes = 0
        # Keys that began after this time are all remembered.
        self._complete_since = trio.current_time()
        self._moved_until_by_key = collections.OrderedDict()
        self._joined_by_id = _NOT_OBSERVED
        self._departures_by_id = {}

    def __len__(self):
        return len(self._entries_by_key)

    async def reserve(self, call):
        """Admit a key, or answer for it.

        A key in progress is waited for until the call's deadline.

        Parameters
        ----------
        call : model.Call

        Returns
        -------
        model.Response or None
            The stored response of the key's first request; None if the call
            was entered as the key's request and may run. The caller then
            owes ``finish`` or ``forget``.

        Raises
        ------
        errors.KeySeenError
        """
        key = scoped_key(call)
        request_digest = _request_digest(call.request)
        while True:
            entry = self.check(key)
            if entry is None:
                break
            if (
                entry.request_digest is not None
                and entry.request_digest != request_digest
            ):
                raise errors.KeySeenError(
                    "the idempotency key was used for another request; use "
                    "a new key for each request"
                )
            with trio.move_on_at(call.deadline):
                await entry.finished.wait()
            if not entry.finished.is_set():
                raise errors.KeySeenError(
                    "a request with this idempotency key was still in "
                    "progress at the deadline"
                )
            if entry.is_forgotten:
                continue
            if entry.response is not None:
                return entry.response
            raise errors.KeySeenError(
                "the idempotency key was seen "
                f"{trio.current_time() - entry.began:.1f} s ago and its "
                "outcome is not known; look up the result before "
                "sending a new request"
            )
        # Entered before the lookup, so that a second request with the key
        # waits here instead of being looked up as well.
        self.begin(key, request_digest)
        is_reserved = False
        try:
            state = await self._ask_next_owner(call, key)
            if state is KeyState.SEEN or (
                state is KeyState.UNCERTAIN and call.attempt > 1
            ):
                raise errors.KeySeenError(
                    "the request is a repetition and no node can rule out "
                    "that the first sending ran"
                    if state is KeyState.UNCERTAIN
                    else "another owner has seen the idempotency key; its "
                    "outcome is not known"
                )
            is_reserved = True
        except errors.KeySeenError:
            self.finish(key, None)
            is_reserved = True
            raise
        finally:
            if not is_reserved:
                self.forget(key)
        return None

    async def _ask_next_owner(self, call, key):
        """Return what this memory and the next owner know of a key.

        A first sending is only looked up if this memory is not complete. A
        repetition always is: the next owner may have run the first sending
        while this node could not be reached.
        """
        is_covered = self.covers(key)
        if is_covered and call.attempt == 1:
            return KeyState.NOT_SEEN
        state = await self._look_up_elsewhere(call, key)
        if state is KeyState.UNCERTAIN and is_covered:
            return KeyState.NOT_SEEN
        return state

    async def _look_up_elsewhere(self, call, key):
        others = [
            host
            for host in self._hosts_of_service(call.route.service)
            if host.host_id != self._own_host.host_id
        ]
        if not others or self._lookup is None:
            return KeyState.UNCERTAIN
        timeout = min(
            LOOKUP_TIMEOUT_SECONDS,
            max(0.0, call.deadline - trio.current_time()),
        )
        state = KeyState.UNCERTAIN
        with trio.move_on_after(timeout):
            try:
                state = await self._lookup(
                    key_order(key, others)[0], key, timeout
                )
            except errors.PeerUnavailableError:
                state = KeyState.UNCERTAIN
        return state

    def covers(self, key, asker=None, asker_uptime=None):
        """Tell whether an absent key was certainly not started.

        That holds if this memory is complete for the window and every
        request with the key would have come here: no other host that was
        present within the window precedes this one in the key's order.

        An asking host is left out if it joined for the first time when its
        node started. Otherwise an earlier process of that host may have run
        the key and lost its memory in a crash.
        """
        self.observe_hosts()
        if key in self._moved_until_by_key:
            return False
        now = trio.current_time()
        if self._complete_since > now - self._window:
            return False
        own_rank = (
            _rank(key, self._own_host.host_id),
            self._own_host.host_id,
        )
        has_joined_new = (
            asker_uptime is not None
            and self._joined_by_id.get(asker, -math.inf) >= now - asker_uptime
        )
        for host_id in (*self._joined_by_id, *self._departures_by_id):
            if host_id == self._own_host.host_id:
                continue
            if host_id == asker and has_joined_new:
                continue
            if (_rank(key, host_id), host_id) < own_rank:
                return False
        return True

    def observe_hosts(self):
        """Note which hosts joined and left; called every second."""
        now = trio.current_time()
        hosts = self._hosts_of_service(self._own_host.service)
        present = {host.host_id for host in hosts}
        joined = -math.inf if self._joined_by_id is _NOT_OBSERVED else now
        for host_id in self._joined_by_id:
            if host_id not in present:
                self._departures_by_id[host_id] = now
        # A host that comes back within the window is not new.
        self._joined_by_id = {
            host_id: self._joined_by_id.get(
                host_id,
                -math.inf if host_id in self._departures_by_id else joined,
            )
            for host_id in present
        }
        self._departures_by_id = {
            host_id: departed
            for host_id, departed in self._departures_by_id.items()
            if host_id not in present and departed > now - self._window
        }

    def look_up(self, key, asker, asker_uptime=None):
        """Answer another owner's question about a key.

        Parameters
        ----------
        key : bytes
            What ``scoped_key`` returned there.
        asker : str
            Host id of the asking owner.
        asker_uptime : float, optional
            Seconds since that node started; without it, "not seen" is never
            certain for a key that the asking host owns.

        Returns
        -------
        KeyState
        """
        if self.check(key) is not None:
            return KeyState.SEEN
        if self.covers(key, asker, asker_uptime):
            return KeyState.NOT_SEEN
        return KeyState.UNCERTAIN

    def check(self, key):
        """Return the entry of a key seen within the window, or None."""
        self._drop_old()
        return self._entries_by_key.get(key)

    def begin(self, key, request_digest=None):
        """Enter a key as in progress."""
        self._entries_by_key[key] = _Entry(
            began=trio.current_time(), request_digest=request_digest
        )
        self._drop_excess()

    def finish(self, key, response):
        """Store the outcome of a key; None if it is not known."""
        entry = self._entries_by_key.get(key)
        if entry is None:
            return
        if response is not None:
            entry.response = response
            entry.size = _response_size(response)
            self._response_bytes += entry.size
            self._keys_with_response[key] = None
            while self._response_bytes > self._maximum_response_bytes:
                oldest, _ = self._keys_with_response.popitem(last=False)
                self._drop_response(self._entries_by_key[oldest])
        entry.finish()

    def forget(self, key):
        """Remove a key whose request certainly did not run."""
        entry = self._entries_by_key.get(key)
        if entry is not None:
            entry.is_forgotten = True
            self._remove(key)
            entry.finish()

    def mark_moved(self, key):
        """Note that another owner may run a key that this one refused."""
        now = trio.current_time()
        moved = self._moved_until_by_key
        moved[key] = now + self._window
        moved.move_to_end(key)
        while next(iter(moved.values())) <= now:
            moved.popitem(last=False)
        if len(moved) > self._maximum_keys:
            _, until = moved.popitem(last=False)
            self._complete_since = max(
                self._complete_since, until - self._window
            )

    def take_over(self, keys, ages):
        """Enter the keys of a leaving owner.

        Parameters
        ----------
        keys : sequence of bytes
        ages : sequence of float
            Age of each key, seconds.
        """
        now = trio.current_time()
        for key, age in zip(keys, ages, strict=True):
            if age < self._window and key not in self._entries_by_key:
                self._add_finished(key, now - age)
        # Entries are dropped from the front, so the oldest must be there.
        self._entries_by_key = collections.OrderedDict(
            sorted(
                self._entries_by_key.items(), key=lambda item: item[1].began
            )
        )
        self._drop_old()
        self._drop_excess()

    def _add_finished(self, key, began):
        entry = _Entry(began=began)
        entry.finish()
        self._entries_by_key[key] = entry

    def take_hint(self, key, is_retracted=False):
        """Enter a key that another owner sent, or remove it again.

        Parameters
        ----------
        key : bytes
        is_retracted : bool
            The request did not run after all. A key that this owner started
            itself stays.
        """
        if not is_retracted:
            if key not in self._entries_by_key:
                self._add_finished(key, trio.current_time())
                self._drop_excess()
            return
        entry = self._entries_by_key.get(key)
        if entry is not None and entry.request_digest is None:
            self.forget(key)

    def entries(self):
        """Return all remembered keys with their ages.

        Returns
        -------
        list of KeyEntry
        """
        self._drop_old()
        now = trio.current_time()
        return [
            KeyEntry(key=key, age=now - entry.began)
            for key, entry in self._entries_by_key.items()
        ]

    def plan_hand_over(self):
        """Group the remembered keys by the host that owns them next.

        Returns
        -------
        dict[str, list of KeyEntry]
            By host id.
        """
        others = [
            host
            for host in self._hosts_of_service(self._own_host.service)
            if host.host_id != self._own_host.host_id and not host.is_leaving
        ]
        entries_by_host_id = {}
        for entry in self.entries() if others else ():
            owner = key_order(entry.key, others)[0]
            entries_by_host_id.setdefault(owner.host_id, []).append(entry)
        return entries_by_host_id

    def _drop_old(self):
        oldest_allowed = trio.current_time() - self._window
        while self._entries_by_key:
            key, entry = next(iter(self._entries_by_key.items()))
            if entry.began > oldest_allowed or not entry.finished.is_set():
                return
            self._remove(key)

    def _drop_excess(self):
        while len(self._entries_by_key) > self._maximum_keys:
            # Keys in progress stay; the gate's slots and queue bound them.
            found = next(
                (
                    item
                    for item in self._entries_by_key.items()
                    if item[1].finished.is_set()
                ),
                None,
            )
            if found is None:
                return
            key, entry = found
            self._complete_since = max(self._complete_since, entry.began)
            self._remove(key)

    def _remove(self, key):
        entry = self._entries_by_key.pop(key)
        if key in self._keys_with_response:
            del self._keys_with_response[key]
            self._drop_response(entry)

    def _drop_response(self, entry):
        self._response_bytes -= entry.size
        entry.response = None
        entry.size = 0


def _response_size(response):
    headers = sum(
        len(header.name) + len(header.value) + _OVERHEAD_BYTES
        for header in response.headers
    )
    return _OVERHEAD_BYTES + headers + len(response.body)
