"""Run a whole deployment in one process on loopback."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from tempfile import TemporaryDirectory

import aiohttp
from attrs import define, field

from onyxfork.daemons.agent import Agent, run_agent
from onyxfork.daemons.control import run_control
from onyxfork.daemons.entry import Entry, run_entry
from onyxfork.errors import UnavailableError
from onyxfork.settings import Address
from onyxfork.upstreams.standin import StandInUpstream, run_upstream
from onyxfork.workload.deployment import (
    DEMO_TOKEN,
    LOOPBACK,
    agent_settings,
    control_settings,
    entry_settings,
    free_port,
    setup_statements,
    upstream_settings,
)

__all__ = ["EmbeddedDeployment", "run_embedded", "ask_control", "wait_until"]

READY_TIMEOUT_S = 20.0


@define
class EmbeddedDeployment:
    """A deployment whose entries, agents, upstreams and control run in this process."""

    deployment: object
    control: object = None
    entries: list = field(factory=list)
    agents: list = field(factory=list)
    upstreams: list = field(factory=list)
    session: object = None

    def entry_url(self, number):
        """Return the URL of an entry; numbers beyond the last entry wrap around."""
        return f"http://{LOOPBACK}:{self.entries[number % len(self.entries)].http_port}"

    @property
    def control_url(self):
        """The URL of the control instance."""
        return f"http://{LOOPBACK}:{self.control.http_port}"

    def serving_slots(self):
        """Return the number of slots available to the current owners of cells."""
        return sum(
            owner.state.index.total_slots
            for entry in self.entries
            for owner in entry.owners.values()
        )


async def wait_until(condition, timeout_s, description):
    """Poll until `condition()` is true.

    Raises
    ------
    UnavailableError
        If `condition()` is still false after `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while not condition():
        if loop.time() > deadline:
            raise UnavailableError(f"{description}: not reached within {timeout_s:g} s")
        await asyncio.sleep(0.02)


async def ask_control(session, url, text, token=DEMO_TOKEN, command=None):
    """Send one statement to a control instance and return HTTP status and answer."""
    headers = {"Authorization": f"Bearer {token}"}
    body = {"text": text}
    if command is not None:
        body["command"] = command
    async with session.post(f"{url}/v1/ask", json=body, headers=headers) as response:
        return response.status, await response.json()


async def create_configuration(embedded):
    """Create the deployment's organisation, service and jobs, with retries until a timeout."""
    for statement in setup_statements(embedded.deployment):
        deadline = asyncio.get_running_loop().time() + READY_TIMEOUT_S
        while True:
            status, answer = await ask_control(embedded.session, embedded.control_url, statement)
            if status == 200 or answer.get("code") == "exists":
                break
            if asyncio.get_running_loop().time() > deadline or status == 400:
                raise UnavailableError(f"{statement}: {answer}")
            await asyncio.sleep(0.05)


@asynccontextmanager
async def run_embedded(deployment, entries=2, workers=None, policy="late-binding", journal=None):
    """Run every role of a deployment in this process.

    Parameters
    ----------
    deployment : Deployment
    entries : int
    workers : int, optional
        All workers of the deployment by default.
    policy : str
    journal : file object, optional
        Receives the starts and ends of all tasks.

    Yields
    ------
    EmbeddedDeployment
        Once all slots are available to owners and every entry has the configuration.
    """
    embedded = EmbeddedDeployment(deployment)
    count = deployment.workers if workers is None else workers
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(TemporaryDirectory(prefix="onyxfork-")))
        address = Address(LOOPBACK, free_port())
        settings = control_settings(deployment, 0, {"control-1": address}, folder / "control-1")
        embedded.control, _ = await stack.enter_async_context(run_control(settings, True))
        embedded.session = await stack.enter_async_context(aiohttp.ClientSession())
        for number in range(count):
            agent = Agent.from_config(agent_settings(deployment, number, [address]))
            embedded.agents.append(await stack.enter_async_context(run_agent(agent)))
            agent_address = Address(LOOPBACK, agent.http_port)
            upstream = StandInUpstream.from_config(
                upstream_settings(deployment, number, agent_address), journal
            )
            await stack.enter_async_context(run_upstream(upstream))
            embedded.upstreams.append(upstream)
        for number in range(entries):
            entry = Entry.from_config(entry_settings(deployment, number, [address], policy))
            embedded.entries.append(await stack.enter_async_context(run_entry(entry)))
        await create_configuration(embedded)
        slots = count * deployment.slots
        ready = lambda: (  # noqa: E731
            embedded.serving_slots() == slots and has_configuration(embedded)
        )
        await wait_until(ready, READY_TIMEOUT_S, "every worker led")
        yield embedded


def has_configuration(embedded):
    """Return whether every entry has received the jobs of the deployment."""
    expected_jobs = len(embedded.deployment.jobs)
    return all(
        len(entry.control.catalogue.tables["job"]) >= expected_jobs for entry in embedded.entries
    )
