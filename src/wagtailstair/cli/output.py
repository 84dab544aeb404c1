"""What the commands print: tables for people, JSON for programs."""

import json
import typing as t

import click

GAP = "  "


def print_json(value: object) -> None:
    """Print one JSON value."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(titles: t.Sequence[str], rows: t.Iterable[t.Sequence[object]]) -> None:
    """Print rows in columns under their titles."""
    lines = [tuple(titles)]
    for row in rows:
        lines.append(tuple(str(cell) for cell in row))
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        click.echo(GAP.join(cells).rstrip())


def print_note(text: str) -> None:
    """Print a line for a person, apart from the command's result."""
    click.echo(text, err=True)
