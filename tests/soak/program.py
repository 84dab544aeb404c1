"""The gateway as it is, with a time of day that is off by some seconds."""

import datetime
import sys

from wagtailstair.clock import SystemClock
from wagtailstair.gateway.daemon import main


class SkewedClock(SystemClock):
    """A clock whose time of day is off by some seconds."""

    __slots__ = ("_skew",)

    def __init__(self, skew_s: float) -> None:
        self._skew = datetime.timedelta(seconds=skew_s)

    def utcnow(self) -> datetime.datetime:
        """Return the skewed time of day."""
        return super().utcnow() + self._skew


if __name__ == "__main__":
    sys.exit(main(sys.argv[2:], SkewedClock(float(sys.argv[1]))))
