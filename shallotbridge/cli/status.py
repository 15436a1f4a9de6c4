"""Command ``status``: shows the status of running nodes."""

import json
import typing

import typer

from .._generated import settings as generated_settings

EXIT_ENFORCING = 0
EXIT_UNREACHABLE = 1
EXIT_NOT_ENFORCING = 3
EXIT_DIFFERING = 4
_TIMEOUT_SECONDS = 5.0
_DIGEST_DISPLAY_LENGTH = 8
_COLUMNS = (
    "address",
    "host",
    "domain",
    "version",
    "digest",
    "state",
    "slots",
    "limit",
    "in use",
    "queued",
    "hosts",
)
_HELP = """Show the status of one or more nodes.

Give addresses as IP or IP:PORT of the operator endpoint.

\b
Examples:
  shallotbridge status 127.0.1.1
  shallotbridge status --json 127.0.1.1 127.0.2.1:7403

\b
Exit codes:
  0  all nodes enforce the same version
  1  a node did not answer
  2  wrong usage
  3  a node enforces no configuration yet
  4  the versions differ, or a node reports a conflict
"""


def register(app):
    """Add the command to an application."""
    app.command("status", help=_HELP)(_status)


def _status(
    addresses: typing.Annotated[
        list[str],
        typer.Argument(
            metavar="ADDRESS...",
            envvar="SHALLOTBRIDGE_STATUS_ADDRESSES",
            help="IP or IP:PORT of a node.",
        ),
    ],
    as_json: typing.Annotated[
        bool,
        typer.Option(
            "--json",
            envvar="SHALLOTBRIDGE_STATUS_JSON",
            help="Print JSON, one object by address.",
        ),
    ] = False,
):
    raise typer.Exit(show_status(addresses, as_json=as_json))


def show_status(addresses, *, as_json):
    """Print the status of some nodes and return the exit status."""
    statuses_by_address = read_statuses(addresses)
    if as_json:
        print(json.dumps(statuses_by_address, indent=2, sort_keys=True))
    else:
        print(format_table(statuses_by_address))
    return exit_status(statuses_by_address)


def read_statuses(addresses):
    """Return the status of each node, or ``{"error": text}``, by address."""
    # Imported here so that the other commands start faster.
    import httpx

    statuses_by_address = {}
    with httpx.Client(timeout=_TIMEOUT_SECONDS, trust_env=False) as client:
        for address in addresses:
            try:
                response = client.get(
                    f"http://{_add_default_port(address)}/status"
                )
                response.raise_for_status()
                statuses_by_address[address] = response.json()
            except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
                text = str(error) or type(error).__name__
                statuses_by_address[address] = {"error": text}
    return statuses_by_address


def _add_default_port(address):
    if address.startswith("[") and address.endswith("]"):
        needs_port = True
    elif address.count(":") > 1 and not address.startswith("["):
        address, needs_port = f"[{address}]", True
    else:
        needs_port = ":" not in address
    port = generated_settings.SPECS_BY_NAME["operator_port"].default
    return f"{address}:{port}" if needs_port else address


def exit_status(statuses_by_address):
    """Return the exit status for the statuses of some nodes.

    Examples
    --------
    >>> exit_status({"127.0.1.1": {"error": "refused"}})
    1
    """
    statuses = list(statuses_by_address.values())
    if any("error" in node_status for node_status in statuses):
        return EXIT_UNREACHABLE
    if not all(node_status["enforcing"] for node_status in statuses):
        return EXIT_NOT_ENFORCING
    versions_in_force = {
        (node_status["version"], node_status["digest"])
        for node_status in statuses
    }
    if len(versions_in_force) > 1 or any(
        node_status["conflict"] for node_status in statuses
    ):
        return EXIT_DIFFERING
    return EXIT_ENFORCING


def format_table(statuses_by_address):
    """Return a table with one row per node, and a line for each error."""
    rows = [_COLUMNS]
    failures = []
    for address, node_status in statuses_by_address.items():
        if "error" in node_status:
            failures.append(f"{address}: no answer: {node_status['error']}")
            continue
        rows.append(
            (
                address,
                node_status["host_id"],
                node_status["failure_domain"],
                str(node_status["version"]),
                node_status["digest"][:_DIGEST_DISPLAY_LENGTH],
                _describe_state(node_status),
                str(node_status["slots"]),
                str(node_status["limit"]),
                str(node_status["in_use"]),
                str(node_status["queued"]),
                str(node_status["hosts_known"]),
            )
        )
    widths = [max(map(len, column)) for column in zip(*rows)]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths)
        ).rstrip()
        for row in rows
    ]
    return "\n".join(lines + failures)


def _describe_state(node_status):
    if node_status["leaving"]:
        return "leaving"
    if node_status["conflict"]:
        return "conflict"
    return "enforcing" if node_status["enforcing"] else "waiting"
