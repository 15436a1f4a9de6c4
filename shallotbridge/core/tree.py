"""Loading and validation of the operators' configuration tree of TOML files.

Only the operators' commands import this module; nodes do not load jsonschema.
"""

import dataclasses
import functools
import importlib.resources
import json
import math
import os
import pathlib
import re
import tomllib

import jsonschema

from . import checks
from . import errors
from . import model
from . import parts

MESH_FILE = "mesh.toml"
SERVICE_FILE = "shallotbridge.toml"
# Hand-written files are a few kilobytes; the limit keeps a misplaced file,
# such as a dump, from being parsed.
MAXIMUM_FILE_BYTES = 262_144
_MAXIMUM_FOUND_CHARACTERS = 120
# Durations are encoded in whole milliseconds, ratios in whole per mille.
_ENCODING_SCALE = 1000
_SCHEMA_FILE = "configuration.schema.json"
_BARE_KEY_PATTERN = re.compile(r"[A-Za-z0-9_-]+")
_LINE_PATTERN = re.compile(r"at line (\d+)")


@dataclasses.dataclass(frozen=True, kw_only=True)
class TreeProblem:
    """An invalid value in a file, and what is allowed instead.

    Attributes
    ----------
    file : str
        Path relative to the tree.
    key : str
        Dotted path in the file, with the tables of a list given by their
        ``name``, or by their index if they have none. Empty for a problem
        of the whole file.
    line : int or None
        Line of a syntax error or of an invalid byte.
    """

    file: str
    key: str
    found: str
    allowed: str
    line: int | None = None

    def __str__(self):
        location = self.file
        if self.line is not None:
            location += f":{self.line}"
        if self.key:
            location += f": {self.key}"
        return f"{location}: found {self.found}; allowed: {self.allowed}"


def load_tree(directory):
    """Read and validate a tree of files, and fill in the defaults.

    Skips directories whose name starts with a dot.

    Parameters
    ----------
    directory : str or os.PathLike

    Returns
    -------
    model.Configuration
        With ``model.NO_HEAD``; `build.make_build` assigns a version.

    Raises
    ------
    errors.TreeError
        With all problems of the tree.
    """
    contents_by_file, problems = _read_files(pathlib.Path(directory))
    return _parse(contents_by_file, problems)


def parse_tree(contents_by_file):
    """Validate files in memory and fill in the defaults, as `load_tree`.

    Parameters
    ----------
    contents_by_file : mapping of str to bytes
        Contents by path relative to the tree.

    Returns
    -------
    model.Configuration

    Raises
    ------
    errors.TreeError
        With all problems of the tree.

    Examples
    --------
    >>> try:
    ...     parse_tree({"mesh.toml": b'name = "n"'})
    ... except errors.TreeError as error:
    ...     print(error.problems[0])
    mesh.toml: failure_domain: found nothing;
    allowed: 1 to 64 tables [[failure_domain]]
    """
    return _parse(contents_by_file, [])


def _read_files(directory):
    contents_by_file = {}
    problems = []

    def on_error(error):
        problems.append(
            _file_problem(_relative(error.filename, directory), error.strerror)
        )

    for folder, child_names, file_names in os.walk(
        directory, onerror=on_error
    ):
        child_names[:] = sorted(
            name for name in child_names if not name.startswith(".")
        )
        for name in sorted(file_names):
            if name not in (MESH_FILE, SERVICE_FILE):
                continue
            path = pathlib.Path(folder) / name
            file = _relative(path, directory)
            if not path.is_file():
                problems.append(_file_problem(file, "no regular file"))
                continue
            try:
                with path.open("rb") as stream:
                    content = stream.read(MAXIMUM_FILE_BYTES + 1)
            except OSError as error:
                problems.append(_file_problem(file, error.strerror))
                continue
            contents_by_file[file] = content
    return contents_by_file, problems


def _relative(path, directory):
    return pathlib.Path(path).relative_to(directory).as_posix()


def _file_problem(file, found):
    return TreeProblem(
        file=file, key="", found=found, allowed="a readable file or directory"
    )


def _parse(contents_by_file, problems):
    """Return the configuration; `problems` are those of reading the files."""
    problems = list(problems)
    # An unusable file may define a service that other files refer to.
    has_unusable_files = bool(problems)
    mesh = None
    unusable_services = set()
    services_by_file = {}
    for file in sorted(contents_by_file):
        document, file_problems = _decode_file(file, contents_by_file[file])
        if document is None:
            problems += file_problems
            has_unusable_files = True
            continue
        if file == MESH_FILE:
            file_problems = _document_problems(file, document, "mesh")
            if not file_problems:
                mesh = document
        elif file.endswith(MESH_FILE):
            file_problems = [
                TreeProblem(
                    file=file,
                    key="",
                    found=f"a second {MESH_FILE}",
                    allowed=f"one {MESH_FILE}, at the root of the tree",
                )
            ]
        else:
            file_problems = _document_problems(file, document, "service")
            if file_problems:
                unusable_services.add(str(document.get("service")))
            else:
                services_by_file[file] = _make_service(document)
        problems += file_problems
    if MESH_FILE not in contents_by_file and not any(
        problem.file in (MESH_FILE, ".") for problem in problems
    ):
        problems.append(
            TreeProblem(
                file=MESH_FILE,
                key="",
                found="no file",
                allowed="a file that lists the failure domains",
            )
        )
    problems += _duplicate_services(services_by_file)
    configuration = _make_configuration(mesh, services_by_file.values())
    for problem in _cross_reference_problems(configuration, services_by_file):
        field = problem.key.rsplit(".", 1)[-1]
        if field.startswith("failure_domain") and mesh is None:
            continue
        if field == "depends_on" and (
            has_unusable_files or problem.found in unusable_services
        ):
            continue
        problems.append(problem)
    if problems:
        raise errors.TreeError(problems)
    return configuration


def _decode_file(file, content):
    """Return the parsed document or None, and the problems found."""
    if len(content) > MAXIMUM_FILE_BYTES:
        return None, [
            TreeProblem(
                file=file,
                key="",
                found=f"more than {MAXIMUM_FILE_BYTES} bytes",
                allowed=f"at most {MAXIMUM_FILE_BYTES} bytes",
            )
        ]
    try:
        text = content.decode()
    except UnicodeDecodeError as error:
        return None, [
            TreeProblem(
                file=file,
                key="",
                line=content.count(b"\n", 0, error.start) + 1,
                found=f"byte 0x{content[error.start]:02x}",
                allowed="UTF-8 text",
            )
        ]
    try:
        return tomllib.loads(text), []
    # tomllib does not convert the ValueError of an overlong integer or the
    # RecursionError of deep nesting to a TOMLDecodeError.
    except (ValueError, RecursionError) as error:
        line = _LINE_PATTERN.search(str(error))
        return None, [
            TreeProblem(
                file=file,
                key="",
                line=int(line[1]) if line else None,
                found=_format_found(str(error), is_text=True),
                allowed="valid TOML",
            )
        ]


@functools.cache
def load_schema():
    """Return the JSON Schema of the files as a dict."""
    package = importlib.resources.files("shallotbridge._generated")
    return json.loads((package / _SCHEMA_FILE).read_text())


@functools.cache
def _make_validator(definition):
    schema = load_schema()
    return jsonschema.Draft202012Validator(
        {"$ref": f"#/$defs/{definition}", "$defs": schema["$defs"]}
    )


def _document_problems(file, document, definition):
    # A value can violate several rules of the schema; only one problem is
    # reported for it, since that states what is allowed.
    problems_by_path = {}
    for error in _make_validator(definition).iter_errors(document):
        for path, found in _error_locations(error):
            problems_by_path[path] = TreeProblem(
                file=file,
                key=_format_key(document, path),
                found=found,
                allowed=_format_allowed(error, path),
            )
    for path, value in _fixed_point_values(document):
        if not _is_encoded_exactly(value):
            properties = load_schema()["$defs"][path[0]]["properties"]
            problems_by_path[path] = TreeProblem(
                file=file,
                key=_format_key(document, path),
                found=_format_found(value),
                allowed=properties[path[-1]]["title"],
            )
    problems = list(problems_by_path.values())
    for key in ("failure_domain", "route"):
        problems += _duplicate_names(file, document, key)
    return problems


def _error_locations(error):
    """Yield the path and the found value of each key that an error covers."""
    path = tuple(error.absolute_path)
    if error.validator == "additionalProperties":
        for name in error.instance:
            if name not in error.schema["properties"]:
                yield path + (name,), _format_found(error.instance[name])
    elif error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                yield path + (name,), "nothing"
    else:
        yield path, _format_found(error.instance)


def _format_allowed(error, path):
    if error.validator == "additionalProperties":
        names = ", ".join(sorted(error.schema["properties"]))
        return f"only the keys {names}"
    if error.validator == "required":
        schema = error.schema["properties"][path[-1]]
        if "$ref" in schema:
            schema = load_schema()["$defs"][schema["$ref"].split("/")[-1]]
        return schema["title"]
    return error.schema["title"]


def _format_key(document, path):
    """Return a path as dotted keys, with names instead of list indices.

    Examples
    --------
    >>> document = {"route": [{"name": "browse"}, {}]}
    >>> _format_key(document, ("route", 0, "path"))
    'route.browse.path'
    >>> _format_key(document, ("route", 1, "path"))
    'route[1].path'
    """
    text = ""
    value = document
    for step in path:
        if isinstance(step, int):
            value = value[step]
            name = value.get("name") if isinstance(value, dict) else None
            if _is_bare_key(name) and path[-1] != "name":
                text += f".{name}"
            else:
                text += f"[{step}]"
        else:
            # Other keys can contain line breaks, so they are quoted.
            step_text = step if _is_bare_key(step) else json.dumps(step)
            text += f".{step_text}" if text else step_text
            value = value.get(step) if isinstance(value, dict) else None
    return text


def _is_bare_key(name):
    return isinstance(name, str) and _BARE_KEY_PATTERN.fullmatch(name)


def _format_found(value, *, is_text=False):
    try:
        text = value if is_text else repr(value)
    except (RecursionError, ValueError):
        text = f"a {type(value).__name__}"
    if len(text) > _MAXIMUM_FOUND_CHARACTERS:
        text = text[:_MAXIMUM_FOUND_CHARACTERS] + "..."
    return text


def _fixed_point_values(document):
    """Yield path and value of the fractions stored as whole thousandths."""
    upstream = document.get("upstream")
    if isinstance(upstream, dict) and "ramp_seconds" in upstream:
        yield ("upstream", "ramp_seconds"), upstream["ramp_seconds"]
    for index, route in _tables(document, "route"):
        if "retry_ratio" in route:
            yield ("route", index, "retry_ratio"), route["retry_ratio"]


def _is_encoded_exactly(value):
    """Return whether a value is encoded without loss.

    True for any type but float; the schema checks types.

    Examples
    --------
    >>> _is_encoded_exactly(0.125), _is_encoded_exactly(0.0004)
    (True, False)
    >>> _is_encoded_exactly(math.nan)
    False
    """
    if not isinstance(value, float):
        return True
    if not math.isfinite(value):
        return False
    return round(value * _ENCODING_SCALE) / _ENCODING_SCALE == value


def _tables(document, key):
    """Yield index and table of the tables in a list; skip other values."""
    tables = document.get(key)
    if isinstance(tables, list):
        for index, table in enumerate(tables):
            if isinstance(table, dict):
                yield index, table


def _duplicate_names(file, document, key):
    indices_by_name = {}
    for index, table in _tables(document, key):
        name = table.get("name")
        if not isinstance(name, str):
            continue
        first = indices_by_name.setdefault(name, index)
        if first != index:
            yield TreeProblem(
                file=file,
                key=f"{key}[{index}].name",
                found=_format_found(name),
                allowed=f"a name that differs from {key}[{first}]",
            )


def _make_service(document):
    name = document["service"]
    upstream = _with_defaults(document["upstream"], "upstream")
    routes = [
        _make_route(name, _with_defaults(table, "route"))
        for table in document["route"]
    ]
    return model.Service(
        name=name,
        upstream=model.UpstreamLimits(
            failure_domains=tuple(sorted(upstream["failure_domains"])),
            # JSON Schema accepts 6.0 as an integer.
            slots=int(upstream["slots"]),
            connections=int(upstream["connections"]),
            cold_slots=int(upstream["cold_slots"]),
            ramp_seconds=float(upstream["ramp_seconds"]),
            queue=int(upstream["queue"]),
        ),
        routes_by_name=model.by_key(routes, "name"),
    )


def _make_route(service_name, table):
    return model.Route(
        name=table["name"],
        service=service_name,
        method=table["method"],
        path=table["path"],
        is_idempotent=table["idempotent"],
        deadline_seconds=int(table["deadline_ms"]) / _ENCODING_SCALE,
        retry_ratio=float(table["retry_ratio"]),
        depends_on=tuple(sorted(table["depends_on"])),
    )


def _with_defaults(table, definition):
    properties = load_schema()["$defs"][definition]["properties"]
    defaults = {
        key: schema["default"]
        for key, schema in properties.items()
        if "default" in schema
    }
    return defaults | table


def _make_configuration(mesh, services):
    domains = []
    for table in mesh["failure_domain"] if mesh else ():
        table = _with_defaults(table, "failure_domain")
        domains.append(
            model.FailureDomain(
                name=table["name"],
                region=table["region"],
                in_service=table["in_service"],
            )
        )
    return model.Configuration(
        head=model.NO_HEAD,
        mesh_name=mesh["name"] if mesh else "",
        failure_domains_by_name=model.by_key(domains, "name"),
        services_by_name=model.by_key(services, "name"),
    )


def _duplicate_services(services_by_file):
    files_by_name = {}
    for file, service in services_by_file.items():
        first = files_by_name.setdefault(service.name, file)
        if first != file:
            yield TreeProblem(
                file=file,
                key="service",
                found=_format_found(service.name),
                allowed=f"a name that differs from {first}",
            )


def _cross_reference_problems(configuration, services_by_file):
    files_by_part = {
        service.name: file for file, service in services_by_file.items()
    }
    files_by_part[parts.MESH_PART] = MESH_FILE
    for problem in checks.find_problems(configuration):
        yield TreeProblem(
            file=files_by_part[problem.part],
            key=problem.key,
            found=problem.found,
            allowed=problem.allowed,
        )
