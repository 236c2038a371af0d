"""Import of a package's modules on the first use of their public names.

A daemon imports only what its role needs: each message class costs a millisecond of start-up time,
and importing the whole library would double the memory of a small process.
"""

from importlib import import_module

__all__ = ["lazy_names"]


def lazy_names(package, modules):
    """Return a ``__getattr__`` for a package that imports public names from its modules.

    Parameters
    ----------
    package : str
    modules : tuple of str
        Names within the package; imported and searched in this order until the name is found.

    Returns
    -------
    callable
    """

    def load_name(name):
        if not name.startswith("_"):
            for module in modules:
                loaded_module = import_module(f"{package}.{module}")
                if name in loaded_module.__all__:
                    return getattr(loaded_module, name)
        raise AttributeError(f"module {package!r} has no attribute {name!r}")

    return load_name
