"""Owned tasks end in a known order."""

import asyncio

import pytest

from onyxfork.utils import owned_tasks


async def test_tasks_are_cancelled_in_the_order_in_which_they_were_started():
    """Guards against plays on simulated time that differ from run to run: tasks that draw random
    numbers when they are cancelled drew them in the order of their addresses in memory."""
    ended = []

    async def run(number):
        try:
            await asyncio.Event().wait()
        finally:
            ended.append(number)

    async with owned_tasks() as spawn:
        for number in range(100):
            spawn(run(number))
        await asyncio.sleep(0)
    assert ended == list(range(100))


async def test_finished_tasks_are_not_kept_and_failures_are_reported(caplog):
    async def fail():
        raise ValueError("planted")

    async with owned_tasks() as spawn:
        task = spawn(fail())
        with pytest.raises(ValueError):
            await task
    assert "background task failed" in caplog.text
