"""Reads the configuration and the host lists from the platform."""

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

# Hold time of a watch call that is requested from the platform.
WATCH_WAIT_SECONDS = 30.0
# Rate limit of a node's calls, except reads of bundles.
CALLS_PER_SECOND = 5.0
CALL_BURST = 20
# Rate limit of bundle reads. A change of all 880 services is 64 bundles,
# which would take 9 s at 5 calls/s. With this limit the 33 readers of the
# target fleet together stay below the platform's limit of 2,000 calls in any
# second.
BUNDLES_PER_SECOND = 20.0
BUNDLE_BURST = 20
BACKOFF_FIRST_SECONDS = 0.5
# Retry rate of the whole fleet during a platform outage, even if all nodes
# are readers because each has lost its peers too.
RETRIES_PER_SECOND = 1000
# Lower limit of the maximum backoff. Readers of a small fleet detect the end
# of an outage within this time.
MINIMUM_BACKOFF_LIMIT_SECONDS = 4.0
# Time allowed for the response after the requested hold time.
RESPONSE_MARGIN_SECONDS = 5.0
MAXIMUM_BUNDLES = 4096
_DIGEST_BYTES = 32
_HTTP_NOT_FOUND = 404
_HTTP_TOO_MANY_REQUESTS = 429


class PlatformReader:
    """Updates a configuration store and a host table from the platform.

    Parameters
    ----------
    platform : network.PlatformClient
    store : store.ConfigurationStore
    hosts : hosts.HostTable
    random : random.Random
    topology : topology.Topology, optional
        The watch runs only while ``is_reader()``; without a topology, always.
    failure_domain : str, optional
        Used with a topology: the node's own domain. Its host list is read
        first, so that not every node reads all values when the whole fleet
        starts at once.
    watch_wait : float
        Hold time requested from the platform, seconds.
    fleet_size : int
        Upper bound of the number of nodes that may call the platform.
    calls_per_second : float
        Rate limit of calls, except reads of bundles.
    call_burst : int
        Calls that the rate limit allows at once.

    Attributes
    ----------
    call_count, bytes_received : int
        Calls to the platform and bytes of the values read.
    is_available : bool
        Whether the platform responded to the last call.
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
        self._call_limiter = pacing.TokenBucket(
            rate=calls_per_second, burst=call_burst
        )
        self._bundle_limiter = pacing.TokenBucket(
            rate=BUNDLES_PER_SECOND, burst=BUNDLE_BURST
        )
        # With full jitter the mean backoff is half of the limit.
        self._backoff_maximum = max(
            MINIMUM_BACKOFF_LIMIT_SECONDS,
            2 * fleet_size / RETRIES_PER_SECOND,
        )
        self._revision = 0
        # Changed keys that have not been read and applied yet.
        self._pending_keys = set()
        self._bundles_by_digest = {}
        # Head value whose bundles were all read. Its update was applied or
        # rejected, which does not change until the head does.
        self._checked_head_value = None
        self._reported_stale_head = None

    async def run(self):
        """Watch the platform while this node is a reader."""
        while True:
            if self._topology is None:
                await self._watch()
            elif self._topology.is_reader():
                await self._watch_while_reader()
            else:
                await self._topology.wait_for_change(self._topology.generation)

    async def read_once(self):
        """Read all keys of the platform once.

        Raises
        ------
        errors.PlatformUnavailableError
            The platform did not respond.
        errors.DistributionError
            A value was malformed; the others were applied.
        """
        change = await self._call(self._platform.watch, 0, 0.0)
        self._process_change(change)
        await self._read_pending()

    async def read_hosts(self, failure_domain):
        """Read the host list of one failure domain with one call.

        Returns
        -------
        bool
            Whether the list was newer than the known one.

        Raises
        ------
        errors.DistributionError
            The platform did not respond, or the list is malformed.
        """
        key = hosts_module.KEY_PREFIX + failure_domain
        content = await self._read(key)
        if content is None:
            return False
        return self._apply_hosts(key, content)

    async def _watch_while_reader(self):
        decisions.record("reader_started", reason="among the first by rank")
        async with trio.open_nursery() as nursery:

            async def cancel_when_not_reader():
                while self._topology.is_reader():
                    generation = self._topology.generation
                    await self._topology.wait_for_change(generation)
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_when_not_reader)
            await self._watch()
        decisions.record("reader_stopped", reason="others are first by rank")

    async def _watch(self):
        # Revision 0 requests all keys: this node may have missed changes while
        # it was not a reader.
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
                self._process_change(change)
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
                # The next watch is as long as the backoff, so that the value
                # is read again after it, or immediately if a key changes.
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
                is_newer = await self.read_hosts(domain)
            except errors.MalformedHostListError as error:
                self._record_failure(error)
                return
            # The list may show that this node is not a reader.
            while is_newer and not self._topology.is_reader():
                await self._topology.wait_for_change(self._topology.generation)

    def _record_failure(self, error):
        decisions.record(
            "platform_read_failed", code=error.code, reason=error.detail
        )

    def _process_change(self, change):
        if change.revision < self._revision:
            decisions.record(
                "platform_went_back",
                chosen=change.revision,
                previous=self._revision,
                reason="the platform was restored to an older revision; "
                "versions never decrease",
            )
        self._revision = change.revision
        for key in change.keys:
            if key == parts.HEAD_KEY or key.startswith(
                hosts_module.KEY_PREFIX
            ):
                self._pending_keys.add(key)

    async def _read_pending(self):
        first_error = None
        # Host lists are read before the configuration ("hosts/" sorts last),
        # so that a starting node with a version from the platform already
        # knows peers that may have a higher one.
        for key in sorted(self._pending_keys, reverse=True):
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
                self._pending_keys.discard(key)
        if first_error is not None:
            raise first_error

    def _apply_hosts(self, key, content):
        domain = key.removeprefix(hosts_module.KEY_PREFIX)
        revision, listed_hosts = hosts_module.parse_host_list(domain, content)
        return self._hosts.replace(domain, revision, listed_hosts)

    async def _read_configuration(self):
        content = await self._read(parts.HEAD_KEY)
        if content is None or content == self._checked_head_value:
            return
        head = parts.decode_message(
            configuration_pb2.Head, content, parts.HEAD_KEY
        )
        reference = model.HeadReference(
            version=head.version, digest=head.digest
        )
        _validate_head(head)
        current = self._store.head
        if reference == current or reference.version < current.version:
            if reference != current and self._reported_stale_head != reference:
                self._reported_stale_head = reference
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
        # All bundles have the digests in this head, so applying them again
        # gives the same result until the head changes.
        self._checked_head_value = content
        try:
            self._store.apply(update)
        finally:
            self._bundles_by_digest = {}

    async def _read_bundles(self, head):
        """Return the contents of a head's bundles; read the missing ones."""
        contents_by_digest = {
            parts.part_digest(bundle): bundle
            for bundle in parts.make_bundles(self._store.contents_by_name)
        }
        needed_digests = {bundle.digest for bundle in head.bundles}
        self._bundles_by_digest = {
            digest: content
            for digest, content in self._bundles_by_digest.items()
            if digest in needed_digests
        }
        contents_by_digest |= self._bundles_by_digest
        for reference in head.bundles:
            if reference.digest in contents_by_digest:
                continue
            content = await self._read(reference.key, self._bundle_limiter)
            if content is None:
                raise errors.MalformedPartError(
                    f"head {head.version} refers to {reference.key}, which "
                    "does not exist; the publication may be incomplete"
                )
            if parts.part_digest(content) != reference.digest:
                raise errors.DigestMismatchError(
                    f"{reference.key}: the digest of its {len(content)} bytes "
                    "differs from the one in the head"
                )
            contents_by_digest[reference.digest] = content
            self._bundles_by_digest[reference.digest] = content
        return [contents_by_digest[bundle.digest] for bundle in head.bundles]

    async def _read(self, key, limiter=None):
        content = await self._call(self._platform.read, key, limiter=limiter)
        self.bytes_received += len(content or b"")
        return content

    async def _call(self, function, *arguments, limiter=None):
        await (limiter or self._call_limiter).acquire()
        self.call_count += 1
        try:
            result = await function(*arguments)
        except errors.PlatformUnavailableError:
            self.is_available = False
            raise
        self.is_available = True
        return result


def _validate_head(head):
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
            "valid"
        )


def http_platform(url, client=None):
    """Return a platform client that reads over HTTP.

    Parameters
    ----------
    url : str
        Base URL.
    client : httpx.AsyncClient, optional
        HTTP client; closed by the caller.

    Returns
    -------
    network.PlatformClient
    """
    base_url = url.rstrip("/")
    if client is None:
        # Certificates are loaded only if the URL needs them.
        client = httpx.AsyncClient(
            trust_env=False, verify=not base_url.startswith("http:")
        )

    async def read(key):
        return await _get(client, f"{base_url}/v1/values/{key}", {}, 0.0)

    async def watch(revision, wait):
        content = await _get(
            client,
            f"{base_url}/v1/watch",
            {"revision": revision, "wait": wait},
            wait,
        )
        return _parse_watch_response(content)

    return network.PlatformClient(read=read, watch=watch)


async def _get(client, url, parameters, wait):
    content = bytearray()
    timeout = wait + RESPONSE_MARGIN_SECONDS
    try:
        # httpx applies its timeout to each read; this limits the response.
        with trio.fail_after(timeout):
            async with client.stream(
                "GET", url, params=parameters, timeout=timeout
            ) as response:
                if response.status_code == _HTTP_NOT_FOUND:
                    return None
                if response.status_code == _HTTP_TOO_MANY_REQUESTS:
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


def _parse_watch_response(content):
    try:
        document = json.loads(content or b"")
        revision, keys = document["revision"], document["keys"]
        is_valid = type(revision) is int and all(
            isinstance(key, str) for key in keys
        )
    except (ValueError, TypeError, KeyError, RecursionError) as error:
        raise errors.PlatformUnavailableError(
            f"watch: malformed response: {error!r}"
        ) from error
    if not is_valid or revision < 0:
        raise errors.PlatformUnavailableError(
            f"watch: found revision {revision!r} and keys {keys!r}, expected "
            "a revision of 0 or more and strings"
        )
    return network.PlatformChange(revision=revision, keys=tuple(keys))
