"""The work of shallotbridge; the public surface lies one level up."""
