"""The commands ``onyxfork zone`` against control instances that are stand-ins."""

import asyncio
import socket
import threading
from contextlib import contextmanager

import pytest

from onyxfork.addresses import Address
from onyxfork.main import main
from onyxfork.platform.http import run_server
from onyxfork.platform.operators import OperatorHandler


class StandInReplica:
    """Two known zones; the first `failures` requests cannot be committed."""

    def __init__(self, failures=0):
        self.evacuated, self.failures = set(), failures

    def knows_zone(self, zone):
        return zone in ("a", "b")

    async def set_evacuation(self, zone, evacuated):
        self.failures -= 1
        if self.failures >= 0:
            return False
        (self.evacuated.add if evacuated else self.evacuated.discard)(zone)
        return True

    async def read_evacuations(self):
        return frozenset(self.evacuated)


@contextmanager
def serving(replica):
    """Serve the operators' requests from a thread; yield the URL."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        address = Address("127.0.0.1", probe.getsockname()[1])
    loop, ready = asyncio.new_event_loop(), threading.Event()

    async def serve(stopped):
        async with run_server(OperatorHandler(replica).handle, address):
            ready.set()
            await stopped.wait()

    stopped = asyncio.Event()
    thread = threading.Thread(target=loop.run_until_complete, args=(serve(stopped),))
    thread.start()
    try:
        assert ready.wait(10)
        yield f"http://{address}"
    finally:
        loop.call_soon_threadsafe(stopped.set)
        thread.join()
        loop.close()


def run(capsys, *arguments):
    """Run a command; return its exit status, standard output and standard error."""
    with pytest.raises(SystemExit) as exited:
        main(["zone", *arguments])
    return exited.value.code, *capsys.readouterr()


def test_zone_is_evacuated_listed_and_restored(capsys):
    with serving(StandInReplica()) as url:
        assert run(capsys, "evacuate", "a", "--control", url) == (0, "a: evacuated\n", "")
        assert run(capsys, "list", "--control", url) == (0, "a\n", "")
        assert run(capsys, "restore", "a", "--control", url) == (0, "a: restored\n", "")
        assert run(capsys, "list", "--control", url) == (0, "", "")


def test_unknown_zone_is_refused_with_the_reason(capsys):
    with serving(StandInReplica()) as url:
        status, _, error = run(capsys, "evacuate", "c", "--control", url)
    assert status == 1 and "not among the known zones" in error


def test_other_instances_are_tried_until_one_commits_the_request(capsys):
    replica = StandInReplica(failures=1)
    with serving(replica) as url:
        control = f"http://127.0.0.1:1,{url}"
        assert run(capsys, "evacuate", "b", "--control", control)[0] == 0
    assert replica.evacuated == {"b"}


def test_no_instance_that_answers_ends_with_status_4(capsys):
    status, _, error = run(capsys, "list", "--control", "http://127.0.0.1:1")
    assert status == 4 and "127.0.0.1:1" in error
