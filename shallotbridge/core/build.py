"""Creates, writes and reads builds of accepted configurations.

A build directory holds one file per key of the platform's configuration
service.
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
    """An accepted configuration and the values to publish for it.

    Attributes
    ----------
    configuration : model.Configuration
    base_head : model.HeadReference
        Head of the version that this one follows; ``model.NO_HEAD`` for the
        first version.
    contents_by_name : mapping of str to bytes
        Encoded parts by part name.
    values_by_key : mapping of str to bytes
        Values for the configuration service in the order of publication:
        bundles first, the head last.
    """

    configuration: model.Configuration
    base_head: model.HeadReference
    contents_by_name: typing.Mapping[str, bytes]
    values_by_key: typing.Mapping[str, bytes]


def make_build(configuration, *, base, version=None, allow_unchanged=False):
    """Create the build of the next version.

    Parameters
    ----------
    configuration : model.Configuration
        As returned by `tree.load_tree`; its head is ignored.
    base : Build or None
        Build of the version that this one follows; None for the first.
    version : int, optional
        Expected version number. Must be the version of the base plus 1, or 1
        without a base.
    allow_unchanged : bool
        Whether the content may equal that of the base.

    Returns
    -------
    Build
        Deterministic: equal arguments produce identical bytes.

    Raises
    ------
    errors.VersionOrderError
        The version does not follow its base.
    errors.UnchangedBuildError
        The content equals that of the base.
    errors.ValueSizeError
        A value exceeds the size limit of the configuration service.
    errors.BuildError
        The configuration fails the checks, such as a reference to a service
        that does not exist.
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
            digests_by_name=_compute_digests(contents_by_name),
        ),
    )
    return Build(
        configuration=dataclasses.replace(configuration, head=reference),
        base_head=base_head,
        contents_by_name=contents_by_name,
        values_by_key=_encode_values(reference, base_head, contents_by_name),
    )


def _compute_digests(contents_by_name):
    return {
        name: parts.part_digest(content)
        for name, content in contents_by_name.items()
    }


def _encode_values(reference, base_head, contents_by_name):
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
    """Write a build to a directory that is new or holds an older version.

    The head is replaced last and atomically. If the process is interrupted,
    the directory holds either the complete old version or the complete new
    one.

    Parameters
    ----------
    build : Build
    directory : str or os.PathLike

    Raises
    ------
    errors.VersionOrderError
        The directory holds a newer version, or the same version with other
        content.
    errors.UnreadableInputError
        The directory holds unrelated files, or cannot be written.
    """
    root = pathlib.Path(directory)
    try:
        unrelated_names = set(os.listdir(root)) - {
            parts.HEAD_KEY.split("/")[0]
        }
        if unrelated_names:
            raise errors.UnreadableInputError(
                f"{root}: found {', '.join(sorted(unrelated_names)[:3])}; "
                "allowed: an empty directory, a new one or an older build"
            )
    except FileNotFoundError:
        pass
    except OSError as error:
        raise _make_unreadable_error(root, error) from error
    head_path = root / parts.HEAD_KEY
    if head_path.exists():
        _check_is_newer(read_head(root), build.configuration.head, root)
    try:
        for key, value in build.values_by_key.items():
            write_file_atomically(root / key, value)
        _remove_obsolete_files(root, build.values_by_key)
    except OSError as error:
        raise _make_unreadable_error(root, error) from error


def _remove_obsolete_files(root, values_by_key):
    """Remove older bundles and temporary files of interrupted builds."""
    head_path = root / parts.HEAD_KEY
    for path in head_path.parent.glob(_TEMPORARY_PREFIX + "*"):
        path.unlink()
    for path in (root / parts.BUNDLE_KEY_PREFIX).iterdir():
        if parts.BUNDLE_KEY_PREFIX + path.name not in values_by_key:
            path.unlink()


def _check_is_newer(present, new, root):
    found = model.HeadReference(version=present.version, digest=present.digest)
    if found == new or found.version < new.version:
        return
    raise errors.VersionOrderError(
        f"{root}: found version {found.version} "
        f"({found.digest.hex()[:12]}); allowed: a version below "
        f"{new.version}; build on it with --base, or write elsewhere"
    )


def write_file_atomically(path, content):
    """Replace a file atomically; creates missing parent directories.

    Parameters
    ----------
    path : pathlib.Path
    content : bytes

    Raises
    ------
    OSError
        The file could not be written; the old file is unchanged.
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


def _make_unreadable_error(path, error):
    return errors.UnreadableInputError(f"{path}: {error.strerror}")


def _read_value(root, key):
    try:
        with (root / key).open("rb") as stream:
            value = stream.read(parts.MAXIMUM_VALUE_BYTES + 1)
    except OSError as error:
        raise _make_unreadable_error(root / key, error) from error
    if len(value) > parts.MAXIMUM_VALUE_BYTES:
        raise errors.ValueSizeError(
            f"{root / key}: found more than {parts.MAXIMUM_VALUE_BYTES} "
            "bytes, which the configuration service does not hold"
        )
    return value


def read_head(directory):
    """Return the head of a build directory.

    Checks the version numbers in the head, but neither the digest nor the
    bundles.

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
    """Read a build directory and verify its complete content.

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
        The digest of a bundle or of all parts differs from the one in the
        head.
    errors.DanglingReferenceError
        The cross-reference checks fail.
    errors.VersionOrderError
        The version does not follow its base.
    errors.ValueSizeError
        A value exceeds the size limit of the configuration service.
    """
    root = pathlib.Path(directory)
    head = read_head(root)
    contents_by_name = {}
    values_by_key = {}
    for bundle_reference in head.bundles:
        value = _read_bundle(root, bundle_reference)
        values_by_key[bundle_reference.key] = value
        bundle = parts.decode_message(
            configuration_pb2.Bundle, value, bundle_reference.key
        )
        for part in bundle.parts:
            if part.name in contents_by_name:
                raise errors.MalformedPartError(
                    f"{bundle_reference.key}: part '{part.name}' occurs twice"
                )
            contents_by_name[part.name] = part.content
    values_by_key[parts.HEAD_KEY] = _read_value(root, parts.HEAD_KEY)
    digest = parts.root_digest(
        version=head.version,
        base_digest=head.base_digest,
        digests_by_name=_compute_digests(contents_by_name),
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
        base_head=model.HeadReference(
            version=head.base_version, digest=head.base_digest
        ),
        contents_by_name=contents_by_name,
        values_by_key=values_by_key,
    )


def _read_bundle(root, bundle_reference):
    # The key is verified before it is used as a path, so that a forged head
    # cannot name files outside the directory.
    if bundle_reference.key != parts.bundle_key(bundle_reference.digest):
        raise errors.DigestMismatchError(
            f"{parts.HEAD_KEY}: bundle key {bundle_reference.key!r} does not "
            f"name its digest {bundle_reference.digest.hex()}; build again"
        )
    value = _read_value(root, bundle_reference.key)
    if (
        parts.part_digest(value) != bundle_reference.digest
        or len(value) != bundle_reference.size
    ):
        raise errors.DigestMismatchError(
            f"{bundle_reference.key}: the {len(value)} bytes do not have the "
            f"digest and size ({bundle_reference.size}) that the head states; "
            "build again"
        )
    return value


def is_build_directory(directory):
    """Return whether a directory holds a build rather than a tree."""
    return (pathlib.Path(directory) / parts.HEAD_KEY).is_file()
