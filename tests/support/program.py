"""An entry instance as a process of its own, for tests that look at it from outside."""

import os
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(eq=False)
class Program:
    """One entry instance as a process of its own."""

    name: str
    ip: str
    settings: Path
    log: Path
    process: subprocess.Popen | None = None
    processes: list[subprocess.Popen] = field(default_factory=list)
    """All that were started; the last one is `process`."""
    disturbed_at: float = 0.0
    must_answer: bool = True
    """Whether it ends no connection without an answer, since it was not killed or paused."""

    def start(self) -> None:
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "papayalever.platform.program"],
                env=os.environ | {"PAPAYALEVER_BOOT": str(self.settings)},
                stdout=log,
                stderr=log,
            )
        self.processes.append(self.process)

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def read_memory_mb(self) -> float:
        """The process's own memory, without pages of files."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / 1024
        raise ValueError(f"/proc/{self.process.pid}/status has no RssAnon")

    def count_descriptors(self) -> int:
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))
