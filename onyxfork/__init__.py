"""A dispatcher for sub-second tasks on fixed capacity.

Tasks of a job start at most once, answers are whole, and "not run" is definite, while operators
change limits and membership under load. See ``docs/`` for the design and the operators' pages.
"""

from onyxfork.entities import *  # noqa: F403
from onyxfork.errors import *  # noqa: F403
from onyxfork.language import *  # noqa: F403
from onyxfork.settings import *  # noqa: F403

__version__ = "0.1.0"
