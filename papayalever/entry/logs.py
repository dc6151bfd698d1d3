"""Non-blocking, rate-limited logging to standard output, one JSON object per line."""

import os
import time
from collections import Counter

import logbook
import msgspec

MAX_LINES_PER_S = 120
"""Rate limit per event, six times an instance's usual request rate; excess lines are counted."""


class JsonLogHandler(logbook.Handler):
    """Writes records as JSON and drops lines that would block."""

    def __init__(self, fd: int, level: int = logbook.INFO) -> None:
        super().__init__(level=level)
        self._fd = fd
        self._second = 0
        self._written_by_event: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        """Dropped lines by event; logged before the first line of the next second."""
        self._unwritten = b""
        os.set_blocking(fd, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record unless its event exceeds the rate limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written_by_event.clear()
            self._report_dropped()
        event = str(record.msg)
        self._written_by_event[event] += 1
        if self._written_by_event[event] > MAX_LINES_PER_S:
            self.dropped[event] += 1
            return
        self._write(record.level_name.lower(), record.channel, event, record.kwargs)

    def _report_dropped(self) -> None:
        if not self.dropped:
            return
        counts, self.dropped = dict(self.dropped), Counter()
        self._write("warning", "logs", "log lines dropped", {"count_by_event": counts})

    def _write(self, level: str, channel: str, event: str, fields: dict) -> None:
        line = {"at": round(time.time(), 4), "level": level, "part": channel, "event": event}
        data = self._unwritten + msgspec.json.encode(line | fields, enc_hook=str) + b"\n"
        self._unwritten = b""
        try:
            written = os.write(self._fd, data)
        except OSError:
            # The pipe is full or closed: count the line, and do not block the request.
            self.dropped[event] += 1
            return
        if written < len(data):
            # Write the rest of a partially written line before any other line.
            self._unwritten = data[written:]
