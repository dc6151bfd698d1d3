"""The process environment as one object, so that tests can run commands in-process."""

import os
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TextIO


@dataclass
class Environment:
    """Streams, environment variables and clock that a command uses."""

    stdout: TextIO = field(default_factory=lambda: sys.stdout)
    stderr: TextIO = field(default_factory=lambda: sys.stderr)
    variables: Mapping[str, str] = field(default_factory=lambda: os.environ)
    now: Callable[[], float] = time.time
    """Wall clock in seconds since the Unix epoch."""

    def print(self, text: str) -> None:
        """Write one line to standard output."""
        self.stdout.write(text + "\n")
        self.stdout.flush()

    def print_error(self, text: str) -> None:
        """Write one line to standard error."""
        self.stderr.write(text + "\n")
        self.stderr.flush()
