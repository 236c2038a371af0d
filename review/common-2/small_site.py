"""A small deployment on loopback: the programs of deploy/system.toml, and one minion per agent."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path

from minion import call

ROOT = Path(__file__).resolve().parents[2]
COMMON = Path(__file__).resolve().parent
HOST, SERVICE = "nony24.example", "huvo11a"
OVERLAP_SLACK_S = 0.02
"""Shorter overlaps are not counted: a minion notices the end of a run by a timer."""
QUEUES = {"lohu930": 0, "pufi791": 2, "pule252": 1}

BOUNDS = """[bounds]
seedLagS = 3
reuseDelayS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
regressionMs = 250
maxStretchMs = 5000
recoveryS = 12
holdMaxMs = 1000
stopMs = 50
cancel_ms = 3000
resendMs = 1300
leaseMs = 3000
[faultTolerance]
machines = 1
zones = 0
regions = 0
"""


class SmallSite:
    """Processes by name: core-1.., edge-1.., agent-1.., minion-1.. ."""

    def __init__(
        self, cores=1, edges=2, agents=2, labels=None, cpu=32000, guards=True, late_share=0.0
    ):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = random.randint(16, 220)
        self.names = [f"core-{n + 1}" for n in range(cores)]
        self.names += [f"edge-{n + 1}" for n in range(edges)]
        self.names += [f"agent-{n + 1}" for n in range(agents)]
        self.ports = self.free_ports()
        self.labels = labels or [["a", f"r1-{n // 2}"] for n in range(agents)]
        self.cpu, self.guards, self.late_share = cpu, guards, late_share
        self.processes, self.lives = {}, {}
        self.t0 = time.monotonic()
        self.record = []

    def ip(self, name):
        return f"127.{self.net}.7.{self.names.index(name) + 1}"

    def free_ports(self):
        """Return front, ready, control, app, and the first internal port, free on all addresses."""
        while True:
            base = random.randint(20000, 30000)
            ports = [base + n for n in range(10)]
            try:
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port))
                return dict(zip(("front", "ready", "control", "app", "internal"), ports))
            except OSError:
                continue

    def address(self, name, port):
        return f"{self.ip(name)}:{self.ports[port]}"

    def cores(self):
        return [name for name in self.names if name.startswith("core")]

    def settings(self, name, bootstrap=True):
        role = name.partition("-")[0]
        serves = {"core": "control", "edge": "edge", "agent": "side"}[role]
        seeds = [self.address(core, "control") for core in self.cores()]
        lines = [
            f'node = "{name}"',
            f'role = "{role}"',
            f'serves = ["{serves}"]',
            f'ip = "{self.ip(name)}"',
            'zone = "bergen-a"',
            'region = "vestland"',
            f'internalPorts = [{self.ports["internal"]}, {self.ports["internal"] + 5}]',
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {str(bootstrap).lower()}",
            "heartbeatMs = 1500",
            'orders = "rpc"',
            'config_mode = "highest"',
        ]
        if role == "core":
            lines.append(f'dataDir = "{self.folder / name}"')
            listen = [f'control = "{self.address(name, "control")}"']
        elif role == "edge":
            listen = [
                f'front = "{self.address(name, "front")}"',
                f'ready = "{self.address(name, "ready")}"',
            ]
        else:
            lines += [f'app = "{self.address(name, "app")}"', f'service = "{SERVICE}"']
            listen = [f'control = "{self.address(name, "control")}"']
        lines += ["[zones]", 'bergen-a = "vestland"', "[listen]", *listen, BOUNDS]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines))
        return path

    def start(self, name, bootstrap=True):
        role = {"core": "control", "edge": "entry", "agent": "agent"}[name.partition("-")[0]]
        (self.folder / name).mkdir(exist_ok=True)
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment |= {
            "ONYXFORK_BOOT": str(self.settings(name, bootstrap)),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
        }
        self.spawn(name, ["python3", "-m", "onyxfork.platform", role], environment)

    def start_minion(self, number, keep_id=False, **changes):
        """Start the next lifetime of the minion beside agent NUMBER."""
        agent, name = f"agent-{number}", f"minion-{number}"
        life = self.lives[number] = self.lives.get(number, 0) + 1
        settings = {
            "id": f"i-{number}" if keep_id else f"i-{number}-{life}",
            "journal": str(self.folder / f"{name}.jsonl"),
            "service": SERVICE,
            "zone": "bergen-a",
            "cpu": self.cpu,
            "guards": self.guards,
            "labels": self.labels[number - 1],
            "late_share": self.late_share,
            "seed": life,
            "listen": self.address(agent, "app"),
            "agent": self.address(agent, "control"),
            **changes,
        }
        path = self.folder / f"{name}-{life}.json"
        path.write_text(json.dumps(settings))
        self.spawn(name, [sys.executable, str(COMMON / "minion.py"), str(path)], dict(os.environ))

    def spawn(self, name, command, environment):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, name, number):
        process = self.processes.get(name)
        if process is not None and process.poll() is None:
            process.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def note(self, text):
        line = f"{time.monotonic() - self.t0:8.3f} {text}"
        self.record.append(line)

    async def begin(self):
        """Start all processes, set the config, and wait until every entry has ready workers."""
        for name in self.names:
            self.start(name)
        for number in range(1, 1 + sum(name.startswith("agent") for name in self.names)):
            self.start_minion(number)
        await self.put_config(1)
        deadline = time.monotonic() + 25
        for name in self.names:
            if not name.startswith("edge"):
                continue
            while True:
                try:
                    status, _ = await call(self.address(name, "ready"), "GET", "/ready")
                    if status == 200:
                        break
                except (OSError, asyncio.IncompleteReadError):
                    pass
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{name} is not ready")
                await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    def config(self, version, queues=None):
        routes = [
            {
                "name": f"r-{queue}",
                "host": HOST,
                "pathPrefix": f"/{queue}/",
                "type": "unsafe",
                "timeoutMs": 15000,
                "targetLatencyMs": 60,
                "priority": priority,
                "service": SERVICE,
                "attempts": 3,
                "stretch": 1.6,
            }
            for queue, priority in (queues or QUEUES).items()
        ]
        service = {
            "name": SERVICE,
            "healthPath": "/health",
            "maxConns": 64,
            "protocol": "h1",
            "tls": False,
            "rejectsOverload": self.guards,
            "standby": False,
        }
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        return {"version": version, "routes": routes, "services": [service], "limits": limits}

    async def put_config(self, version, queues=None):
        deadline = time.monotonic() + 20
        while True:
            for core in self.cores():
                try:
                    status, _ = await asyncio.wait_for(
                        call(
                            self.address(core, "control"),
                            "PUT",
                            "/config",
                            self.config(version, queues),
                        ),
                        1.5,
                    )
                    if status == 200:
                        return
                except (OSError, TimeoutError, asyncio.IncompleteReadError):
                    pass
            if time.monotonic() > deadline:
                raise RuntimeError("no core machine acknowledged the config")
            await asyncio.sleep(0.1)

    def events(self):
        """Return all events of the minions, sorted by time, relative to the start."""
        rows = []
        for path in self.folder.glob("minion-*.jsonl"):
            rows += [json.loads(line) for line in path.read_text().splitlines()]
        for row in rows:
            row["at"] -= self.t0
        return sorted(rows, key=lambda row: row["at"])

    def end(self, record_path=None):
        """End every process of this site, write the record and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if record_path is not None:
            lines = [(float(line.split()[0]), line) for line in self.record]
            for row in self.events():
                if row["event"] != "report":
                    fields = {key: value for key, value in row.items() if key != "at"}
                    lines.append((row["at"], f"{row['at']:8.3f} minion {json.dumps(fields)}"))
            Path(record_path).write_text("\n".join(line for _, line in sorted(lines)) + "\n")
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def job(steps):
    """Return the body of a job that isn't stored; each step is (count, ms, cpu, further fields)."""
    spec = json.dumps({"ms": steps[0][1], "cpu": steps[0][2]})
    rows = []
    for count, ms, cpu, *further in steps:
        row = {"count": count, "cpu": cpu, "memMb": 64, "estimatedMs": ms}
        rows.append(row | (further[0] if further else {}))
    return {"spec": spec, "steps": rows, "bestEffort": True}


async def open_idle_channels(site, count):
    """Open channels of other clients to each edge node, so that a reset spares half of them."""
    channels = []
    for name in site.names:
        if name.startswith("edge"):
            host, port = site.address(name, "front").split(":")
            for _ in range(count):
                channels.append((await asyncio.open_connection(host, int(port)))[1])
    return channels


def new_id():
    return f"{random.getrandbits(64):016x}"


def overlaps(events):
    """Return a line for each pair of runs of one task that were in progress at the same time."""
    runs, lines = {}, []
    for row in events:
        if row["event"] == "start":
            run = [row["at"], float("inf"), row["minion"], row["run"], row["late"]]
            runs.setdefault(row["task"], []).append(run)
        elif row["event"] == "end":
            for run in runs[row["task"]]:
                if run[2:4] == [row["minion"], row["run"]]:
                    run[1] = min(run[1], row["at"])
    for task, spans in runs.items():
        for number, one in enumerate(spans):
            for two in spans[number + 1 :]:
                shared_s = min(one[1], two[1]) - max(one[0], two[0])
                if shared_s > OVERLAP_SLACK_S:
                    lines.append(
                        f"{task}: run {one[3]} on {one[2]}{' (order late)' * one[4]} and run "
                        f"{two[3]} on {two[2]}{' (order late)' * two[4]} at the same time for "
                        f"{shared_s:.2f} s"
                    )
    return lines


def run_case(site, play, rule, folder, trouble, limit_s=108):
    """Play a case on a site, end all processes, write the record, and return the exit status.

    `play` takes the site and returns a line for each break of the rule.
    """

    def stop(*_):
        raise SystemExit(2)

    signal.signal(signal.SIGTERM, stop)
    status = 2
    try:
        broken = asyncio.run(asyncio.wait_for(play(site), limit_s))
        for line in broken:
            site.note(f"{rule}: {line}")
        site.note(f"trouble {int(trouble)}: {'broken' if broken else 'held'}")
        print("\n".join(broken) or "held")
        status = 1 if broken else 0
    except Exception:
        traceback.print_exc()
        site.note("the case could not run")
    finally:
        site.end(folder / "record.txt")
    return status
