"""Buffered JSON log output that never blocks the node."""

import collections
import os
import sys
import threading
import time

import eliot

from . import decisions

BUFFER_BYTES = 4 * 1024 * 1024
# Time for which the writer thread collects lines before it writes them.
BATCH_DELAY_SECONDS = 0.02
FLUSH_TIMEOUT_SECONDS = 2.0
RING_BUFFER_LINES = 512
STANDARD_OUTPUT = "-"


class LogWriter:
    """Writes lines to a file descriptor in a separate thread.

    A full pipe blocks only that thread. When the buffer is full, lines are
    dropped and counted: the node must keep serving without its log.

    Parameters
    ----------
    descriptor : int
    buffer_bytes : int
        Limit of the queued lines, bytes.
    """

    def __init__(self, *, descriptor, buffer_bytes=BUFFER_BYTES):
        self.dropped = 0
        self._descriptor = descriptor
        self._buffer_bytes = buffer_bytes
        self._lines = collections.deque()
        self._queued_bytes = 0
        self._lock = threading.Lock()
        self._has_lines = threading.Event()
        self._all_written = threading.Event()
        self._all_written.set()
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, line):
        """Queue one line of bytes; drop and count it if the buffer is full."""
        if not line:
            # eliot writes an empty line to test whether bytes are accepted.
            return
        with self._lock:
            if (
                self._is_closed
                or self._queued_bytes + len(line) > self._buffer_bytes
            ):
                self.dropped += 1
                return
            self._lines.append(line)
            self._queued_bytes += len(line)
            self._all_written.clear()
        if not self._has_lines.is_set():
            self._has_lines.set()

    def flush(self):
        """Do nothing; eliot calls this method after each line."""

    def wait_written(self, timeout=FLUSH_TIMEOUT_SECONDS):
        """Wait until all queued lines have been written.

        Parameters
        ----------
        timeout : float
            Longest wait, seconds.

        Returns
        -------
        bool
            False on timeout, for example if nothing reads the pipe.
        """
        return self._all_written.wait(timeout)

    def close(self, timeout=FLUSH_TIMEOUT_SECONDS):
        """Write queued lines until the timeout and stop the thread."""
        with self._lock:
            self._is_closed = True
        self._has_lines.set()
        self._thread.join(timeout)

    def _run(self):
        while True:
            self._has_lines.wait()
            if not self._is_closed:
                time.sleep(BATCH_DELAY_SECONDS)
            self._has_lines.clear()
            while self._write_batch():
                pass
            if self._is_closed:
                return

    def _write_batch(self):
        with self._lock:
            batch, self._lines = self._lines, collections.deque()
            if not batch:
                self._all_written.set()
                return False
        content = b"".join(batch)
        try:
            view = memoryview(content)
            while view:
                view = view[os.write(self._descriptor, view) :]
        except OSError:
            # The pipe may have lost its reader; the node continues without
            # its log.
            with self._lock:
                self.dropped += len(batch)
        with self._lock:
            self._queued_bytes -= len(content)
        return True


class DecisionRing:
    """Ring buffer of the latest decisions, for the operator endpoint."""

    def __init__(self, *, lines=RING_BUFFER_LINES):
        self._lines = collections.deque(maxlen=lines)

    def __call__(self, message):
        message_type = message.get("message_type", "")
        if message_type.startswith(decisions.MESSAGE_PREFIX):
            self._lines.append(message)

    def last(self, count):
        """Return up to ``count`` decisions, oldest first."""
        return list(self._lines)[-count:] if count > 0 else []


def start_logging(*, log_file, ring, host_id):
    """Send all eliot messages of this process to a file and a ring buffer.

    Parameters
    ----------
    log_file : str
        Path, or ``-`` for standard output.
    ring : DecisionRing
    host_id : str
        Added to each line as ``host``.

    Returns
    -------
    tuple
        The ``LogWriter`` and a function that stops logging and writes the
        queued lines.

    Raises
    ------
    OSError
        The file cannot be opened.
    """
    if log_file == STANDARD_OUTPUT:
        descriptor = sys.stdout.fileno()
    else:
        descriptor = os.open(
            log_file, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o644
        )
    writer = LogWriter(descriptor=descriptor)
    write = eliot.FileDestination(file=writer)

    def write_with_host(message):
        # Added here because eliot cannot remove a global field later.
        write(message | {"host": host_id})

    eliot.add_destinations(write_with_host, ring)

    def stop():
        eliot.remove_destination(write_with_host)
        eliot.remove_destination(ring)
        writer.close()

    return writer, stop
