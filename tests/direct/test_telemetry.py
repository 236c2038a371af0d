"""Counters, histograms and gauges in the text format of Prometheus."""

from onyxfork.direct.telemetry import Telemetry


def render(telemetry):
    text, content_type = telemetry.render()
    assert content_type.startswith("text/plain")
    return text.decode().splitlines()


def test_counters_histograms_and_gauges_are_rendered_with_their_labels():
    telemetry = Telemetry("entry", "e1", "a")
    telemetry.count("jobs", queue="q", state="completed")
    telemetry.count("jobs", queue="q", state="completed")
    for value in (0.5, 150.0, 20000.0):
        telemetry.observe("job_ms", value, queue="q")
    telemetry.gauge("jobs_inside", lambda: 3)
    lines = render(telemetry)
    role_label = 'role="entry"'
    counter = next(line for line in lines if line.startswith("onyxfork_jobs_total"))
    assert role_label in counter and counter.endswith(" 2.0")
    buckets = [line for line in lines if line.startswith("onyxfork_job_ms_bucket")]
    assert any('le="200"' in line and line.endswith(" 2.0") for line in buckets)
    assert any('le="+Inf"' in line and line.endswith(" 3.0") for line in buckets)
    gauge = next(line for line in lines if line.startswith("onyxfork_jobs_inside"))
    assert gauge.endswith(" 3.0")


def test_gauges_of_one_name_differ_by_their_labels():
    telemetry = Telemetry("entry", "e1", "a")
    for priority in range(2):
        telemetry.gauge("share_held", lambda value=priority: value / 2, priority=priority)
    lines = [line for line in render(telemetry) if line.startswith("onyxfork_share_held")]
    assert ['priority="1"' in line for line in lines] == [False, True]
    assert [line.split()[-1] for line in lines] == ["0.0", "0.5"]
