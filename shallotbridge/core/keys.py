"""Deduplication window that keeps an idempotency key from running twice."""

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
# Initial value until ``observe_hosts`` has run for the first time.
_NOT_OBSERVED = types.MappingProxyType({})
# Memory in bytes of a header field or a response apart from its text.
_ITEM_OVERHEAD_BYTES = 100
_DIGEST_BYTES = 16
# Refusals after which the next owner in a key's order may run the request:
# the refusing owner cannot run it as long as it stays in this state.
FAILOVER_ERRORS = (
    errors.LeavingError,
    errors.OutOfServiceError,
    errors.UpstreamUnreachableError,
)


class KeyState(enum.Enum):
    """What an owner knows of a key; mirrors ``KeyAnswer.State``."""

    SEEN = "seen"
    NOT_SEEN = "not seen"
    UNCERTAIN = "uncertain"


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyEntry:
    """A key to hand over to another owner, and its age in seconds."""

    key: bytes
    age: float


def needs_key_check(call):
    """Return whether a call's key must be checked before it is admitted.

    Idempotent routes need no check: any owner may run the call.
    """
    return call.idempotency_key is not None and not call.route.is_idempotent


def scoped_key(call):
    """Return a digest of the service, the route and the caller's key."""
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for text in (call.route.service, call.route.name, call.idempotency_key):
        encoded = text.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    return digest.digest()


def owner_order(key, hosts):
    """Return hosts in the rendezvous order of a key, the owner first.

    Examples
    --------
    >>> from shallotbridge.core import model
    >>> hosts = [
    ...     model.Host(host_id=name, address="127.0.0.1",
    ...                service="showroom", failure_domain="cairo-1")
    ...     for name in ("a", "b", "c")]
    >>> order = owner_order(b"key", hosts)
    >>> order[1:] == owner_order(b"key", hosts[::-1])[1:]
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


# Shared by all finished entries: one event per entry would take about a
# third of the memory of 20,000 keys.
_FINISHED = trio.Event()
_FINISHED.set()


class _Entry:
    __slots__ = (
        "started_at",
        "request_digest",
        "response",
        "size",
        "finished",
        "is_released",
    )

    def __init__(self, *, started_at, request_digest=None):
        self.started_at = started_at
        self.request_digest = request_digest
        self.response = None
        self.size = 0
        self.finished = trio.Event()
        self.is_released = False

    def finish(self):
        """Wake the tasks that wait for the outcome."""
        self.finished.set()
        self.finished = _FINISHED


class KeyWindow:
    """Idempotency keys that this owner admitted within the window.

    Parameters
    ----------
    own_host : model.Host
    hosts_of_service : callable
        ``hosts_of_service(name)`` returns all known hosts of a service,
        including leaving hosts and those in domains out of service.
    query_key_state : callable, optional
        ``await query_key_state(host, key, timeout)`` queries another owner and
        returns a ``KeyState`` or raises ``errors.PeerUnavailableError``.
    window : float
        Time for which a key is remembered, seconds.
    maximum_keys : int
    maximum_response_bytes : int
        Bound on the memory of all stored responses.
    """

    def __init__(
        self,
        *,
        own_host,
        hosts_of_service,
        query_key_state=None,
        window=WINDOW_SECONDS,
        maximum_keys=MAXIMUM_KEYS,
        maximum_response_bytes=MAXIMUM_RESPONSE_BYTES,
    ):
        self._own_host = own_host
        self._hosts_of_service = hosts_of_service
        self._query_key_state = query_key_state
        self._window = window
        self._maximum_keys = maximum_keys
        self._maximum_response_bytes = maximum_response_bytes
        self._entries_by_key = collections.OrderedDict()
        self._keys_with_response = collections.OrderedDict()
        self._response_bytes = 0
        # No key that was admitted after this time was evicted before it
        # expired.
        self._complete_since = trio.current_time()
        self._moved_until_by_key = collections.OrderedDict()
        self._joined_at_by_id = _NOT_OBSERVED
        self._departed_at_by_id = {}

    def __len__(self):
        return len(self._entries_by_key)

    async def reserve(self, call):
        """Reserve a call's key, or return the stored response.

        If the key is in progress, waits for its outcome until the call's
        deadline.

        Parameters
        ----------
        call : model.Call

        Returns
        -------
        model.Response or None
            The stored response of the key's first request, or None if the
            key is reserved for this call. The caller must then call
            ``finish`` or ``release``.

        Raises
        ------
        errors.KeySeenError
            The key belongs to another request, or its request may have run
            and the outcome is not known.
        """
        key = scoped_key(call)
        request_digest = _request_digest(call.request)
        while True:
            entry = self.get_entry(key)
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
            if entry.is_released:
                continue
            if entry.response is not None:
                return entry.response
            raise errors.KeySeenError(
                "the idempotency key was seen "
                f"{trio.current_time() - entry.started_at:.1f} s ago and its "
                "outcome is not known; look up the result before "
                "sending a new request"
            )
        # Added before the lookup, so that a second request with the key
        # waits for this one instead of starting its own lookup.
        self.begin(key, request_digest)
        is_reserved = False
        try:
            state = await self._resolve_state(call, key)
            if state is KeyState.SEEN or (
                state is KeyState.UNCERTAIN and call.attempt > 1
            ):
                raise errors.KeySeenError(
                    "the request is a retry and no node can rule out that "
                    "the first attempt ran"
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
                self.release(key)
        return None

    async def _resolve_state(self, call, key):
        """Return what this node and the next owner know of a key.

        The next owner is queried for the first attempt of a request only if
        this node cannot rule out that the key has run (see
        ``is_absence_certain``). It is always queried for a retry, because it
        may have run the first attempt while this node was unreachable.
        """
        is_certainly_absent = self.is_absence_certain(key)
        if is_certainly_absent and call.attempt == 1:
            return KeyState.NOT_SEEN
        state = await self._query_next_owner(call, key)
        if state is KeyState.UNCERTAIN and is_certainly_absent:
            return KeyState.NOT_SEEN
        return state

    async def _query_next_owner(self, call, key):
        others = [
            host
            for host in self._hosts_of_service(call.route.service)
            if host.host_id != self._own_host.host_id
        ]
        if not others or self._query_key_state is None:
            return KeyState.UNCERTAIN
        timeout = min(
            LOOKUP_TIMEOUT_SECONDS,
            max(0.0, call.deadline - trio.current_time()),
        )
        state = KeyState.UNCERTAIN
        with trio.move_on_after(timeout):
            try:
                state = await self._query_key_state(
                    owner_order(key, others)[0], key, timeout
                )
            except errors.PeerUnavailableError:
                state = KeyState.UNCERTAIN
        return state

    def is_absence_certain(
        self, key, requester_id=None, requester_uptime=None
    ):
        """Return whether a key without an entry has certainly not run.

        That holds if no key of the window was dropped and every request with
        the key would have come to this host: no other host that was present
        within the window precedes this one in the key's order.

        The requesting host is ignored if it joined for the first time when
        its node started. Otherwise an earlier process of that host may have
        run the key and lost its window in a crash.
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
        has_joined_first_time = (
            requester_uptime is not None
            and self._joined_at_by_id.get(requester_id, -math.inf)
            >= now - requester_uptime
        )
        for host_id in (*self._joined_at_by_id, *self._departed_at_by_id):
            if host_id == self._own_host.host_id:
                continue
            if host_id == requester_id and has_joined_first_time:
                continue
            if (_rank(key, host_id), host_id) < own_rank:
                return False
        return True

    def observe_hosts(self):
        """Record which hosts joined and left; called every second."""
        now = trio.current_time()
        hosts = self._hosts_of_service(self._own_host.service)
        present = {host.host_id for host in hosts}
        joined_at = (
            -math.inf if self._joined_at_by_id is _NOT_OBSERVED else now
        )
        for host_id in self._joined_at_by_id:
            if host_id not in present:
                self._departed_at_by_id[host_id] = now
        # A host that returns within the window does not count as new.
        self._joined_at_by_id = {
            host_id: self._joined_at_by_id.get(
                host_id,
                -math.inf if host_id in self._departed_at_by_id else joined_at,
            )
            for host_id in present
        }
        self._departed_at_by_id = {
            host_id: departed_at
            for host_id, departed_at in self._departed_at_by_id.items()
            if host_id not in present and departed_at > now - self._window
        }

    def get_state(self, key, requester_id, requester_uptime=None):
        """Return the state of a key for a lookup by another owner.

        Parameters
        ----------
        key : bytes
            Digest that ``scoped_key`` returned at the other owner.
        requester_id : str
            Host id of the requesting owner.
        requester_uptime : float, optional
            Time since that node started, seconds. Without it, a key that the
            requesting host owns is never certainly "not seen".

        Returns
        -------
        KeyState
        """
        if self.get_entry(key) is not None:
            return KeyState.SEEN
        if self.is_absence_certain(key, requester_id, requester_uptime):
            return KeyState.NOT_SEEN
        return KeyState.UNCERTAIN

    def get_entry(self, key):
        """Return the entry of a key seen within the window, or None."""
        self._evict_expired()
        return self._entries_by_key.get(key)

    def begin(self, key, request_digest=None):
        """Add a key as in progress."""
        self._entries_by_key[key] = _Entry(
            started_at=trio.current_time(), request_digest=request_digest
        )
        self._evict_excess()

    def finish(self, key, response):
        """Store the response of a key; None if the outcome is not known."""
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
                self._evict_response(self._entries_by_key[oldest])
        entry.finish()

    def release(self, key):
        """Remove a key whose request certainly did not run."""
        entry = self._entries_by_key.get(key)
        if entry is not None:
            entry.is_released = True
            self._remove_entry(key)
            entry.finish()

    def mark_moved(self, key):
        """Record that another owner may run a key that this one refused."""
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

    def add_handed_over_keys(self, keys, ages):
        """Add the keys that a leaving owner handed over.

        Parameters
        ----------
        keys : sequence of bytes
        ages : sequence of float
            Age of each key, seconds.
        """
        now = trio.current_time()
        for key, age in zip(keys, ages, strict=True):
            if age < self._window and key not in self._entries_by_key:
                self._add_finished_entry(key, now - age)
        # Entries are evicted from the front, so the oldest must come first.
        self._entries_by_key = collections.OrderedDict(
            sorted(
                self._entries_by_key.items(),
                key=lambda item: item[1].started_at,
            )
        )
        self._evict_expired()
        self._evict_excess()

    def _add_finished_entry(self, key, started_at):
        entry = _Entry(started_at=started_at)
        entry.finish()
        self._entries_by_key[key] = entry

    def apply_hint(self, key, is_retracted=False):
        """Apply a hint of another node: add its key, or remove it again.

        Parameters
        ----------
        key : bytes
        is_retracted : bool
            Whether the request did not run after all. A key that this owner
            admitted itself is not removed.
        """
        if not is_retracted:
            if key not in self._entries_by_key:
                self._add_finished_entry(key, trio.current_time())
                self._evict_excess()
            return
        entry = self._entries_by_key.get(key)
        if entry is not None and entry.request_digest is None:
            self.release(key)

    def entries(self):
        """Return all remembered keys with their ages.

        Returns
        -------
        list of KeyEntry
        """
        self._evict_expired()
        now = trio.current_time()
        return [
            KeyEntry(key=key, age=now - entry.started_at)
            for key, entry in self._entries_by_key.items()
        ]

    def plan_hand_over(self):
        """Group the remembered keys by their next owner.

        Returns
        -------
        dict[str, list of KeyEntry]
            The keys by the host id of the next owner.
        """
        others = [
            host
            for host in self._hosts_of_service(self._own_host.service)
            if host.host_id != self._own_host.host_id and not host.is_leaving
        ]
        entries_by_host_id = {}
        for entry in self.entries() if others else ():
            owner = owner_order(entry.key, others)[0]
            entries_by_host_id.setdefault(owner.host_id, []).append(entry)
        return entries_by_host_id

    def _evict_expired(self):
        oldest_allowed = trio.current_time() - self._window
        while self._entries_by_key:
            key, entry = next(iter(self._entries_by_key.items()))
            if (
                entry.started_at > oldest_allowed
                or not entry.finished.is_set()
            ):
                return
            self._remove_entry(key)

    def _evict_excess(self):
        while len(self._entries_by_key) > self._maximum_keys:
            # Keys in progress are not evicted; their number is bounded by
            # the slots and the queue of the gate.
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
            self._complete_since = max(self._complete_since, entry.started_at)
            self._remove_entry(key)

    def _remove_entry(self, key):
        entry = self._entries_by_key.pop(key)
        if key in self._keys_with_response:
            del self._keys_with_response[key]
            self._evict_response(entry)

    def _evict_response(self, entry):
        self._response_bytes -= entry.size
        entry.response = None
        entry.size = 0


def _response_size(response):
    headers = sum(
        len(header.name) + len(header.value) + _ITEM_OVERHEAD_BYTES
        for header in response.headers
    )
    return _ITEM_OVERHEAD_BYTES + headers + len(response.body)
