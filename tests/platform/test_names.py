"""The platform's names are used in the adapter only."""

import re
from pathlib import Path

import onyxfork

PACKAGE = Path(onyxfork.__file__).parent
NAMES = (
    "untilMs fencingToken lastSeen waitMs clockMs drainRemainingMs coldLeftMs heartbeatUrl "
    "pathPrefix targetLatencyMs timeoutMs rejectsOverload healthPath maxConns bestEffort "
    "estimatedMs memMb dependsOn antiAffinity longRunning repeatCount checkpointing "
    "internalPorts faultTolerance cloudApi holdMaxMs graceS seedLagS dataDir ONYXFORK_BOOT "
    "run-start run-stop /hold /config /instances X-Deadline X-Expect-Instance X-Fencing-Token"
).split()
PATTERN = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in NAMES))


def test_no_module_outside_the_adapter_uses_the_platforms_names():
    found = [
        f"{path.relative_to(PACKAGE)}: {match.group()}"
        for path in PACKAGE.rglob("*.py")
        if "platform" not in path.relative_to(PACKAGE).parts
        for match in PATTERN.finditer(path.read_text())
    ]
    assert found == []


def test_adapter_uses_the_platforms_names():
    texts = [path.read_text() for path in (PACKAGE / "platform").glob("*.py")]
    assert any(PATTERN.search(text) for text in texts)
