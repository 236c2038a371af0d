"""Stand-in for one minion, as PROTOCOL.md describes it. Standard library only.

It runs inside the process of a case and is served on a loopback address. The spec of a task is a
JSON object: ``ms`` is its run time; what a task needs is told to the stand-in by `needs`.
"""

import asyncio
import json
import time

MAX_HOLD_MS = 1000
MAX_LISTED_ENDS = 500


class Minion:
    """One minion through its lifetimes.

    Parameters
    ----------
    name : str
        Identifier, kept in all lifetimes.
    service, zone : str
    listen : (str, int)
        Where orders are received.
    agent : (str, int)
        The ``control`` address on the minion's machine.
    record : callable
        Called with a dict for each start, end and change of the minion.
    cpu, mem_mb : int
    labels : list of str
    needs : callable
        Returns the thousandths of a core that the task with this spec needs.
    """

    def __init__(self, name, service, zone, listen, agent, record, cpu=8000, mem_mb=8192,
                 labels=("a", "r1"), needs=lambda spec: 0, heartbeat_s=1.5):
        self.name, self.service, self.zone = name, service, zone
        self.listen, self.agent, self.record = listen, agent, record
        self.cpu, self.mem_mb, self.needs = cpu, mem_mb, needs
        self.labels = list(labels)
        self.heartbeat_s = heartbeat_s
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.life = 0
        self.begin_life()

    def begin_life(self):
        """Begin a lifetime, which holds and knows nothing of before."""
        self.life += 1
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.token = 0
        self.until_ms = 0
        self.running, self.ended, self.highest = {}, [], {}
        self.last_end = 0
        self.sequence = 0
        self.state = "ready"
        self.changed = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    # Life

    async def start(self):
        """Listen, and report to the agent."""
        self.server = await asyncio.start_server(self.serve, *self.listen, backlog=256)
        for coroutine in (self.keep_reporting(), self.keep_time()):
            self.tasks.add(asyncio.create_task(coroutine))

    async def end(self):
        """End the process at once; its channels are reset."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for task in self.tasks:
            task.cancel()
        self.tasks = set()
        for writer in list(self.writers):
            writer.transport.abort()
        for task, run in list(self.running.items()):
            self.record({"event": "end", "minion": self.name, "life": self.life, "task": task,
                         "run": run["run"], "how": "crashed"})
        self.running = {}

    async def crash(self, down_s, labels=None):
        """Crash, and begin the next lifetime after `down_s`, of another kind if labels are given."""
        self.record({"event": "crash", "minion": self.name, "life": self.life})
        await self.end()
        await asyncio.sleep(down_s)
        self.begin_life()
        if labels is not None:
            self.labels = list(labels)
        self.record({"event": "born", "minion": self.name, "life": self.life,
                     "labels": self.labels})
        await self.start()

    async def keep_time(self):
        """End the runs that are due, and all of them when the lease has expired."""
        while True:
            now = self.clock_ms()
            for task, run in list(self.running.items()):
                if now >= run["ends_ms"]:
                    self.end_run(task, "done")
            if self.running and now >= self.until_ms:
                for task in list(self.running):
                    self.end_run(task, "lapsed")
            await asyncio.sleep(0.004)

    def end_run(self, task, how):
        run = self.running.pop(task)
        self.highest[task] = max(run["run"], self.highest.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run["run"], how, ""])
        self.record({"event": "end", "minion": self.name, "life": self.life, "task": task,
                     "run": run["run"], "how": how})
        self.changed.set()
        self.changed = asyncio.Event()

    # Status reports

    async def keep_reporting(self):
        while True:
            await self.report()
            await asyncio.sleep(self.heartbeat_s if self.sequence > 1 else 0.3)

    async def report(self):
        """Send one status report; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service, "address": f"{self.listen[0]}:{self.listen[1]}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": self.state, "coldLeftMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb, "gpu": 0}, "labels": self.labels,
            "clockMs": self.clock_ms(), "seq": self.sequence, "born": self.born,
        }
        try:
            async with asyncio.timeout(1.0):
                status, _ = await call(self.agent, "PUT", f"/instances/{self.name}", body)
                return 200 <= status < 300
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False

    # Orders

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                fields = {}
                for line in lines[1:]:
                    key, _, value = line.partition(":")
                    fields[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, path, _ = lines[0].split(" ")
                status, answer = await self.handle(method, path, fields, body)
                payload = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def handle(self, method, path, fields, body):
        if fields.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        if method == "GET":
            return 200, {}
        data = json.loads(body)
        token = data.get("fencingToken", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if path == "/run-start":
            return self.start_run(data)
        if path == "/run-stop":
            return self.stop_run(data)
        if path == "/hold":
            return await self.hold(data)
        return 400, {}

    def answer(self, status, **fields):
        return status, {**fields, "clockMs": self.clock_ms(), "born": self.born}

    def extend(self, data):
        until = min(data.get("untilMs", 0), self.clock_ms() + MAX_HOLD_MS)
        self.until_ms = max(self.until_ms, until)

    def start_run(self, data):
        task, run, now = data["task"], data["run"], self.clock_ms()
        current = self.running.get(task)
        if current is not None and current["run"] == run:
            self.extend(data)
            return self.answer(200)
        if current is not None or run <= self.highest.get(task, 0):
            self.extend(data)
            return self.answer(409, reason="old")
        if data["untilMs"] <= now:
            return self.answer(409, reason="late")
        self.extend(data)
        used = sum(item["cpu"] for item in self.running.values())
        spec = json.loads(data["spec"])
        cpu = self.needs(spec)
        if used + cpu > self.cpu:
            return self.answer(409, reason="room")
        self.running[task] = {
            "run": run, "spec": data["spec"], "cpu": cpu, "start_ms": now,
            "ends_ms": now + spec["ms"],
        }
        self.record({"event": "start", "minion": self.name, "life": self.life, "task": task,
                     "run": run, "spec": data["spec"], "labels": self.labels})
        return self.answer(200)

    def stop_run(self, data):
        task, run = data["task"], data["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        current = self.running.get(task)
        if current is not None and current["run"] <= run:
            self.end_run(task, "stopped")
        return self.answer(200)

    async def hold(self, data):
        self.extend(data)
        seen = data.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_s = min(data.get("waitMs", 0), 2000) / 1000
        if wait_s and not self.ended:
            changed = self.changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        now = self.clock_ms()
        running = [
            [task, run["run"], "",
             min(99, 100 * (now - run["start_ms"]) // max(1, run["ends_ms"] - run["start_ms"])),
             run["cpu"]]
            for task, run in self.running.items()
        ]
        return self.answer(200, running=running, ended=self.ended[:MAX_LISTED_ENDS])


async def call(address, method, path, body=None, host=None, fields=(), timeout_s=None):
    """Send one HTTP request on a channel of its own; return the status and the decoded body."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        payload = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host or address[0]}"]
        lines += [f"{key}: {value}" for key, value in fields]
        if body is not None:
            lines += ["Content-Type: application/json", f"Content-Length: {len(payload)}"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
        return await read_response(reader)
    finally:
        writer.transport.abort()


async def read_response(reader):
    """Return the status and the decoded body of one response."""
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split(" ")[1])
        fields = {}
        for line in head[1:]:
            key, _, value = line.partition(":")
            fields[key.strip().lower()] = value.strip()
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        if status >= 200:
            return status, json.loads(body) if body else None
