"""Entry point of the program."""

from collections.abc import Sequence

import typer

from .cli.definition import build_app
from .cli.exceptions import CommandError
from .context import Environment
from .status import ExitStatus

# Typer does not export its usage error; it is the first base of the exported BadParameter.
USAGE_ERROR = typer.BadParameter.__mro__[1]


def main(args: Sequence[str], env: Environment | None = None) -> ExitStatus:
    """Run one command and return its exit status."""
    env = env or Environment()
    try:
        result = build_app(env)(list(args), standalone_mode=False, prog_name="papayalever")
    except CommandError as error:
        env.print_error(str(error))
        return error.exit_status
    except USAGE_ERROR as error:
        env.print_error(f"{error.format_message()} See papayalever --help.")
        return ExitStatus.USAGE
    except (KeyboardInterrupt, typer.Abort):
        return ExitStatus.INTERRUPTED
    return result if isinstance(result, ExitStatus) else ExitStatus.SUCCESS
