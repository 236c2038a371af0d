"""One checker of the brief's promises, from journals of upstreams and records of callers.

The verdict rests on what upstreams were told to start and what callers were answered, never on
timing.
"""

from collections import Counter, defaultdict

from attrs import asdict, define, field

from onyxfork.workload.caller import is_whole

__all__ = ["Findings", "check_promises"]


@define
class Findings:
    """What was found, as counts and as the first examples.

    Parameters
    ----------
    double_starts : int
        Tasks that started more than once.
    partial_answers : int
        Answers that say complete and are not exactly what the upstreams compute.
    false_not_run : int
        Submissions answered "not run" of which a task started.
    lost_jobs : int
        Jobs whose caller still waited and got no answer.
    """

    jobs_submitted: int = 0
    jobs_complete: int = 0
    jobs_failed: int = 0
    jobs_not_run: int = 0
    double_starts: int = 0
    partial_answers: int = 0
    false_not_run: int = 0
    lost_jobs: int = 0
    unknown_starts: int = 0
    examples: list = field(factory=list)

    @property
    def promises_hold(self):
        """Whether nothing that must always hold was broken."""
        broken = (
            self.double_starts + self.partial_answers + self.false_not_run + self.unknown_starts
        )
        return broken == 0

    def note(self, text):
        """Keep an example of what was found."""
        if len(self.examples) < 10:
            self.examples.append(text)

    def as_dict(self):
        """Return the counts by name."""
        return asdict(self)


def check_promises(records, journal):
    """Check what callers were answered against what upstreams started.

    Parameters
    ----------
    records : list of CallerRecord
        Several may share a submission: the balancer sent it twice, or it was resubmitted.
    journal : list of dict
        Lines of all upstreams.

    Returns
    -------
    Findings
    """
    findings = Findings()
    starts = Counter()
    for line in journal:
        if line["event"] == "start":
            starts[line["submission"], line["task"]] += 1
    check_starts(findings, starts)
    started = {submission for submission, _ in starts}
    by_submission = defaultdict(list)
    for record in records:
        by_submission[record.submission].append(record)
    for submission in started - set(by_submission):
        findings.unknown_starts += 1
        findings.note(f"{submission} started but was never submitted")
    for submission, group in by_submission.items():
        check_submission(findings, submission, group, submission in started)
    return findings


def check_starts(findings, starts):
    """Count tasks that started more than once."""
    for (submission, index), count in starts.items():
        if count > 1:
            findings.double_starts += 1
            findings.note(f"task {index} of {submission} started {count} times")


def check_submission(findings, submission, group, started):
    """Count how one submission was answered."""
    states = {record.state for record in group}
    findings.jobs_submitted += 1
    for record in group:
        if record.state == "complete" and not is_whole(record):
            findings.partial_answers += 1
            findings.note(f"{submission} was answered in part or wrongly")
    if "complete" in states:
        findings.jobs_complete += 1
    elif "failed" in states:
        findings.jobs_failed += 1
    elif "not_run" in states:
        findings.jobs_not_run += 1
        if started:
            findings.false_not_run += 1
            findings.note(f"{submission} was answered not run but started")
    else:
        findings.lost_jobs += 1
        findings.note(f"{submission} got no answer")
