"""Reads the settings file that the platform writes on each host."""

import tomllib

from ..core import errors
from . import durations
from . import items
from ..runtime import node as node_module
from ..traffic import model

# Without an agreed limit, cold upstreams get at most their tolerated rate.
DEFAULT_COLD_MULTIPLIER = 1.0
# Used when the file does not state the interval of upstream reports.
DEFAULT_REPORT_INTERVAL = "1500ms"
# Used when the file does not bound how long an upstream that leaves, or a
# failure domain out of service, may get requests: `config_apply` bounds it.
DEFAULT_OTHER_BOUND = "60s"
# Used when the file does not limit the memory of the process.
DEFAULT_MEMORY_MB = 200.0
# Used when the file does not limit the descriptors of the process.
DEFAULT_FILE_DESCRIPTORS = 4096
# Used when the file does not bound the excess over quotas.
DEFAULT_QUOTA_WINDOW = "5s"


def load(path):
    """Load the settings of a node from a file.

    Parameters
    ----------
    path : str

    Returns
    -------
    runtime.node.NodeSettings

    Raises
    ------
    errors.SettingsError
        Lists all problems of the file.

    See Also
    --------
    parse : Does the same for the text of a file.
    """
    return parse(read(path))


def read(path):
    """Return the text of a settings file.

    Raises
    ------
    errors.SettingsError
        The file cannot be read.
    """
    try:
        with open(path, encoding="utf-8") as stream:
            return stream.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError([f"{path}: {error}"]) from error


def parse(text):
    """Return the ``runtime.node.NodeSettings`` in the text of a settings file.

    Raises
    ------
    errors.SettingsError
        Lists all problems of the text.
    """
    try:
        tables = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError([f"not TOML: {error}"]) from error
    reader = _FieldReader(tables)
    own_address = reader.get("self.ip_address", str)
    upstream = reader.convert("self.application_address", items.parse_address)
    platform_address = reader.convert(
        "platform.platform.address", items.parse_address
    )
    client_address = reader.convert(
        "network.listen_addresses.outbound", items.parse_address
    )
    readiness_address = reader.convert(
        "network.listen_addresses.ready", items.parse_address
    )
    port_range = reader.get("network.internal_port_range", list)
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
        "drain": reader.convert(
            "terms.bounds.drain_timeout",
            durations.parse_duration,
            DEFAULT_OTHER_BOUND,
        ),
        "evacuation": reader.convert(
            "terms.bounds.evacuation",
            durations.parse_duration,
            DEFAULT_OTHER_BOUND,
        ),
        "report": reader.convert(
            "platform.heartbeat_interval",
            durations.parse_duration,
            DEFAULT_REPORT_INTERVAL,
        ),
        "grace": reader.convert(
            "terms.bounds.grace_period", durations.parse_duration
        ),
        "memory_mb": reader.get(
            "self.limits.memory_mb", float, DEFAULT_MEMORY_MB
        ),
        "file_descriptors": reader.get(
            "self.limits.file_descriptors", int, DEFAULT_FILE_DESCRIPTORS
        ),
        "quota_overage": reader.get("terms.bounds.quota_overage", float, 0.0),
        "quota_slack": reader.get("terms.bounds.quota_slack", float, 0.0),
        "quota_window": reader.convert(
            "terms.bounds.quota_window",
            durations.parse_duration,
            DEFAULT_QUOTA_WINDOW,
        ),
    }
    if port_range is not None and not (
        len(port_range) == 2
        and all(type(port) is int and 0 < port < 65536 for port in port_range)
    ):
        reader.problems.append(
            f"network.internal_port_range: found {port_range!r}; "
            "expected two ports"
        )
    if reader.problems:
        raise errors.SettingsError(reader.problems)
    return node_module.NodeSettings(
        own_host=model.OwnHost(
            name=values["name"],
            address=own_address,
            failure_domain=values["failure_domain"],
            service=values["service"],
            upstream_address=upstream[0],
            upstream_port=upstream[1],
        ),
        client_address=client_address,
        readiness_address=readiness_address,
        peer_port=port_range[0],
        platform_address=platform_address,
        retry_ratio=values["retry_ratio"],
        retry_constant=values["retry_constant"],
        retry_window_seconds=values["retry_window"],
        cold_multiplier=values["cold_multiplier"],
        cold_slack=values["cold_slack"],
        maximum_apply_seconds=min(
            values["apply"], values["drain"], values["evacuation"]
        ),
        report_interval_seconds=values["report"],
        grace_period_seconds=values["grace"],
        memory_bytes=int(values["memory_mb"] * 1_000_000),
        file_descriptors=values["file_descriptors"],
        quota_overage=values["quota_overage"],
        quota_slack=values["quota_slack"],
        quota_window_seconds=values["quota_window"],
    )


class _FieldReader:
    """Reads fields by dotted name and collects all problems."""

    def __init__(self, tables):
        self._tables = tables
        self.problems = []

    def get(self, name, expected_type, default=None):
        """Return the value of a field.

        Records a problem and returns None if the field has another type, or
        is missing without a default.
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
        """Return the text of a field, converted by a function.

        Records a problem and returns None if that fails.
        """
        text = self.get(name, str, default)
        if text is None:
            return None
        try:
            return function(text)
        except errors.MalformedEntryError as error:
            self.problems.append(f"{name}: {error.detail}")
            return None
