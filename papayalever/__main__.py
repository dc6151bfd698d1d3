"""Run the program as ``python -m papayalever``."""

import sys

from .core import main


def run() -> None:
    """Entry point of the console script."""
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    run()
