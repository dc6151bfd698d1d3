"""Memory that messages take in one instance: counted before it is taken, given back at every end.

Load pattern: callers send large bodies and heads of many lines, or leave their responses unread,
on more connections than the machine has memory for. Those that hold much and do not go on are
closed first, and part of the memory is kept for small requests, and part for responses.
"""

import ctypes
import mmap
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

PROCESS_MB = 48.0
"""Memory of the process itself: code, configuration, lists of servers and messages of the store."""
MESSAGE_SHARE = 0.7
"""Share of the other memory that may be counted as taken by messages; the rest is what the
allocator takes in addition, and copies that exist for a moment."""
MIN_MESSAGE_MB = 8.0
"""Memory for messages on a machine that is smaller than the process."""
SMALL_BODY_BYTES = 256 * 1024
"""Bodies up to this size are taken while any memory for them is left."""
MAX_SHARE_OF_FREE = 0.5
"""Share of the free memory that a larger response may take, so that endless ones leave room for
the others."""
LARGE_REQUEST_SHARE = 0.7
"""Share of the memory for messages that callers who hold more than `SMALL_BODY_BYTES` may fill."""
REQUEST_SHARE = 0.97
"""Share of it that all requests may fill; the rest is kept for responses."""
RESPONSE_SHARE = 0.5
"""Share of it that large responses may fill while they arrive."""
TINY_RESPONSE_BYTES = 8 * 1024
"""Responses up to this size are kept while any memory is left: the answers of most requests."""
TRIM_BYTES = 8 * 1024 * 1024
"""Memory that must have been given back since the last time before the allocator is asked to."""
MARGIN_SHARE = 0.12
"""Share of the machine's memory that stays free of the process and of messages."""


def _close_nobody(_size: int) -> None:
    """Make no room."""


@dataclass(slots=True)
class MessageMemory:
    """Bytes that one instance holds for messages of callers and of servers, and their limit."""

    limit: int
    response_share: float = 1.0
    """Share of it that large responses may fill while they arrive."""
    used: int = 0
    responses_used: int = 0
    """The part of it that belongs to responses while they arrive."""
    make_room: Callable[[int], None] = field(default=_close_nobody)
    """Closes callers that hold memory and do not go on; gets how many bytes are needed."""

    @property
    def is_exceeded(self) -> bool:
        """Whether messages take more than their limit."""
        return self.used > self.limit

    def may_grow(self, body_bytes: int) -> bool:
        """Whether a response body that has grown to ``body_bytes``, all counted, may be kept."""
        if self._may_keep(body_bytes):
            return True
        self.make_room(body_bytes)
        return self._may_keep(body_bytes)

    def hold_response(self, size: int) -> None:
        """Count bytes of a response that have arrived, or take off those of one that has ended."""
        self.used += size
        self.responses_used += size

    def take(self, size: int, holder_bytes: int) -> bool:
        """Count ``size`` more bytes of a caller that then holds ``holder_bytes``, if they fit."""
        if not self.may_take(size, holder_bytes):
            return False
        self.used += size
        return True

    def may_take(self, size: int, holder_bytes: int) -> bool:
        """Whether a caller may take ``size`` more bytes, if need be in place of stalled ones."""
        if self._fits(size, holder_bytes):
            return True
        self.make_room(size)
        return self._fits(size, holder_bytes)

    def _fits(self, size: int, holder_bytes: int) -> bool:
        share = REQUEST_SHARE if holder_bytes <= SMALL_BODY_BYTES else LARGE_REQUEST_SHARE
        return self.used + size <= self.limit * share

    def _may_keep(self, body_bytes: int) -> bool:
        if self.is_exceeded:
            return False
        if body_bytes <= TINY_RESPONSE_BYTES:
            return True
        if body_bytes <= SMALL_BODY_BYTES:
            # Halfway between what large responses may fill and all.
            return self.responses_used <= self.limit * (1 + self.response_share) / 2
        most = self.limit * self.response_share
        free = min(self.limit - self.used, most - self.responses_used) + body_bytes
        return body_bytes <= free * MAX_SHARE_OF_FREE


def compute_limit(memory_mb: float) -> int:
    """Bytes for messages on a machine with ``memory_mb``."""
    return int(max(MIN_MESSAGE_MB, (memory_mb - PROCESS_MB) * MESSAGE_SHARE) * 1024 * 1024)


def adapt_limit(memory_mb: float, own_bytes: int, used: int) -> int:
    """Bytes for messages if the process has ``own_bytes``, of which messages count ``used``.

    Large configurations and memory that the allocator keeps leave less than `compute_limit`.
    """
    total = memory_mb * 1024 * 1024
    left = int(total * (1 - MARGIN_SHARE)) - (own_bytes - used)
    return max(int(MIN_MESSAGE_MB * 1024 * 1024), min(compute_limit(memory_mb), left))


def read_own_bytes() -> int:
    """Anonymous memory of this process in bytes, 0 if the system does not report it."""
    try:
        fields = Path("/proc/self/statm").read_text().split()
        return (int(fields[1]) - int(fields[2])) * mmap.PAGESIZE
    except (OSError, ValueError, IndexError):
        # Without a report the static limit holds.
        return 0


def trim_heap() -> bool:
    """Give free memory of the heap back to the system; returns whether the C library can do so."""
    try:
        ctypes.CDLL(None).malloc_trim(0)
    except (OSError, AttributeError):
        # Only the GNU C library has this call.
        return False
    return True


@dataclass(slots=True)
class HeapTrimmer:
    """Decides when memory that messages gave back is worth a walk through the heap."""

    most_used: int = 0
    """Most memory of messages since the last trim."""

    def must_trim(self, used: int) -> bool:
        """Whether to trim now; called at regular intervals."""
        self.most_used = max(self.most_used, used)
        if self.most_used - used < TRIM_BYTES:
            return False
        self.most_used = used
        return True
