"""Entry point of ``python -m shallotbridge``."""

from . import cli

if __name__ == "__main__":
    cli.main()
