"""Names of a package that are imported with their first use.

A daemon imports what its role needs: each typed message costs a millisecond of start-up, and the
whole of the library would double a small process's memory.
"""

from importlib import import_module

__all__ = ["lazy_names"]


def lazy_names(package, modules):
    """Return a module's ``__getattr__`` that finds a public name in one of some modules.

    Parameters
    ----------
    package : str
    modules : tuple of str
        Searched in this order.

    Returns
    -------
    callable
    """

    def find(name):
        if not name.startswith("_"):
            for module in modules:
                loaded = import_module(f"{package}.{module}")
                if name in loaded.__all__:
                    return getattr(loaded, name)
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    return find
