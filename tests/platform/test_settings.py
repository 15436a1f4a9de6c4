"""Tests of reading the platform's settings file."""

import pytest

from shallotbridge.core import errors
from shallotbridge.platform import program
from shallotbridge.platform import settings

TEXT = """
[self]
node_name = "sidecar-cairo-a-1"
ip_address = "10.1.0.38"
zone = "cairo-a"
application_address = "10.1.0.38:8145"
service = "huvo11a"
unknown_field = 1
[network]
internal_port_range = [7380,7395]
[network.listen_addresses]
outbound = "10.1.0.38:8147"
ready = "10.1.0.38:8141"
[platform]
heartbeat_interval = "1500ms"
[platform.platform]
address = "10.200.1.7:8142"
[terms.bounds]
grace_period = "6s"
config_apply = "2000ms"
cold_multiplier = 1.5
cold_slack = 5
retry_budget_ratio = 0.2
budget_window = "10s"
retry_budget_slack = 56
"""


def test_all_settings_are_read():
    """Guards against settings that are swapped or lost."""
    parsed = settings.parse(TEXT)
    assert parsed.own_host.name == "sidecar-cairo-a-1"
    assert parsed.own_host.failure_domain == "cairo-a"
    assert parsed.own_host.upstream_port == 8145
    assert parsed.client_address == ("10.1.0.38", 8147)
    assert parsed.readiness_address == ("10.1.0.38", 8141)
    assert parsed.platform_address == ("10.200.1.7", 8142)
    assert parsed.peer_port == 7380
    assert (parsed.retry_ratio, parsed.retry_constant) == (0.2, 56.0)
    assert (parsed.cold_multiplier, parsed.cold_slack) == (1.5, 5.0)
    assert parsed.maximum_apply_seconds == 2.0
    assert parsed.report_interval_seconds == 1.5
    assert (parsed.retry_window_seconds, parsed.grace_period_seconds) == (
        10.0,
        6.0,
    )


@pytest.mark.parametrize(
    "line, seconds",
    [
        ('drain_timeout = "1500ms"', 1.5),
        ('evacuation = "1s"', 1.0),
        ('evacuation = "5000ms"', 2.0),
    ],
)
def test_the_strictest_bound_of_changes_counts(line, seconds):
    """Guards against timers that fit one bound and break another."""
    parsed = settings.parse(f"{TEXT}\n{line}\n")
    assert parsed.maximum_apply_seconds == seconds


def test_the_memory_of_the_process_is_read():
    """Guards against limits for a host of another size."""
    parsed = settings.parse(f"{TEXT}\n[self.limits]\nmemory_mb = 300\n")
    assert parsed.memory_bytes == 300_000_000
    assert settings.parse(TEXT).memory_bytes == 200_000_000


def test_descriptors_and_quota_bounds_are_read():
    """Guards against quotas and descriptors of another deployment."""
    parsed = settings.parse(
        f'{TEXT}\nquota_window = "4s"\nquota_overage = 0.25\n'
        "quota_slack = 20\n[self.limits]\nfile_descriptors = 4100\n"
    )
    assert parsed.file_descriptors == 4100
    assert parsed.quota_window_seconds == 4.0
    assert (parsed.quota_overage, parsed.quota_slack) == (0.25, 20.0)
    assert settings.parse(TEXT).quota_window_seconds == 5.0


def test_all_problems_are_reported_at_once():
    """Guards against a report that stops at the first problem.

    The operator would have to start the node once for each mistake.
    """
    text = TEXT.replace('zone = "cairo-a"', "zone = 3").replace(
        'ready = "10.1.0.38:8141"', 'ready = "10.1.0.38"'
    )
    text = text.replace('grace_period = "6s"', "")
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(text)
    problems = "\n".join(str(problem) for problem in caught.value.problems)
    assert "self.zone: found 3; expected str" in problems
    assert "network.listen_addresses.ready" in problems
    assert "terms.bounds.grace_period: missing" in problems


def test_invalid_toml_raises_settings_error():
    """Guards against a traceback in place of an error message."""
    with pytest.raises(errors.SettingsError):
        settings.parse("[self")


def test_missing_file_raises_settings_error(tmp_path):
    """Guards against a node that starts without settings."""
    with pytest.raises(errors.SettingsError):
        settings.load(str(tmp_path / "missing.toml"))


def test_report_interval_has_a_default():
    """Guards against a node that needs an optional field to start.

    The settings file of a platform may be older than the field.
    """
    parsed = settings.parse(TEXT.replace('heartbeat_interval = "1500ms"', ""))
    assert parsed.report_interval_seconds == 1.5


@pytest.mark.parametrize(
    "value, expected", [("", False), ("registered", False), ("learned", True)]
)
def test_a_choice_has_a_default(monkeypatch, value, expected):
    """Guards against parts that take effect without being configured."""
    monkeypatch.setenv(program.CAPACITY_VARIABLE, value)
    choices = ("registered", "learned")
    assert program.read_choice(program.CAPACITY_VARIABLE, choices) is expected


def test_an_unknown_choice_is_an_error(monkeypatch):
    """Guards against a misspelt value that silently means the default."""
    monkeypatch.setenv(program.CAPACITY_VARIABLE, "learnt")
    with pytest.raises(errors.SettingsError):
        program.read_choice(
            program.CAPACITY_VARIABLE, ("registered", "learned")
        )
