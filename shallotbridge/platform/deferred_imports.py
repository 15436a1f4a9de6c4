"""Keeps imports that are not needed to serve requests out of the start.

After a loss of power all nodes start at once, and their imports take most of
the time until a node has started: 0.2 s of processor time, which is half a
second on a host with 0.43 of a core. A quarter of that is the log library with
what it imports. The decision log keeps its lines until that is loaded.
"""

import contextlib
import importlib
import sys
import types

_LOG_MODULE = "eliot"
# What the log library imports, in steps that each delay requests little.
_LOG_MODULE_PARTS = (
    "uuid",
    "orjson",
    "boltons.funcutils",
    "pyrsistent",
    "zope.interface",
)
# Time after which the log library is loaded: most nodes of a fleet that starts
# at once have a current view and an open upstream by then.
LOG_DELAY_SECONDS = 1.0
# Pause between two parts, in which waiting requests are served.
_PART_PAUSE_SECONDS = 0.05


class _DeferredModule(types.ModuleType):
    """Stands for a module that is imported at the first use of it.

    ``importlib.util.LazyLoader`` would import it with the next import
    statement, which reads an attribute of the module.
    """

    def __getattr__(self, name):
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        module = importlib.import_module(self.__name__)
        self.__dict__.update(module.__dict__)
        return getattr(module, name)


def defer_log_library():
    """Import the log library at its first use, not by import statements."""
    if _LOG_MODULE not in sys.modules:
        sys.modules[_LOG_MODULE] = _DeferredModule(_LOG_MODULE)


async def load_log_library(sleep):
    """Load the log library in steps when the node has started.

    Parameters
    ----------
    sleep : callable
        ``await sleep(seconds)``.
    """
    await sleep(LOG_DELAY_SECONDS)
    for name in _LOG_MODULE_PARTS:
        # A part that a later version of the library does not have.
        with contextlib.suppress(ImportError):
            importlib.import_module(name)
        await sleep(_PART_PAUSE_SECONDS)
