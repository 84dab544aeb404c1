"""Length and seed of the property tests: fixed in CI, set by ``make fuzz``."""

import os

import hypothesis

EXAMPLES = int(os.environ.get("FUZZ_LENGTH", "0"))
SEED = os.environ.get("FUZZ_SEED", "")


def settings(examples, steps):
    """Return the settings of a state machine; ``FUZZ_LENGTH`` replaces ``examples``."""
    return hypothesis.settings(
        max_examples=EXAMPLES or examples,
        stateful_step_count=steps,
        derandomize=not SEED,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )


def seeded(machine):
    """Return the test case of a state machine, seeded with ``FUZZ_SEED`` if set."""
    if SEED:
        machine = hypothesis.seed(int(SEED))(machine)
    return machine.TestCase


def seeded_test(examples):
    """Return a decorator of a property test that sets its length and seed."""

    def decorate(test):
        test = settings(examples, steps=1)(test)
        return hypothesis.seed(int(SEED))(test) if SEED else test

    return decorate
