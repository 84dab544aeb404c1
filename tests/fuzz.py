"""Length and seed of the state machines: fixed in CI, chosen by ``make fuzz``."""

import os

import hypothesis

EXAMPLES = int(os.environ.get("FUZZ_LENGTH", "0"))
SEED = os.environ.get("FUZZ_SEED", "")


def settings(examples, steps):
    """Return the settings of a machine; ``FUZZ_LENGTH`` replaces ``examples``."""
    return hypothesis.settings(
        max_examples=EXAMPLES or examples,
        stateful_step_count=steps,
        derandomize=not SEED,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def seeded(machine):
    """Return a machine's test case, under ``FUZZ_SEED`` if there is one."""
    if SEED:
        machine = hypothesis.seed(int(SEED))(machine)
    return machine.TestCase
