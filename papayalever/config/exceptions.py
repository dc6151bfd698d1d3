"""Errors of the configuration layer."""

from dataclasses import dataclass


class ConfigError(Exception):
    """Base of the configuration's errors."""


@dataclass(frozen=True)
class Fault:
    """One fault in a file: ``line`` counts from 1, ``field`` is a dotted path."""

    line: int
    field: str
    problem: str

    def __str__(self) -> str:
        return f"line {self.line}: {self.field}: {self.problem}"


class InvalidConfigError(ConfigError):
    """A file that can not be put in force; ``faults`` lists every reason."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults
