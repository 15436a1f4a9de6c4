"""Distribution and enforcement of a service mesh's configuration.

The public names are imported lazily, so that a node imports neither
jsonschema nor tomlkit.

Examples
--------
>>> import shallotbridge
>>> shallotbridge.ShallotbridgeError.code
'SB-0000'
"""

import importlib

__version__ = "0.1.0"

_MODULES_BY_NAME = {
    "Build": "build",
    "Configuration": "model",
    "ShallotbridgeError": "errors",
    "TreeError": "errors",
    "compare": "diff",
    "load_hosts": "diff",
    "load_tree": "tree",
    "make_build": "build",
    "read_build": "build",
    "write_build": "build",
}
__all__ = sorted(_MODULES_BY_NAME)


def __getattr__(name):
    if name not in _MODULES_BY_NAME:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    module = importlib.import_module(
        f".core.{_MODULES_BY_NAME[name]}", "shallotbridge"
    )
    return getattr(module, name)
