"""Tests of the log writer."""

import json
import os

from shallotbridge.core import decisions
from shallotbridge.core import logs


def test_full_pipe_drops_lines_without_blocking():
    """Guards against a node that blocks because nothing reads its log."""
    read_end, write_end = os.pipe()
    writer = logs.LogWriter(descriptor=write_end, buffer_bytes=1_000_000)
    line = b"x" * 999 + b"\n"
    for _ in range(3000):
        writer.write(line)
    assert writer.dropped > 0
    os.close(read_end)
    writer.close()
    os.close(write_end)


def test_stop_writes_all_queued_lines(tmp_path):
    """Guards against losing the latest log lines when the node stops."""
    path = tmp_path / "node.log"
    ring = logs.DecisionRing(lines=2)
    writer, stop = logs.start_logging(
        log_file=str(path), ring=ring, host_id="h1"
    )
    for number in range(5):
        decisions.record("route", number=number)
    stop()
    assert writer.dropped == 0
    # eliot first writes messages logged before it had a destination.
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    numbers = [(line.get("number"), line["host"]) for line in lines]
    assert numbers[-5:] == [(number, "h1") for number in range(5)]
    assert [message["number"] for message in ring.last(9)] == [3, 4]
    assert ring.last(0) == []
