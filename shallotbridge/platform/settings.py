"""Reads the settings file that the platform puts on each host."""

import tomllib

from ..core import errors
from . import durations
from . import items
from ..runtime import node as runtime
from ..traffic import model

# Where no bound of cold upstreams is agreed, they get their tolerated rate.
DEFAULT_COLD_MULTIPLIER = 1.0
# Time between the reports of an upstream where the file does not state it.
DEFAULT_REPORT_INTERVAL = "1500ms"


def load(path):
    """Return the settings of a node.

    Parameters
    ----------
    path : str

    Returns
    -------
    runtime.NodeTerms

    Raises
    ------
    errors.SettingsError
        All problems of the file at once.

    See Also
    --------
    parse : the same from the text of the file.
    """
    try:
        with open(path, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error
    return parse(text)


def parse(text):
    """Return the settings that the text of a file states.

    Raises
    ------
    errors.SettingsError
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError([f"not TOML: {error}"]) from error
    reader = _Reader(tables)
    own_address = reader.get("self.ip_address", str)
    upstream = reader.convert("self.application_address", items.split_address)
    store = reader.convert("platform.platform.address", items.split_address)
    clients = reader.convert(
        "network.listen_addresses.outbound", items.split_address
    )
    ready = reader.convert(
        "network.listen_addresses.ready", items.split_address
    )
    ports = reader.get("network.internal_port_range", list)
    values = {
        "name": reader.get("self.node_name", str),
        "failure_domain": reader.get("self.zone", str),
        "service": reader.get("self.service", str),
        "retry_ratio": reader.get("terms.bounds.retry_budget_ratio", float),
        "retry_constant": reader.get("terms.bounds.retry_budget_slack", float),
        "retry_window": reader.convert(
            "terms.bounds.budget_window", durations.parse_duration
        ),
        "cold_multiplier": reader.get(
            "terms.bounds.cold_multiplier", float, DEFAULT_COLD_MULTIPLIER
        ),
        "cold_slack": reader.get("terms.bounds.cold_slack", float, 0.0),
        "apply": reader.convert(
            "terms.bounds.config_apply", durations.parse_duration
        ),
        "report": reader.convert(
            "platform.heartbeat_interval",
            durations.parse_duration,
            DEFAULT_REPORT_INTERVAL,
        ),
        "grace": reader.convert(
            "terms.bounds.grace_period", durations.parse_duration
        ),
    }
    if ports is not None and not (
        len(ports) == 2
        and all(type(port) is int and 0 < port < 65536 for port in ports)
    ):
        reader.problems.append(
            f"network.internal_port_range: found {ports!r}; expected two ports"
        )
    if reader.problems:
        raise errors.SettingsError(reader.problems)
    return runtime.NodeSettings(
        own_host=model.OwnHost(
            name=values["name"],
            address=own_address,
            failure_domain=values["failure_domain"],
            service=values["service"],
            upstream_address=upstream[0],
            upstream_port=upstream[1],
        ),
        client_address=clients,
        readiness_address=ready,
        peer_port=ports[0],
        platform_address=store,
        retry_ratio=values["retry_ratio"],
        retry_constant=values["retry_constant"],
        retry_window_seconds=values["retry_window"],
        cold_multiplier=values["cold_multiplier"],
        cold_constant=values["cold_slack"],
        apply_seconds=values["apply"],
        report_seconds=values["report"],
        grace_period_seconds=values["grace"],
    )


class _Reader:
    """Reads fields by their dotted names and collects all problems."""

    def __init__(self, tables):
        self._tables = tables
        self.problems = []

    def get(self, name, expected_type, default=None):
        """Return the value of a field, or None with a problem noted.

        A field that is missing is a problem unless it has a default.
        """
        value = self._tables
        for part in name.split("."):
            if not isinstance(value, dict) or part not in value:
                if default is not None:
                    return default
                self.problems.append(f"{name}: missing")
                return None
            value = value[part]
        if expected_type is float and type(value) is int:
            value = float(value)
        if type(value) is not expected_type:
            self.problems.append(
                f"{name}: found {value!r}; expected {expected_type.__name__}"
            )
            return None
        return value

    def convert(self, name, function, default=None):
        """Return what a function makes of the text of a field."""
        text = self.get(name, str, default)
        if text is None:
            return None
        try:
            return function(text)
        except errors.MalformedEntryError as error:
            self.problems.append(f"{name}: {error.detail}")
            return None
