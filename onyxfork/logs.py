"""Logs: one JSON object a line on standard error.

The fields ``submission``, ``task``, ``worker`` and ``zone`` name the same things in every process,
so that one request can be followed through all of them by searching for its submission.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["start_logging"]


def start_logging(role, node, zone="", level="info", stream=None):
    """Send the logs of this process to a stream.

    Parameters
    ----------
    role, node, zone : str
        Added to every line.
    level : str
        ``debug``, ``info``, ``warning`` or ``error``.
    stream : file object, optional
        Standard error when omitted.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "module"},
            static_fields={"role": role, "node": node, "zone": zone},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("transitions").setLevel(logging.WARNING)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
