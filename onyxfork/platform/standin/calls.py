"""Requests of the platform's callers and operators, and a process's settings file."""

import json

__all__ = [
    "CONFIGURATION_PATH",
    "DEADLINE_HEADER",
    "READY_PATH",
    "agent_settings",
    "control_settings",
    "encode_configuration",
    "encode_job",
    "entry_settings",
    "job_path",
    "make_invalid_configurations",
    "node_settings",
]

CONFIGURATION_PATH = "/config"
READY_PATH = "/ready"
DEADLINE_HEADER = "X-Deadline"


def job_path(queue, job):
    """Return the path under which a job of a queue is handed in."""
    return f"/{queue}/{job}"


def encode_job(spec, tasks, cpu, memory_mb, estimate_ms):
    """Return the body of a job of one step whose caller waits for its end."""
    step = {"count": tasks, "cpu": cpu, "memMb": memory_mb, "estimatedMs": estimate_ms}
    return json.dumps({"spec": spec, "bestEffort": True, "steps": [step]}).encode()


def encode_configuration(version, service, queues, host, extra_queues=0):
    """Return a configuration document.

    Parameters
    ----------
    version : int
    service : str
    queues : dict of str to int
        Priority by queue.
    host : str
    extra_queues : int
        Queues that nobody uses, which make the document larger.
    """
    names = [(name, priority) for name, priority in queues.items()]
    names += [(f"spare-{number}", 1) for number in range(extra_queues)]
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
        for name, priority in names
    ]
    services = [{"name": service, "healthPath": "/health", "rejectsOverload": True}]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
    return json.dumps(
        {"version": version, "routes": routes, "services": services, "limits": limits}
    ).encode()


def make_invalid_configurations(valid_body):
    """Return documents that must be refused, made from a sound one.

    They are cut short, name a service that there is none of, and hold a time limit of 0.
    """
    unknown = json.loads(valid_body)
    unknown["routes"][0]["service"] = "nobody"
    unlimited = json.loads(valid_body)
    unlimited["routes"][0]["timeoutMs"] = 0
    return [valid_body[:-20], json.dumps(unknown).encode(), json.dumps(unlimited).encode()]


def encode_settings(fields, listen, bounds, tolerated_losses):
    """Return the text of a process's settings file.

    Parameters
    ----------
    fields : dict
        Top-level fields; texts, numbers, booleans and lists of them.
    listen : dict of str to str
    bounds : dict of str to float
    losses : int
        Disks that may be lost at the same time.
    """
    lines = [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    lines += ["[listen]"] + [f"{key} = {json.dumps(value)}" for key, value in listen.items()]
    lines += ["[bounds]"] + [f"{key} = {json.dumps(value)}" for key, value in bounds.items()]
    lines += ["[faultTolerance]", f"machines = {tolerated_losses}"]
    return "\n".join(lines) + "\n"


def node_settings(node, zone, ip, ports, seeds, bootstrap):
    """Return the fields that the settings of every process have."""
    return {
        "node": node,
        "zone": zone,
        "ip": ip,
        "internalPorts": list(ports),
        "seeds": list(seeds),
        "bootstrap": bootstrap,
    }


def entry_settings(fields, callers, readiness, grace_s):
    """Return the settings file of an entry."""
    listen = {"front": str(callers), "ready": str(readiness)}
    return encode_settings(fields, listen, {"graceS": grace_s}, 1)


def agent_settings(fields, reports, worker, service, grace_s):
    """Return the settings file of an agent."""
    fields = {**fields, "app": str(worker), "service": service}
    return encode_settings(fields, {"control": str(reports)}, {"graceS": grace_s}, 1)


def control_settings(fields, operators, data_folder, grace_s, tolerated_losses):
    """Return the settings file of a control instance."""
    fields = {**fields, "dataDir": str(data_folder)}
    return encode_settings(
        fields, {"control": str(operators)}, {"graceS": grace_s}, tolerated_losses
    )
