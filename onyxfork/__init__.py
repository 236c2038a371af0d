"""A dispatcher for sub-second tasks on fixed capacity.

Tasks of a job start at most once, answers are whole, and "not run" is definite, while operators
change limits and membership under load. See ``docs/`` for the design and the operators' pages.
"""

from importlib import import_module

__version__ = "0.1.0"

PUBLIC_PACKAGES = ("entities", "errors", "language", "settings")


def __getattr__(name):
    """Return a public name of one of `PUBLIC_PACKAGES`, imported with its first use.

    A daemon imports what its role needs; the whole of the library would double its memory.
    """
    for package in PUBLIC_PACKAGES if not name.startswith("_") else ():
        module = import_module(f"onyxfork.{package}")
        if hasattr(module, name):
            return getattr(module, name)
    raise AttributeError(f"module 'onyxfork' has no attribute {name!r}")
