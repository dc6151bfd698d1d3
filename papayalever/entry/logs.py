"""Structured log lines on standard output: one JSON object a line, bounded, never blocking."""

import os
import time
from collections import Counter

import logbook
import msgspec

LINES_PER_S = 120
"""Lines of one event in a second; more are counted. Six times an instance's usual requests."""


class JsonLines(logbook.Handler):
    """Writes records as JSON and drops what the reader does not take at once."""

    def __init__(self, descriptor: int, level: int = logbook.INFO) -> None:
        super().__init__(level=level)
        self._descriptor = descriptor
        self._second = 0
        self._written: Counter[str] = Counter()
        self.dropped: Counter[str] = Counter()
        """Lines left out, by event; reported with the next second's first line."""
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record within the budget of its event."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
            self._report_dropped()
        event = str(record.msg)
        self._written[event] += 1
        if self._written[event] > LINES_PER_S:
            self.dropped[event] += 1
            return
        self._write(record.level_name.lower(), record.channel, event, record.kwargs)

    def _report_dropped(self) -> None:
        if not self.dropped:
            return
        counts, self.dropped = dict(self.dropped), Counter()
        self._write("warning", "logs", "lines left out", {"count_by_event": counts})

    def _write(self, level: str, channel: str, event: str, fields: dict) -> None:
        line = {"at": round(time.time(), 4), "level": level, "part": channel, "event": event}
        data = self._rest + msgspec.json.encode(line | fields, enc_hook=str) + b"\n"
        self._rest = b""
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            # Nobody reads: the line is counted, and the request goes on.
            self.dropped[event] += 1
            return
        if written < len(data):
            # The rest of a line that was cut must follow before any other.
            self._rest = data[written:]
