"""Configurations are announced by every control instance and fetched from one of them."""

import json
import zlib

import pytest

from onyxfork.addresses import Address
from onyxfork.direct.control_state import DocumentState
from onyxfork.direct.directory import NodeDirectory
from onyxfork.direct.documents import (
    FETCH_RETRY_S,
    MAX_BODY_BYTES,
    DocumentFetcher,
    compress_document,
    decompress_document,
)
from onyxfork.direct.links import ControlLinks
from onyxfork.direct.messages import (
    ConfigurationDocument,
    DocumentTransfer,
    FetchDocument,
    Register,
)
from onyxfork.direct.settings import DirectSettings
from onyxfork.direct.telemetry import Telemetry
from onyxfork.errors import ProtocolError
from onyxfork.messages import pack
from onyxfork.utils import FakeClock


def test_document_survives_compression():
    document = ConfigurationDocument(7, b'{"version": 7}' * 1000)
    transfer = compress_document(document)
    assert len(transfer.compressed) < len(document.body) / 10
    assert decompress_document(transfer) == document


@pytest.mark.parametrize(
    "compressed",
    [b"", b"no zlib", zlib.compress(b"{}")[:-3], zlib.compress(bytes(MAX_BODY_BYTES + 1))],
    ids=["empty", "not compressed", "cut short", "too large"],
)
def test_unreadable_document_is_a_protocol_error_that_names_the_version(compressed):
    with pytest.raises(ProtocolError, match="configuration 9"):
        decompress_document(DocumentTransfer(9, compressed))


def test_version_announced_by_several_instances_is_fetched_once():
    fetcher = DocumentFetcher()
    asked = [fetcher.on_announced(address, 4, 0.0) for address in ("a", "b", "c")]
    assert asked == ["a", None, None]
    fetcher.on_held(4)
    assert fetcher.on_announced("d", 4, 0.1) is None
    assert fetcher.next_retry(10.0) is None


def test_overdue_fetch_is_retried_at_another_instance():
    fetcher = DocumentFetcher()
    fetcher.on_announced("a", 4, 0.0)
    fetcher.on_announced("b", 4, 0.0)
    assert fetcher.next_retry(FETCH_RETRY_S / 2) is None
    assert fetcher.next_retry(FETCH_RETRY_S) == "b"
    assert fetcher.next_retry(FETCH_RETRY_S * 1.5) is None
    assert fetcher.next_retry(FETCH_RETRY_S * 2) == "a"


def test_fetch_is_retried_at_once_when_the_instance_disconnects():
    fetcher = DocumentFetcher()
    fetcher.on_announced("a", 4, 0.0)
    fetcher.on_announced("b", 4, 0.0)
    fetcher.on_closed("a")
    assert fetcher.next_retry(0.01) == "b"


def test_fetch_is_not_retried_without_a_connected_instance():
    fetcher = DocumentFetcher()
    fetcher.on_announced("a", 4, 0.0)
    fetcher.on_closed("a")
    assert fetcher.next_retry(1.0) is None
    assert fetcher.on_announced("a", 4, 2.0) == "a"


def large_body(version, routes=350):
    """Return a configuration as large as the operator's largest changes."""
    rows = [
        {
            "name": f"r-{number:x}",
            "host": f"nony{number}.example",
            "timeoutMs": 1500,
            "service": "huvo11a",
        }
        for number in range(routes)
    ]
    return json.dumps({"version": version, "routes": rows}).encode()


class StandInConnection:
    """Pass messages to a function and count their bytes."""

    def __init__(self, deliver):
        self.deliver = deliver
        self.bytes = 0

    def send(self, item):
        self.bytes += len(pack([item]))
        self.deliver(item)


def test_entry_receives_each_of_many_configurations_only_once():
    """Several changes a second from five control instances must not fill an entry's slow link."""
    settings = DirectSettings("e1", "a", "test", Address("127.0.0.1", 0), [])
    links = ControlLinks(settings, FakeClock(1.0), None, Telemetry("entry", "e1", "a"))
    states = {f"c{number}": DocumentState() for number in range(5)}
    downlinks, directories = {}, {}
    for name, state in states.items():
        directory = NodeDirectory(state, FakeClock(1.0), lambda: [])
        downlinks[name] = StandInConnection(
            lambda item, name=name: links.on_control_message(name, item)
        )
        downlinks[name].peer = settings.hello("entry", 1.0)

        def handle_request(item, directory=directory, name=name):
            assert isinstance(item, (FetchDocument, Register))
            if isinstance(item, FetchDocument):
                directory.send_document(downlinks[name])
            else:
                directory.register(downlinks[name], item)

        links.on_control_connected(name, StandInConnection(handle_request))
        directories[name] = directory
    changes = 10
    before = sum(connection.bytes for connection in downlinks.values())
    for version in range(1, changes + 1):
        for name, state in states.items():
            state.document = ConfigurationDocument(version, large_body(version))
            directories[name].flush()
    assert links.document.body == large_body(changes)
    received = sum(connection.bytes for connection in downlinks.values()) - before
    assert received < changes * len(large_body(changes)) / 2
