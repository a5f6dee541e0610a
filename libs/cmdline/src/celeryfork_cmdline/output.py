"""How commands print."""

import sys
from collections.abc import Sequence

from orjson import OPT_APPEND_NEWLINE, OPT_INDENT_2, OPT_NON_STR_KEYS, dumps


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    options = OPT_INDENT_2 | OPT_APPEND_NEWLINE | OPT_NON_STR_KEYS
    sys.stdout.write(dumps(value, default=str, option=options).decode())


def print_table(heads: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in columns as wide as their widest cell."""
    cells = [list(heads), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(heads))]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())
