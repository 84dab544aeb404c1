"""The command that reconstructs the course of a request from logs."""

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


def _read_lines(files: tuple[pathlib.Path, ...]) -> t.Iterator[str]:
    count = 0
    names: tuple[str, ...] = tuple(str(file) for file in files) or ("-",)
    for name in names:
        with click.open_file(name, encoding="utf-8", errors="replace") as stream:
            for line in stream:
                count += 1
                if count % PROGRESS_LINES == 0:
                    print_note(f"{count} lines read")
                yield line


def _format_line(line: LogLine) -> str:
    parts = [f"{key}={value}" for key, value in line.value_by_key.items()]
    return f"{line.time}  {line.host}  {line.event}  {' '.join(parts)}"


def _print_notes(trace: RequestTrace) -> None:
    if trace.unreadable:
        print_note(f"{trace.unreadable} lines could not be parsed and were skipped")
    if trace.left_out:
        print_note(
            f"the hosts dropped {trace.left_out} log lines over their log budget"
        )


def register(group: click.Group) -> None:
    """Add the command to a group."""

    @command(group, "explain")
    @click.argument("request")
    @click.argument("files", nargs=-1, type=click.Path(path_type=pathlib.Path))
    def explain(request: str, files: tuple[pathlib.Path, ...], as_json: bool) -> None:
        """Print the events and outcome of a request, from logs or standard input."""
        trace = trace_request(_read_lines(files), request)
        _print_notes(trace)
        if not trace.lines:
            raise click.ClickException(f"no log line names the request {request}")
        if as_json:
            lines = []
            for line in trace.lines:
                entry = {"time": line.time, "host": line.host, "event": line.event}
                lines.append(entry | line.value_by_key)
            print_json({"outcome": trace.outcome, "lines": lines})
            return
        for line in trace.lines:
            click.echo(_format_line(line))
        click.echo(f"outcome: {trace.outcome or 'none was logged'}")
