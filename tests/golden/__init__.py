"""Golden files of complete sessions; see docs/golden-sessions.md."""
