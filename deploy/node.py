"""Starts the node on the users' platform.

``deploy/system.toml`` runs this file without the ``site`` module, so that its
first line runs as early as possible.
"""

# Importing ``signal`` takes as long as the start of the interpreter.
import _signal

# By default the signal ends a process. Nothing is lost: the settings are read
# after the process has begun to handle it.
_signal.signal(_signal.SIGHUP, _signal.SIG_IGN)

import os  # noqa: E402
import sys  # noqa: E402

sys.path[0] = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

from shallotbridge.platform import __main__ as entry_point  # noqa: E402

if __name__ == "__main__":
    sys.exit(entry_point.main())
