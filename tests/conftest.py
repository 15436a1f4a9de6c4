"""Settings for all tests."""

import hypothesis

# The same examples in every run, with no limit that depends on the clock.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.load_profile("ci")
