"""Fixture that compares the transcript of a session with its golden file."""

import pytest
from syrupy.extensions import single_file

from tests.golden import harness


class GoldenText(single_file.SingleFileSnapshotExtension):
    """Stores one text file per session."""

    _write_mode = single_file.WriteMode.TEXT
    file_extension = "txt"


@pytest.fixture
def golden(snapshot):
    """Return a function that runs a script and compares its transcript."""

    def check(script, **options):
        transcript = harness.run_session(script, **options)
        assert transcript == snapshot(extension_class=GoldenText)

    return check
