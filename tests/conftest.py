"""Hypothesis settings for all tests."""

import hypothesis

# Deterministic examples, and no per-example time limit.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")
