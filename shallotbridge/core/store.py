"""Store of the active configuration: ordering, verification and deltas."""

import collections
import dataclasses
import types
import zlib

import trio

from .._generated import configuration_pb2
from .._generated import peer_pb2
from . import checks
from . import decisions
from . import errors
from . import model
from . import parts

HISTORY_VERSIONS = 16
# Limit of a decompressed snapshot; 880 services take about 1 MB.
MAXIMUM_SNAPSHOT_BYTES = 32 * 1024 * 1024
_DIGEST_BYTES = 32
# Number of cross-reference problems that an error message lists.
_MAXIMUM_LISTED_PROBLEMS = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """A version number that was published with different contents."""

    version: int
    digests: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Version:
    """A complete, verified version.

    In the history, which needs only digests, ``contents_by_name`` is empty
    and ``configuration`` is None.
    """

    head: model.HeadReference
    base_version: int
    base_digest: bytes
    contents_by_name: dict
    digests_by_name: dict
    configuration: model.Configuration | None


_EMPTY_VERSION = _Version(
    head=model.NO_HEAD,
    base_version=0,
    base_digest=b"",
    contents_by_name={},
    digests_by_name={},
    configuration=None,
)


class ConfigurationStore:
    """Holds the highest accepted configuration; its head never decreases.

    Parameters
    ----------
    history : int
        Number of versions kept as bases of deltas, including the current
        one.

    Attributes
    ----------
    conflict : Conflict or None
        Set while the current version is known to have been published with
        different contents.
    rejected_count : int
        Candidates that failed a check since the start.
    conflict_count : int
        Distinct contents that conflicted with a current version.

    Examples
    --------
    >>> store = ConfigurationStore()
    >>> store.head.version, store.configuration
    (0, None)
    """

    def __init__(self, *, history=HISTORY_VERSIONS):
        self.conflict = None
        self.rejected_count = 0
        self.conflict_count = 0
        self._current = _EMPTY_VERSION
        self._history = collections.OrderedDict()
        self._history_versions = history
        self._is_enforcing = False
        self._changed = trio.Event()
        self._snapshot = None
        self._deltas_by_base = {}

    @property
    def head(self):
        """Highest accepted head, even if enforcement is not enabled yet."""
        return self._current.head

    @property
    def configuration(self):
        """Active configuration; None before enforcement or without one."""
        return self._current.configuration if self._is_enforcing else None

    @property
    def is_enforcing(self):
        """Whether accepted configurations become active."""
        return self._is_enforcing

    @property
    def contents_by_name(self):
        """Read-only view of the encoded parts of the current version."""
        return types.MappingProxyType(self._current.contents_by_name)

    def enable_enforcement(self):
        """Make the current version active, and later ones on acceptance."""
        if not self._is_enforcing:
            self._is_enforcing = True
            decisions.record(
                "enforcement_enabled", chosen=_format_head(self._current.head)
            )
            self._notify_waiters()

    def apply(self, update):
        """Verify a candidate version and replace the current one by it.

        Parameters
        ----------
        update : peer_pb2.ConfigurationUpdate
            A snapshot, or a delta from the current head.

        Returns
        -------
        bool
            True if the candidate was accepted, False if its head is not
            above the current one.

        Raises
        ------
        errors.DeltaBaseError
            The base of a delta is not the current head. It is not counted
            as rejected, because updates from two parents can overtake each
            other.
        errors.DistributionError
            A check failed; the current version is kept.
        """
        current = self._current
        candidate = model.HeadReference(
            version=update.head.version, digest=update.head.digest
        )
        is_conflict = (
            candidate.version == current.head.version
            and candidate.digest != current.head.digest
            and current.head != model.NO_HEAD
        )
        is_well_formed = (
            candidate.version > 0 and len(candidate.digest) == _DIGEST_BYTES
        )
        if is_well_formed and not is_conflict and candidate <= current.head:
            return False
        try:
            if not is_well_formed:
                raise errors.MalformedPartError(
                    f"head has version {candidate.version} and a digest of "
                    f"{len(candidate.digest)} bytes; expected 1 or more and "
                    f"{_DIGEST_BYTES}"
                )
            version = self._verify(candidate, update)
        except errors.DeltaBaseError as error:
            decisions.record(
                "delta_skipped",
                candidate=_format_head(candidate),
                code=error.code,
                reason=error.detail,
            )
            raise
        except errors.DistributionError as error:
            self.rejected_count += 1
            decisions.record(
                "configuration_rejected",
                chosen=_format_head(current.head),
                candidate=_format_head(candidate),
                code=error.code,
                reason=error.detail,
            )
            raise
        if is_conflict:
            self._record_conflict(candidate)
            if candidate < current.head:
                return False
        else:
            self.conflict = None
        self._replace_current(version)
        return True

    def update_since(self, head):
        """Return the update from a head to the current one.

        Parameters
        ----------
        head : model.HeadReference
            ``model.NO_HEAD`` requests a snapshot.

        Returns
        -------
        peer_pb2.ConfigurationUpdate or None
            A delta if the head is in the history and the delta is smaller,
            else a compressed snapshot; None if the current head is not above
            the given one.
        """
        current = self._current
        if head >= current.head:
            return None
        base = self._history.get(head)
        if base is None:
            return self._make_snapshot()
        update = self._deltas_by_base.get(head)
        if update is None:
            update = self._make_delta(base)
            self._deltas_by_base[head] = update
        return update

    async def wait_for_newer_head(self, head):
        """Wait until the current head is above the given one; return it."""
        while self._current.head <= head:
            await self._changed.wait()
        return self._current.head

    async def wait_until_active(self):
        """Wait until a configuration is active; return it."""
        while self.configuration is None:
            await self._changed.wait()
        return self.configuration

    def _verify(self, candidate, update):
        if update.base_version != candidate.version - 1:
            # If nodes accepted a number that is too high, they would reject
            # all versions that follow the correct one.
            raise errors.MalformedPartError(
                f"version {candidate.version} is based on version "
                f"{update.base_version}; expected {candidate.version - 1}"
            )
        contents_by_name = self._resolve_contents(update)
        current = self._current
        digests_by_name = {
            name: (
                current.digests_by_name[name]
                if current.contents_by_name.get(name) is content
                else parts.part_digest(content)
            )
            for name, content in contents_by_name.items()
        }
        actual_digest = parts.root_digest(
            version=candidate.version,
            base_digest=update.base_digest,
            digests_by_name=digests_by_name,
        )
        if actual_digest != candidate.digest:
            raise errors.DigestMismatchError(
                f"version {candidate.version} has content digest "
                f"{actual_digest.hex()[:12]}, announced "
                f"{candidate.digest.hex()[:12]}; request a snapshot"
            )
        configuration = self._decode(
            candidate, contents_by_name, digests_by_name
        )
        problems = checks.find_problems(configuration)
        if problems:
            listed = "; ".join(map(str, problems[:_MAXIMUM_LISTED_PROBLEMS]))
            raise errors.DanglingReferenceError(
                f"version {candidate.version} has {len(problems)} "
                f"problems: {listed}"
            )
        return _Version(
            head=candidate,
            base_version=update.base_version,
            base_digest=update.base_digest,
            contents_by_name=contents_by_name,
            digests_by_name=digests_by_name,
            configuration=configuration,
        )

    def _resolve_contents(self, update):
        if update.compressed_bundle:
            bundle = parts.decode_message(
                configuration_pb2.Bundle,
                _decompress(update.compressed_bundle),
                "snapshot",
            )
            changed = bundle.parts
        else:
            changed = update.changed
        changed_by_name = {part.name: part.content for part in changed}
        if len(changed_by_name) != len(changed):
            raise errors.MalformedPartError(
                "an update has two parts with the same name"
            )
        if not update.base.version:
            return changed_by_name
        current = self._current
        base = model.HeadReference(
            version=update.base.version, digest=update.base.digest
        )
        if base != current.head:
            raise errors.DeltaBaseError(
                f"the base of the delta is {_format_head(base)}, the current "
                f"head is {_format_head(current.head)}; request a new update"
            )
        removed = set(update.removed)
        if removed & changed_by_name.keys() or not (
            removed <= current.contents_by_name.keys()
        ):
            raise errors.MalformedPartError(
                "a delta removes a part that it also changes or that does "
                "not exist"
            )
        contents_by_name = {
            name: content
            for name, content in current.contents_by_name.items()
            if name not in removed
        }
        contents_by_name.update(changed_by_name)
        return contents_by_name

    def _decode(self, head, contents_by_name, digests_by_name):
        """Decode a version; reuse unchanged services of the current one."""
        current = self._current
        mesh = parts.decode_configuration(
            head,
            {
                name: content
                for name, content in contents_by_name.items()
                if name == parts.MESH_PART
            },
        )
        services = []
        for name, content in contents_by_name.items():
            if name == parts.MESH_PART:
                continue
            if current.digests_by_name.get(name) == digests_by_name[name]:
                services.append(current.configuration.services_by_name[name])
            else:
                services.append(parts.decode_service(name, content))
        return dataclasses.replace(
            mesh, services_by_name=model.by_key(services, "name")
        )

    def _record_conflict(self, candidate):
        known = self.conflict.digests if self.conflict else ()
        if candidate.digest in known:
            return
        digests = {*known, candidate.digest, self._current.head.digest}
        self.conflict = Conflict(
            version=candidate.version, digests=tuple(sorted(digests))
        )
        self.conflict_count += 1
        decisions.record(
            "configuration_conflict",
            level="error",
            chosen=_format_head(max(candidate, self._current.head)),
            candidates=[digest.hex() for digest in self.conflict.digests],
            code=errors.VersionConflictError.code,
            reason=f"version {candidate.version} was published with different "
            f"contents; publish version {candidate.version + 1}",
        )

    def _replace_current(self, version):
        previous = self._current
        # A single assignment, so that all tasks switch versions atomically.
        self._current = version
        self._history[version.head] = dataclasses.replace(
            version, contents_by_name={}, configuration=None
        )
        while len(self._history) > self._history_versions:
            self._history.popitem(last=False)
        self._snapshot = None
        self._deltas_by_base = {}
        decisions.record(
            "configuration_applied",
            chosen=_format_head(version.head),
            previous=_format_head(previous.head),
            reason="newer and passed all checks",
        )
        self._notify_waiters()

    def _notify_waiters(self):
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _make_update(self):
        current = self._current
        return peer_pb2.ConfigurationUpdate(
            head=head_to_message(current.head),
            base_version=current.base_version,
            base_digest=current.base_digest,
        )

    def _make_snapshot(self):
        if self._snapshot is None:
            bundle = configuration_pb2.Bundle()
            contents_by_name = self._current.contents_by_name
            for name in sorted(contents_by_name):
                bundle.parts.add(name=name, content=contents_by_name[name])
            update = self._make_update()
            update.compressed_bundle = zlib.compress(
                bundle.SerializeToString(deterministic=True)
            )
            self._snapshot = update
        return self._snapshot

    def _make_delta(self, base):
        current = self._current
        update = self._make_update()
        update.base.CopyFrom(head_to_message(base.head))
        for name in sorted(current.digests_by_name):
            digest = current.digests_by_name[name]
            if base.digests_by_name.get(name) != digest:
                update.changed.add(
                    name=name, content=current.contents_by_name[name]
                )
        update.removed.extend(
            sorted(base.digests_by_name.keys() - current.digests_by_name)
        )
        # Compression takes milliseconds, so a snapshot is made only if it may
        # be smaller than the delta.
        if 2 * len(update.changed) > len(current.digests_by_name):
            snapshot = self._make_snapshot()
            if snapshot.ByteSize() < update.ByteSize():
                return snapshot
        return update


def head_to_message(head):
    """Convert a head to its protobuf message."""
    return peer_pb2.HeadReference(version=head.version, digest=head.digest)


def head_from_message(message):
    """Convert a protobuf message to a head; an unset one to ``NO_HEAD``."""
    return model.HeadReference(version=message.version, digest=message.digest)


def _decompress(content):
    decompressor = zlib.decompressobj()
    try:
        decompressed = decompressor.decompress(content, MAXIMUM_SNAPSHOT_BYTES)
    except zlib.error as error:
        raise errors.MalformedPartError(
            f"a snapshot of {len(content)} bytes is not zlib data: {error}"
        ) from error
    if not decompressor.eof or decompressor.unused_data:
        raise errors.MalformedPartError(
            f"a snapshot of {len(content)} bytes is truncated, has trailing "
            f"bytes, or exceeds {MAXIMUM_SNAPSHOT_BYTES} bytes"
        )
    return decompressed


def _format_head(head):
    return f"{head.version}@{head.digest.hex()[:12]}"
