"""Encoding of the requests of the platform's callers and operators, and of settings files.

`onyxfork.platform.jobs`, `configuration` and `settings` explain the platform's words.
"""

import json

__all__ = [
    "CONFIGURATION_PATH",
    "DEADLINE_HEADER",
    "MAX_BODY_BYTES",
    "READY_PATH",
    "agent_settings",
    "control_settings",
    "encode_configuration",
    "encode_job",
    "entry_settings",
    "machine_limits",
    "evacuation_path",
    "job_path",
    "make_invalid_configurations",
    "make_odd_report",
    "node_settings",
]

CONFIGURATION_PATH = "/config"
READY_PATH = "/ready"
DEADLINE_HEADER = "X-Deadline"

MAX_HEADER_BYTES, MAX_BODY_BYTES = 16384, 262144
"""Limits on callers' requests in a configuration."""

DEEP_SHARE, DEEP_LEVELS = 0.2, 100_000
"""Share of odd reports that are nested deeply besides, and how deeply."""


def job_path(queue, job_id):
    """Return the path to which a job of a queue is posted."""
    return f"/{queue}/{job_id}"


def evacuation_path(zone):
    """Return the path at which a zone is evacuated and restored."""
    return f"/evacuations/{zone}"


def encode_job(spec, tasks, cpu, memory_mb, estimate_ms):
    """Return the body of a job that has one step and whose caller waits for the outcome."""
    step = {"count": tasks, "cpu": cpu, "memMb": memory_mb, "estimatedMs": estimate_ms}
    return json.dumps({"spec": spec, "bestEffort": True, "steps": [step]}).encode()


def encode_configuration(version, service, queues, host, extra_queues=0):
    """Return a configuration document.

    Parameters
    ----------
    version : int
    service : str
    queues : dict of str to int
        Priority by queue name.
    host : str
        The host at which callers reach the queues.
    extra_queues : int
        Number of unused queues to add, which make the document larger.
    """
    queue_priorities = [(name, priority) for name, priority in queues.items()]
    queue_priorities += [(f"spare-{number}", 1) for number in range(extra_queues)]
    routes = [
        {
            "name": name,
            "host": host,
            "pathPrefix": f"/{name}/",
            "type": "unsafe",
            "timeoutMs": 1500 + version,
            "targetLatencyMs": 60,
            "priority": priority,
            "service": service,
            "attempts": 3,
            "stretch": 1.6,
        }
        for name, priority in queue_priorities
    ]
    services = [{"name": service, "healthPath": "/health", "rejectsOverload": True}]
    limits = {"maxHeaderBytes": MAX_HEADER_BYTES, "maxBodyBytes": MAX_BODY_BYTES}
    return json.dumps(
        {"version": version, "routes": routes, "services": services, "limits": limits}
    ).encode()


def make_odd_report(rng, report):
    """Return the body of a report of another writer that must be refused.

    Parameters
    ----------
    rng : Random
    report : dict
        A valid report.
    """
    odd_values = {
        "address": ["127.0.0.1:99999", "127.0.0.1", 7],
        "seq": [-1, 10**30, 0.5],
        "labels": [["\ud800"], "a", [[[]]]],
        "capacity": [{"cpu": 10**30, "memMb": 1, "gpu": 0}, [], None],
        "state": ["gone", "x" * 10_000, "\ud800"],
        "born": [10**400, -1, "soon"],
    }
    key = rng.choice(sorted(odd_values))
    body = json.dumps({**report, key: rng.choice(odd_values[key])})
    if rng.random() < DEEP_SHARE:
        body = body[:-1] + ', "x": ' + "[" * DEEP_LEVELS + "]" * DEEP_LEVELS + "}"
    return body.encode()


def make_invalid_configurations(valid_body):
    """Return configuration documents that must be refused, derived from a valid one.

    The first is truncated, the second names an unknown service, and the third has a timeout of 0.
    """
    unknown_service = json.loads(valid_body)
    unknown_service["routes"][0]["service"] = "nobody"
    zero_timeout = json.loads(valid_body)
    zero_timeout["routes"][0]["timeoutMs"] = 0
    return [
        valid_body[:-20],
        json.dumps(unknown_service).encode(),
        json.dumps(zero_timeout).encode(),
    ]


def encode_settings(fields, listen, bounds, tolerated_losses, zones=(), limits=None):
    """Return the content of a settings file in TOML.

    Parameters
    ----------
    fields : dict
        Top-level fields: strings, numbers, booleans and lists of them.
    listen : dict of str to str
        Addresses to listen at.
    bounds : dict of str to float
        Time limits.
    tolerated_losses : int
        How many control instances may lose their disks at the same time.
    zones : iterable of str
        Availability zones that operators may evacuate.
    limits : dict of str to int, optional
        Limits of the machine, such as its memory.
    """
    lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    lines += ["[listen]"] + [f"{key} = {json.dumps(value)}" for key, value in listen.items()]
    lines += ["[bounds]"] + [f"{key} = {json.dumps(value)}" for key, value in bounds.items()]
    lines += ["[faultTolerance]", f"machines = {tolerated_losses}"]
    if limits:
        lines += ["[limits]"] + [f"{key} = {json.dumps(value)}" for key, value in limits.items()]
    if zones:
        lines += ["[zones]"] + [f'{json.dumps(zone)} = "region-1"' for zone in zones]
    return "\n".join(lines) + "\n"


def machine_limits(memory_mb, descriptors):
    """Return the settings fields with the limits of a machine."""
    return {"memoryMb": memory_mb, "maxFds": descriptors}


def node_settings(node, zone, ip, ports, seeds, bootstrap):
    """Return the top-level settings fields that all roles share."""
    return {
        "node": node,
        "zone": zone,
        "ip": ip,
        "internalPorts": list(ports),
        "seeds": list(seeds),
        "bootstrap": bootstrap,
    }


def entry_settings(fields, callers, readiness, grace_s, limits=None):
    """Return the content of an entry's settings file."""
    listen = {"front": str(callers), "ready": str(readiness)}
    return encode_settings(fields, listen, {"graceS": grace_s}, 1, limits=limits)


def agent_settings(fields, reports, worker, service, grace_s, limits=None):
    """Return the content of an agent's settings file."""
    fields = {**fields, "app": str(worker), "service": service}
    return encode_settings(fields, {"control": str(reports)}, {"graceS": grace_s}, 1, limits=limits)


def control_settings(
    fields, operators, data_folder, grace_s, tolerated_losses, zones=(), limits=None
):
    """Return the content of a control instance's settings file."""
    fields = {**fields, "dataDir": str(data_folder)}
    return encode_settings(
        fields, {"control": str(operators)}, {"graceS": grace_s}, tolerated_losses, zones, limits
    )
