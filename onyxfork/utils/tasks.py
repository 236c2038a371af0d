"""Ownership of asyncio tasks, and steps of endless loops that may fail."""

import asyncio
from contextlib import asynccontextmanager, contextmanager

__all__ = ["logged_failures", "owned_tasks"]


@contextmanager
def logged_failures(log, what):
    """Log an unexpected exception and continue after the block; for the steps of endless loops.

    Parameters
    ----------
    log : logging.Logger
    what : str
        What failed, for the log line.
    """
    try:
        yield
    except Exception:
        log.exception(what)


@asynccontextmanager
async def owned_tasks():
    """Yield a function that starts tasks; cancel and await them when the context is left.

    They are cancelled in the order in which they were started.

    Yields
    ------
    callable
        ``spawn(coroutine)`` returns the asyncio task. No reference to a finished task is kept; the
        exception of a failed one is passed to the event loop's exception handler.
    """
    # A dict keeps the order; that of a set of tasks follows their addresses in memory.
    tasks = {}

    def on_done(task):
        tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            context = {"message": "background task failed", "exception": task.exception()}
            task.get_loop().call_exception_handler(context)

    def spawn(coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        tasks[task] = None
        task.add_done_callback(on_done)
        return task

    try:
        yield spawn
    finally:
        pending = list(tasks)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
