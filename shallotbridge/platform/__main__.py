"""Entry point of ``python -m shallotbridge.platform``."""

import sys
import time

# Taken before the imports, which take half of the time until the node has
# started.
_STARTED_AT = time.clock_gettime(time.CLOCK_BOOTTIME)

from . import deferred_imports  # noqa: E402

deferred_imports.defer_log_library()

from . import program  # noqa: E402

if __name__ == "__main__":
    sys.exit(program.main(_STARTED_AT))
