"""Typed messages between processes and the connections that carry them."""

from onyxfork.messages.codec import *  # noqa: F403
from onyxfork.messages.connection import *  # noqa: F403
from onyxfork.messages.types import *  # noqa: F403
