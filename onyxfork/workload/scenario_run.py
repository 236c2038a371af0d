"""Run a scenario against real processes and check its expectations and the guarantees."""

import asyncio
import signal
import time
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory

from attrs import define, field

from onyxfork.errors import OnyxforkError, UnavailableError
from onyxfork.utils.ids import new_id
from onyxfork.workload.caller import JobSpec, submit_job
from onyxfork.workload.checker import Findings, check_guarantees
from onyxfork.workload.deployment import DEPLOYMENTS
from onyxfork.workload.processes import run_processes
from onyxfork.workload.proxy import Rule
from onyxfork.workload.scenario import Load

__all__ = ["ScenarioRun", "Verdict", "run_scenario"]

DEFAULT_WORKER_COUNT = 3
DEFAULT_ENTRY_COUNT = 2
VERSION_POLL_INTERVAL_S = 0.2
RACE_ROUNDS = 5
"""Number of rounds of concurrent changes in one ``race`` event."""


@define
class Verdict:
    """Whether a scenario passed, and the problems found."""

    passed: bool
    problems: list
    findings: Findings
    timeline: list = field(factory=list)


@define
class ScenarioRun:
    """One run of a scenario.

    Parameters
    ----------
    scenario : Scenario
    cluster : ProcessCluster
    rng : random.Random
    out : callable
        Prints one line of the timeline.
    records : list of CallerRecord
        One for each submission of a job by a caller.
    answers : dict
        Maps the text of an operator's statement to its last answer.
    problems : list of str
        Failed events and decreases of a configuration version.
    versions : dict
        Maps (process name, process id) to the last configuration version reported.
    started_at : float
        Monotonic seconds at the start of the load.
    started_wall_ms : int
        Wall-clock time in milliseconds at the start of the load.
    former_owner : str
        The entry that ``owner`` last resolved to.
    """

    scenario: object
    cluster: object
    rng: Random
    out: object
    records: list = field(factory=list)
    answers: dict = field(factory=dict)
    problems: list = field(factory=list)
    versions: dict = field(factory=dict)
    started_at: float = 0.0
    started_wall_ms: int = 0
    former_owner: str = ""

    def log_event(self, text):
        """Print one line of the timeline, with the time since the start of the load."""
        self.out(f"{time.monotonic() - self.started_at:7.2f} s  {text}")

    # Load

    async def run_load(self, load):
        """Submit jobs as a Poisson process at the rate of the load and wait for all answers."""
        kinds = load.kinds or {job.name: 1.0 for job in self.cluster.deployment.jobs}
        tasks = []
        at_s = 0.0
        while at_s < load.seconds:
            spec = self.make_job(load, kinds, at_s)
            tasks.append(asyncio.create_task(self.submit_at(load, spec)))
            at_s += self.rng.expovariate(load.jobs_per_s)
        await asyncio.gather(*tasks)

    def make_job(self, load, kinds, at_s):
        """Draw the job that arrives `at_s` seconds after the start of the load."""
        deployment = self.cluster.deployment
        task_count = self.rng.randint(*load.tasks)
        run_ms = [self.rng.uniform(*load.run_ms) for _ in range(task_count)]
        cancelled = self.rng.random() < load.cancelled
        return JobSpec(
            at_s=at_s,
            organisation=deployment.organisation,
            service=deployment.service,
            team=deployment.team,
            job=self.rng.choices(list(kinds), list(kinds.values()))[0],
            run_ms=run_ms,
            declared_ms=[true_ms * load.declared for true_ms in run_ms],
            deadline_ms=load.deadline_ms,
            cancel_after_s=self.rng.uniform(0.0, 0.2) if cancelled else None,
        )

    async def submit_at(self, load, spec):
        """Submit one job at its time of arrival, to one entry or to two concurrently."""
        urls = self.cluster.entry_urls()
        first_entry = self.rng.randrange(len(urls))
        ordered_urls = urls[first_entry:] + urls[:first_entry]
        doubled = self.rng.random() < load.doubled
        await asyncio.sleep(max(0.0, self.started_at + spec.at_s - time.monotonic()))
        spec.submission = new_id(int(time.time() * 1000))
        session = self.cluster.session
        requests = [submit_job(session, ordered_urls, spec, load.resubmit)]
        if doubled:
            requests.append(submit_job(session, ordered_urls[::-1], spec, load.resubmit))
        if spec.cancel_after_s is not None:
            requests.append(self.cancel_after_delay(ordered_urls[0], spec))
        for record in await asyncio.gather(*requests):
            if record is not None:
                self.records.append(record)

    async def cancel_after_delay(self, url, spec):
        """Cancel a job `cancel_after_s` seconds after its submission; ignore connection errors."""
        await asyncio.sleep(spec.cancel_after_s)
        try:
            async with self.cluster.session.delete(f"{url}/v1/jobs/{spec.submission}"):
                return None
        except OSError:
            return None

    # Events

    async def run_events(self):
        """Execute the events of the scenario, each at its time."""
        for event in self.scenario.events:
            await asyncio.sleep(max(0.0, self.started_at + event.at_s - time.monotonic()))
            self.log_event(f"{event.action} {' '.join(map(str, event.arguments))}")
            try:
                arguments = [await self.resolve_argument(argument) for argument in event.arguments]
                await getattr(self, f"do_{event.action}")(*arguments)
            except OnyxforkError as error:
                self.problems.append(f"line {event.line}: {event.action}: {error}")

    async def resolve_argument(self, argument):
        """Resolve ``owner`` and ``former-owner`` to process names; return others unchanged.

        ``owner`` is the current owner of the first cell, ``former-owner`` is what ``owner`` last
        resolved to.
        """
        if argument == "owner":
            _, answer = await self.cluster.ask("show cells")
            self.former_owner = answer["rows"][0]["owner"]
            self.log_event(f"the owner of the first cell is {self.former_owner}")
            return self.former_owner
        return self.former_owner if argument == "former-owner" else argument

    async def do_kill(self, name):
        """Kill a process, or both processes of a worker, by SIGKILL."""
        self.cluster.kill(name)

    async def do_start_process(self, name):
        self.cluster.start(name)

    async def do_stop(self, name):
        """Request a planned stop by SIGTERM and wait for it."""
        await self.cluster.stop(name)

    async def do_pause(self, name):
        """Suspend a process by SIGSTOP until it is resumed; its connections stay open."""
        self.cluster.signal(name, signal.SIGSTOP)

    async def do_resume(self, name):
        self.cluster.signal(name, signal.SIGCONT)

    async def do_cut(self, first, second):
        """Refuse new connections between two locations and reset the open ones."""
        self.cluster.proxy.add(Rule("cut", first, second))

    async def do_lose(self, source, target):
        """Drop all bytes from `source` to `target`, on open and on new connections."""
        self.cluster.proxy.add(Rule("lose", source, target))

    async def do_silence(self, first, second):
        """Drop all further bytes in both directions on the connections that are open now."""
        self.cluster.proxy.add(Rule("silence", first, second))
        self.cluster.proxy.add(Rule("silence", second, first))

    async def do_silence_one_way(self, source, target):
        """Drop all further bytes from `source` to `target` on the connections open now."""
        self.cluster.proxy.add(Rule("silence", source, target))

    async def do_delay(self, source, target, milliseconds):
        self.cluster.proxy.add(Rule("delay", source, target, milliseconds / 1000))

    async def do_heal(self):
        """End all faults of the network."""
        self.cluster.proxy.heal()

    async def do_fill_disk(self, name):
        for process in self.cluster.find_processes(name):
            process.fill_disk()

    async def do_free_disk(self, name):
        for process in self.cluster.find_processes(name):
            process.free_disk()

    async def do_lose_disk(self, name):
        """Kill a control instance and delete its data; later starts do not bootstrap a cluster."""
        self.cluster.lose_disk(name)
        process = self.cluster.processes[name]
        process.arguments = [option for option in process.arguments if option != "--bootstrap"]

    async def do_step_clock(self, name, milliseconds):
        self.cluster.step_clock(name, int(milliseconds))

    async def do_slow(self, worker, factor):
        """Set the factor by which a worker's run times are multiplied."""
        await self.configure_upstream(worker, {"speed": factor})

    async def do_break_upstream(self, worker):
        """Let every task of a worker fail."""
        await self.configure_upstream(worker, {"fail_share": 1.0})

    async def do_mend(self, worker):
        """Undo ``slow`` and ``break`` at a worker."""
        await self.configure_upstream(worker, {"fail_share": 0.0, "speed": 1.0})

    async def do_double_starts(self, worker):
        """Let the upstream journal every start twice, a violation that the checker must report."""
        await self.configure_upstream(worker, {"doubling": True})

    async def configure_upstream(self, worker, changes):
        """Change the speed or the faults of a worker's stand-in upstream."""
        url = self.cluster.url(f"{worker}.upstream")
        async with self.cluster.session.post(f"{url}/v1/behave", json=changes) as response:
            if response.status != 200:
                raise UnavailableError(f"{worker} answered {response.status}")

    async def do_ask(self, text):
        """Send an operator's statement that control must accept."""
        status, answer = await self.cluster.ask(text)
        self.answers[text] = answer
        if status != 200:
            self.problems.append(f"{text!r} was refused: {answer.get('message')}")

    async def do_ask_refused(self, text):
        """Send an operator's statement that control must refuse."""
        status, answer = await self.cluster.ask(text)
        self.answers[text] = answer
        if status == 200:
            self.problems.append(f"{text!r} was accepted")

    async def do_race(self, count, key):
        """Let concurrent operators alter one job at the same version, in `RACE_ROUNDS` rounds."""
        for round_number in range(RACE_ROUNDS):
            await self.run_race_round(int(count), key, round_number)

    async def run_race_round(self, count, key, round_number):
        """Run one round of concurrent changes; exactly one operator must succeed.

        Each command is sent twice with the same id, and both answers must agree.
        """
        _, answer = await self.cluster.ask(f"show jobs where key = {key}")
        version = answer["rows"][0]["version"]
        statements = [
            f"alter job {key} set max_running={1000 + 100 * round_number + operator} "
            f"if version {version}"
            for operator in range(count)
        ]
        requests = []
        for text in statements:
            command = new_id(int(time.time() * 1000))
            requests += [self.cluster.ask(text, command), self.cluster.ask(text, command)]
        answers = [answer for _, answer in await asyncio.gather(*requests)]
        pairs = list(zip(answers[::2], answers[1::2], strict=True))
        accepted = [original for original, _ in pairs if original["ok"]]
        if len(accepted) != 1:
            self.problems.append(
                f"{len(accepted)} changes of version {version} were accepted, expected one"
            )
        if any(original["ok"] != repeated["ok"] for original, repeated in pairs):
            self.problems.append("a command sent twice got two different answers")
        rejected = [original for original, _ in pairs if not original["ok"]]
        if any(not reply["detail"].get("changed_by") for reply in rejected):
            self.problems.append(
                "the answer to a rejected change does not name who changed the row"
            )

    async def do_roll(self, kind):
        """Restart all processes of a kind one by one, waiting until each is ready."""
        names = [name for name in self.cluster.processes if name.startswith(f"{kind}-")]
        names = sorted({name.split(".")[0] for name in names})
        for name in names:
            await self.cluster.stop(name)
            self.cluster.start(name)
            await self.cluster.wait_for_health(name)
            await self.cluster.wait_for_workers(self.cluster.workers)
            self.log_event(f"{name} is ready again")

    # Versions

    async def watch_versions(self):
        """Poll the configuration version of every entry and agent, and record any decrease."""
        names = [
            process_name
            for process_name in self.cluster.processes
            if process_name.startswith("entry") or process_name.endswith("agent")
        ]
        while True:
            for name in names:
                await self.compare_version(name)
            await asyncio.sleep(VERSION_POLL_INTERVAL_S)

    async def compare_version(self, name):
        """Record a problem if the configuration version of a process has decreased.

        The record starts anew when the process is restarted.
        """
        process = self.cluster.processes[name].process
        try:
            async with asyncio.timeout(0.5):
                async with self.cluster.session.get(f"{self.cluster.url(name)}/health") as reply:
                    version = (await reply.json())["configuration_version"]
        except (OSError, TimeoutError, ValueError):
            return
        key = (name, process.pid)
        if version < self.versions.get(key, 0):
            self.problems.append(f"{name} reverted to configuration version {version}")
        self.versions[key] = version

    # Verdict

    def judge(self):
        """Check guarantees and expectations once the load and the events have ended."""
        journal = self.cluster.journal_lines()
        findings = check_guarantees(self.records, journal)
        problems = list(self.problems)
        if self.scenario.must_be_reported:
            if findings.guarantees_hold:
                problems.append("the checker reported no violation of a guarantee")
            return Verdict(not problems, problems, findings)
        if not findings.guarantees_hold:
            problems += findings.examples
        for expectation in self.scenario.expectations:
            problem = getattr(self, f"check_{expectation.kind}")(
                findings, journal, *expectation.arguments
            )
            if problem:
                problems.append(problem)
        return Verdict(not problems, problems, findings)

    def check_measure(self, findings, _, name, bound, percent):
        """Compare the share of submitted jobs with an outcome with its lower or upper bound."""
        counts = {
            "complete": findings.jobs_complete,
            "failed": findings.jobs_failed,
            "not_run": findings.jobs_not_run,
            "lost": findings.lost_jobs,
            "refused": findings.jobs_not_run,
        }
        share = 100 * counts[name] / max(1, findings.jobs_submitted)
        met = share >= percent if bound == "at_least" else share <= percent
        return None if met else f"{name} is {share:.1f} %, expected {bound} {percent:g} %"

    def count_starts(self, journal, worker, begin_s, end_s):
        """Count the starts of tasks on a worker between two times of the scenario."""
        begin_wall_ms = self.started_wall_ms + begin_s * 1000
        end_wall_ms = self.started_wall_ms + end_s * 1000
        return sum(
            1
            for line in journal
            if line["event"] == "start"
            and line["worker"] == worker
            and begin_wall_ms <= line["wall_ms"] <= end_wall_ms
        )

    def check_no_starts(self, _, journal, worker, begin_s, end_s):
        count = self.count_starts(journal, worker, begin_s, end_s)
        return f"{count} tasks started on {worker}" if count else None

    def check_some_starts(self, _, journal, worker, begin_s, end_s):
        count = self.count_starts(journal, worker, begin_s, end_s)
        return None if count else f"no task started on {worker}"

    def check_answer_holds(self, _, __, text, expected_text):
        """Check that the last answer to a statement contains the expected text."""
        answer = self.answers.get(text)
        return None if expected_text in str(answer) else f"the answer to {text!r} was {answer}"

    def check_no_reverts(self, *_):
        """Return None, as `compare_version` records every decrease of a version as a problem."""
        return None

    def check_violation(self, *_):
        """Return None, as `judge` handles this expectation itself."""
        return None


async def run_scenario(scenario, out=print, seed=1, keep=None):
    """Run a scenario and return its verdict.

    Parameters
    ----------
    scenario : Scenario
    out : callable
        Prints one line of the timeline.
    seed : int
    keep : path-like, optional
        Folder for settings, logs and journals; a temporary one by default.

    Returns
    -------
    Verdict
    """
    deployment = DEPLOYMENTS.get(scenario.cluster)
    if deployment is None:
        raise OnyxforkError(
            f"unknown cluster {scenario.cluster!r}; known clusters: {', '.join(DEPLOYMENTS)}"
        )
    options = scenario.options
    with TemporaryDirectory(prefix="onyxfork-scenario-") as temporary:
        folder = Path(keep or temporary)
        context = run_processes(
            deployment,
            folder,
            options.get("workers", DEFAULT_WORKER_COUNT),
            entries=options.get("entries", DEFAULT_ENTRY_COUNT),
            controls=options.get("controls", 1),
            cells=options.get("cells", 1),
        )
        async with context as cluster:
            run = ScenarioRun(scenario, cluster, Random(seed), out)
            run.started_at, run.started_wall_ms = time.monotonic(), int(time.time() * 1000)
            version_watch = asyncio.create_task(run.watch_versions())
            load = scenario.load or Load(0.001, 0.0)
            try:
                await asyncio.gather(run.run_load(load), run.run_events())
            finally:
                version_watch.cancel()
            verdict = run.judge()
            run.log_event(
                f"{'passed' if verdict.passed else 'FAILED'}: {verdict.findings.as_dict()}"
            )
            for problem in verdict.problems:
                run.log_event(f"problem: {problem}")
            return verdict
