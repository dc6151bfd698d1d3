"""Errors about configurations."""

from dataclasses import dataclass


class ConfigError(Exception):
    """Base class of the errors about configurations."""


@dataclass(frozen=True)
class Fault:
    """One fault in a file; lines count from 1, and ``field`` is a dotted path."""

    line: int
    field: str
    problem: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.field}: {self.problem}"


class InvalidConfigError(ConfigError):
    """The file cannot be put in force; ``faults`` lists all reasons."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults
