"""Events as one line of key=value pairs, through loguru."""

import contextlib
import os
import pathlib
import sys
import typing as t

from loguru import logger

from .clock import Clock
from .core.log_budget import LogBudget

if t.TYPE_CHECKING:
    import loguru

LINE_BYTES_MAX = 4096  # a pipe takes as much whole, or nothing of it
_NEEDS_QUOTES = frozenset(' "=\n\r\t')

_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level} {message}"


def _value(value: object) -> str:
    text = str(value)
    if isinstance(value, float):
        text = f"{value:.6g}"
    if text and _NEEDS_QUOTES.isdisjoint(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def format_event(event: str, fields: t.Mapping[str, object]) -> str:
    """Format an event as key=value pairs."""
    parts = [f"event={_value(event)}"]
    for key, value in fields.items():
        parts.append(f"{key}={_value(value)}")
    return " ".join(parts)


def error_location(error: BaseException) -> str:
    """Name an unexpected error and where it came from.

    Its text is left out: it may quote a prompt or an answer.
    """
    frame = error.__traceback__
    if frame is None:
        return type(error).__name__
    while frame.tb_next is not None:
        frame = frame.tb_next
    file = pathlib.PurePath(frame.tb_frame.f_code.co_filename).name
    return f"{type(error).__name__}@{file}:{frame.tb_lineno}"


def configure_logs(level: str, host: str) -> None:
    """Send events of a level and above to standard error."""
    logger.remove()
    prefix = f"host={_value(host)} "
    template = _FORMAT.replace("{message}", prefix + "{message}")
    logger.add(sys.stderr, level=level, format=template, backtrace=False)


def configure_bounded_logs(
    level: str, host: str, lines_per_s: float, clock: Clock
) -> None:
    """Send events to standard output, some lines of each a second, never waiting.

    Lines beyond the bound are counted; the next line of the event tells of them.
    """
    logger.remove()
    prefix = f"host={_value(host)} "
    template = _FORMAT.replace("{message}", prefix + "{message}")
    budget = LogBudget(lines_per_s)
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)

    def is_due(record: "loguru.Record") -> bool:
        event = record["message"].partition(" ")[0]
        left_out = budget.take(event, clock.monotonic())
        if left_out:
            record["message"] += f" left_out={left_out}"
        return left_out is not None

    def write(message: str) -> None:
        # A reader that has stopped must not stop the requests: the line is lost.
        with contextlib.suppress(BlockingIOError, BrokenPipeError):
            os.write(descriptor, message.encode()[:LINE_BYTES_MAX])

    logger.add(write, level=level, format=template, filter=is_due, backtrace=False)


def log_event(event: str, *, level: str = "INFO", **fields: object) -> None:
    """Write one event; never pass a key, a prompt or an answer."""
    logger.opt(lazy=True).log(level, "{}", lambda: format_event(event, fields))
