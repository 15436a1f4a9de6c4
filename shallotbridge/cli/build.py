"""Command ``build``: builds the next configuration from a tree."""

import pathlib
import typing

import typer

from . import exits

_HELP = """Build the next accepted configuration from a tree.

Reads mesh.toml and every shallotbridge.toml below TREE, and writes one file
for each key of the configuration service. Publish the bundles first and
configuration/head last.

\b
Examples:
  shallotbridge build mesh/ --base none --output v1/
  shallotbridge build mesh/ --base v1/ --output v2/
  shallotbridge build mesh/ --base v1/ --version 2 --output v2/

\b
Exit codes:
  0  built
  1  the tree or the base has problems
  2  wrong usage
  3  refused: version, size, dangling reference, or nothing changes
"""
_NO_BASE = "none"


def register(app):
    """Add the command to an application."""
    app.command("build", help=_HELP)(_build)


def _build(
    tree: typing.Annotated[
        pathlib.Path,
        typer.Argument(
            metavar="TREE",
            envvar="SHALLOTBRIDGE_TREE",
            help="Directory with mesh.toml.",
        ),
    ],
    base: typing.Annotated[
        str,
        typer.Option(
            metavar="DIR|none",
            envvar="SHALLOTBRIDGE_BASE",
            help="Build directory of the version in force; none for the "
            "first version.",
        ),
    ],
    output: typing.Annotated[
        pathlib.Path,
        typer.Option(
            metavar="DIR",
            envvar="SHALLOTBRIDGE_OUTPUT",
            help="Directory to write; new, empty or holding an older build.",
        ),
    ],
    version: typing.Annotated[
        typing.Optional[int],
        typer.Option(
            metavar="N",
            envvar="SHALLOTBRIDGE_BUILD_VERSION",
            help="Expected version; refused unless it is the base's + 1.",
        ),
    ] = None,
    allow_unchanged: typing.Annotated[
        bool,
        typer.Option(
            "--allow-unchanged",
            envvar="SHALLOTBRIDGE_ALLOW_UNCHANGED",
            help="Build a version with the content of its base, to end a "
            "conflict.",
        ),
    ] = False,
):
    from ..core import build
    from ..core import diff
    from ..core import tree as tree_module

    with exits.report_errors():
        base_build = None if base == _NO_BASE else build.read_build(base)
        configuration = tree_module.load_tree(tree)
        built = build.make_build(
            configuration,
            base=base_build,
            version=version,
            allow_unchanged=allow_unchanged,
        )
        build.write_build(built, output)
        head = built.configuration.head
        if base_build is not None:
            changes = diff.compare(
                base_build.configuration, built.configuration
            )
            typer.echo(diff.to_text(changes))
        typer.echo(
            f"built version {head.version} ({head.digest.hex()}) in {output}: "
            f"{len(configuration.services_by_name)} services, "
            f"{len(built.values_by_key)} values"
        )
