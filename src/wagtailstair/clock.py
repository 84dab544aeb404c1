"""The clock interface that is passed to all code that needs the time."""

import datetime
import time
import typing as t


class Clock(t.Protocol):
    """A source of time.

    Times of the monotonic clock are ``float`` seconds, as in the standard
    library's :func:`time.monotonic`; durations are :class:`datetime.timedelta`
    in settings and ``float`` seconds (``*_s``) in the core.
    """

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        ...

    def suspended_s(self) -> float:
        """Return the seconds for which the machine was suspended since its start.

        The monotonic clock does not count them.
        """
        ...

    def utcnow(self) -> datetime.datetime:
        """Return the wall-clock time as an aware UTC datetime."""
        ...


class SystemClock:
    """The clock of the operating system."""

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return time.monotonic()

    def suspended_s(self) -> float:
        """Return the seconds for which the machine was suspended since its start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()

    def utcnow(self) -> datetime.datetime:
        """Return the wall-clock time as an aware UTC datetime."""
        return datetime.datetime.now(datetime.UTC)


class ManualClock:
    """A clock that moves only by :meth:`advance`, for tests and benchmarks."""

    __slots__ = ("_epoch", "_now", "_suspended_s")

    def __init__(self, now: float = 0.0) -> None:
        self._now = now
        self._suspended_s = 0.0
        self._epoch = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""
        return self._now

    def utcnow(self) -> datetime.datetime:
        """Return the wall-clock time as an aware UTC datetime."""
        return self._epoch + datetime.timedelta(seconds=self._now)

    def suspended_s(self) -> float:
        """Return the seconds for which the machine was suspended since its start."""
        return self._suspended_s

    def suspend(self, seconds: float) -> None:
        """Let time pass that the monotonic clock does not count."""
        self._suspended_s += seconds

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        if seconds < 0:
            raise ValueError(f"seconds must not be negative, got {seconds}")
        self._now += seconds
