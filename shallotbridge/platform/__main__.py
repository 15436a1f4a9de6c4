"""Entry point of ``python -m shallotbridge.platform``."""

import sys

from . import program

if __name__ == "__main__":
    sys.exit(program.main())
