"""The client through which an agent runs tasks at its upstream, and a stand-in upstream."""

from onyxfork.upstreams.client import *  # noqa: F403
from onyxfork.upstreams.standin import *  # noqa: F403
