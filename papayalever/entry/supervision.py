"""Keeps background tasks running when an unexpected error ends them."""

import asyncio
from collections.abc import Awaitable, Callable

import logbook

RESTART_PAUSE_S = 0.5
"""Pause before a failed task starts again: short against the staleness bounds of 2 s and more, and
long enough that a lasting error fills neither the log nor the processor."""

log = logbook.Logger("tasks")


async def supervise(name: str, work: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns or is cancelled; start it again after an unexpected error.

    A task that ended silently would leave the instance serving from state that grows old.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            log.error("task failed, starting it again", task=name, error=repr(error))
        await asyncio.sleep(RESTART_PAUSE_S)
