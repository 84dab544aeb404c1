"""Run the demonstration (``make demo``); exit 0 only if every step passes."""

import pathlib
import sys
import tempfile
import time

from tests.fleet import Fleet

from .steps import STEPS
from .steps import StepError

DATA_CENTRES = ("north", "south", "coast")


def _run_step(fleet: Fleet, number: int, name: str, directory: pathlib.Path) -> bool:
    started_at = time.monotonic()
    try:
        lines = STEPS[name](fleet, directory)
        verdict = "passed"
    except (AssertionError, OSError, StepError) as error:
        lines = [f"{type(error).__name__}: {error}"]
        verdict = "FAILED"
    print(f"{number}. {name}: {verdict} ({time.monotonic() - started_at:.1f} s)")
    for line in lines:
        print(f"     {line}")
    return verdict == "passed"


def main() -> int:
    """Run every step and return the exit code."""
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        print("starting the stand-ins and six daemons in three data centres ...")
        with Fleet(
            directory, data_centres=DATA_CENTRES, daemons_each=2, services=2
        ) as fleet:
            for daemon in fleet.daemons.values():
                print(f"     {daemon.name} ({daemon.data_centre}) {daemon.address}")
            verdicts = []
            for number, step in enumerate(STEPS, 1):
                verdicts.append(_run_step(fleet, number, step, directory))
    print(f"{sum(verdicts)} of {len(verdicts)} steps passed")
    return 0 if all(verdicts) else 1


if __name__ == "__main__":
    sys.exit(main())
