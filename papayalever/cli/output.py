"""Output formats of the commands."""

import json
from typing import Any

from ..context import Environment


def print_json(env: Environment, document: Any) -> None:
    """Print a document as JSON."""
    env.print(json.dumps(document, indent=2, sort_keys=True))


def print_table(env: Environment, headers: list[str], rows: list[list[Any]]) -> None:
    """Print rows in aligned columns."""
    cells = [headers, *[[str(value) for value in row] for row in rows]]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    for row in cells:
        line = "  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True))
        env.print(line.rstrip())
