"""Clock of the entry instance."""

import asyncio


def now() -> float:
    """Time of the event loop: seconds of a monotonic clock."""
    return asyncio.get_running_loop().time()
