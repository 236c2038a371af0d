"""Distribution of configurations: announced by every control instance, fetched from one.

A configuration of several hundred queues has tens of kilobytes, and an entry's link may be slower
than 10 Mbit/s. If each control instance sent the whole document, a few changes in a row would delay
run events by a second. Therefore instances announce only the version, a node fetches the document
from one of them, and the document is compressed.
"""

import zlib

from onyxfork.direct.messages import ConfigurationDocument, DocumentTransfer
from onyxfork.errors import ProtocolError

__all__ = ["FETCH_RETRY_S", "DocumentFetcher", "compress_document", "decompress_document"]

FETCH_RETRY_S = 0.25
"""A document that has not arrived after this long is requested from another instance; a round trip
and the transfer take a few tens of milliseconds on a healthy link."""

COMPRESSION_LEVEL = 6
MAX_BODY_BYTES = 8 * 2**20
"""Upper bound on a decompressed document; far above the largest that operators send."""


def compress_document(document):
    """Return the `DocumentTransfer` of a `ConfigurationDocument`."""
    return DocumentTransfer(document.version, zlib.compress(document.body, COMPRESSION_LEVEL))


def decompress_document(transfer):
    """Return the `ConfigurationDocument` in a `DocumentTransfer`.

    Raises
    ------
    ProtocolError
        When it cannot be decompressed or is too large.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(transfer.compressed, MAX_BODY_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"configuration {transfer.version}: {error}") from None
    if not decompressor.eof:
        raise ProtocolError(f"configuration {transfer.version} is truncated or too large")
    return ConfigurationDocument(transfer.version, body)


class DocumentFetcher:
    """Chooses the control instance from which a node fetches the newest configuration.

    Attributes
    ----------
    held_version : int
        Version that the node holds.
    announced_versions : dict of str to int
        Newest version that each connected instance has announced, by address.
    asked_address : str
        Instance that received the latest request.
    asked_version : int
        Version that it had announced; 0 if no request is in flight.
    asked_at : float
        Monotonic seconds of the latest request.
    """

    def __init__(self):
        self.held_version = 0
        self.announced_versions = {}
        self.asked_address = ""
        self.asked_version = 0
        self.asked_at = 0.0

    def on_announced(self, address, version, now):
        """Record an instance's newest version; return the instance to be asked, or None.

        Parameters
        ----------
        address : str
            Address of the instance.
        version : int
        now : float
            Monotonic seconds.

        Returns
        -------
        str or None
            Address of the instance, None if there is nothing to fetch.
        """
        self.announced_versions[address] = version
        if version <= max(self.held_version, self.asked_version):
            return None
        return self.record_request(address, version, now)

    def on_held(self, version):
        """Record the version that the node holds now."""
        self.held_version = max(self.held_version, version)
        if self.held_version >= self.asked_version:
            self.asked_version = 0

    def on_closed(self, address):
        """Drop a disconnected instance; a request to it becomes due for a retry at once."""
        self.announced_versions.pop(address, None)
        if address == self.asked_address:
            self.asked_at = float("-inf")

    def next_retry(self, now):
        """Return the instance for a retry, or None while no request is overdue.

        Other instances than the one asked last come first, then those with the newest version.
        """
        if not self.asked_version or now - self.asked_at < FETCH_RETRY_S:
            return None
        candidates = [
            (address != self.asked_address, version, address)
            for address, version in self.announced_versions.items()
            if version > self.held_version
        ]
        if not candidates:
            self.asked_version = 0
            return None
        _, version, address = max(candidates)
        return self.record_request(address, version, now)

    def record_request(self, address, version, now):
        """Record a request to an instance and return its address."""
        self.asked_address, self.asked_version, self.asked_at = address, version, now
        return address
