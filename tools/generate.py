"""Generate the committed code and documentation pages.

The sources are the files in ``schema/`` and ``shallotbridge/core/errors.py``.

``python -m tools.generate`` writes the files; with ``--check`` it only
reports files that are out of date.
"""

import json
import pathlib
import re
import sys
import tempfile
import tomllib

from grpc_tools import protoc

from shallotbridge.core import errors

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA = ROOT / "schema"
GENERATED = pathlib.Path("shallotbridge/_generated")
CONFIGURATION_SCHEMA = "configuration.schema.json"
KEYS_PAGE = pathlib.Path("docs/configuration-keys.md")
SETTINGS_PAGE = pathlib.Path("docs/settings.md")
ERRORS_PAGE = pathlib.Path("docs/errors.md")
TYPE_NAMES = {
    "str": "str",
    "ip": "str",
    "url": "str",
    "int": "int",
    "float": "float",
    "ip_list": "tuple[str, ...]",
}


class GenerateError(Exception):
    """The protobuf compiler failed."""

    code = "SB-9001"


def _generate_messages(target):
    output = target / GENERATED
    arguments = [
        "protoc",
        f"--proto_path={SCHEMA}",
        f"--python_out={output}",
        f"--grpc_python_out={output}",
    ]
    names = sorted(path.name for path in SCHEMA.glob("*.proto"))
    status = protoc.main(arguments + names)
    if status != 0:
        raise GenerateError(f"protoc failed with exit status {status}")
    for path in output.glob("*_pb2*.py"):
        # protoc generates absolute imports; the package needs relative
        # ones.
        text = re.sub(
            r"^import (\w+_pb2)",
            r"from . import \1",
            path.read_text(),
            flags=re.M,
        )
        path.write_text(text)
    # configuration.proto defines no services and needs no gRPC module.
    (output / "configuration_pb2_grpc.py").unlink()


def _read_settings():
    with (SCHEMA / "settings.toml").open("rb") as stream:
        return tomllib.load(stream)["setting"]


def _default_literal(setting):
    default = setting.get("default")
    if setting["type"] == "ip_list":
        return repr(tuple(default or ()))
    return _literal(default)


def _literal(value):
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)


def _settings_code(settings):
    lines = [
        '"""Settings of a node, generated from schema/settings.toml."""',
        "",
        "import dataclasses",
        "",
        "",
        "@dataclasses.dataclass(frozen=True, kw_only=True)",
        "class SettingSpec:",
        '    """Name, type, limits and help of one setting."""',
        "",
        "    name: str",
        "    type: str",
        "    help: str",
        "    required: bool = False",
        "    default: object = None",
        "    minimum: float | None = None",
        "    maximum: float | None = None",
        '    unit: str = ""',
        '    example: str = ""',
        "",
        "",
        "@dataclasses.dataclass(frozen=True, kw_only=True)",
        "class NodeSettings:",
        '    """Checked settings of a node; see docs/settings.md."""',
        "",
    ]
    for setting in settings:
        line = f"    {setting['name']}: {TYPE_NAMES[setting['type']]}"
        if not setting.get("required"):
            line += f" = {_default_literal(setting)}"
        lines.append(line)
    lines += ["", "", "SPECS = ("]
    for setting in settings:
        lines.append("    SettingSpec(")
        for key in sorted(setting):
            value = setting[key]
            if isinstance(value, list):
                value = tuple(value)
            text = f"        {key}={_literal(value)},"
            if len(text) > 79:
                text = f"        {key}={_wrapped(value)},"
            lines.append(text)
        lines.append("    ),")
    lines += [
        ")",
        "SPECS_BY_NAME = {spec.name: spec for spec in SPECS}",
        "",
    ]
    return "\n".join(lines)


def _wrapped(text):
    """Split a long string over lines as the formatter would accept it."""
    pieces = []
    while text:
        cut = len(text) if len(text) <= 60 else text.rfind(" ", 0, 60) + 1
        pieces.append(text[:cut])
        text = text[cut:]
    body = "\n".join(f'            "{piece}"' for piece in pieces)
    return f"(\n{body}\n        )"


def _link_code():
    """Return the code of the message classes between nodes."""
    with (SCHEMA / "link.toml").open("rb") as stream:
        messages = tomllib.load(stream)["message"]
    lines = [
        '"""Messages between nodes, generated from schema/link.toml."""',
        "",
        "import math",
        "",
        "import msgspec",
    ]
    for message in messages:
        lines += [
            "",
            "",
            f"class {message['name']}(",
            "    msgspec.Struct,",
            "    frozen=True,",
            "    array_like=True,",
            f"    tag={message['tag']},",
            "    gc=False,",
            "):",
            f'    """{message["help"]}"""',
            "",
        ]
        for field in message["fields"]:
            if field["help"]:
                lines.append(f"    # {field['help']}")
            line = f"    {field['name']}: {field['type']}"
            if "default" in field:
                line += f" = {field['default']}"
            lines.append(line)
    return "\n".join(lines) + "\n"


def _settings_page(settings):
    lines = [
        "# Settings of a node",
        "",
        "Made by `python -m tools.generate` from `schema/settings.toml`.",
        "",
        "| flag | environment variable | default | limits | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for setting in settings:
        name = setting["name"]
        flag = name.replace("_", "-")
        default = setting.get("default", "required")
        if default in ("", []):
            default = "empty"
        limits = ""
        if "minimum" in setting:
            limits = f"{setting['minimum']} to {setting['maximum']}"
        unit = f" [{setting['unit']}]" if "unit" in setting else ""
        lines.append(
            f"| `--{flag}` | `SHALLOTBRIDGE_{name.upper()}` | {default} "
            f"| {limits} | {setting['help']}{unit} |"
        )
    return "\n".join(lines) + "\n"


def _errors_page():
    lines = [
        "# Errors",
        "",
        "Made by `python -m tools.generate` from",
        "`shallotbridge/core/errors.py`. Codes are stable. SB-1xxx are errors",
        "in operators' files and builds, SB-2xxx in distribution, SB-4xxx in",
        "settings. SB-3xxx are error responses to callers; only they have a",
        "status, an outcome and a retry hint. `callers-guide.md` explains",
        "these for callers.",
        "",
        "| code | type | meaning | status | outcome | retry |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for code, error_type in sorted(errors.errors_by_code().items()):
        meaning = " ".join(error_type.__doc__.split("\n\n")[0].split())
        cells = ["", "", ""]
        if issubclass(error_type, errors.CallError):
            retry = "safe" if error_type.is_retry_safe else "unsafe"
            cells = [str(error_type.status), str(error_type.outcome), retry]
        name = error_type.__name__
        lines.append(
            " | ".join([f"| {code}", f"`{name}`", meaning, *cells]) + " |"
        )
    return "\n".join(lines) + "\n"


def _keys_page(definitions):
    lines = [
        "# Keys of the configuration files",
        "",
        "Made by `python -m tools.generate` from "
        "`schema/configuration.schema.json`.",
        "[configuration.md](configuration.md) explains the files.",
    ]
    tables = {
        "mesh.toml": "mesh",
        "mesh.toml, [[failure_domain]]": "failure_domain",
        "shallotbridge.toml": "service",
        "shallotbridge.toml, [upstream]": "upstream",
        "shallotbridge.toml, [[route]]": "route",
    }
    for heading, definition in tables.items():
        lines += [
            "",
            f"## {heading}",
            "",
            "| key | allowed | default | meaning |",
            "| --- | --- | --- | --- |",
        ]
        schema = definitions[definition]
        for key, value in schema["properties"].items():
            if "$ref" in value:
                value = definitions[value["$ref"].split("/")[-1]] | value
            default = "required"
            if key not in schema["required"]:
                default = f"`{json.dumps(value['default'])}`"
            lines.append(
                f"| `{key}` | {value['title']} | {default} "
                f"| {value['description']} |"
            )
    return "\n".join(lines) + "\n"


def generate(target):
    """Write all generated files below a directory.

    Parameters
    ----------
    target : pathlib.Path
        Directory with the layout of the repository.
    """
    (target / GENERATED).mkdir(parents=True, exist_ok=True)
    (target / SETTINGS_PAGE).parent.mkdir(parents=True, exist_ok=True)
    settings = _read_settings()
    _generate_messages(target)
    (target / GENERATED / "__init__.py").write_text(
        '"""Code generated from schema/; do not edit."""\n'
    )
    (target / GENERATED / "settings.py").write_text(_settings_code(settings))
    (target / GENERATED / "link.py").write_text(_link_code())
    (target / SETTINGS_PAGE).write_text(_settings_page(settings))
    (target / ERRORS_PAGE).write_text(_errors_page())
    schema_text = (SCHEMA / CONFIGURATION_SCHEMA).read_text()
    # Copied into the package so that the built executable contains it.
    (target / GENERATED / CONFIGURATION_SCHEMA).write_text(schema_text)
    definitions = json.loads(schema_text)["$defs"]
    (target / KEYS_PAGE).write_text(_keys_page(definitions))


def _differing_files():
    with tempfile.TemporaryDirectory() as directory:
        target = pathlib.Path(directory)
        generate(target)
        for path in sorted(target.rglob("*")):
            if not path.is_file():
                continue
            name = path.relative_to(target)
            committed = ROOT / name
            if (
                not committed.exists()
                or committed.read_text() != path.read_text()
            ):
                yield name


def main(arguments):
    """Run the generator; return the exit status."""
    if "--check" not in arguments:
        generate(ROOT)
        return 0
    differing = list(_differing_files())
    for name in differing:
        print(f"{name} is out of date; run 'make generate'")
    return 1 if differing else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
