"""Accepted configurations: making, writing and reading back.

A build directory holds one file for each key of the platform's
configuration service.
"""

import dataclasses
import os
import pathlib
import tempfile
import typing

from .._generated import configuration_pb2
from . import checks
from . import errors
from . import model
from . import parts

_TEMPORARY_PREFIX = ".new-"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Build:
    """An accepted configuration and the values that publish it.

    Attributes
    ----------
    values_by_key : mapping of str to bytes
        Values for the configuration service; the head is the last one, which
        is the order of publishing.
    """

    configuration: model.Configuration
    base: model.HeadReference
    contents_by_name: typing.Mapping[str, bytes]
    values_by_key: typing.Mapping[str, bytes]


def make_build(configuration, *, base, version=None, allow_unchanged=False):
    """Make the next accepted configuration.

    Parameters
    ----------
    configuration : model.Configuration
        From `tree.load_tree`; its head is ignored.
    base : Build or None
        The accepted configuration that this one follows; None for the first.
    version : int, optional
        Must be the base's version + 1, or 1 without a base.
    allow_unchanged : bool
        Whether the content may equal that of the base.

    Returns
    -------
    Build
        The same arguments give the same bytes.

    Raises
    ------
    errors.VersionOrderError
        The version does not follow its base.
    errors.UnchangedBuildError
        The content equals that of the base.
    errors.ValueSizeError
        A value exceeds what the configuration service holds.
    errors.BuildError
        A route or service refers to something that does not exist.
    """
    base_head = base.configuration.head if base else model.NO_HEAD
    expected_version = base_head.version + 1
    if version is not None and version != expected_version:
        raise errors.VersionOrderError(
            f"found version {version}; allowed: {expected_version}, which "
            f"follows base version {base_head.version}; build on the version "
            "that is in force"
        )
    problems = checks.find_problems(configuration)
    if problems:
        raise errors.BuildError("; ".join(map(str, problems)))
    contents_by_name = parts.encode_parts(configuration)
    if base and contents_by_name == base.contents_by_name:
        if not allow_unchanged:
            raise errors.UnchangedBuildError(
                f"the tree has the content of version {base_head.version}; "
                "nothing to publish, or allow an unchanged build"
            )
    reference = model.HeadReference(
        version=expected_version,
        digest=parts.root_digest(
            version=expected_version,
            base_digest=base_head.digest,
            digests_by_name=_digests(contents_by_name),
        ),
    )
    return Build(
        configuration=dataclasses.replace(configuration, head=reference),
        base=base_head,
        contents_by_name=contents_by_name,
        values_by_key=_make_values(reference, base_head, contents_by_name),
    )


def _digests(contents_by_name):
    return {
        name: parts.part_digest(content)
        for name, content in contents_by_name.items()
    }


def _make_values(reference, base_head, contents_by_name):
    head = configuration_pb2.Head(
        version=reference.version,
        digest=reference.digest,
        base_version=base_head.version,
        base_digest=base_head.digest,
    )
    values_by_key = {}
    for value in parts.make_bundles(contents_by_name):
        digest = parts.part_digest(value)
        key = parts.bundle_key(digest)
        head.bundles.add(key=key, digest=digest, size=len(value))
        values_by_key[key] = value
        _check_size(key, value)
    values_by_key[parts.HEAD_KEY] = head.SerializeToString(deterministic=True)
    _check_size(parts.HEAD_KEY, values_by_key[parts.HEAD_KEY])
    return values_by_key


def _check_size(key, value):
    if len(value) <= parts.MAXIMUM_VALUE_BYTES:
        return
    detail = f"{key}: found {len(value)} bytes"
    if key != parts.HEAD_KEY:
        bundle = configuration_pb2.Bundle.FromString(value)
        largest = max(bundle.parts, key=lambda part: len(part.content))
        detail += (
            f", of which service '{largest.name}' takes "
            f"{len(largest.content)}"
        )
    raise errors.ValueSizeError(
        f"{detail}; allowed: {parts.MAXIMUM_VALUE_BYTES}; split the largest "
        "service"
    )


def write_build(build, directory):
    """Write a build to a directory, new or holding an older version.

    The head is replaced last and in one step, so the directory holds either
    the old version or the new one whole, whenever the process ends.

    Parameters
    ----------
    build : Build
    directory : str or os.PathLike

    Raises
    ------
    errors.VersionOrderError
        The directory holds a version that is not older.
    errors.UnreadableInputError
        The directory holds other files, or cannot be written.
    """
    root = pathlib.Path(directory)
    try:
        others = set(os.listdir(root)) - {parts.HEAD_KEY.split("/")[0]}
        if others:
            raise errors.UnreadableInputError(
                f"{root}: found {', '.join(sorted(others)[:3])}; allowed: an "
                "empty directory, a new one or an older build"
            )
    except FileNotFoundError:
        pass
    except OSError as error:
        raise _unreadable(root, error) from error
    head_path = root / parts.HEAD_KEY
    if head_path.exists():
        _check_older(read_head(root), build.configuration.head, root)
    try:
        for key, value in build.values_by_key.items():
            replace_file(root / key, value)
        _remove_superseded(root, build.values_by_key)
    except OSError as error:
        raise _unreadable(root, error) from error


def _remove_superseded(root, values_by_key):
    """Remove older bundles, and what an interrupted build left behind."""
    head_path = root / parts.HEAD_KEY
    for path in head_path.parent.glob(_TEMPORARY_PREFIX + "*"):
        path.unlink()
    for path in (root / parts.BUNDLE_KEY_PREFIX).iterdir():
        if parts.BUNDLE_KEY_PREFIX + path.name not in values_by_key:
            path.unlink()


def _check_older(present, new, root):
    found = model.HeadReference(version=present.version, digest=present.digest)
    if found == new or found.version < new.version:
        return
    raise errors.VersionOrderError(
        f"{root}: found version {found.version} "
        f"({found.digest.hex()[:12]}); allowed: a version below "
        f"{new.version}; build on it with --base, or write elsewhere"
    )


def replace_file(path, content):
    """Replace a file in one step; directories are made as needed.

    Parameters
    ----------
    path : pathlib.Path
    content : bytes

    Raises
    ------
    OSError
        The file could not be written; the old one is intact.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    mode = path.stat().st_mode & 0o777 if path.exists() else 0o644
    descriptor, temporary = tempfile.mkstemp(
        dir=path.parent, prefix=_TEMPORARY_PREFIX
    )
    try:
        with os.fdopen(descriptor, "wb") as stream:
            stream.write(content)
            stream.flush()
            os.fsync(stream.fileno())
        os.chmod(temporary, mode)
        os.replace(temporary, path)
    except OSError:
        os.unlink(temporary)
        raise


def _unreadable(path, error):
    return errors.UnreadableInputError(f"{path}: {error.strerror}")


def _read_value(root, key):
    try:
        with (root / key).open("rb") as stream:
            value = stream.read(parts.MAXIMUM_VALUE_BYTES + 1)
    except OSError as error:
        raise _unreadable(root / key, error) from error
    if len(value) > parts.MAXIMUM_VALUE_BYTES:
        raise errors.ValueSizeError(
            f"{root / key}: found more than {parts.MAXIMUM_VALUE_BYTES} "
            "bytes, which the configuration service does not hold"
        )
    return value


def read_head(directory):
    """Return the head of a build directory, checked by itself only.

    Raises
    ------
    errors.UnreadableInputError
        The file cannot be read.
    errors.MalformedPartError
        The file is not a head.
    errors.VersionOrderError
        The version does not follow its base.
    """
    value = _read_value(pathlib.Path(directory), parts.HEAD_KEY)
    head = parts.decode_message(configuration_pb2.Head, value, parts.HEAD_KEY)
    if head.version < 1 or head.base_version != head.version - 1:
        raise errors.VersionOrderError(
            f"{parts.HEAD_KEY}: found version {head.version} on base "
            f"{head.base_version}; allowed: a version from 1 on its "
            "predecessor"
        )
    return head


def read_build(directory):
    """Read a build directory and verify all of it.

    Parameters
    ----------
    directory : str or os.PathLike

    Returns
    -------
    Build

    Raises
    ------
    errors.UnreadableInputError
        A file cannot be read.
    errors.MalformedPartError
        A head, bundle or part cannot be decoded.
    errors.DigestMismatchError
        A bundle or the whole does not have the digest that the head states.
    errors.DanglingReferenceError
        The cross-reference checks fail.
    errors.VersionOrderError
        The version does not follow its base.
    errors.ValueSizeError
        A value exceeds what the configuration service holds.
    """
    root = pathlib.Path(directory)
    head = read_head(root)
    contents_by_name = {}
    values_by_key = {}
    for bundle in head.bundles:
        value = _read_bundle(root, bundle)
        values_by_key[bundle.key] = value
        message = parts.decode_message(
            configuration_pb2.Bundle, value, bundle.key
        )
        for part in message.parts:
            if part.name in contents_by_name:
                raise errors.MalformedPartError(
                    f"{bundle.key}: part '{part.name}' occurs twice"
                )
            contents_by_name[part.name] = part.content
    values_by_key[parts.HEAD_KEY] = _read_value(root, parts.HEAD_KEY)
    digest = parts.root_digest(
        version=head.version,
        base_digest=head.base_digest,
        digests_by_name=_digests(contents_by_name),
    )
    if digest != head.digest:
        raise errors.DigestMismatchError(
            f"{parts.HEAD_KEY}: states digest {head.digest.hex()}, but the "
            f"parts have {digest.hex()}; build again"
        )
    configuration = parts.decode_configuration(
        model.HeadReference(version=head.version, digest=digest),
        contents_by_name,
    )
    problems = checks.find_problems(configuration)
    if problems:
        raise errors.DanglingReferenceError("; ".join(map(str, problems)))
    return Build(
        configuration=configuration,
        base=model.HeadReference(
            version=head.base_version, digest=head.base_digest
        ),
        contents_by_name=contents_by_name,
        values_by_key=values_by_key,
    )


def _read_bundle(root, bundle):
    # The key is compared before it is used as a path, so that a head cannot
    # name files outside the directory.
    if bundle.key != parts.bundle_key(bundle.digest):
        raise errors.DigestMismatchError(
            f"{parts.HEAD_KEY}: bundle key {bundle.key!r} does not name its "
            f"digest {bundle.digest.hex()}; build again"
        )
    value = _read_value(root, bundle.key)
    if parts.part_digest(value) != bundle.digest or len(value) != bundle.size:
        raise errors.DigestMismatchError(
            f"{bundle.key}: the {len(value)} bytes do not have the digest and "
            f"size ({bundle.size}) that the head states; build again"
        )
    return value


def is_build_directory(directory):
    """Tell whether a directory holds a build rather than a tree."""
    return (pathlib.Path(directory) / parts.HEAD_KEY).is_file()
