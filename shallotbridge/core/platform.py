"""Reading the configuration and the host lists from the platform."""

import json

import httpx
import trio

from .._generated import configuration_pb2
from .._generated import peer_pb2
from . import decisions
from . import errors
from . import hosts as hosts_module
from . import model
from . import pacing
from . import parts
from ..transports import network

# Time for which the platform holds a watch, seconds.
WATCH_WAIT_SECONDS = 30.0
# Calls a node may make on average and at once.
CALLS_PER_SECOND = 5.0
CALL_BURST = 20
# Bundles have their own limit: a change of all 880 services is 64 bundles,
# which 5 calls a second would take 9 s to read. The 33 readers of the target
# together then stay below the platform's 2,000 calls in any second.
BUNDLES_PER_SECOND = 20.0
BUNDLE_BURST = 20
BACKOFF_FIRST_SECONDS = 0.5
# Calls a second with which a fleet that lost the platform tries it again,
# even if each node has lost its peers too and so counts itself as a reader.
RETRIES_PER_SECOND = 1000
# Readers of a small fleet notice within this time that the platform is back.
BACKOFF_MINIMUM_BOUND_SECONDS = 4.0
# Time for an answer beyond the wait that was asked for, seconds.
RESPONSE_MARGIN_SECONDS = 5.0
MAXIMUM_BUNDLES = 4096
_DIGEST_BYTES = 32
_HTTP_NOT_FOUND = 404
_HTTP_TOO_MANY = 429


class PlatformReader:
    """Keeps a store and a host table up to date from the platform.

    Parameters
    ----------
    platform : network.Platform
    store : store.ConfigurationStore
    hosts : hosts.HostTable
    random : random.Random
    topology : topology.Topology, optional
        The watch runs only while ``is_reader()``; without it, always.
    failure_domain : str, optional
        With a topology: the own domain, whose host list alone is read first,
        so that a common start does not make every node read everything.
    watch_wait : float
        Seconds.
    fleet_size : int
        Upper bound of the nodes that may call the platform.

    Attributes
    ----------
    call_count, bytes_received : int
        Calls to the platform and bytes of the values read.
    is_available : bool
        Whether the last call was answered.
    """

    def __init__(
        self,
        *,
        platform,
        store,
        hosts,
        random,
        topology=None,
        failure_domain=None,
        watch_wait=WATCH_WAIT_SECONDS,
        fleet_size=1,
        calls_per_second=CALLS_PER_SECOND,
        call_burst=CALL_BURST,
    ):
        self.call_count = 0
        self.bytes_received = 0
        self.is_available = True
        self._platform = platform
        self._store = store
        self._hosts = hosts
        self._random = random
        self._topology = topology
        self._failure_domain = failure_domain
        self._watch_wait = watch_wait
        self._bucket = pacing.TokenBucket(
            rate=calls_per_second, burst=call_burst
        )
        self._bundle_bucket = pacing.TokenBucket(
            rate=BUNDLES_PER_SECOND, burst=BUNDLE_BURST
        )
        # With full jitter the mean pause is half of the bound.
        self._backoff_maximum = max(
            BACKOFF_MINIMUM_BOUND_SECONDS,
            2 * fleet_size / RETRIES_PER_SECOND,
        )
        self._revision = 0
        # Keys that changed and were not read completely yet.
        self._pending = set()
        self._bundles_by_digest = {}
        # Head value that was checked as a whole; to read it again is
        # pointless until it changes.
        self._settled_head = None
        self._reported_stale = None

    async def run(self):
        """Watch the platform whenever this node is a reader."""
        while True:
            if self._topology is None:
                await self._watch()
            elif self._topology.is_reader():
                await self._watch_while_reader()
            else:
                await self._topology.wait_for_change(self._topology.generation)

    async def read_once(self):
        """Read all keys that the platform has, once.

        Raises
        ------
        errors.PlatformUnavailableError
            The platform did not answer.
        errors.DistributionError
            A value was malformed; the others were applied.
        """
        change = await self._call(self._platform.watch, 0, 0.0)
        self._note_change(change)
        await self._read_pending()

    async def read_hosts(self, failure_domain):
        """Read the host list of one failure domain: one call.

        Returns
        -------
        bool
            Whether the list was newer.

        Raises
        ------
        errors.DistributionError
            The platform did not answer, or the list is malformed.
        """
        key = hosts_module.KEY_PREFIX + failure_domain
        content = await self._read(key)
        if content is None:
            return False
        return self._apply_hosts(key, content)

    async def _watch_while_reader(self):
        decisions.record("reader_started", reason="among the first in order")
        async with trio.open_nursery() as nursery:

            async def cancel_when_not_reader():
                while self._topology.is_reader():
                    generation = self._topology.generation
                    await self._topology.wait_for_change(generation)
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_when_not_reader)
            await self._watch()
        decisions.record("reader_stopped", reason="others are first in order")

    async def _watch(self):
        # A node that was no reader for a while watches from the start.
        self._revision = 0
        failures = 0
        while True:
            wait = self._watch_wait
            if failures:
                wait = pacing.backoff_seconds(
                    self._random,
                    failures,
                    first=BACKOFF_FIRST_SECONDS,
                    maximum=min(self._backoff_maximum, wait),
                )
            try:
                await self._read_own_hosts_first()
                change = await self._call(
                    self._platform.watch, self._revision, wait
                )
                self._note_change(change)
                await self._read_pending()
            except errors.PlatformUnavailableError as error:
                failures += 1
                self._record_failure(error)
                await trio.sleep(
                    pacing.backoff_seconds(
                        self._random,
                        failures,
                        first=BACKOFF_FIRST_SECONDS,
                        maximum=self._backoff_maximum,
                    )
                )
            except errors.DistributionError as error:
                # The next watch is short, so that the value is read again
                # after the backoff or at once when a key changes.
                failures += 1
                self._record_failure(error)
            else:
                failures = 0

    async def _read_own_hosts_first(self):
        domain = self._failure_domain
        if domain is None or domain in self._hosts.revisions_by_domain:
            return
        if self._topology is not None and self._revision == 0:
            try:
                is_known = await self.read_hosts(domain)
            except errors.MalformedHostListError as error:
                self._record_failure(error)
                return
            # The list may show that others are the readers.
            while is_known and not self._topology.is_reader():
                await self._topology.wait_for_change(self._topology.generation)

    def _record_failure(self, error):
        decisions.record(
            "platform_read_failed", code=error.code, reason=error.detail
        )

    def _note_change(self, change):
        if change.revision < self._revision:
            decisions.record(
                "platform_went_back",
                chosen=change.revision,
                previous=self._revision,
                reason="the platform was restored; versions only move up",
            )
        self._revision = change.revision
        for key in change.keys:
            if key == parts.HEAD_KEY or key.startswith(
                hosts_module.KEY_PREFIX
            ):
                self._pending.add(key)

    async def _read_pending(self):
        first_error = None
        # Hosts come first, so that a starting node that has a version from
        # the platform also knows whom to ask for a higher one.
        for key in sorted(self._pending, reverse=True):
            try:
                if key == parts.HEAD_KEY:
                    await self._read_configuration()
                else:
                    content = await self._read(key)
                    if content is not None:
                        self._apply_hosts(key, content)
            except errors.PlatformUnavailableError:
                raise
            except errors.DistributionError as error:
                first_error = first_error or error
            else:
                self._pending.discard(key)
        if first_error is not None:
            raise first_error

    def _apply_hosts(self, key, content):
        domain = key.removeprefix(hosts_module.KEY_PREFIX)
        revision, listed = hosts_module.parse_host_list(domain, content)
        return self._hosts.replace(domain, revision, listed)

    async def _read_configuration(self):
        content = await self._read(parts.HEAD_KEY)
        if content is None or content == self._settled_head:
            return
        head = parts.decode_message(
            configuration_pb2.Head, content, parts.HEAD_KEY
        )
        reference = model.HeadReference(
            version=head.version, digest=head.digest
        )
        _check_head(head)
        current = self._store.head
        if reference == current or reference.version < current.version:
            if reference != current and self._reported_stale != reference:
                self._reported_stale = reference
                decisions.record(
                    "platform_stale",
                    chosen=current.version,
                    candidate=reference.version,
                    code=errors.StaleVersionError.code,
                    reason="the platform's version is below the accepted one",
                )
            return
        contents = await self._read_bundles(head)
        update = peer_pb2.ConfigurationUpdate(
            head=peer_pb2.HeadReference(
                version=head.version, digest=head.digest
            ),
            base_version=head.base_version,
            base_digest=head.base_digest,
        )
        for bundle_content in contents:
            bundle = parts.decode_message(
                configuration_pb2.Bundle, bundle_content, "bundle"
            )
            update.changed.extend(bundle.parts)
        # All bundles have the digests that this head names, so the result
        # is the same until the head changes.
        self._settled_head = content
        try:
            self._store.apply(update)
        finally:
            self._bundles_by_digest = {}

    async def _read_bundles(self, head):
        """Return the contents of a head's bundles; read what is missing."""
        known_by_digest = {
            parts.part_digest(bundle): bundle
            for bundle in parts.make_bundles(self._store.contents_by_name)
        }
        wanted = {bundle.digest for bundle in head.bundles}
        self._bundles_by_digest = {
            digest: content
            for digest, content in self._bundles_by_digest.items()
            if digest in wanted
        }
        known_by_digest |= self._bundles_by_digest
        for reference in head.bundles:
            if reference.digest in known_by_digest:
                continue
            content = await self._read(reference.key, self._bundle_bucket)
            if content is None:
                raise errors.MalformedPartError(
                    f"head {head.version} names {reference.key}, which is "
                    "absent; the publication may be incomplete"
                )
            if parts.part_digest(content) != reference.digest:
                raise errors.DigestMismatchError(
                    f"{reference.key}: {len(content)} bytes do not have the "
                    "digest in the head"
                )
            known_by_digest[reference.digest] = content
            self._bundles_by_digest[reference.digest] = content
        return [known_by_digest[bundle.digest] for bundle in head.bundles]

    async def _read(self, key, bucket=None):
        content = await self._call(self._platform.read, key, bucket=bucket)
        self.bytes_received += len(content or b"")
        return content

    async def _call(self, function, *arguments, bucket=None):
        await (bucket or self._bucket).take()
        self.call_count += 1
        try:
            result = await function(*arguments)
        except errors.PlatformUnavailableError:
            self.is_available = False
            raise
        self.is_available = True
        return result


def _check_head(head):
    digests = [head.digest] + [bundle.digest for bundle in head.bundles]
    if (
        head.version < 1
        or any(len(digest) != _DIGEST_BYTES for digest in digests)
        or not 1 <= len(head.bundles) <= MAXIMUM_BUNDLES
        or any(
            not bundle.key.startswith(parts.BUNDLE_KEY_PREFIX)
            for bundle in head.bundles
        )
    ):
        raise errors.MalformedPartError(
            f"{parts.HEAD_KEY}: found version {head.version} with "
            f"{len(head.bundles)} bundles; a number, key or digest is not "
            "allowed"
        )


def http_platform(url, client=None):
    """Return the platform at a URL, read over HTTP.

    Parameters
    ----------
    url : str
        Base URL.
    client : httpx.AsyncClient, optional
        Given by a caller that closes it.

    Returns
    -------
    network.Platform
    """
    base = url.rstrip("/")
    if client is None:
        # Certificates are loaded only for a URL that needs them.
        client = httpx.AsyncClient(
            trust_env=False, verify=not base.startswith("http:")
        )

    async def read(key):
        return await _get(client, f"{base}/v1/values/{key}", {}, 0.0)

    async def watch(revision, wait):
        content = await _get(
            client,
            f"{base}/v1/watch",
            {"revision": revision, "wait": wait},
            wait,
        )
        return _parse_change(content)

    return network.Platform(read=read, watch=watch)


async def _get(client, url, parameters, wait):
    content = bytearray()
    timeout = wait + RESPONSE_MARGIN_SECONDS
    try:
        # httpx bounds each read; this bounds the whole answer.
        with trio.fail_after(timeout):
            async with client.stream(
                "GET", url, params=parameters, timeout=timeout
            ) as response:
                if response.status_code == _HTTP_NOT_FOUND:
                    return None
                if response.status_code == _HTTP_TOO_MANY:
                    raise errors.PlatformRateError(f"{url}: status 429")
                if not response.is_success:
                    raise errors.PlatformUnavailableError(
                        f"{url}: status {response.status_code}"
                    )
                async for chunk in response.aiter_bytes():
                    content += chunk
                    if len(content) > parts.MAXIMUM_VALUE_BYTES:
                        raise errors.PlatformUnavailableError(
                            f"{url}: more than "
                            f"{parts.MAXIMUM_VALUE_BYTES} bytes"
                        )
    except (httpx.HTTPError, httpx.InvalidURL, trio.TooSlowError) as error:
        raise errors.PlatformUnavailableError(
            f"{url}: {type(error).__name__}: {error}"
        ) from error
    return bytes(content)


def _parse_change(content):
    try:
        document = json.loads(content or b"")
        revision, keys = document["revision"], document["keys"]
        is_valid = type(revision) is int and all(
            isinstance(key, str) for key in keys
        )
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise errors.PlatformUnavailableError(
            f"watch: malformed answer: {error!r}"
        ) from error
    if not is_valid or revision < 0:
        raise errors.PlatformUnavailableError(
            f"watch: found revision {revision!r} and keys {keys!r}"
        )
    return network.PlatformChange(revision=revision, keys=tuple(keys))
