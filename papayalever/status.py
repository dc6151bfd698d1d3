"""Exit statuses of the commands."""

from enum import IntEnum, unique


@unique
class ExitStatus(IntEnum):
    """Exit status of one command, documented in docs/OPERATORS.md."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    NOT_ACCEPTED = 5
    UNKNOWN_OUTCOME = 6
    INTERRUPTED = 130
