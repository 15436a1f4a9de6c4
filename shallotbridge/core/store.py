"""The configuration in force: ordering, verification and deltas."""

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
# Bound of a decompressed full copy; 880 services take about 1 MB.
MAXIMUM_COPY_BYTES = 32 * 1024 * 1024
_DIGEST_BYTES = 32
# Cross-reference problems that an error message lists.
_LISTED_PROBLEMS = 5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Conflict:
    """Two contents that were published under one version number."""

    version: int
    digests: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Version:
    """A complete, verified version.

    ``contents_by_name`` is empty in the history, which needs digests only.
    """

    head: model.HeadReference
    base_version: int
    base_digest: bytes
    contents_by_name: dict
    digests_by_name: dict
    configuration: model.Configuration | None


_EMPTY = _Version(
    head=model.NO_HEAD,
    base_version=0,
    base_digest=b"",
    contents_by_name={},
    digests_by_name={},
    configuration=None,
)


class ConfigurationStore:
    """Holds the highest accepted configuration and moves only upward.

    Parameters
    ----------
    history : int
        Versions kept as bases of deltas, the one in force included.

    Attributes
    ----------
    conflict : Conflict or None
        Set while the version in force was published with two contents.
    rejected_count : int
        Candidates that failed a check since the start.
    conflict_count : int
        Distinct contents that conflicted with the version in force.

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
        self._current = _EMPTY
        self._history = collections.OrderedDict()
        self._history_versions = history
        self._is_enforcing = False
        self._changed = trio.Event()
        self._full_copy = None
        self._deltas_by_base = {}

    @property
    def head(self):
        """Highest accepted head, also before it is enforced."""
        return self._current.head

    @property
    def configuration(self):
        """Configuration in force; None before enforcement or without one."""
        return self._current.configuration if self._is_enforcing else None

    @property
    def is_enforcing(self):
        """Whether accepted configurations are in force."""
        return self._is_enforcing

    @property
    def contents_by_name(self):
        """Read-only bytes of the parts of the highest accepted version."""
        return types.MappingProxyType(self._current.contents_by_name)

    def enable_enforcement(self):
        """Put the highest accepted version, and later ones, in force."""
        if not self._is_enforcing:
            self._is_enforcing = True
            decisions.record(
                "enforcement_enabled", chosen=_text(self._current.head)
            )
            self._wake()

    def apply(self, update):
        """Verify a candidate completely and put it in place of the current.

        Parameters
        ----------
        update : peer_pb2.ConfigurationUpdate
            A full copy, or a delta from the current head.

        Returns
        -------
        bool
            True if it was accepted, False if it is not above the current.

        Raises
        ------
        errors.DeltaBaseError
            A delta starts from another head. It is not counted as rejected,
            because updates from two parents may cross.
        errors.DistributionError
            A check failed; the current version stays in force.
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
                candidate=_text(candidate),
                code=error.code,
                reason=error.detail,
            )
            raise
        except errors.DistributionError as error:
            self.rejected_count += 1
            decisions.record(
                "configuration_rejected",
                chosen=_text(current.head),
                candidate=_text(candidate),
                code=error.code,
                reason=error.detail,
            )
            raise
        if is_conflict:
            self._note_conflict(candidate)
            if candidate < current.head:
                return False
        else:
            self.conflict = None
        self._replace(version)
        return True

    def update_since(self, head):
        """Return what a node at a head needs to reach the current one.

        Parameters
        ----------
        head : model.HeadReference
            ``model.NO_HEAD`` asks for a full copy.

        Returns
        -------
        peer_pb2.ConfigurationUpdate or None
            A delta if the head is in the history and the delta is smaller,
            else a compressed full copy; None if nothing is newer.
        """
        current = self._current
        if head >= current.head:
            return None
        base = self._history.get(head)
        if base is None:
            return self._make_full_copy()
        update = self._deltas_by_base.get(head)
        if update is None:
            update = self._make_delta(base)
            self._deltas_by_base[head] = update
        return update

    async def wait_newer(self, head):
        """Wait until the current head is above a head, and return it."""
        while self._current.head <= head:
            await self._changed.wait()
        return self._current.head

    async def wait_enforced(self):
        """Wait until a configuration is in force, and return it."""
        while self.configuration is None:
            await self._changed.wait()
        return self.configuration

    def _verify(self, candidate, update):
        if update.base_version != candidate.version - 1:
            # A number too far ahead would make every node refuse the
            # versions that follow the true one.
            raise errors.MalformedPartError(
                f"version {candidate.version} is built on version "
                f"{update.base_version}; expected {candidate.version - 1}"
            )
        contents_by_name = self._contents_of(update)
        current = self._current
        digests_by_name = {
            name: (
                current.digests_by_name[name]
                if current.contents_by_name.get(name) is content
                else parts.part_digest(content)
            )
            for name, content in contents_by_name.items()
        }
        found = parts.root_digest(
            version=candidate.version,
            base_digest=update.base_digest,
            digests_by_name=digests_by_name,
        )
        if found != candidate.digest:
            raise errors.DigestMismatchError(
                f"version {candidate.version} has content "
                f"{found.hex()[:12]}, announced "
                f"{candidate.digest.hex()[:12]}; read a full copy"
            )
        configuration = self._decode(
            candidate, contents_by_name, digests_by_name
        )
        problems = checks.find_problems(configuration)
        if problems:
            listed = "; ".join(map(str, problems[:_LISTED_PROBLEMS]))
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

    def _contents_of(self, update):
        if update.compressed_bundle:
            bundle = parts.decode_message(
                configuration_pb2.Bundle,
                _decompress(update.compressed_bundle),
                "full copy",
            )
            changed = bundle.parts
        else:
            changed = update.changed
        changed_by_name = {part.name: part.content for part in changed}
        if len(changed_by_name) != len(changed):
            raise errors.MalformedPartError(
                "an update has two parts of one name"
            )
        if not update.base.version:
            return changed_by_name
        current = self._current
        base = model.HeadReference(
            version=update.base.version, digest=update.base.digest
        )
        if base != current.head:
            raise errors.DeltaBaseError(
                f"delta starts from {_text(base)}, current is "
                f"{_text(current.head)}; ask again"
            )
        removed = set(update.removed)
        if removed & changed_by_name.keys() or not (
            removed <= current.contents_by_name.keys()
        ):
            raise errors.MalformedPartError(
                "a delta removes a part that it changes or that is absent"
            )
        contents_by_name = {
            name: content
            for name, content in current.contents_by_name.items()
            if name not in removed
        }
        contents_by_name.update(changed_by_name)
        return contents_by_name

    def _decode(self, head, contents_by_name, digests_by_name):
        """Decode a version; unchanged services are taken from the current."""
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

    def _note_conflict(self, candidate):
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
            chosen=_text(max(candidate, self._current.head)),
            candidates=[digest.hex() for digest in self.conflict.digests],
            code=errors.VersionConflictError.code,
            reason=f"version {candidate.version} was published with two "
            f"contents; publish version {candidate.version + 1}",
        )

    def _replace(self, version):
        previous = self._current
        # One assignment changes the version in force for all tasks.
        self._current = version
        self._history[version.head] = dataclasses.replace(
            version, contents_by_name={}, configuration=None
        )
        while len(self._history) > self._history_versions:
            self._history.popitem(last=False)
        self._full_copy = None
        self._deltas_by_base = {}
        decisions.record(
            "configuration_applied",
            chosen=_text(version.head),
            previous=_text(previous.head),
            reason="newer and complete",
        )
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def _make_update(self):
        current = self._current
        return peer_pb2.ConfigurationUpdate(
            head=head_to_message(current.head),
            base_version=current.base_version,
            base_digest=current.base_digest,
        )

    def _make_full_copy(self):
        if self._full_copy is None:
            bundle = configuration_pb2.Bundle()
            contents_by_name = self._current.contents_by_name
            for name in sorted(contents_by_name):
                bundle.parts.add(name=name, content=contents_by_name[name])
            update = self._make_update()
            update.compressed_bundle = zlib.compress(
                bundle.SerializeToString(deterministic=True)
            )
            self._full_copy = update
        return self._full_copy

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
        # Compression takes milliseconds, so it is tried only where a full
        # copy may be the smaller one.
        if 2 * len(update.changed) > len(current.digests_by_name):
            full_copy = self._make_full_copy()
            if full_copy.ByteSize() < update.ByteSize():
                return full_copy
        return update


def head_to_message(head):
    """Return a head as a message."""
    return peer_pb2.HeadReference(version=head.version, digest=head.digest)


def head_from_message(message):
    """Return the head that a message holds; unset gives ``NO_HEAD``."""
    return model.HeadReference(version=message.version, digest=message.digest)


def _decompress(content):
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(content, MAXIMUM_COPY_BYTES)
    except zlib.error as error:
        raise errors.MalformedPartError(
            f"a full copy of {len(content)} bytes is not zlib data: {error}"
        ) from error
    if not decompressor.eof or decompressor.unused_data:
        raise errors.MalformedPartError(
            f"a full copy of {len(content)} bytes is truncated, has trailing "
            f"bytes, or exceeds {MAXIMUM_COPY_BYTES} bytes"
        )
    return plain


def _text(head):
    return f"{head.version}@{head.digest.hex()[:12]}"
