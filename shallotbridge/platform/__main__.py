"""Entry point of ``python -m shallotbridge.platform``."""

import signal
import sys
import time

# Taken before the imports, which take half of the time until the node has
# started.
_STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)
# By default the signal ends a process. Until the node handles it, there is
# nothing to do: the settings file is read after this line.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from . import deferred_imports  # noqa: E402

deferred_imports.defer_log_library()

from . import program  # noqa: E402

if __name__ == "__main__":
    sys.exit(program.main(_STARTED_AT))
