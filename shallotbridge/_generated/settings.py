"""Settings of a node, generated from schema/settings.toml."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class SettingSpec:
    """Name, type, limits and help of one setting."""

    name: str
    type: str
    help: str
    required: bool = False
    default: object = None
    minimum: float | None = None
    maximum: float | None = None
    unit: str = ""
    example: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Checked settings of a node; see docs/settings.md."""

    host_id: str
    address: str
    failure_domain: str
    service: str
    platform_url: str
    seeds: tuple[str, ...] = ()
    fleet_size: int = 100
    caller_port: int = 7400
    forward_port: int = 7401
    peer_port: int = 7402
    operator_port: int = 7403
    operator_address: str = ""
    upstream_port: int = 8080
    statsd_address: str = ""
    drain_timeout: float = 20.0
    start_wait: float = 3.0
    poll_wait: float = 2.0
    watch_wait: float = 30.0
    readers: int = 3
    fan_out: int = 8
    seed: int = -1
    log_file: str = "-"


SPECS = (
    SettingSpec(
        example="c1-showroom-1",
        help="Identifier of this host in the platform's host list.",
        name="host_id",
        required=True,
        type="str",
    ),
    SettingSpec(
        example="127.0.1.1",
        help="IP address on which the node listens and its upstream answers.",
        name="address",
        required=True,
        type="ip",
    ),
    SettingSpec(
        example="cairo-1",
        help="Failure domain of this host.",
        name="failure_domain",
        required=True,
        type="str",
    ),
    SettingSpec(
        example="showroom",
        help="Service of the upstream on this host.",
        name="service",
        required=True,
        type="str",
    ),
    SettingSpec(
        example="http://127.0.0.1:7500",
        help="Base URL of the platform's configuration service.",
        name="platform_url",
        required=True,
        type="url",
    ),
    SettingSpec(
        default=(),
        example="127.0.1.2,127.0.1.3",
        help="Addresses of peers to ask first at a start; they may be stale.",
        name="seeds",
        type="ip_list",
    ),
    SettingSpec(
        default=100,
        help=(
            "Upper bound of the fleet; spreads the first reads of the "
            "platform after a common restart."
        ),
        maximum=100000,
        minimum=1,
        name="fleet_size",
        type="int",
        unit="nodes",
    ),
    SettingSpec(
        default=7400,
        help="Port for callers.",
        maximum=65535,
        minimum=1,
        name="caller_port",
        type="int",
    ),
    SettingSpec(
        default=7401,
        help=(
            "Port for requests that other nodes forward; the same on all "
            "hosts."
        ),
        maximum=65535,
        minimum=1,
        name="forward_port",
        type="int",
    ),
    SettingSpec(
        default=7402,
        help="Port for messages between nodes; the same on all hosts.",
        maximum=65535,
        minimum=1,
        name="peer_port",
        type="int",
    ),
    SettingSpec(
        default=7403,
        help="Port of the operator endpoint.",
        maximum=65535,
        minimum=1,
        name="operator_port",
        type="int",
    ),
    SettingSpec(
        default="",
        help=(
            "IP address of the operator endpoint; the node's address if "
            "empty."
        ),
        name="operator_address",
        type="ip",
    ),
    SettingSpec(
        default=8080,
        help="Port on which the upstream of this host answers.",
        maximum=65535,
        minimum=1,
        name="upstream_port",
        type="int",
    ),
    SettingSpec(
        default="",
        example="127.0.0.1:8125",
        help="HOST:PORT of the statsd server; no metrics are sent if empty.",
        name="statsd_address",
        type="str",
    ),
    SettingSpec(
        default=20.0,
        help="Longest time from SIGTERM to the end of the process.",
        maximum=600.0,
        minimum=0.0,
        name="drain_timeout",
        type="float",
        unit="s",
    ),
    SettingSpec(
        default=3.0,
        help=(
            "Longest wait for answers of peers before a starting node "
            "enforces a configuration."
        ),
        maximum=60.0,
        minimum=0.1,
        name="start_wait",
        type="float",
        unit="s",
    ),
    SettingSpec(
        default=2.0,
        help="Time for which a parent holds a Sync call that has nothing new.",
        maximum=60.0,
        minimum=0.1,
        name="poll_wait",
        type="float",
        unit="s",
    ),
    SettingSpec(
        default=30.0,
        help="Time for which the platform holds a watch.",
        maximum=300.0,
        minimum=1.0,
        name="watch_wait",
        type="float",
        unit="s",
    ),
    SettingSpec(
        default=3,
        help=(
            "Nodes of each failure domain that read the platform; the "
            "same on all hosts."
        ),
        maximum=16,
        minimum=1,
        name="readers",
        type="int",
        unit="nodes",
    ),
    SettingSpec(
        default=8,
        help=(
            "Children of a node in the distribution tree; the same on "
            "all hosts."
        ),
        maximum=32,
        minimum=2,
        name="fan_out",
        type="int",
        unit="nodes",
    ),
    SettingSpec(
        default=-1,
        help="Seed of random choices; -1 takes one from the operating system.",
        maximum=2147483647,
        minimum=-1,
        name="seed",
        type="int",
    ),
    SettingSpec(
        default="-",
        help="File for JSON lines; - is standard output.",
        name="log_file",
        type="str",
    ),
)
SPECS_BY_NAME = {spec.name: spec for spec in SPECS}
