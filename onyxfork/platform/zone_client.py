"""Operators' client for the evacuation of availability zones, used by ``onyxfork zone``."""

import asyncio
from urllib.parse import quote

import aiohttp
from attrs import define

from onyxfork.errors import UnavailableError

__all__ = ["ZoneClient"]

REQUEST_TIMEOUT_S = 1.5
"""Above the 0.9 s after which an instance answers 503."""

ATTEMPTS_PER_URL = 4
"""With a pause after each failed attempt, these cover an election of a leader, about 2 s."""

RETRY_PAUSE_S = 0.2


@define(frozen=True)
class ZoneClient:
    """URLs of control instances, which are tried in turn.

    Parameters
    ----------
    urls : tuple of str
    """

    urls: tuple

    @classmethod
    def from_option(cls, control):
        """Return a client for the URLs in a list separated by commas."""
        return cls(tuple(url.strip().rstrip("/") for url in control.split(",") if url.strip()))

    async def request(self, method, zone=""):
        """Send a request to the instances in turn until one fulfils or refuses it.

        Requests are idempotent, so one whose outcome is unknown is sent again.

        Parameters
        ----------
        method : str
            ``POST`` to evacuate a zone, ``DELETE`` to restore it, ``GET`` to list all.
        zone : str

        Returns
        -------
        (int, dict)
            Status and body of the response.

        Raises
        ------
        UnavailableError
            When no instance answered, or none could commit the request.
        """
        path = f"/evacuations/{quote(zone, safe='')}" if zone else "/evacuations"
        reason = "no control instance is given"
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for url in self.urls * ATTEMPTS_PER_URL:
                try:
                    async with session.request(method, url + path) as response:
                        body = await response.json()
                        if response.status < 500:
                            return response.status, body
                        reason = f"{url}: {body.get('error', response.status)}"
                except (TimeoutError, aiohttp.ClientError, ValueError) as error:
                    reason = f"{url}: {error or type(error).__name__}"
                await asyncio.sleep(RETRY_PAUSE_S)
        raise UnavailableError(reason)
