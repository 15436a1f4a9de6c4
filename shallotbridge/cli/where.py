"""Command ``where``: tells where a request would go, without sending it."""

import json
import sys
import typing

import typer

EXIT_OFFERED = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
_TIMEOUT_SECONDS = 5.0
_HELP = """Tell where a node would send a request now, and why.

Nothing is sent to an upstream. The address is that of the node's metrics.

\b
Example:
  shallotbridge where 10.1.0.38:9464 shop.example /browse/1

\b
Exit codes:
  0  the request would be offered to an upstream
  1  it would be refused
  2  wrong usage
  3  the node did not answer
"""


def register(app):
    """Add the command to an application."""
    app.command("where", help=_HELP)(_where)


def _where(
    address: typing.Annotated[
        str,
        typer.Argument(
            envvar="SHALLOTBRIDGE_METRICS_ADDRESS",
            help="IP:PORT of the node's metrics.",
        ),
    ],
    host: typing.Annotated[
        str,
        typer.Argument(
            envvar="SHALLOTBRIDGE_REQUEST_HOST", help="Host of the request."
        ),
    ],
    path: typing.Annotated[
        str,
        typer.Argument(
            envvar="SHALLOTBRIDGE_REQUEST_PATH", help="Path of the request."
        ),
    ],
    key_file: typing.Annotated[
        str,
        typer.Option(
            "--key-file",
            envvar="SHALLOTBRIDGE_KEY_FILE",
            help="File with the API key; a key among the arguments would be "
            "visible to other users.",
        ),
    ] = "",
    as_json: typing.Annotated[
        bool,
        typer.Option(
            "--json", envvar="SHALLOTBRIDGE_WHERE_JSON", help="Print JSON."
        ),
    ] = False,
):
    # Imported here so that the other commands start faster.
    import httpx

    from ..runtime import request_preview

    headers = {}
    if key_file:
        try:
            with open(key_file, encoding="ascii") as stream:
                headers[request_preview.KEY_HEADER] = stream.read().strip()
        except (OSError, UnicodeDecodeError) as error:
            print(f"{key_file}: cannot be read", file=sys.stderr)
            raise typer.Exit(EXIT_USAGE) from error
    try:
        response = httpx.get(
            f"http://{address}{request_preview.PATH}",
            params={"host": host, "path": path},
            headers=headers,
            timeout=_TIMEOUT_SECONDS,
            trust_env=False,
        )
        response.raise_for_status()
        preview = response.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        print(f"{address}: no answer: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_UNREACHABLE) from error
    typer.echo(
        json.dumps(preview, indent=2) if as_json else format_preview(preview)
    )
    raise typer.Exit(EXIT_REFUSED if preview["refused_by"] else EXIT_OFFERED)


def format_preview(preview):
    """Return a preview as text.

    Examples
    --------
    >>> print(
    ...     format_preview(
    ...         {
    ...             "node": "node-1",
    ...             "caller_service": "shop",
    ...             "version": None,
    ...             "route": None,
    ...             "customer": None,
    ...             "quota": None,
    ...             "destinations": [],
    ...             "refused_by": {"code": "SB-3002", "detail": "no view"},
    ...         }
    ...     )
    ... )
    node-1, caller service shop, version None
    refused: SB-3002: no view
    """
    lines = [
        f"{preview['node']}, caller service {preview['caller_service']}, "
        f"version {preview['version']}"
    ]
    for title in ("route", "customer", "quota"):
        found = preview[title]
        if isinstance(found, dict):
            found = " ".join(f"{name}={found[name]}" for name in found)
        if found is not None:
            lines.append(f"{title}: {found}")
    for destination in preview["destinations"]:
        lines.append(
            f"service {destination['service']}, weight "
            f"{destination['weight']}"
        )
        for upstream in destination["upstreams"]:
            subset = "" if upstream["is_in_subset"] else ", not in the subset"
            cost = "not eligible now"
            if upstream["is_eligible"]:
                cost = (
                    f"cost {upstream['cost_ms']} ms, wait "
                    f"{upstream['wait_ms']} ms"
                )
            lines.append(
                f"  {upstream['upstream']} in {upstream['failure_domain']}: "
                f"{cost}{subset}"
            )
    refusal = preview["refused_by"]
    if refusal is not None:
        lines.append(f"refused: {refusal['code']}: {refusal['detail']}")
    return "\n".join(lines)
