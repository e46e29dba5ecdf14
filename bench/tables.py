"""Prints the rows of a benchmark as a table and as JSON."""

import dataclasses
import json


def print_rows(rows) -> None:
    """Print dataclass rows with a column for each field, then as JSON."""
    columns = [field.name for field in dataclasses.fields(rows[0])]
    cells = [
        [_format(getattr(row, column)) for column in columns] for row in rows
    ]
    widths = [
        max(len(line[i]) for line in [columns, *cells])
        for i in range(len(columns))
    ]
    for line in [columns, *cells]:
        print(
            '  '.join(
                cell.rjust(width)
                for cell, width in zip(line, widths, strict=True)
            )
        )
    for row in rows:
        print(json.dumps(dataclasses.asdict(row)))


def _format(value) -> str:
    return f'{value:.4g}' if isinstance(value, float) else str(value)
