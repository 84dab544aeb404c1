"""The log events of one request, collected from the logs of several hosts."""

import dataclasses
import shlex
import typing as t

CONTEXT_EVENTS = frozenset(
    {
        "lists_taken",
        "upstream_changed",
        "upstream_gone",
        "upstream_held_back",
        "upstream_leaves",
        "upstream_paused",
        "engine_suspected",
        "engine_crashed",
        "part_quarantined",
        "store_lost",
        "store_regained",
        "store_returned",
        "table_relayed",
        "draining",
        "started",
        "handler_failed",
    }
)
"""Events of host state, which are shown with those of the request."""


@dataclasses.dataclass(slots=True, frozen=True)
class LogLine:
    """One log event, with its keys in written order."""

    time: str
    host: str
    event: str
    value_by_key: dict[str, str]


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """The events of a request in time order, and the number of missing ones.

    ``unreadable``: lines that are not events; ``left_out``: events that a host
    dropped because its log budget was spent.
    """

    lines: list[LogLine]
    unreadable: int = 0
    left_out: int = 0

    @property
    def outcome(self) -> str:
        """Return the last outcome that was logged, or an empty string."""
        for line in reversed(self.lines):
            if line.event == "request_ended":
                return line.value_by_key.get("outcome", "")
        return ""


def parse_line(text: str) -> LogLine | None:
    """Return the event of a log line, ``None`` if the line is not an event."""
    start = text.find("time=")
    if start < 0:
        return None
    try:
        pairs = shlex.split(text[start:], posix=True)
    except ValueError:  # the line is truncated inside quotes
        return None
    values: dict[str, str] = {}
    for pair in pairs:
        key, separator, value = pair.partition("=")
        if separator:
            values[key] = value
    event = values.pop("event", "")
    if not event or "host" not in values:
        return None
    return LogLine(values.pop("time", ""), values.pop("host"), event, values)


def trace_request(lines: t.Iterable[str], request: str) -> RequestTrace:
    """Return the events of a request, in time order.

    Events of host state (`CONTEXT_EVENTS`) are included if they come from a host
    of the request, between its first and its last event, and name an upstream of
    the request, a suspected engine or no upstream.
    """
    trace = RequestTrace([])
    events: list[LogLine] = []
    context_events: list[LogLine] = []
    for text in lines:
        line = parse_line(text)
        if line is None:
            trace.unreadable += bool(text.strip())
            continue
        left_out = line.value_by_key.get("left_out", "0")
        trace.left_out += int(left_out) if left_out.isdigit() else 0
        if line.value_by_key.get("request") == request:
            events.append(line)
        elif line.event in CONTEXT_EVENTS:
            context_events.append(line)
    if not events:
        return trace
    hosts = {line.host for line in events}
    first = min(line.time for line in events)
    last = max(line.time for line in events)
    named = {line.value_by_key.get("replica", "") for line in events}
    for line in context_events:
        replica = line.value_by_key.get("replica")
        if line.host not in hosts or not first <= line.time <= last:
            continue
        if replica is None or replica in named or line.event == "engine_suspected":
            events.append(line)
    trace.lines = sorted(events, key=lambda line: line.time)
    return trace
