"""Command line of shallotbridge."""
