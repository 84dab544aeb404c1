"""Output of the commands: text tables or JSON on stdout, notes on stderr."""

import json
import typing as t

import click

COLUMN_GAP = "  "


def print_json(value: object) -> None:
    """Print a value as indented JSON."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(titles: t.Sequence[str], rows: t.Iterable[t.Sequence[object]]) -> None:
    """Print rows in aligned columns under their titles."""
    lines = [tuple(titles)]
    for row in rows:
        lines.append(tuple(str(cell) for cell in row))
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        click.echo(COLUMN_GAP.join(cells).rstrip())


def print_note(text: str) -> None:
    """Print a line on standard error, apart from the command's result."""
    click.echo(text, err=True)
