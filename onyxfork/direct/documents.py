"""How a configuration reaches a node: announced by every control instance, fetched from one.

A configuration of several hundred queues is tens of kilobytes, and an entry's link may be slower
than ten megabits a second: sent whole by each control instance, a few changes in a row would hold
up the news of runs for a second. So an instance announces only the version, a node asks one
instance for the document, and the document travels compressed.
"""

import zlib

from onyxfork.direct.messages import ConfigurationDocument, DocumentTransfer
from onyxfork.errors import ProtocolError

__all__ = ["FETCH_RETRY_S", "DocumentFetcher", "compress_document", "decompress_document"]

FETCH_RETRY_S = 0.25
"""A document that has not arrived after this long is asked for at another instance; a round trip
and the transfer take a few tens of milliseconds on a sound link."""

COMPRESSION_LEVEL = 6
MAX_BODY_BYTES = 8 * 2**20
"""Of a decompressed document; far above the largest that operators send."""


def compress_document(document):
    """Return the `DocumentTransfer` of a `ConfigurationDocument`."""
    return DocumentTransfer(document.version, zlib.compress(document.body, COMPRESSION_LEVEL))


def decompress_document(transfer):
    """Return the `ConfigurationDocument` in a `DocumentTransfer`.

    Raises
    ------
    ProtocolError
        When it can not be decompressed, or is too large.
    """
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(transfer.compressed, MAX_BODY_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"configuration {transfer.version}: {error}") from None
    if not inflater.eof:
        raise ProtocolError(f"configuration {transfer.version} is cut short or too large")
    return ConfigurationDocument(transfer.version, body)


class DocumentFetcher:
    """Decides which control instance a node asks for the newest configuration.

    Attributes
    ----------
    held : int
        Version that the node holds.
    announced : dict of str to int
        Newest version that each connected instance has announced.
    asked : str
        Instance that was asked last.
    asked_version : int
        Version that it had announced; 0 when no answer is awaited.
    """

    def __init__(self):
        self.held_version = 0
        self.announced_versions = {}
        self.asked_address = ""
        self.asked_version = 0
        self.asked_at = 0.0

    def on_announced(self, address, version, now):
        """Note an instance's newest version; return the instance to be asked, or None.

        Parameters
        ----------
        address : str
            Of the instance.
        version : int
        now : float
            Monotonic seconds.
        """
        self.announced_versions[address] = version
        if version <= max(self.held_version, self.asked_version):
            return None
        return self.record_request(address, version, now)

    def on_held(self, version):
        """Note the version that the node holds now."""
        self.held_version = max(self.held_version, version)
        if self.held_version >= self.asked_version:
            self.asked_version = 0

    def on_closed(self, address):
        """Note that an instance is out of reach; what it was asked for is asked for elsewhere."""
        self.announced_versions.pop(address, None)
        if address == self.asked_address:
            self.asked_at = float("-inf")

    def next_retry(self, now):
        """Return the instance to be asked again, or None while nothing is overdue."""
        if not self.asked_version or now - self.asked_at < FETCH_RETRY_S:
            return None
        newer = [
            (address != self.asked_address, version, address)
            for address, version in self.announced_versions.items()
            if version > self.held_version
        ]
        if not newer:
            self.asked_version = 0
            return None
        _, version, address = max(newer)
        return self.record_request(address, version, now)

    def record_request(self, address, version, now):
        """Note whom the node asks, and return it."""
        self.asked_address, self.asked_version, self.asked_at = address, version, now
        return address
