"""Tests of creating, writing and reading builds."""

import dataclasses

import hypothesis
import pytest

from shallotbridge._generated import configuration_pb2
from shallotbridge.core import build
from shallotbridge.core import errors
from shallotbridge.core import parts
from tests import builders


def _build(base=None, **changes):
    configuration = builders.make_configuration(**changes)
    return build.make_build(configuration, base=base)


def _read_files(directory):
    return {
        path.relative_to(directory).as_posix(): path.read_bytes()
        for path in directory.rglob("*")
        if path.is_file()
    }


def test_written_build_reads_back_equal(tmp_path):
    """The directory must hold only the new build.

    Files of the older version and of interrupted builds are removed.
    """
    first = _build()
    build.write_build(first, tmp_path)
    assert _read_files(tmp_path) == first.values_by_key
    assert build.read_build(tmp_path) == first
    second = _build(base=first, out_of_service=["cairo-1"])
    for name in ("configuration/.new-1", "configuration/bundle/.new-2"):
        (tmp_path / name).write_bytes(b"left by an interrupted build")
    build.write_build(second, tmp_path)
    assert _read_files(tmp_path) == second.values_by_key
    assert build.read_build(tmp_path).base_head == first.configuration.head
    assert list(second.values_by_key)[-1] == parts.HEAD_KEY


def test_build_bytes_do_not_depend_on_service_order():
    """One tree must not produce two digests."""
    services = [builders.make_service(), builders.make_service(name="a")]
    services[1] = dataclasses.replace(services[1], routes_by_name={})
    assert (
        _build(services=services).values_by_key
        == _build(services=services[::-1]).values_by_key
    )


def test_make_build_rejects_invalid_input():
    """Rejects versions that the nodes or the platform would reject later."""
    first = _build()
    with pytest.raises(errors.UnchangedBuildError, match="version 1"):
        _build(base=first)
    unchanged = build.make_build(
        first.configuration, base=first, allow_unchanged=True
    )
    assert unchanged.configuration.head.version == 2
    for version in (1, 3):
        with pytest.raises(errors.VersionOrderError, match="allowed: 2"):
            build.make_build(first.configuration, base=first, version=version)
    dangling = builders.make_route(depends_on=("absent",))
    with pytest.raises(errors.BuildError, match="absent"):
        _build(services=[builders.make_service(routes=[dangling])])
    routes = [
        builders.make_route(name=f"r{number}", path=f"/{number}/{'x' * 500}")
        for number in range(2000)
    ]
    with pytest.raises(errors.ValueSizeError, match="'showroom'"):
        _build(services=[builders.make_service(routes=routes)])


def test_write_build_keeps_newer_builds_and_unrelated_files(tmp_path):
    """A directory is only overwritten if it holds an older build."""
    first = _build()
    second = _build(base=first, out_of_service=["cairo-1"])
    build.write_build(second, tmp_path / "v")
    before = _read_files(tmp_path)
    conflicting = _build(base=first, out_of_service=["cairo-2"])
    for older in (first, conflicting):
        with pytest.raises(errors.VersionOrderError, match="version 2"):
            build.write_build(older, tmp_path / "v")
    build.write_build(second, tmp_path / "v")
    with pytest.raises(errors.UnreadableInputError, match="found v"):
        build.write_build(first, tmp_path)
    assert _read_files(tmp_path) == before


@pytest.mark.parametrize("failing_call", [0, 1, 2])
def test_interrupted_write_leaves_a_complete_version(
    failing_call, tmp_path, monkeypatch
):
    """After a failed write, the head must not name missing bundles."""
    first = _build()
    build.write_build(first, tmp_path)
    second = _build(base=first, out_of_service=["cairo-1"])
    original_write_file = build.write_file_atomically
    calls = []

    def replace_until_failure(path, content):
        calls.append(path)
        if len(calls) > failing_call:
            raise OSError(28, "No space left on device")
        original_write_file(path, content)

    monkeypatch.setattr(build, "write_file_atomically", replace_until_failure)
    if failing_call < len(second.values_by_key):
        with pytest.raises(errors.UnreadableInputError, match="No space"):
            build.write_build(second, tmp_path)
        assert build.read_build(tmp_path) == first
    else:
        build.write_build(second, tmp_path)
        assert build.read_build(tmp_path) == second


def _modify_head(tmp_path, **fields):
    path = tmp_path / parts.HEAD_KEY
    head = configuration_pb2.Head.FromString(path.read_bytes())
    head.MergeFrom(configuration_pb2.Head(**fields))
    path.write_bytes(head.SerializeToString())
    return head


def test_read_build_rejects_corrupt_files(tmp_path):
    """Otherwise values could be published that every node rejects."""
    created_build = _build()
    bundle_key, _ = created_build.values_by_key
    path = tmp_path / bundle_key
    build.write_build(created_build, tmp_path)
    path.write_bytes(path.read_bytes()[:-1])
    with pytest.raises(errors.DigestMismatchError, match=path.name):
        build.read_build(tmp_path)
    path.unlink()
    with pytest.raises(errors.UnreadableInputError, match=path.name):
        build.read_build(tmp_path)
    build.write_build(created_build, tmp_path)
    _modify_head(tmp_path, digest=b"x" * 32)
    with pytest.raises(errors.DigestMismatchError, match="states digest"):
        build.read_build(tmp_path)
    _modify_head(tmp_path, version=7)
    with pytest.raises(errors.VersionOrderError, match="version 7"):
        build.read_build(tmp_path)
    (tmp_path / parts.HEAD_KEY).write_bytes(b"\xff")
    with pytest.raises(errors.MalformedPartError):
        build.read_build(tmp_path)


def test_head_cannot_name_files_outside_the_directory(tmp_path):
    """A forged head must not make the command read arbitrary files."""
    created_build = _build()
    build.write_build(created_build, tmp_path)
    reference = configuration_pb2.BundleReference(
        key="../../secret", digest=b"d" * 32, size=1
    )
    _modify_head(tmp_path, bundles=[reference])
    with pytest.raises(errors.DigestMismatchError, match="secret"):
        build.read_build(tmp_path)


@hypothesis.given(
    hypothesis.strategies.dictionaries(
        hypothesis.strategies.text(max_size=8), hypothesis.strategies.binary()
    )
)
def test_bundles_hold_all_parts(contents_by_name):
    """No part is lost, changed or repeated by the split into bundles."""
    decoded_parts = [
        (part.name, part.content)
        for value in parts.make_bundles(contents_by_name)
        for part in configuration_pb2.Bundle.FromString(value).parts
    ]
    assert len(decoded_parts) == len(contents_by_name)
    assert dict(decoded_parts) == contents_by_name
