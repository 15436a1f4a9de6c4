"""Settings of a node from flags and environment variables."""

import dataclasses
import ipaddress
import math
import urllib.parse

from .._generated import settings as generated
from . import errors

VARIABLE_PREFIX = "SHALLOTBRIDGE_"


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingProblem:
    """A setting that is missing or whose value is not allowed."""

    setting: str
    found: str
    allowed: str

    def __str__(self):
        return (
            f"{self.setting}: found {self.found}; allowed: {self.allowed} "
            f"(flag {flag_of(self.setting)}, "
            f"variable {variable_of(self.setting)})"
        )


def flag_of(name):
    """Return the command line flag of a setting.

    Examples
    --------
    >>> flag_of("host_id")
    '--host-id'
    """
    return "--" + name.replace("_", "-")


def variable_of(name):
    """Return the environment variable of a setting.

    Examples
    --------
    >>> variable_of("host_id")
    'SHALLOTBRIDGE_HOST_ID'
    """
    return VARIABLE_PREFIX + name.upper()


def load_settings(*, flags, environment):
    """Load and validate the settings of a node.

    Flags take precedence over environment variables, and both over defaults.
    An empty variable is treated as unset.

    Parameters
    ----------
    flags : mapping of str to str or None
        Value of each flag by the setting's name; None if the flag is not
        given.
    environment : mapping of str to str

    Returns
    -------
    NodeSettings

    Raises
    ------
    errors.SettingsError
        Lists all settings that are missing or not allowed.

    Examples
    --------
    >>> settings = load_settings(
    ...     flags={
    ...         "host_id": "c1-showroom-1",
    ...         "address": "127.0.1.1",
    ...         "failure_domain": "cairo-1",
    ...         "service": "showroom",
    ...         "platform_url": "http://127.0.0.1:7500",
    ...     },
    ...     environment={"SHALLOTBRIDGE_READERS": "2"},
    ... )
    >>> settings.readers, settings.fan_out
    (2, 8)
    """
    values_by_name = {}
    problems = []
    for spec in generated.SPECS:
        text = flags.get(spec.name)
        if text is None:
            text = environment.get(variable_of(spec.name)) or None
        if text is None:
            if spec.required:
                allowed = f"a value such as {spec.example}"
                problems.append(_make_problem(spec, "nothing", allowed))
            continue
        try:
            values_by_name[spec.name] = _parse_value(spec, text)
        except errors.SettingValueError as error:
            problems.append(_make_problem(spec, repr(text), error.detail))
    problems += _find_address_problems(values_by_name)
    problems += _find_port_conflicts(values_by_name)
    if problems:
        raise errors.SettingsError(problems)
    return generated.NodeSettings(**values_by_name)


def _make_problem(spec, found, allowed):
    return SettingProblem(setting=spec.name, found=found, allowed=allowed)


def _find_address_problems(values_by_name):
    text = values_by_name.get("statsd_address", "")
    try:
        parse_address(text)
    except errors.SettingValueError as error:
        spec = generated.SPECS_BY_NAME["statsd_address"]
        yield _make_problem(spec, repr(text), error.detail)


def _find_port_conflicts(values_by_name):
    """Yield a problem for each port that two servers would listen on."""
    names_by_port = {}
    for spec in generated.SPECS:
        if not spec.name.endswith("_port"):
            continue
        port = values_by_name.get(spec.name, spec.default)
        other_name = names_by_port.setdefault(port, spec.name)
        if other_name != spec.name:
            allowed = f"a port that {flag_of(other_name)} does not use"
            yield _make_problem(spec, str(port), allowed)


def parse_address(text):
    """Parse ``HOST:PORT``; return host and port, or None for an empty text.

    Raises
    ------
    errors.SettingValueError
        The text is neither; the detail states the allowed values.

    Examples
    --------
    >>> parse_address("127.0.0.1:8125")
    ('127.0.0.1', 8125)
    """
    if not text:
        return None
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 1 <= int(port) <= 65535:
        raise errors.SettingValueError(
            "HOST:PORT such as 127.0.0.1:8125, or empty"
        )
    return host, int(port)


def _parse_value(spec, text):
    return _PARSERS_BY_TYPE[spec.type](spec, text.strip())


def _parse_text(spec, text):
    if spec.required and not text:
        raise errors.SettingValueError(f"a value such as {spec.example}")
    return text


def _parse_ip(spec, text):
    if not text and not spec.required:
        return text
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise errors.SettingValueError(
            f"an IP address such as {spec.example or '127.0.1.1'}"
        ) from None


def _parse_ip_list(spec, text):
    pieces = [piece.strip() for piece in text.split(",")]
    try:
        return tuple(
            str(ipaddress.ip_address(piece)) for piece in pieces if piece
        )
    except ValueError:
        raise errors.SettingValueError(
            f"IP addresses with commas between, such as {spec.example}"
        ) from None


def _parse_url(spec, text):
    try:
        url = urllib.parse.urlsplit(text)
        is_allowed = url.scheme in ("http", "https") and bool(url.hostname)
        # Accessing the port raises ValueError if it is not in 0 to 65535.
        url.port
    except ValueError:
        is_allowed = False
    if not is_allowed:
        raise errors.SettingValueError(
            f"an http or https URL such as {spec.example}"
        )
    return text.rstrip("/")


def _parse_number(spec, text):
    convert, kind = (
        (int, "an integer") if spec.type == "int" else (float, "a number")
    )
    limits = f"{kind} from {spec.minimum} to {spec.maximum}"
    if spec.unit:
        limits += f" {spec.unit}"
    try:
        value = convert(text)
    except ValueError:
        raise errors.SettingValueError(limits) from None
    if math.isnan(value) or not spec.minimum <= value <= spec.maximum:
        raise errors.SettingValueError(limits)
    return value


_PARSERS_BY_TYPE = {
    "str": _parse_text,
    "ip": _parse_ip,
    "ip_list": _parse_ip_list,
    "url": _parse_url,
    "int": _parse_number,
    "float": _parse_number,
}
