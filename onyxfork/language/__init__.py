"""The operators' query and command language."""

from onyxfork.language.parser import *  # noqa: F403
from onyxfork.language.rows import *  # noqa: F403
