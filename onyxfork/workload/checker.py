"""Check the delivery guarantees from the journals of upstreams and the records of callers.

The result depends only on which tasks upstreams started and which answers callers received, never
on timing.
"""

from collections import Counter, defaultdict

from attrs import asdict, define, field

from onyxfork.workload.caller import is_correct

__all__ = ["Findings", "check_guarantees"]


@define
class Findings:
    """Counts of outcomes and violations, and the first examples of them.

    Parameters
    ----------
    double_starts : int
        Tasks that started more than once.
    partial_answers : int
        Answers with state ``complete`` whose outputs differ from those the upstreams compute.
    false_not_run : int
        Submissions answered ``not_run`` although one of their tasks started.
    lost_jobs : int
        Jobs whose callers waited but received no answer.
    unknown_starts : int
        Submissions of which a task started although no caller submitted them.
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
    def guarantees_hold(self):
        """Whether no guarantee was violated; lost jobs are permitted."""
        violations = (
            self.double_starts + self.partial_answers + self.false_not_run + self.unknown_starts
        )
        return violations == 0

    def add_example(self, text):
        """Store an example of a violation or a lost job, unless there are 10 already."""
        if len(self.examples) < 10:
            self.examples.append(text)

    def as_dict(self):
        """Return all fields by name."""
        return asdict(self)


def check_guarantees(records, journal):
    """Check the answers that callers received against the tasks that upstreams started.

    Parameters
    ----------
    records : list of CallerRecord
        Several may share a submission, if it was sent to two entries or resubmitted.
    journal : list of dict
        Lines of the journals of all upstreams.

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
        findings.add_example(f"a task of {submission} started but no caller submitted the job")
    for submission, submission_records in by_submission.items():
        check_submission(findings, submission, submission_records, submission in started)
    return findings


def check_starts(findings, starts):
    """Count tasks that started more than once."""
    for (submission, index), count in starts.items():
        if count > 1:
            findings.double_starts += 1
            findings.add_example(f"task {index} of {submission} started {count} times")


def check_submission(findings, submission, records, started):
    """Count the outcome of one submission and its violations.

    Parameters
    ----------
    findings : Findings
    submission : str
    records : list of CallerRecord
        All answers to the submission. ``complete`` counts before ``failed``, and that before
        ``not_run``.
    started : bool
        Whether an upstream started any of its tasks.
    """
    states = {record.state for record in records}
    findings.jobs_submitted += 1
    for record in records:
        if record.state == "complete" and not is_correct(record):
            findings.partial_answers += 1
            findings.add_example(
                f"{submission} was answered complete with missing or wrong outputs"
            )
    if "complete" in states:
        findings.jobs_complete += 1
    elif "failed" in states:
        findings.jobs_failed += 1
    elif "not_run" in states:
        findings.jobs_not_run += 1
        if started:
            findings.false_not_run += 1
            findings.add_example(f"{submission} was answered not_run but a task of it started")
    else:
        findings.lost_jobs += 1
        findings.add_example(f"no caller of {submission} received an answer")
