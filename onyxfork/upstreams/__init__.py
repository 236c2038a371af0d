"""Upstreams: what an agent asks of the one beside it, over HTTP, and a stand-in for tests."""

from onyxfork.upstreams.client import *  # noqa: F403
from onyxfork.upstreams.standin import *  # noqa: F403
