"""The clock of an instance."""

import asyncio


def now() -> float:
    """Monotonic seconds, the clock of the event loop."""
    return asyncio.get_running_loop().time()
