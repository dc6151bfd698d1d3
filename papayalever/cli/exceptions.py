"""Errors of commands."""

from ..status import ExitStatus


class CommandError(Exception):
    """A failed command; its message is one sentence that names the remedy."""

    def __init__(self, text: str, exit_status: ExitStatus) -> None:
        super().__init__(text)
        self.exit_status = exit_status
