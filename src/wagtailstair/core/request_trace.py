"""The story of one request, put together from the logs of any hosts."""

import dataclasses
import shlex
import typing as t

CONTEXT_EVENTS = frozenset(
    {
        "lists_taken",
        "upstream_changed",
        "upstream_gone",
        "engine_suspected",
        "store_lost",
        "store_regained",
        "table_relayed",
        "draining",
        "started",
        "handler_failed",
    }
)
"""Events that change what a host believes, told beside the request's own."""


@dataclasses.dataclass(slots=True, frozen=True)
class LogLine:
    """One event: its keys in the order in which they were written."""

    time: str
    host: str
    event: str
    value_by_key: dict[str, str]


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """The lines that tell of a request, in order, and what was left out.

    ``unreadable``: lines that are no events; ``left_out``: events that a host
    did not write, as its bound was reached.
    """

    lines: list[LogLine]
    unreadable: int = 0
    left_out: int = 0

    @property
    def outcome(self) -> str:
        """Return the outcome that was logged last, empty if none was."""
        for line in reversed(self.lines):
            if line.event == "request_ended":
                return line.value_by_key.get("outcome", "")
        return ""


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line, ``None`` if it holds none."""
    start = text.find("time=")
    if start < 0:
        return None
    try:
        words = shlex.split(text[start:], posix=True)
    except ValueError:  # a line that was cut inside quotes
        return None
    values: dict[str, str] = {}
    for word in words:
        key, found, value = word.partition("=")
        if found:
            values[key] = value
    event = values.pop("event", "")
    if not event or "host" not in values:
        return None
    return LogLine(values.pop("time", ""), values.pop("host"), event, values)


def trace_request(lines: t.Iterable[str], request: str) -> RequestTrace:
    """Return the story of a request.

    Between its first and last event, changes of what its hosts believed are
    told as well, where they name an upstream of the story or none.
    """
    story = RequestTrace([])
    own: list[LogLine] = []
    context: list[LogLine] = []
    for text in lines:
        line = parse_line(text)
        if line is None:
            story.unreadable += bool(text.strip())
            continue
        left_out = line.value_by_key.get("left_out", "0")
        story.left_out += int(left_out) if left_out.isdigit() else 0
        if line.value_by_key.get("request") == request:
            own.append(line)
        elif line.event in CONTEXT_EVENTS:
            context.append(line)
    if not own:
        return story
    hosts = {line.host for line in own}
    first = min(line.time for line in own)
    last = max(line.time for line in own)
    named = {line.value_by_key.get("replica", "") for line in own}
    for line in context:
        replica = line.value_by_key.get("replica")
        if line.host not in hosts or not first <= line.time <= last:
            continue
        if replica is None or replica in named or line.event == "engine_suspected":
            own.append(line)
    story.lines = sorted(own, key=lambda line: line.time)
    return story
