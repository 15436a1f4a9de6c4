"""Implementation of shallotbridge; its public API is the parent package."""
