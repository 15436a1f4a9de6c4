"""The settings file of the platform."""

import pytest

from shallotbridge.core import errors
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


def test_the_settings_of_a_host():
    """Guards against a field that is read as another one."""
    terms = settings.parse(TEXT)
    assert terms.own_host.name == "sidecar-cairo-a-1"
    assert terms.own_host.failure_domain == "cairo-a"
    assert terms.own_host.upstream_port == 8145
    assert terms.client_address == ("10.1.0.38", 8147)
    assert terms.ready_address == ("10.1.0.38", 8141)
    assert terms.platform_address == ("10.200.1.7", 8142)
    assert terms.peer_port == 7380
    assert (terms.retry_ratio, terms.retry_constant) == (0.2, 56.0)
    assert (terms.cold_multiplier, terms.cold_constant) == (1.5, 5.0)
    assert terms.apply_seconds == 2.0
    assert terms.report_seconds == 1.5
    assert (terms.retry_window_seconds, terms.grace_seconds) == (10.0, 6.0)


def test_all_problems_are_named_at_once():
    """Guards against an operator who has to start the node once a mistake."""
    text = TEXT.replace('zone = "cairo-a"', "zone = 3").replace(
        'ready = "10.1.0.38:8141"', 'ready = "10.1.0.38"'
    )
    text = text.replace('grace_period = "6s"', "")
    with pytest.raises(errors.SettingsError) as caught:
        settings.parse(text)
    problems = "\n".join(str(one) for one in caught.value.problems)
    assert "self.zone: found 3; expected str" in problems
    assert "network.listen_addresses.ready" in problems
    assert "terms.bounds.grace_period: missing" in problems


def test_a_text_that_is_not_toml():
    """Guards against a traceback in place of a message."""
    with pytest.raises(errors.SettingsError):
        settings.parse("[self")


def test_a_missing_file(tmp_path):
    """Guards against a node that serves without settings."""
    with pytest.raises(errors.SettingsError):
        settings.load(str(tmp_path / "missing.toml"))


def test_a_file_without_the_interval_of_reports():
    """Guards against a node that does not start for a field it can do without.

    Pattern: a platform whose settings file is older than the field.
    """
    terms = settings.parse(TEXT.replace('heartbeat_interval = "1500ms"', ""))
    assert terms.report_seconds == 1.5
