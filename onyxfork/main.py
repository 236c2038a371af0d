"""The command line.

Exit status: 0 done, 1 a check failed or a statement was refused, 2 wrong usage or settings, 3 a
daemon could not go on, 4 nobody answered.
"""

import json
import sys
from pathlib import Path

import defopt

from onyxfork.errors import OnyxforkError, SettingsError, UnavailableError
from onyxfork.settings import load_settings

__all__ = ["main"]

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_FAILED = 3
EXIT_UNAVAILABLE = 4


def entry(*, settings: Path):
    """Run an entry: callers' HTTP, placement, whole answers.

    :param settings: JSON settings file with the role "entry"
    """
    from onyxfork.daemons.run import run_daemon

    run_daemon(load_settings(settings, "entry"))


def agent(*, settings: Path):
    """Run the agent beside one upstream.

    :param settings: JSON settings file with the role "agent"
    """
    from onyxfork.daemons.run import run_daemon

    run_daemon(load_settings(settings, "agent"))


def control(*, settings: Path, bootstrap: bool = False):
    """Run a control instance.

    :param settings: JSON settings file with the role "control"
    :param bootstrap: make a new data folder one of the first members; used once in the life of a
        cluster, never to replace an instance that lost its disk
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
    """Run both example deployments in one process on loopback and show what was measured."""
    from onyxfork.logs import start_logging
    from onyxfork.workload.demo import run_demo

    start_logging("demo", "demo", level="error")
    return run_demo()


def check_settings(file: Path):
    """Check a settings file and report everything that is wrong with it.

    :param file: JSON settings file of any role
    """
    settings = load_settings(file)
    if getattr(settings, "tls", None) is not None:
        settings.tls.contexts()
    print(f"{file}: good settings of role {settings.role}")


def ask(
    text: str = "",
    *,
    control: str = "http://127.0.0.1:7002",
    token: str = "",
    token_file: Path | None = None,
    json_output: bool = False,
    command_id: str = "",
):
    """Send a statement of the operators' language to a control instance.

    :param text: the statement; without one a prompt with history is opened
    :param control: address of a control instance's administration API; several are separated by
        commas and tried in turn
    :param token: the operator's token; the environment variable ONYXFORK_TOKEN otherwise
    :param token_file: file that holds the token
    :param json_output: print the whole answer as JSON
    :param command_id: version 7 UUID of a change that is sent again
    """
    from onyxfork.language.ask import ask_once, ask_prompt, read_token

    token = read_token(token, token_file)
    urls = control.split(",")
    if not text:
        return ask_prompt(urls, token)
    return ask_once(urls, token, text, json_output, command_id or None)


def scenario(*files: Path, seed: int = 1, keep: Path | None = None):
    """Run scripted scenarios against real processes and show a timeline of each.

    :param files: scenario files
    :param seed: chooses the load
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
    workload: Path,
    policy: str = "late-binding",
    seed: int = 1,
    seconds: float = 30.0,
    json_output: Path | None = None,
    report: Path | None = None,
    keep: Path | None = None,
):
    """Run a workload against real processes on loopback and measure it.

    :param workload: JSON workload file, see benchmarks/workloads
    :param policy: a placement policy by name, several separated by commas, or all
    :param seed: chooses the arrivals
    :param seconds: how long jobs arrive
    :param json_output: file for the figures
    :param report: folder for a page with histograms by class
    :param keep: folder for settings, logs and journals
    """
    import asyncio

    from onyxfork.systems.policies import POLICIES
    from onyxfork.workload.bench import run_bench
    from onyxfork.workload.experiment import load_workload
    from onyxfork.workload.report import print_results, write_json, write_report

    loaded = load_workload(workload)
    names = list(POLICIES) if policy == "all" else policy.split(",")
    unknown = [name for name in names if name not in POLICIES]
    if unknown:
        raise SettingsError([f"--policy: expected one of {', '.join(POLICIES)}, got {unknown[0]}"])
    results = []
    for name in names:
        folder = keep / name if keep is not None else None
        results.append(asyncio.run(run_bench(loaded, name, seed, seconds, folder)))
    print_results(results)
    if json_output is not None:
        write_json(results, json_output, workload=str(workload), seed=seed, seconds=seconds)
    if report is not None:
        write_report(results, report, f"{workload.stem}, seed {seed}, {seconds:g} s")
    return 0 if all(result.findings.promises_hold for result in results) else EXIT_REFUSED


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
        print(json.dumps({"level": "CRITICAL", "message": str(error)}), file=sys.stderr)
        sys.exit(EXIT_FAILED)
    sys.exit(status or 0)
