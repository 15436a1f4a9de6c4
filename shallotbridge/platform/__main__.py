"""Entry point of ``python -m shallotbridge.platform`` and ``deploy/node.py``.

Of the two, only the latter is safe from SIGHUP in most of its start.
"""

import _signal
import sys
import time

# Taken before the imports, which take half of the time until the node has
# started.
_STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)
# By default the signal ends a process. Nothing is lost: the settings are read
# after the process has begun to handle it.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

from . import deferred_imports  # noqa: E402

deferred_imports.defer_log_library()

from . import program  # noqa: E402


def main():
    """Run a node until it receives a stop signal; return the exit status."""
    return program.main(_STARTED_AT)


if __name__ == "__main__":
    sys.exit(main())
