"""Golden files of whole sessions; see docs/golden-sessions.md."""
