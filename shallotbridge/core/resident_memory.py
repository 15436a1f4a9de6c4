"""Measures the resident memory of this process and returns free heap to it.

Both need Linux; on other systems nothing is measured.
"""

import ctypes
import os

_STATUS_FILE = "/proc/self/statm"


class ResidentMemory:
    """The resident memory of this process."""

    def __init__(self):
        self._descriptor = None
        self._page_bytes = 0

    def start(self):
        """Open the file that the system keeps up to date, if there is one."""
        try:
            self._descriptor = os.open(_STATUS_FILE, os.O_RDONLY)
        except OSError:
            return
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")

    def read(self):
        """Return the resident bytes, or None if they are not known."""
        if self._descriptor is None:
            return None
        try:
            fields = os.pread(self._descriptor, 256, 0).split()
            return int(fields[1]) * self._page_bytes
        except (OSError, ValueError, IndexError):
            return None

    def close(self):
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def trim_heap():
    """Return free memory of the allocator's heap to the system.

    The allocator returns only what is free at the end of its heap by itself.
    """
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        # Not the C library of GNU.
        pass
