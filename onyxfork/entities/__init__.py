"""Entities and the tables that hold them."""

from onyxfork.entities.agent_tasks import *  # noqa: F403
from onyxfork.entities.catalogue import *  # noqa: F403
from onyxfork.entities.outcomes import *  # noqa: F403
