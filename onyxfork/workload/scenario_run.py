"""Runs a scenario against real processes and judges it by the checker."""

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
from onyxfork.workload.checker import Findings, check_promises
from onyxfork.workload.deployment import DEPLOYMENTS
from onyxfork.workload.processes import run_processes
from onyxfork.workload.proxy import Rule
from onyxfork.workload.scenario import Load

__all__ = ["ScenarioRun", "Verdict", "run_scenario"]

DEFAULT_WORKERS = 3
DEFAULT_ENTRIES = 2
VERSION_INTERVAL_S = 0.2
RACE_ROUNDS = 5


@define
class Verdict:
    """Whether a scenario passed and why not."""

    passed: bool
    problems: list
    findings: Findings
    timeline: list = field(factory=list)


@define
class ScenarioRun:
    """One run of a scenario."""

    scenario: object
    cluster: object
    rng: Random
    out: object
    records: list = field(factory=list)
    answers: dict = field(factory=dict)
    problems: list = field(factory=list)
    versions: dict = field(factory=dict)
    began: float = 0.0
    began_wall_ms: int = 0
    former_owner: str = ""

    def say(self, text):
        """Print one line of the timeline."""
        self.out(f"{time.monotonic() - self.began:7.2f} s  {text}")

    # Load

    async def run_load(self, load):
        """Submit jobs at random times with the rate asked for and wait for their answers."""
        kinds = load.kinds or {job.name: 1.0 for job in self.cluster.deployment.jobs}
        tasks = []
        at_s = 0.0
        while at_s < load.seconds:
            spec = self.make_job(load, kinds, at_s)
            tasks.append(asyncio.create_task(self.submit_at(load, spec)))
            at_s += self.rng.expovariate(load.jobs_per_s)
        await asyncio.gather(*tasks)

    def make_job(self, load, kinds, at_s):
        """Return the next job."""
        deployment = self.cluster.deployment
        count = self.rng.randint(*load.tasks)
        run_ms = [self.rng.uniform(*load.run_ms) for _ in range(count)]
        cancelled = self.rng.random() < load.cancelled
        return JobSpec(
            at_s=at_s,
            organisation=deployment.organisation,
            service=deployment.service,
            team=deployment.team,
            job=self.rng.choices(list(kinds), list(kinds.values()))[0],
            run_ms=run_ms,
            declared_ms=[value * load.declared for value in run_ms],
            deadline_ms=load.deadline_ms,
            cancel_after_s=self.rng.uniform(0.0, 0.2) if cancelled else None,
        )

    async def submit_at(self, load, spec):
        """Submit one job at its time, once or at two entries at once."""
        urls = self.cluster.entry_urls()
        first = self.rng.randrange(len(urls))
        order = urls[first:] + urls[:first]
        doubled = self.rng.random() < load.doubled
        await asyncio.sleep(max(0.0, self.began + spec.at_s - time.monotonic()))
        spec.submission = new_id(int(time.time() * 1000))
        session = self.cluster.session
        sends = [submit_job(session, order, spec, load.resubmit)]
        if doubled:
            sends.append(submit_job(session, order[::-1], spec, load.resubmit))
        if spec.cancel_after_s is not None:
            sends.append(self.cancel_later(order[0], spec))
        for record in await asyncio.gather(*sends):
            if record is not None:
                self.records.append(record)

    async def cancel_later(self, url, spec):
        """Cancel a job a little after it was submitted."""
        await asyncio.sleep(spec.cancel_after_s)
        try:
            async with self.cluster.session.delete(f"{url}/v1/jobs/{spec.submission}"):
                return None
        except OSError:
            return None

    # Events

    async def run_events(self):
        """Carry out the events, each at its time."""
        for event in self.scenario.events:
            await asyncio.sleep(max(0.0, self.began + event.at_s - time.monotonic()))
            self.say(f"{event.action} {' '.join(map(str, event.arguments))}")
            try:
                arguments = [await self.resolve(one) for one in event.arguments]
                await getattr(self, f"do_{event.action}")(*arguments)
            except OnyxforkError as error:
                self.problems.append(f"line {event.line}: {event.action}: {error}")

    async def resolve(self, argument):
        """Return the process that ``owner`` and ``former-owner`` stand for, other names as is."""
        if argument == "owner":
            _, answer = await self.cluster.ask("show cells")
            self.former_owner = answer["rows"][0]["owner"]
            self.say(f"the owner is {self.former_owner}")
            return self.former_owner
        return self.former_owner if argument == "former-owner" else argument

    async def do_kill(self, name):
        self.cluster.kill(name)

    async def do_start_process(self, name):
        self.cluster.start(name)

    async def do_stop(self, name):
        await self.cluster.stop(name)

    async def do_pause(self, name):
        self.cluster.signal(name, signal.SIGSTOP)

    async def do_resume(self, name):
        self.cluster.signal(name, signal.SIGCONT)

    async def do_cut(self, one, other):
        self.cluster.proxy.add(Rule("cut", one, other))

    async def do_lose(self, source, target):
        self.cluster.proxy.add(Rule("lose", source, target))

    async def do_silence(self, one, other):
        self.cluster.proxy.add(Rule("silence", one, other))
        self.cluster.proxy.add(Rule("silence", other, one))

    async def do_silence_one_way(self, source, target):
        self.cluster.proxy.add(Rule("silence", source, target))

    async def do_delay(self, source, target, milliseconds):
        self.cluster.proxy.add(Rule("delay", source, target, milliseconds / 1000))

    async def do_heal(self):
        self.cluster.proxy.heal()

    async def do_fill_disk(self, name):
        for process in self.cluster.named(name):
            process.fill_disk()

    async def do_free_disk(self, name):
        for process in self.cluster.named(name):
            process.free_disk()

    async def do_lose_disk(self, name):
        self.cluster.lose_disk(name)
        process = self.cluster.processes[name]
        process.arguments = [one for one in process.arguments if one != "--bootstrap"]

    async def do_step_clock(self, name, milliseconds):
        self.cluster.step_clock(name, int(milliseconds))

    async def do_slow(self, worker, factor):
        await self.tell_upstream(worker, {"speed": factor})

    async def do_break_upstream(self, worker):
        await self.tell_upstream(worker, {"fail_share": 1.0})

    async def do_mend(self, worker):
        await self.tell_upstream(worker, {"fail_share": 0.0, "speed": 1.0})

    async def do_double_starts(self, worker):
        """Plant a fault: the upstream starts everything twice."""
        await self.tell_upstream(worker, {"doubling": True})

    async def tell_upstream(self, worker, changes):
        """Change how a stand-in behaves."""
        url = self.cluster.url(f"{worker}.upstream")
        async with self.cluster.session.post(f"{url}/v1/behave", json=changes) as response:
            if response.status != 200:
                raise UnavailableError(f"{worker} answered {response.status}")

    async def do_ask(self, text):
        status, answer = await self.cluster.ask(text)
        self.answers[text] = answer
        if status != 200:
            self.problems.append(f"{text!r} was refused: {answer.get('message')}")

    async def do_ask_refused(self, text):
        status, answer = await self.cluster.ask(text)
        self.answers[text] = answer
        if status == 200:
            self.problems.append(f"{text!r} was accepted")

    async def do_race(self, count, key):
        """Let operators change one job on the same version, several rounds, each sent twice."""
        for number in range(RACE_ROUNDS):
            await self.race_once(int(count), key, number)

    async def race_once(self, count, key, number):
        """Run one round of the race; exactly one operator must win."""
        _, answer = await self.cluster.ask(f"show jobs where key = {key}")
        version = answer["rows"][0]["version"]
        texts = [
            f"alter job {key} set max_running={1000 + 100 * number + one} if version {version}"
            for one in range(count)
        ]
        sends = []
        for text in texts:
            command = new_id(int(time.time() * 1000))
            sends += [self.cluster.ask(text, command), self.cluster.ask(text, command)]
        answers = [answer for _, answer in await asyncio.gather(*sends)]
        pairs = list(zip(answers[::2], answers[1::2], strict=True))
        won = [first for first, _ in pairs if first["ok"]]
        if len(won) != 1:
            self.problems.append(f"{len(won)} operators won on version {version}")
        if any(first["ok"] != again["ok"] for first, again in pairs):
            self.problems.append("a command sent again got another answer")
        lost = [first for first, _ in pairs if not first["ok"]]
        if any(not one["detail"].get("changed_by") for one in lost):
            self.problems.append("a losing operator was not told who changed the row")

    async def do_roll(self, kind):
        """Stop and start every process of a kind, one after the other."""
        names = [name for name in self.cluster.processes if name.startswith(f"{kind}-")]
        names = sorted({name.split(".")[0] for name in names})
        for name in names:
            await self.cluster.stop(name)
            self.cluster.start(name)
            await self.cluster.wait_for_health(name)
            await self.cluster.wait_for_workers(self.cluster.workers)
            self.say(f"{name} is back")

    # Versions

    async def watch_versions(self):
        """Note when the version that is in force at any process goes back."""
        names = [n for n in self.cluster.processes if n.startswith("entry") or n.endswith("agent")]
        while True:
            for name in names:
                await self.note_version(name)
            await asyncio.sleep(VERSION_INTERVAL_S)

    async def note_version(self, name):
        """Compare one process's version with the one before."""
        process = self.cluster.processes[name].process
        try:
            async with asyncio.timeout(0.5):
                async with self.cluster.session.get(f"{self.cluster.url(name)}/health") as reply:
                    version = (await reply.json())["configuration_version"]
        except (OSError, TimeoutError, ValueError):
            return
        key = (name, process.pid)
        if version < self.versions.get(key, 0):
            self.problems.append(f"{name} went back to version {version}")
        self.versions[key] = version

    # Verdict

    def judge(self):
        """Return the verdict."""
        journal = self.cluster.journal_lines()
        findings = check_promises(self.records, journal)
        problems = list(self.problems)
        if self.scenario.must_be_reported:
            if findings.promises_hold:
                problems.append("the checker reported no broken promise")
            return Verdict(not problems, problems, findings)
        if not findings.promises_hold:
            problems += findings.examples
        for expectation in self.scenario.expectations:
            problem = getattr(self, f"check_{expectation.kind}")(
                findings, journal, *expectation.arguments
            )
            if problem:
                problems.append(problem)
        return Verdict(not problems, problems, findings)

    def check_measure(self, findings, _, name, bound, percent):
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

    def starts_between(self, journal, worker, begin_s, end_s):
        """Return how many tasks started on a worker between two times."""
        low = self.began_wall_ms + begin_s * 1000
        high = self.began_wall_ms + end_s * 1000
        return sum(
            1
            for line in journal
            if line["event"] == "start"
            and line["worker"] == worker
            and low <= line["wall_ms"] <= high
        )

    def check_no_starts(self, _, journal, worker, begin_s, end_s):
        count = self.starts_between(journal, worker, begin_s, end_s)
        return f"{count} tasks started on {worker}" if count else None

    def check_some_starts(self, _, journal, worker, begin_s, end_s):
        count = self.starts_between(journal, worker, begin_s, end_s)
        return None if count else f"no task started on {worker}"

    def check_answer_holds(self, _, __, text, wanted):
        answer = self.answers.get(text)
        return None if wanted in str(answer) else f"the answer to {text!r} was {answer}"

    def check_no_reverts(self, *_):
        return None

    def check_violation(self, *_):
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
        Folder for settings, logs and journals; a temporary one otherwise.

    Returns
    -------
    Verdict
    """
    deployment = DEPLOYMENTS.get(scenario.cluster)
    if deployment is None:
        raise OnyxforkError(f"no cluster {scenario.cluster!r}; there are {', '.join(DEPLOYMENTS)}")
    options = scenario.options
    with TemporaryDirectory(prefix="onyxfork-scenario-") as temporary:
        folder = Path(keep or temporary)
        context = run_processes(
            deployment,
            folder,
            options.get("workers", DEFAULT_WORKERS),
            entries=options.get("entries", DEFAULT_ENTRIES),
            controls=options.get("controls", 1),
            cells=options.get("cells", 1),
        )
        async with context as cluster:
            run = ScenarioRun(scenario, cluster, Random(seed), out)
            run.began, run.began_wall_ms = time.monotonic(), int(time.time() * 1000)
            watching = asyncio.create_task(run.watch_versions())
            load = scenario.load or Load(0.001, 0.0)
            try:
                await asyncio.gather(run.run_load(load), run.run_events())
            finally:
                watching.cancel()
            verdict = run.judge()
            run.say(f"{'passed' if verdict.passed else 'FAILED'}: {verdict.findings.as_dict()}")
            for problem in verdict.problems:
                run.say(f"problem: {problem}")
            return verdict
