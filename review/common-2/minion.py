"""Stand-in for one minion, as PROTOCOL.md describes it. Standard library only.

Usage: minion.py CONFIG.json. It appends one JSON line per event to the journal in the settings.
The spec of a task is a JSON object; ``ms`` is its run time, ``cpu`` what it needs.
"""

import asyncio
import json
import random
import sys
import time

MAX_HOLD_MS = 1000
STOP_MS = 50


class Minion:
    def __init__(self, settings):
        self.settings = settings
        self.journal = open(settings["journal"], "a", buffering=1)
        self.report_now = asyncio.Event()
        self.id = settings["id"]
        self.life, self.is_dark = 1, False
        self.begin_life()
        self.late_share = settings.get("late_share", 0.0)
        self.rng = random.Random(settings.get("seed", 1))

    def begin_life(self):
        """Begin a lifetime, which holds and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.rate = self.settings.get("clock_rate", 0.99)
        self.started = time.monotonic()
        self.token = 0
        self.until_ms = 0.0
        self.running, self.ended, self.highest = {}, [], {}
        self.last_end = 0
        self.changed = asyncio.Event()
        self.sequence = 0
        self.state = "ready"

    async def crash(self, seconds, labels=None):
        """Crash, answer nothing for some seconds, and start again under the same id.

        The next lifetime has the given labels, by default those of the former one.

        Channels of the former lifetime, and those opened meanwhile, stay silent.
        """
        for task in list(self.running):
            self.end(task, "crashed")
        self.is_dark = True
        await asyncio.sleep(seconds)
        self.life += 1
        self.is_dark = False
        self.settings["labels"] = labels or self.settings["labels"]
        self.begin_life()
        self.note("born", labels=self.settings["labels"], cpu=self.settings["cpu"])
        await asyncio.sleep(self.rng.uniform(0, 1.5))
        self.report_now.set()

    def clock_ms(self):
        """Milliseconds of this lifetime's own clock."""
        return (time.monotonic() - self.started) * 1000 * self.rate

    def note(self, event, **fields):
        fields = {"at": round(time.monotonic(), 4), "event": event, "minion": self.id, **fields}
        self.journal.write(json.dumps(fields) + "\n")

    # Orders

    def extend(self, body):
        until_ms = body.get("untilMs", 0)
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + MAX_HOLD_MS))

    def fenced(self, body):
        token = body.get("fencingToken", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def start(self, body, late=False):
        self.advance()
        if self.fenced(body):
            return 409, {"reason": "fence"}
        self.extend(body)
        task, run = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current["run"] == run:
            return 200, {}
        if current is not None or run <= self.highest.get(task, 0):
            return 409, {"reason": "old"}
        if body["untilMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        spec = json.loads(body["spec"])
        used = sum(item["cpu"] for item in self.running.values())
        if self.settings.get("guards", True) and used + spec["cpu"] > self.settings["cpu"]:
            return 409, {"reason": "room"}
        now = time.monotonic()
        self.running[task] = {
            "run": run,
            "cpu": spec["cpu"],
            "from": now,
            "ends": now + spec["ms"] / 1000,
            "stops": None,
        }
        self.note(
            "start", task=task, run=run, late=late, spec=body["spec"], used=used + spec["cpu"]
        )
        return 200, {}

    def stop(self, body):
        self.advance()
        if self.fenced(body):
            return 409, {"reason": "fence"}
        task, run = body["task"], body["run"]
        current = self.running.get(task)
        if current is not None and current["run"] <= run and current["stops"] is None:
            current["stops"] = time.monotonic() + STOP_MS / 1000 * self.rng.random()
        self.highest[task] = max(run, self.highest.get(task, 0))
        return 200, {}

    def end(self, task, how):
        run = self.running.pop(task)["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.last_end += 1
        self.ended.append([self.last_end, task, run, how, ""])
        self.note("end", task=task, run=run, how=how)
        self.changed.set()

    def advance(self):
        now = time.monotonic()
        lapsed = self.running and self.clock_ms() >= self.until_ms
        for task, item in list(self.running.items()):
            if lapsed:
                self.end(task, "lapsed")
            elif item["stops"] is not None and now >= item["stops"]:
                self.end(task, "stopped")
            elif now >= item["ends"]:
                self.end(task, "done")

    async def hold(self, body):
        self.advance()
        if self.fenced(body):
            return 409, {"reason": "fence"}
        self.extend(body)
        seen = body.get("lastSeen", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        wait_s = min(body.get("waitMs", 0), 2000) / 1000
        if wait_s and not self.ended:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                pass
        rows = []
        for task, item in self.running.items():
            share = (time.monotonic() - item["from"]) / max(0.001, item["ends"] - item["from"])
            rows.append([task, item["run"], "", min(99, int(100 * share)), item["cpu"]])
        ended = [row for row in self.ended if row[0] > seen][:500]
        return 200, {"born": self.born, "running": rows, "ended": ended}

    def carry_out_late(self, handler, body):
        """Carry out an unanswered order, in whatever lifetime has the id by then."""
        if self.is_dark:
            return
        if handler == self.start:
            self.start(body, late=True)
        else:
            handler(body)

    # Serving

    async def call(self, path, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        if path == "/hold":
            return await self.hold(body)
        if path not in ("/run-start", "/run-stop"):
            return 404, {}
        handler = self.start if path == "/run-start" else self.stop
        if self.rng.random() < self.late_share:
            asyncio.get_running_loop().call_later(
                self.rng.uniform(2, 12), self.carry_out_late, handler, body
            )
            return None, {}
        return handler(body)

    async def serve(self, reader, writer):
        life = None if self.is_dark else self.life
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if self.is_dark or life != self.life:
                    await reader.read()
                    break
                line, headers, body = request
                path = line.split()[1]
                if path == "/admin":
                    changes = json.loads(body)
                    if "crash_s" in changes:
                        crash = self.crash(changes.pop("crash_s"), changes.pop("labels", None))
                        self.crash_task = asyncio.create_task(crash)
                    self.__dict__.update(changes)
                    status, answer = 200, {}
                else:
                    status, answer = await self.call(path, headers, json.loads(body or b"{}"))
                if status is None or life != self.life or self.is_dark:
                    await reader.read()
                    break
                answer["clockMs"] = int(self.clock_ms())
                writer.write(encode(f"HTTP/1.1 {status} X", answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def report(self):
        settings = self.settings
        while True:
            self.report_now.clear()
            if self.is_dark:
                await self.report_now.wait()
                continue
            self.sequence += 1
            body = {
                "service": settings["service"],
                "address": settings["listen"],
                "zone": settings["zone"],
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "coldLeftMs": 0,
                "capacity": {"cpu": settings["cpu"], "memMb": 65536, "gpu": 0},
                "labels": settings["labels"],
                "clockMs": int(self.clock_ms()),
                "seq": self.sequence,
                "born": self.born,
            }
            try:
                status = await asyncio.wait_for(
                    call(settings["agent"], "PUT", f"/instances/{self.id}", body), 1.0
                )
                self.note("report", state=self.state, status=status[0])
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            try:
                async with asyncio.timeout(1.5 * self.rng.uniform(0.9, 1.1)):
                    await self.report_now.wait()
            except TimeoutError:
                pass

    async def run(self):
        host, port = self.settings["listen"].split(":")
        self.note("born", labels=self.settings["labels"], cpu=self.settings["cpu"])
        await asyncio.start_server(self.serve, host, int(port))
        self.report_task = asyncio.create_task(self.report())
        while True:
            self.advance()
            await asyncio.sleep(0.003)


def encode(first_line, body, headers=()):
    data = json.dumps(body).encode()
    lines = [first_line, "Content-Type: application/json", f"Content-Length: {len(data)}"]
    return ("\r\n".join([*lines, *headers]) + "\r\n\r\n").encode() + data


async def read_message(reader):
    """Return the first line, headers and body of one HTTP message, None at the end."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        line = await reader.readline()
        if not line:
            return None
        head += line
    first, *rest = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in rest if ":" in line)
    headers = {name.lower(): value.strip() for name, value in pairs}
    size = int(headers.get("content-length", 0))
    return first, headers, await reader.readexactly(size) if size else b""


async def call(address, method, path, body=None, headers=(), on_open=None):
    """Send one request over a new channel; return the status and the decoded body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    if on_open is not None:
        on_open(writer)
    try:
        writer.write(
            encode(f"{method} {path} HTTP/1.1", body, headers)
            if body is not None
            else ("\r\n".join([f"{method} {path} HTTP/1.1", *headers]) + "\r\n\r\n").encode()
        )
        message = await read_message(reader)
        if message is None:
            raise ConnectionResetError("closed without a response")
        first, _, data = message
        return int(first.split()[1]), json.loads(data) if data else None
    finally:
        writer.close()


if __name__ == "__main__":
    with open(sys.argv[1]) as file:
        minion = Minion(json.load(file))
    asyncio.run(minion.run())
