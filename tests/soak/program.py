"""Run the gateway with a skewed wall clock: ``tests.soak.program SKEW_S SETTINGS``."""

import datetime
import sys

from wagtailstair.clock import SystemClock
from wagtailstair.gateway.daemon import main


class SkewedClock(SystemClock):
    """A system clock with a constant skew of the wall clock."""

    __slots__ = ("_skew",)

    def __init__(self, skew_s: float) -> None:
        self._skew = datetime.timedelta(seconds=skew_s)

    def utcnow(self) -> datetime.datetime:
        """Return the skewed wall-clock time."""
        return super().utcnow() + self._skew


if __name__ == "__main__":
    sys.exit(main(sys.argv[2:], SkewedClock(float(sys.argv[1]))))
