"""The entry point of wagtailstair-gateway: sets signal handlers, then starts.

The program's imports take a large part of a second on a small host. A signal during
that time must not end the process with a failure.
"""

import signal
import sys
import typing as t

from ..clock import Clock
from ..clock import SystemClock


def main(argv: t.Sequence[str] | None = None, clock: Clock | None = None) -> int:
    """Run the gateway with the given settings file; return the exit code."""
    # The settings are read later, so that a reload signal can be ignored until then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(0))
    # Imported here, so that the signal handlers are set before.
    from .program import run

    code = run(argv, SystemClock() if clock is None else clock)
    # The interpreter restores the default action of handled signals as it ends, but
    # leaves ignored ones.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    return code
