"""Attribution of a worker's crash to the runs that it held."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
from builders import make_order  # noqa: E402

from onyxfork.direct.crashes import Silence, describe_runs, find_exposed  # noqa: E402
from onyxfork.direct.runs import QUEUED, RUNNING, Run  # noqa: E402


def make_run(job, ordered_at, state=RUNNING, **order):
    return Run(make_order(job=job, **order), None, 0.0, 1.0, state, ordered_at=ordered_at)


def test_only_runs_ordered_before_the_silence_are_exposed_youngest_first():
    runs = [
        make_run("old", 1.0),
        make_run("young", 1.95),
        make_run("after", 2.01),
        make_run("queued", 0.0, QUEUED),
    ]
    exposed = find_exposed(runs, Silence(2.0, 2.0))
    assert [run.order.job for run in exposed] == ["young", "old"]


def test_run_ordered_during_an_uncertain_silence_is_exposed():
    run = make_run("job", 2.1)
    silence = Silence(2.0, 2.3)
    assert find_exposed([run], silence) == [run]
    assert silence.age_s(run) == 0.0


def test_description_is_bounded_and_has_ages():
    runs = [make_run("job", 1.5, index=index) for index in range(80)]
    texts = describe_runs(runs, Silence(2.0, 2.0))
    assert texts[0] == "job.0.0 run 1 age 500"
    assert len(texts) == 50
