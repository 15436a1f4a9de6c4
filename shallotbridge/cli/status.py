"""The command that shows the status of running nodes."""

import json
import typing

import typer

from .._generated import settings as generated

EXIT_ENFORCING = 0
EXIT_UNREACHABLE = 1
EXIT_NOT_ENFORCING = 3
EXIT_DIFFERING = 4
_TIMEOUT_SECONDS = 5.0
_DIGEST_CHARACTERS = 8
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
    """Add the ``status`` command to the command line."""
    app.command("status", help=_HELP)(_command)


def _command(
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
    """Print the status of nodes and return the exit status."""
    results_by_address = read_all(addresses)
    if as_json:
        print(json.dumps(results_by_address, indent=2, sort_keys=True))
    else:
        print(format_table(results_by_address))
    return exit_status(results_by_address)


def read_all(addresses):
    """Return the status, or ``{"error": text}``, by address."""
    # httpx is imported here, so that the other commands start faster.
    import httpx

    results_by_address = {}
    with httpx.Client(timeout=_TIMEOUT_SECONDS, trust_env=False) as client:
        for address in addresses:
            try:
                answer = client.get(f"http://{_with_port(address)}/status")
                answer.raise_for_status()
                results_by_address[address] = answer.json()
            except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
                text = str(error) or type(error).__name__
                results_by_address[address] = {"error": text}
    return results_by_address


def _with_port(address):
    if address.startswith("[") and address.endswith("]"):
        is_bare = True
    elif address.count(":") > 1 and not address.startswith("["):
        address, is_bare = f"[{address}]", True
    else:
        is_bare = ":" not in address
    port = generated.SPECS_BY_NAME["operator_port"].default
    return f"{address}:{port}" if is_bare else address


def exit_status(results_by_address):
    """Return the exit status that describes a set of results.

    Examples
    --------
    >>> exit_status({"127.0.1.1": {"error": "refused"}})
    1
    """
    results = list(results_by_address.values())
    if any("error" in result for result in results):
        return EXIT_UNREACHABLE
    if not all(result["enforcing"] for result in results):
        return EXIT_NOT_ENFORCING
    heads = {(result["version"], result["digest"]) for result in results}
    if len(heads) > 1 or any(result["conflict"] for result in results):
        return EXIT_DIFFERING
    return EXIT_ENFORCING


def format_table(results_by_address):
    """Return a table with one line for each node."""
    rows = [_COLUMNS]
    failures = []
    for address, result in results_by_address.items():
        if "error" in result:
            failures.append(f"{address}: no answer: {result['error']}")
            continue
        rows.append(
            (
                address,
                result["host_id"],
                result["failure_domain"],
                str(result["version"]),
                result["digest"][:_DIGEST_CHARACTERS],
                _state(result),
                str(result["slots"]),
                str(result["limit"]),
                str(result["in_use"]),
                str(result["queued"]),
                str(result["hosts_known"]),
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


def _state(result):
    if result["leaving"]:
        return "leaving"
    if result["conflict"]:
        return "conflict"
    return "enforcing" if result["enforcing"] else "waiting"
