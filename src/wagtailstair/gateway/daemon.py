"""The entry point of wagtailstair-gateway: signals first, then the program.

The program's imports take a good part of a second on a small host. A signal in
that time must not end the process as if it had failed.
"""

import signal
import sys
import typing as t

from ..clock import Clock
from ..clock import SystemClock


def main(argv: t.Sequence[str] | None = None, clock: Clock | None = None) -> int:
    """Run the gateway with the settings file that is named; return the exit code."""
    # The settings are read after this: a change before needs no reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(0))
    # Imported here, so that the signals are safe before.
    from .program import run

    return run(argv, SystemClock() if clock is None else clock)
