"""Reading a tree of operators' TOML files.

Only the operators' commands import this module; a node never needs
jsonschema.
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
# Hand-written files are a few kilobytes; the bound keeps a wrong file, such
# as a dump, from being parsed.
MAXIMUM_FILE_BYTES = 262_144
_MAXIMUM_FOUND_CHARACTERS = 120
# Durations are encoded in whole milliseconds and ratios per mille.
_STEPS_PER_UNIT = 1000
_SCHEMA_FILE = "configuration.schema.json"
_BARE_KEY_PATTERN = re.compile(r"[A-Za-z0-9_-]+")
_LINE_PATTERN = re.compile(r"at line (\d+)")


@dataclasses.dataclass(frozen=True, kw_only=True)
class TreeProblem:
    """One thing that is wrong in a file, and what is allowed instead.

    Attributes
    ----------
    file : str
        Path relative to the tree.
    key : str
        Dotted path in the file; tables of a list are named by their name,
        or by their index when they have none. Empty for the whole file.
    line : int or None
        Line of a syntax error.
    """

    file: str
    key: str
    found: str
    allowed: str
    line: int | None = None

    def __str__(self):
        place = self.file
        if self.line is not None:
            place += f":{self.line}"
        if self.key:
            place += f": {self.key}"
        return f"{place}: found {self.found}; allowed: {self.allowed}"


def load_tree(directory):
    """Read, validate and complete a tree of files.

    Directories whose name starts with a dot are not read.

    Parameters
    ----------
    directory : str or os.PathLike

    Returns
    -------
    model.Configuration
        With ``model.NO_HEAD``; `build.make_build` gives it a version.

    Raises
    ------
    errors.TreeError
        With all problems of the tree.
    """
    contents_by_file, problems = _read_files(pathlib.Path(directory))
    return _parse(contents_by_file, problems)


def parse_tree(contents_by_file):
    """Do the work of `load_tree` on files in memory.

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

    for place, child_names, file_names in os.walk(directory, onerror=on_error):
        child_names[:] = sorted(
            name for name in child_names if not name.startswith(".")
        )
        for name in sorted(file_names):
            if name not in (MESH_FILE, SERVICE_FILE):
                continue
            path = pathlib.Path(place) / name
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
    """Return the configuration; `problems` are those found while reading."""
    problems = list(problems)
    # Files that exist but cannot be used may define what others refer to.
    has_unreadable = bool(problems)
    mesh = None
    unusable_services = set()
    services_by_file = {}
    for file in sorted(contents_by_file):
        document, found = _decode_file(file, contents_by_file[file])
        if document is None:
            problems += found
            has_unreadable = True
            continue
        if file == MESH_FILE:
            found = _document_problems(file, document, "mesh")
            if not found:
                mesh = document
        elif file.endswith(MESH_FILE):
            found = [
                TreeProblem(
                    file=file,
                    key="",
                    found=f"a second {MESH_FILE}",
                    allowed=f"one {MESH_FILE}, at the root of the tree",
                )
            ]
        else:
            found = _document_problems(file, document, "service")
            if found:
                unusable_services.add(str(document.get("service")))
            else:
                services_by_file[file] = _service(document)
        problems += found
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
    configuration = _configuration(mesh, services_by_file.values())
    for problem in _cross_problems(configuration, services_by_file):
        field = problem.key.rsplit(".", 1)[-1]
        if field.startswith("failure_domain") and mesh is None:
            continue
        if field == "depends_on" and (
            has_unreadable or problem.found in unusable_services
        ):
            continue
        problems.append(problem)
    if problems:
        raise errors.TreeError(problems)
    return configuration


def _decode_file(file, content):
    """Return the document, or None and the problems."""
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
    # tomllib lets the errors of too long integers and too deep nesting pass.
    except (ValueError, RecursionError) as error:
        line = _LINE_PATTERN.search(str(error))
        return None, [
            TreeProblem(
                file=file,
                key="",
                line=int(line[1]) if line else None,
                found=_found_text(str(error), is_text=True),
                allowed="valid TOML",
            )
        ]


@functools.cache
def load_schema():
    """Return the JSON Schema of the files, as a dict."""
    package = importlib.resources.files("shallotbridge._generated")
    return json.loads((package / _SCHEMA_FILE).read_text())


@functools.cache
def _validator(definition):
    schema = load_schema()
    return jsonschema.Draft202012Validator(
        {"$ref": f"#/$defs/{definition}", "$defs": schema["$defs"]}
    )


def _document_problems(file, document, definition):
    # A value can break two limits; one message with what is allowed is
    # enough.
    problems_by_path = {}
    for error in _validator(definition).iter_errors(document):
        for path, found in _error_places(error):
            problems_by_path[path] = TreeProblem(
                file=file,
                key=_key_text(document, path),
                found=found,
                allowed=_allowed_text(error, path),
            )
    for path, value in _stepped_values(document):
        if not _is_in_steps(value):
            properties = load_schema()["$defs"][path[0]]["properties"]
            problems_by_path[path] = TreeProblem(
                file=file,
                key=_key_text(document, path),
                found=_found_text(value),
                allowed=properties[path[-1]]["title"],
            )
    problems = list(problems_by_path.values())
    for key in ("failure_domain", "route"):
        problems += _duplicate_names(file, document, key)
    return problems


def _error_places(error):
    """Yield the path and the found value of each place of an error."""
    path = tuple(error.absolute_path)
    if error.validator == "additionalProperties":
        for name in error.instance:
            if name not in error.schema["properties"]:
                yield path + (name,), _found_text(error.instance[name])
    elif error.validator == "required":
        for name in error.validator_value:
            if name not in error.instance:
                yield path + (name,), "nothing"
    else:
        yield path, _found_text(error.instance)


def _allowed_text(error, path):
    if error.validator == "additionalProperties":
        names = ", ".join(sorted(error.schema["properties"]))
        return f"only the keys {names}"
    if error.validator == "required":
        schema = error.schema["properties"][path[-1]]
        if "$ref" in schema:
            schema = load_schema()["$defs"][schema["$ref"].split("/")[-1]]
        return schema["title"]
    return error.schema["title"]


def _key_text(document, path):
    """Return the dotted path, with names in place of list indices.

    Examples
    --------
    >>> document = {"route": [{"name": "browse"}, {}]}
    >>> _key_text(document, ("route", 0, "path"))
    'route.browse.path'
    >>> _key_text(document, ("route", 1, "path"))
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
            # Other keys are quoted, since they can contain line ends.
            step_text = step if _is_bare_key(step) else json.dumps(step)
            text += f".{step_text}" if text else step_text
            value = value.get(step) if isinstance(value, dict) else None
    return text


def _is_bare_key(name):
    return isinstance(name, str) and _BARE_KEY_PATTERN.fullmatch(name)


def _found_text(value, *, is_text=False):
    try:
        text = value if is_text else repr(value)
    except (RecursionError, ValueError):
        text = f"a {type(value).__name__}"
    if len(text) > _MAXIMUM_FOUND_CHARACTERS:
        text = text[:_MAXIMUM_FOUND_CHARACTERS] + "..."
    return text


def _stepped_values(document):
    """Yield path and value of the numbers that are stored in steps."""
    upstream = document.get("upstream")
    if isinstance(upstream, dict) and "ramp_seconds" in upstream:
        yield ("upstream", "ramp_seconds"), upstream["ramp_seconds"]
    for index, route in _tables(document, "route"):
        if "retry_ratio" in route:
            yield ("route", index, "retry_ratio"), route["retry_ratio"]


def _is_in_steps(value):
    """Tell whether a number survives its encoding; other types pass.

    Examples
    --------
    >>> _is_in_steps(0.125), _is_in_steps(0.0004), _is_in_steps(math.nan)
    (True, False, False)
    """
    if not isinstance(value, float):
        return True
    if not math.isfinite(value):
        return False
    return round(value * _STEPS_PER_UNIT) / _STEPS_PER_UNIT == value


def _tables(document, key):
    """Yield index and table of the tables in a list, ignoring the rest."""
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
                found=_found_text(name),
                allowed=f"a name that differs from {key}[{first}]",
            )


def _service(document):
    name = document["service"]
    upstream = _with_defaults(document["upstream"], "upstream")
    routes = [
        _route(name, _with_defaults(table, "route"))
        for table in document["route"]
    ]
    return model.Service(
        name=name,
        upstream=model.UpstreamLimits(
            failure_domains=tuple(sorted(upstream["failure_domains"])),
            # JSON Schema takes 6.0 for an integer.
            slots=int(upstream["slots"]),
            connections=int(upstream["connections"]),
            cold_slots=int(upstream["cold_slots"]),
            ramp_seconds=float(upstream["ramp_seconds"]),
            queue=int(upstream["queue"]),
        ),
        routes_by_name=model.by_key(routes, "name"),
    )


def _route(service_name, table):
    return model.Route(
        name=table["name"],
        service=service_name,
        method=table["method"],
        path=table["path"],
        is_idempotent=table["idempotent"],
        deadline_seconds=int(table["deadline_ms"]) / _STEPS_PER_UNIT,
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


def _configuration(mesh, services):
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
                found=_found_text(service.name),
                allowed=f"a name that differs from {first}",
            )


def _cross_problems(configuration, services_by_file):
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
