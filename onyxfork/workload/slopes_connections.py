"""Slopes of connections at rest: memory, traffic, processor time."""

import asyncio
import gc
import time
import tracemalloc

from onyxfork.messages import PROTOCOL_VERSION, Hello, Timing, open_connection, serve
from onyxfork.workload.fitting import fit

__all__ = ["connection_slopes"]


def make_hello():
    """Return a `Hello`."""
    return Hello(PROTOCOL_VERSION, "c", "entry", "n", "i", "z", time.monotonic())


async def connection_slopes(sizes=(25, 50, 100, 200), seconds=4.0):
    """Return memory, bytes a second at rest and processor time at rest of one connection end."""
    memory, traffic, cpu = [], [], []
    for size in sizes:
        tracemalloc.start()
        held, _, _ = await hold_connections(size, 0.1)
        tracemalloc.stop()
        _, rate, used = await hold_connections(size, seconds)
        memory.append((2 * size, held))
        traffic.append((2 * size, rate))
        cpu.append((2 * size, used))
    return [
        fit("an open connection end", "bytes", memory),
        fit("bytes a second at rest, a connection end", "bytes/s", traffic),
        fit("processor time a second at rest, a connection end", "µs/s", cpu),
    ]


async def hold_connections(size, seconds):
    """Hold connections at rest; return bytes held, bytes a second and µs a second, all ends."""
    sent = 0

    def counter(direction, _, frame_bytes):
        nonlocal sent
        if direction == "sent" and frame_bytes:
            sent += frame_bytes + 4

    async def accept(connection):
        connection.counter = counter
        await connection.run(lambda *_: None)

    gc.collect()
    before = tracemalloc.get_traced_memory()[0]
    async with serve("127.0.0.1", 0, make_hello, Timing(), accept) as port:
        stop = asyncio.Event()
        clients = [
            asyncio.create_task(hold_one(("127.0.0.1", port), counter, stop)) for _ in range(size)
        ]
        await asyncio.sleep(1.5)
        held, first = tracemalloc.get_traced_memory()[0] - before, sent
        began = time.process_time_ns()
        await asyncio.sleep(seconds)
        used = (time.process_time_ns() - began) / 1000 / seconds
        rate = (sent - first) / seconds
        stop.set()
        await asyncio.gather(*clients)
    return held, rate, used


async def hold_one(address, counter, stop):
    """Keep one connection open until told."""
    async with open_connection(address, make_hello(), Timing(), counter) as connection:
        reading = asyncio.create_task(connection.run(lambda *_: None))
        await stop.wait()
        reading.cancel()
