"""The node as a process: its parts, its signals and its metrics."""
