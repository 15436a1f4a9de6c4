"""Tests of loading the settings of a node."""

import pytest

from shallotbridge.core import errors
from shallotbridge.core import settings as core_settings

REQUIRED = {
    "host_id": "c1-showroom-1",
    "address": "127.0.1.1",
    "failure_domain": "cairo-1",
    "service": "showroom",
    "platform_url": "http://127.0.0.1:7500/",
}


def _load(environment=None, **flags):
    return core_settings.load_settings(
        flags=REQUIRED | flags, environment=environment or {}
    )


def test_flag_takes_precedence_over_environment_variable():
    """A node must not ignore its command line."""
    environment = {
        "SHALLOTBRIDGE_READERS": "2",
        "SHALLOTBRIDGE_FAN_OUT": "4",
        "SHALLOTBRIDGE_SEEDS": "127.0.1.2, 127.0.1.3",
    }
    settings = _load(environment, readers="5")
    assert (settings.readers, settings.fan_out) == (5, 4)
    assert settings.seeds == ("127.0.1.2", "127.0.1.3")
    assert settings.platform_url == "http://127.0.0.1:7500"


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("host_id", " "),
        ("address", "host.example"),
        ("seeds", "127.0.1.1,x"),
        ("platform_url", "127.0.0.1:7500"),
        ("platform_url", "http://127.0.0.1:99999"),
        ("readers", "17"),
        ("readers", "1.5"),
        ("drain_timeout", "nan"),
        ("statsd_address", "8125"),
        ("forward_port", "7400"),
    ],
)
def test_invalid_value_error_names_flag_and_variable(name, text):
    """An invalid setting must be rejected and easy to locate."""
    with pytest.raises(errors.SettingsError) as caught:
        _load(**{name: text})
    (problem,) = caught.value.problems
    message = str(problem)
    assert problem.setting == name
    assert "found" in message and "allowed" in message
    assert core_settings.flag_of(name) in message
    assert core_settings.variable_of(name) in message


def test_all_invalid_settings_are_reported_together():
    """Otherwise an operator would find one mistake per start."""
    with pytest.raises(errors.SettingsError) as caught:
        core_settings.load_settings(
            flags={"readers": "0"}, environment={"SHALLOTBRIDGE_SEED": "x"}
        )
    names = {problem.setting for problem in caught.value.problems}
    assert names == set(REQUIRED) | {"readers", "seed"}
