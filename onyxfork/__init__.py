"""A dispatcher for sub-second tasks on fixed capacity.

Each task of a job starts at most once, a job is answered as a whole, and the outcome "not run" is
definite, also while operators change limits and membership under load. The design and the pages for
operators are in ``docs/``.
"""

from onyxfork.utils.lazy import lazy_names

__version__ = "0.1.0"

__getattr__ = lazy_names(__name__, ("entities", "errors", "language", "settings"))
