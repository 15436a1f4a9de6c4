"""shallotbridge distributes and enforces a service mesh's configuration."""

__version__ = "0.1.0"
