"""Slopes of idle connections: memory, traffic and processor time."""

import asyncio
import gc
import time
import tracemalloc

from onyxfork.messages import PROTOCOL_VERSION, Hello, Timing, open_connection, serve
from onyxfork.workload.fitting import fit_line

__all__ = ["connection_slopes"]


def make_hello():
    """Return a `Hello` with placeholder names."""
    return Hello(PROTOCOL_VERSION, "c", "entry", "n", "i", "z", time.monotonic())


async def connection_slopes(sizes=(25, 50, 100, 200), seconds=4.0):
    """Return slopes of the memory, traffic and processor time of an idle connection end."""
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
        fit_line("an open connection end", "bytes", memory),
        fit_line("bytes a second at rest, a connection end", "bytes/s", traffic),
        fit_line("processor time a second at rest, a connection end", "µs/s", cpu),
    ]


async def hold_connections(size, seconds):
    """Keep connections idle; return memory in bytes, bytes/s and µs/s, summed over both ends."""
    sent = 0

    def count_sent(direction, _, frame_bytes):
        nonlocal sent
        if direction == "sent" and frame_bytes:
            sent += frame_bytes + 4

    async def accept(connection):
        connection.counter = count_sent
        await connection.run(lambda *_: None)

    gc.collect()
    memory_before = tracemalloc.get_traced_memory()[0]
    async with serve("127.0.0.1", 0, make_hello, Timing(), accept) as port:
        stop = asyncio.Event()
        clients = [
            asyncio.create_task(hold_connection(("127.0.0.1", port), count_sent, stop))
            for _ in range(size)
        ]
        await asyncio.sleep(1.5)
        held, sent_before = tracemalloc.get_traced_memory()[0] - memory_before, sent
        began = time.process_time_ns()
        await asyncio.sleep(seconds)
        used = (time.process_time_ns() - began) / 1000 / seconds
        rate = (sent - sent_before) / seconds
        stop.set()
        await asyncio.gather(*clients)
    return held, rate, used


async def hold_connection(address, counter, stop):
    """Keep one connection open until `stop` is set."""
    async with open_connection(address, make_hello(), Timing(), counter) as connection:
        reading = asyncio.create_task(connection.run(lambda *_: None))
        await stop.wait()
        reading.cancel()
