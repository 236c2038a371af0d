"""A dispatcher for sub-second tasks on fixed capacity.

Tasks of a job start at most once, answers are whole, and "not run" is definite, while operators
change limits and membership under load. See ``docs/`` for the design and the operators' pages.
"""

from onyxfork.utils.lazy import lazy_names

__version__ = "0.1.0"

__getattr__ = lazy_names(__name__, ("entities", "errors", "language", "settings"))
