"""The command line.

Exit status: 0 success, 1 a check failed or a statement was refused, 2 invalid usage or settings,
3 a daemon or a command failed, 4 no process answered.
"""

import sys
from json import dumps, loads
from pathlib import Path

import defopt

from onyxfork.errors import OnyxforkError, SettingsError, UnavailableError
from onyxfork.settings import load_settings
from onyxfork.tls import TlsContexts

__all__ = ["main"]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_FAILED = 3
EXIT_UNAVAILABLE = 4

DEFAULT_OPERATORS = "http://127.0.0.1:8166"
"""Default URL of the operators' address of a control instance on the platform."""


def entry(*, settings: Path):
    """Run an entry, which serves callers over HTTP and places their tasks.

    :param settings: JSON settings file with the role "entry"
    """
    from onyxfork.daemons.run import run_daemon

    run_daemon(load_settings(settings, "entry"))


def agent(*, settings: Path):
    """Run an agent, which runs tasks at one upstream.

    :param settings: JSON settings file with the role "agent"
    """
    from onyxfork.daemons.run import run_daemon

    run_daemon(load_settings(settings, "agent"))


def control(*, settings: Path, bootstrap: bool = False):
    """Run a control instance.

    :param settings: JSON settings file with the role "control"
    :param bootstrap: initialise a new data folder as one of the first members; used once in the
        life of a cluster, never to replace an instance that lost its disk
    """
    from onyxfork.daemons.run import run_daemon

    run_daemon(load_settings(settings, "control"), bootstrap=bootstrap)


def upstream(*, settings: Path):
    """Run a stand-in upstream.

    :param settings: JSON settings file with the role "upstream"
    """
    from onyxfork.daemons.run import run_daemon

    run_daemon(load_settings(settings, "upstream"))


def demo():
    """Run both example deployments in one process on loopback and print the measurements."""
    from onyxfork.logs import start_logging
    from onyxfork.workload.demo import run_demo

    start_logging("demo", "demo", level="error")
    return run_demo()


def check_settings(file: Path):
    """Validate a settings file and report all of its problems.

    :param file: JSON settings file of any role
    """
    settings = load_settings(file)
    if settings.role != "upstream":
        TlsContexts.from_config(settings)
    print(f"{file}: valid settings for role {settings.role}")


def ask(
    text: str = "",
    *,
    file: Path | None = None,
    control: str = "http://127.0.0.1:7002",
    token: str = "",
    token_file: Path | None = None,
    json: bool = False,
    command_id: str = "",
    authority: Path | None = None,
):
    """Send a statement of the operators' language to a control instance.

    :param text: the statement; without it and without a file a prompt with history is opened
    :param file: file with one statement per line, executed in order until one is refused
    :param control: URL of a control instance's administration API; several are separated by commas
        and tried in turn
    :param token: the operator's token; the environment variable ONYXFORK_TOKEN otherwise
    :param token_file: file that holds the token
    :param json: print the whole answer as JSON
    :param command_id: version 7 UUID of an earlier change, to retry it without a second effect
    :param authority: certificate of the authority, for an administration API with TLS
    """
    from onyxfork.language.ask import AdminClient, ask_file, ask_once, ask_prompt, read_token

    client = AdminClient.from_options(control.split(","), read_token(token, token_file), authority)
    if file is not None:
        return ask_file(client, file)
    if not text:
        return ask_prompt(client)
    return ask_once(client, text, json, command_id or None)


def scenario(*files: Path, seed: int = 1, keep: Path | None = None):
    """Run scenario files against real processes and print a timeline of each.

    :param files: scenario files
    :param seed: seed of the load
    :param keep: folder for settings, logs and journals
    """
    import asyncio

    from onyxfork.workload.scenario import parse_scenario
    from onyxfork.workload.scenario_run import run_scenario

    failed = 0
    for file in files:
        parsed = parse_scenario(file.read_text(encoding="utf-8"))
        if parsed.is_err():
            raise SettingsError([f"{file}: {parsed.err_value}"])
        print(file)
        folder = keep / file.stem if keep is not None else None
        verdict = asyncio.run(run_scenario(parsed.ok_value, seed=seed, keep=folder))
        failed += not verdict.passed
    return EXIT_REFUSED if failed else 0


def bench(
    *,
    workload: Path | None = None,
    throughput: bool = False,
    policy: str = "late-binding",
    seed: int = 1,
    seconds: float = 30.0,
    json: Path | None = None,
    report: Path | None = None,
    keep: Path | None = None,
    tuning: str = "",
):
    """Run a workload against real processes on loopback and measure it.

    :param workload: JSON workload file, see benchmarks/workloads
    :param throughput: instead measure the throughput of one entry with upstreams that take no time
    :param policy: name of a placement policy, several separated by commas, or all
    :param seed: seed of the arrivals
    :param seconds: duration of the arrivals
    :param json: output file for the figures
    :param report: output folder for a page with histograms by class of job
    :param keep: folder for settings, logs and journals
    :param tuning: JSON object with fields of an entry's "tuning" to set
    """
    import asyncio

    from onyxfork.systems.policies import POLICIES
    from onyxfork.workload.bench import run_bench
    from onyxfork.workload.experiment import load_workload
    from onyxfork.workload.report import print_results, write_json, write_report

    if throughput:
        return bench_throughput(seconds, json)
    if workload is None:
        raise SettingsError(["--workload: expected a file, or --throughput"])
    loaded = load_workload(workload)
    names = list(POLICIES) if policy == "all" else policy.split(",")
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        raise SettingsError([f"--policy: expected one of {', '.join(POLICIES)}, got {unknown[0]}"])
    results = []
    for name in names:
        folder = keep / name if keep is not None else None
        run = run_bench(loaded, name, seed, seconds, folder, read_tuning(tuning))
        results.append(asyncio.run(run))
    print_results(results)
    if json is not None:
        write_json(results, json, workload=str(workload), seed=seed, seconds=seconds)
    if report is not None:
        write_report(results, report, f"{workload.stem}, seed {seed}, {seconds:g} s")
    return 0 if all(result.findings.guarantees_hold for result in results) else EXIT_REFUSED


def read_tuning(text):
    """Return the tuning in a JSON text, or None when the text is empty."""
    from onyxfork.entities.tuning import Tuning
    from onyxfork.settings import build_value

    if not text:
        return None
    problems = []
    try:
        tuning = build_value(Tuning, loads(text), "--tuning", problems)
    except ValueError as error:
        raise SettingsError([f"--tuning: not JSON: {error}"]) from None
    if problems:
        raise SettingsError(problems)
    return tuning


def bench_throughput(seconds, json):
    """Measure the throughput of one entry with upstreams that take no time."""
    import asyncio

    from onyxfork.workload.throughput import measure_throughput

    rows = [asyncio.run(measure_throughput(min(seconds, 10.0), tasks)) for tasks in (1, 10, 60)]
    text = dumps(rows, indent=2)
    print(text)
    if json is not None:
        json.write_text(text + "\n")
    return 0 if all(row["jobs"] == row["jobs_whole"] for row in rows) else EXIT_REFUSED


def bench_control(
    *, seed: int = 1, controls: int = 3, seconds: float = 60.0, json: Path | None = None
):
    """Measure control with concurrent operators and failing instances.

    :param seed: seed of the operators' changes
    :param controls: number of control instances, 3 or 5
    :param seconds: duration of the repeated kills of the leader
    :param json: output file for the figures
    """
    import asyncio

    from onyxfork.workload.bench_control import run_bench_control

    figures = asyncio.run(run_bench_control(seed, controls, seconds))
    text = dumps({"seed": seed, "controls": controls, **figures}, indent=2)
    print(text)
    if json is not None:
        json.write_text(text + "\n")
    violation_counts = ("changes_lost", "reverts", "duplicate_effects")
    return EXIT_REFUSED if any(figures[name] for name in violation_counts) else 0


def bench_capacity(
    *,
    json: Path | None = None,
    page: Path | None = None,
    slopes: Path | None = None,
    sweep: Path | None = None,
):
    """Measure the slopes from which docs/CAPACITY.md is calculated.

    :param json: output file for the slopes
    :param page: output file for the page
    :param slopes: file with slopes measured earlier, to write the page without measuring again
    :param sweep: file with a sweep of the users' platform over fleet sizes, for the page
    """
    from onyxfork.workload.bench_capacity import run_bench_capacity
    from onyxfork.workload.capacity_page import write_page

    measured = loads(slopes.read_text()) if slopes is not None else run_bench_capacity()
    if json is not None:
        json.write_text(dumps(measured, indent=2) + "\n")
    if page is not None:
        write_page(measured, page, sweep=sweep)


def soak(
    *,
    seed: int = 1,
    seconds: float = 20.0,
    seeds: int = 1,
    profile: str = "small",
    busy: int | None = None,
    controls: int | None = None,
    entries: int | None = None,
    agents: int | None = None,
    keep: Path | None = None,
):
    """Run the programs of onyxfork.platform under random faults and check their guarantees.

    :param seed: seed of the faults and the load; the same seed gives the same faults
    :param seconds: duration in which faults are injected; a recovery phase and more load follow
    :param seeds: number of runs, one after the other, with consecutive seeds
    :param profile: small, long-runs, four-zones, large-workers, small-workers or many-workers
    :param busy: number of processes that keep cores of the machine busy meanwhile
    :param controls: number of control instances, unless that of the profile
    :param entries: number of entries, unless that of the profile
    :param agents: number of agents, each with a stand-in worker, unless that of the profile
    :param keep: folder for settings, logs and data, with one folder per seed
    """
    import asyncio
    import signal

    from attrs import evolve

    from onyxfork.workload.soak import run_soak
    from onyxfork.workload.soak.profiles import SoakProfile

    # SIGTERM raises KeyboardInterrupt, so that the processes started by the soak are ended.
    signal.signal(signal.SIGTERM, signal.default_int_handler)

    shape = SoakProfile.from_name(profile)
    if busy is not None:
        shape = evolve(shape, busy=busy)
    counts = {"controls": controls, "entries": entries, "agents": agents}
    size = evolve(shape.size, **{name: n for name, n in counts.items() if n is not None})
    failed = 0
    for run_seed in range(seed, seed + seeds):
        folder = keep / f"seed-{run_seed}" if keep is not None else None
        verdict = asyncio.run(run_soak(run_seed, seconds, size, folder, profile=shape))
        failed += not verdict.passed
        print(verdict)
    return EXIT_REFUSED if failed else 0


def losses(*logs: Path, capacity: float | None = None, capacity_changes: Path | None = None):
    """Print which jobs were not answered within their latency objective, and why.

    :param logs: logs of entries; text before the first brace of a line, as a time, is allowed
    :param capacity: cores times speed of the fleet, to print what any dispatcher could have served
    :param capacity_changes: file with a line "from_s cores" for each change of the capacity
    """
    from onyxfork.workload.fluid_bound import CapacityTimeline, bound_text
    from onyxfork.workload.losses import losses_text, read_logs

    if not logs:
        raise SettingsError(["LOGS: expected at least one file"])
    if capacity is None and capacity_changes is not None:
        raise SettingsError(["--capacity-changes: needs --capacity, which holds before the first"])
    timeline = None
    if capacity is not None:
        timeline = CapacityTimeline.from_config(capacity, capacity_changes)
    job_log = read_logs(logs)
    print(losses_text(job_log))
    if timeline is not None:
        print()
        print(bound_text(job_log, timeline))


def runs(task_or_job: str, *logs: Path):
    """Print who ran the tasks of a job where and when, and which of the runs may have overlapped.

    :param task_or_job: JOB for all of its tasks, or JOB.STEP.INDEX or JOB.OCCURRENCE.STEP.INDEX
    :param logs: logs of entries and agents; text before the first brace of a line is allowed
    """
    from onyxfork.workload.task_runs import read_trace, runs_text

    if not logs:
        raise SettingsError(["LOGS: expected at least one file"])
    trace = read_trace(task_or_job, logs)
    if not trace.events:
        files = f"{len(logs)} files with {trace.line_count} lines"
        print(f"onyxfork: no line of {files} names {task_or_job}", file=sys.stderr)
        return EXIT_REFUSED
    print(runs_text(trace))
    return 0


def zone_evacuate(name: str, *, control: str = DEFAULT_OPERATORS):
    """Evacuate an availability zone: no task starts there until it is restored.

    :param name: the zone, as in the table [zones] of the control instances' settings
    :param control: URL of a control instance's operator address; several are separated by commas
        and tried in turn
    """
    return send_zone_request("POST", name, control)


def zone_restore(name: str, *, control: str = DEFAULT_OPERATORS):
    """Restore an evacuated availability zone.

    :param name: the zone
    :param control: URL of a control instance's operator address; several are separated by commas
        and tried in turn
    """
    return send_zone_request("DELETE", name, control)


def zone_list(*, control: str = DEFAULT_OPERATORS):
    """Print the evacuated availability zones, one per line.

    :param control: URL of a control instance's operator address; several are separated by commas
        and tried in turn
    """
    return send_zone_request("GET", "", control)


def send_zone_request(method, zone, control):
    """Send a request on evacuations, print the answer and return the exit status."""
    import asyncio

    from onyxfork.platform.zone_client import ZoneClient

    if method != "GET" and not zone:
        raise SettingsError(["NAME: expected the name of a zone"])
    status, body = asyncio.run(ZoneClient.from_option(control).request(method, zone))
    if status != 200:
        print(f"refused: {body.get('error', status)}", file=sys.stderr)
        return EXIT_REFUSED
    if method == "GET":
        for name in body["zones"]:
            print(name)
    else:
        print(f"{zone}: {'evacuated' if body['evacuated'] else 'restored'}")
    return 0


COMMANDS = {
    "entry": entry,
    "agent": agent,
    "control": control,
    "upstream": upstream,
    "demo": demo,
    "check-settings": check_settings,
    "ask": ask,
    "scenario": scenario,
    "bench": bench,
    "bench-control": bench_control,
    "bench-capacity": bench_capacity,
    "soak": soak,
    "losses": losses,
    "runs": runs,
    "zone": {"evacuate": zone_evacuate, "restore": zone_restore, "list": zone_list},
}


def main(arguments=None):
    """Run the command line.

    Parameters
    ----------
    arguments : list of str, optional
    """
    try:
        status = defopt.run(COMMANDS, argv=arguments, short={}, no_negated_flags=True)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except UnavailableError as error:
        print(f"onyxfork: {error}", file=sys.stderr)
        sys.exit(EXIT_UNAVAILABLE)
    except (OnyxforkError, OSError) as error:
        print(dumps({"level": "CRITICAL", "message": str(error)}), file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.exit(status or 0)
