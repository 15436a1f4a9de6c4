"""JSON log lines through a buffered writer that never blocks the node."""

import collections
import os
import sys
import threading
import time

import eliot

from . import decisions

BUFFER_BYTES = 4 * 1024 * 1024
# The writer thread collects lines for this long before one write call, s.
BATCH_SECONDS = 0.02
FLUSH_SECONDS = 2.0
RING_LINES = 512
STANDARD_OUTPUT = "-"


class LogWriter:
    """Writes lines to a file descriptor from a thread of its own.

    A full pipe blocks only that thread. Lines beyond the buffer's bound are
    dropped and counted, since the node must go on without its log.

    Parameters
    ----------
    descriptor : int
    buffer_bytes : int
        Bound of the lines that wait, bytes.
    """

    def __init__(self, *, descriptor, buffer_bytes=BUFFER_BYTES):
        self.dropped = 0
        self._descriptor = descriptor
        self._maximum = buffer_bytes
        self._lines = collections.deque()
        self._size = 0
        self._lock = threading.Lock()
        self._has_lines = threading.Event()
        self._is_idle = threading.Event()
        self._is_idle.set()
        self._is_closed = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def write(self, line):
        """Queue one line of bytes, or drop and count it."""
        if not line:
            # eliot finds out with an empty line whether bytes are accepted.
            return
        with self._lock:
            if self._is_closed or self._size + len(line) > self._maximum:
                self.dropped += 1
                return
            self._lines.append(line)
            self._size += len(line)
            self._is_idle.clear()
        if not self._has_lines.is_set():
            self._has_lines.set()

    def flush(self):
        """Do nothing; eliot calls this after each line."""

    def wait_written(self, timeout=FLUSH_SECONDS):
        """Wait until all queued lines are written.

        Parameters
        ----------
        timeout : float
            Longest wait, seconds.

        Returns
        -------
        bool
            False if lines are left, as when nobody reads the pipe.
        """
        return self._is_idle.wait(timeout)

    def close(self, timeout=FLUSH_SECONDS):
        """Write what is queued within the timeout and end the thread."""
        with self._lock:
            self._is_closed = True
        self._has_lines.set()
        self._thread.join(timeout)

    def _run(self):
        while True:
            self._has_lines.wait()
            if not self._is_closed:
                time.sleep(BATCH_SECONDS)
            self._has_lines.clear()
            while self._write_batch():
                pass
            if self._is_closed:
                return

    def _write_batch(self):
        with self._lock:
            batch, self._lines = self._lines, collections.deque()
            if not batch:
                self._is_idle.set()
                return False
        content = b"".join(batch)
        try:
            view = memoryview(content)
            while view:
                view = view[os.write(self._descriptor, view) :]
        except OSError:
            # The reader of the log is gone; the node goes on without it.
            with self._lock:
                self.dropped += len(batch)
        with self._lock:
            self._size -= len(content)
        return True


class DecisionRing:
    """The last decision lines, for the operator endpoint."""

    def __init__(self, *, lines=RING_LINES):
        self._lines = collections.deque(maxlen=lines)

    def __call__(self, message):
        message_type = message.get("message_type", "")
        if message_type.startswith(decisions.MESSAGE_PREFIX):
            self._lines.append(message)

    def last(self, count):
        """Return up to ``count`` lines, the newest last."""
        return list(self._lines)[-count:] if count > 0 else []


def start_logging(*, log_file, ring, host_id):
    """Send all eliot messages of this process to a file and to the ring.

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
        The ``LogWriter`` and a function that stops logging and writes what
        is queued.

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
        # A global field of eliot could not be removed at the stop.
        write(message | {"host": host_id})

    eliot.add_destinations(write_with_host, ring)

    def stop():
        eliot.remove_destination(write_with_host)
        eliot.remove_destination(ring)
        writer.close()

    return writer, stop
