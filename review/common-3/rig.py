"""A small deployment on loopback: the project's programs as processes, and stand-in minions.

Standard library only. Each machine has a loopback address of its own, as the programs use the same
ports on every machine.
"""

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
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from minion import Minion, call  # noqa: E402

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FRONT, READY, CONTROL, APP = 8161, 8167, 8166, 8168
INTERNAL = (7720, 7735)
ZONE = "z-a"


class CannotRun(Exception):
    """The case could not be run."""


def free_network():
    """Return the first two octets of loopback addresses on which no port is taken."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (FRONT, READY, CONTROL, APP, INTERNAL[0], INTERNAL[0] + 1, INTERNAL[0] + 2):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{prefix}.1", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


class Rig:
    """The processes, the minions and the record of a case.

    Parameters
    ----------
    record_path : pathlib.Path
    controls, agents, entries : int
    service : str
    minion_options : dict
        Further arguments of every `Minion`.
    """

    def __init__(self, record_path, controls=1, agents=2, entries=1, service="svc1",
                 minion_options=None, zones=None, cores=0):
        self.begun = time.monotonic()
        self.file = open(record_path, "w", buffering=1)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.net = free_network()
        self.service = service
        self.events = []
        self.processes = {}
        self.logs = {}
        self.zones = zones or {}
        names = [f"control-{n}" for n in range(1, controls + 1)]
        names += [f"agent-{n}" for n in range(1, agents + 1)]
        names += [f"entry-{n}" for n in range(1, entries + 1)]
        self.names = names
        self.host = {name: f"{self.net}.{number}" for number, name in enumerate(names, 1)}
        self.controls = [name for name in names if name.startswith("control")]
        self.entries = [name for name in names if name.startswith("entry")]
        self.agents = [name for name in names if name.startswith("agent")]
        options = minion_options or {}
        self.minions = {
            name: Minion(f"i-{name}", service, self.zone_of(name), (self.host[name], APP),
                         (self.host[name], CONTROL), self.note, **options)
            for name in self.agents
        }

    def now_ms(self):
        return round((time.monotonic() - self.begun) * 1000, 1)

    def zone_of(self, name):
        return self.zones.get(name, ZONE)

    def note(self, fields):
        """Add an event to the record."""
        item = {"t": self.now_ms(), **fields}
        self.events.append(item)
        self.file.write(json.dumps(item) + "\n")

    def say(self, text):
        """Add a line of text to the record and show it."""
        line = f"{self.now_ms():9.1f} {text}"
        self.file.write(f"# {line}\n")
        print(line, flush=True)

    # Processes

    def settings(self, name, bootstrap):
        role = name.split("-")[0]
        host = self.host[name]
        seeds = ",".join(f'"{self.host[control]}:{CONTROL}"' for control in self.controls[:3])
        kind = {"entry": "edge", "agent": "side", "control": "control"}[role]
        lines = [
            f'node = "{name}"', f'role = "{role}"',
            f'machineClass = "{dict(entry="edge", agent="side", control="core")[role]}"',
            f'serves = ["{kind}"]', f'ip = "{host}"', f'zone = "{self.zone_of(name)}"',
            'region = "r1"', f"internalPorts = [{INTERNAL[0]},{INTERNAL[1]}]", f"seeds = [{seeds}]",
            f"bootstrap = {str(bootstrap).lower()}", f"lossCounts = {str(role == 'control').lower()}",
            'discovery = "local"', 'entry = "vip"', "heartbeatMs = 1500",
            'contracts = ["base","drain","config","cost","recover","sched"]',
            'config_mode = "highest"', 'orders = "rpc"',
        ]
        if role == "agent":
            lines += [f'app = "{host}:{APP}"', f'service = "{self.service}"']
        if role == "control":
            data = self.folder / f"data-{name}"
            data.mkdir(exist_ok=True)
            lines += [f'dataDir = "{data}"']
        lines += ["[zones]"] + [f'{zone} = "r1"' for zone in {ZONE, *self.zones.values()}]
        lines += ["[listen]"]
        if role == "entry":
            lines += [f'front = "{host}:{FRONT}"', f'ready = "{host}:{READY}"']
        else:
            lines += [f'control = "{host}:{CONTROL}"']
        memory = dict(entry=300, agent=168, control=296)[role]
        lines += ["[limits]", "cpuShare = 0.537", "cores = 2", f"memoryMb = {memory}",
                  "maxFds = 4096", "linkMbps = 1000.0", "diskMb = 0",
                  "[faultTolerance]", f"machines = {(len(self.controls) - 1) // 2}", "zones = 0",
                  "regions = 0", "[bounds]", "seedLagS = 3", "reuseDelayS = 2", "contactMs = 3000",
                  "ackTimeoutMs = 4000", "catchUpS = 4", "drainMs = 2000", "graceS = 6",
                  "lossSlackMs = 200", "configApplyMs = 2000", "regressionMs = 250",
                  "maxStretchMs = 5000", "recoveryS = 12", "holdMaxMs = 1000", "stopMs = 50",
                  "cancel_ms = 3000", "visible_ms = 3000", "resendMs = 1300", "leaseMs = 3000"]
        path = self.folder / f"{name}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    def start(self, name, bootstrap=False):
        """Start a program with the command of the deploy file."""
        role = name.split("-")[0]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {
            "ONYXFORK_BOOT": str(self.settings(name, bootstrap)),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SSL_CERT_FILE": "/dev/null",
        }
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            ["python3", "-m", "onyxfork.platform", role],
            cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        log.close()

    def signal(self, name, number):
        self.note({"event": "signal", "process": name, "signal": signal.Signals(number).name})
        self.processes[name].send_signal(number)

    async def start_all(self, config):
        """Start everything, put a config in force, and wait until every entry is ready."""
        for minion in self.minions.values():
            await minion.start()
        for name in self.names:
            self.start(name, bootstrap=True)
        await self.until(lambda: self.put_config(config), 15, "the first config was not acknowledged")
        for name in self.entries:
            await self.until(lambda name=name: self.is_ready(name), 15, f"{name} did not get ready")
        await asyncio.sleep(1.0)
        self.say("the deployment is ready")

    async def until(self, probe, seconds, failure):
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                if await probe():
                    return
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                pass
            await asyncio.sleep(0.2)
        raise CannotRun(failure)

    async def put_config(self, config, control=None):
        address = (self.host[control or self.controls[0]], CONTROL)
        async with asyncio.timeout(1.5):
            status, answer = await call(address, "PUT", "/config", config)
        self.note({"event": "config", "version": config["version"], "status": status,
                   "answer": answer})
        self.config_status = status
        return status == 200

    async def is_ready(self, name):
        async with asyncio.timeout(1.0):
            status, _ = await call((self.host[name], READY), "GET", "/ready")
        return status == 200

    def front(self, name):
        return self.host[name], FRONT

    async def close(self, keep=False):
        """End all processes and minions."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for minion in self.minions.values():
            await minion.end()
        if keep or os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.file.close()


def make_config(version, routes, services=("svc1",), **limits):
    """Return a complete config; `routes` are (name, host, prefix, service, timeoutMs)."""
    return {
        "version": version,
        "routes": [
            {"name": name, "host": host, "pathPrefix": prefix, "type": "unsafe",
             "timeoutMs": timeout_ms, "targetLatencyMs": 60, "priority": 0, "service": service,
             "attempts": 2, "stretch": 1.6}
            for name, host, prefix, service, timeout_ms in routes
        ],
        "services": [
            {"name": name, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
             "rejectsOverload": True, "standby": False}
            for name in services
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000, **limits},
    }


def job_id():
    return f"{random.getrandbits(64):016x}"


def make_job(ms, count=1, cpu=500, estimated_ms=None, **fields):
    """Return a job of one step."""
    step = {"count": count, "cpu": cpu, "memMb": 1, "estimatedMs": estimated_ms or ms, **fields}
    return {"spec": json.dumps({"ms": ms}), "bestEffort": True,
            "steps": [{key: value for key, value in step.items() if value}]}


def run_case(case, folder, limit_s=110, **options):
    """Run a case; return the exit status: 1 if the rule was broken, 0 if it held, 2 if neither."""

    async def guarded():
        rig = Rig(Path(folder) / "record.txt", **options)
        try:
            async with asyncio.timeout(limit_s):
                return await case(rig)
        except (CannotRun, TimeoutError) as error:
            rig.say(f"the case could not run: {error or 'time is up'}")
            return 2
        except Exception as error:
            rig.say(f"the case could not run: {error!r}")
            return 2
        finally:
            await rig.close()

    status = asyncio.run(guarded())
    print({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[status])
    return status
