"""The command that tells the story of a request from logs."""

import pathlib
import typing as t

import click

from ..core.request_trace import LogLine
from ..core.request_trace import RequestTrace
from ..core.request_trace import trace_request
from .options import command
from .output import print_json
from .output import print_note

PROGRESS_LINES = 500_000


def _lines(files: tuple[pathlib.Path, ...]) -> t.Iterator[str]:
    count = 0
    names: tuple[str, ...] = tuple(str(file) for file in files) or ("-",)
    for name in names:
        with click.open_file(name, encoding="utf-8", errors="replace") as stream:
            for line in stream:
                count += 1
                if count % PROGRESS_LINES == 0:
                    print_note(f"{count} lines read")
                yield line


def _describe(line: LogLine) -> str:
    parts = [f"{key}={value}" for key, value in line.value_by_key.items()]
    return f"{line.time}  {line.host}  {line.event}  {' '.join(parts)}"


def _print_notes(story: RequestTrace) -> None:
    if story.unreadable:
        print_note(f"{story.unreadable} lines were unreadable and left out")
    if story.left_out:
        print_note(f"the hosts left out {story.left_out} lines at their bound")


def register(group: click.Group) -> None:
    """Add the command to the tool."""

    @command(group, "explain")
    @click.argument("request")
    @click.argument("files", nargs=-1, type=click.Path(path_type=pathlib.Path))
    def explain(request: str, files: tuple[pathlib.Path, ...], as_json: bool) -> None:
        """Tell what became of a request, from logs or standard input."""
        story = trace_request(_lines(files), request)
        _print_notes(story)
        if not story.lines:
            raise click.ClickException(f"no line names the request {request}")
        if as_json:
            lines = []
            for line in story.lines:
                entry = {"time": line.time, "host": line.host, "event": line.event}
                lines.append(entry | line.value_by_key)
            print_json({"outcome": story.outcome, "lines": lines})
            return
        for line in story.lines:
            click.echo(_describe(line))
        click.echo(f"outcome: {story.outcome or 'none was logged'}")
