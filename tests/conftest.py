import pathlib

import hypothesis
import pytest

# Derandomized, so that CI gives the same result in each run.
hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("ci")

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"
KNOWN_RED_PREFIX = "test: "


def known_red() -> set[str]:
    """Return the ids of the tests that ``KNOWN-RED.txt`` lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    found = set()
    for line in lines:
        if line.startswith(KNOWN_RED_PREFIX):
            found.add(line.removeprefix(KNOWN_RED_PREFIX).strip())
    return found


def pytest_collection_modifyitems(items):
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            # Not skipped: the summary shows XPASS once the fault is fixed.
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    for nodeid in sorted(known_red()):
        terminalreporter.write_line(f"known red, see KNOWN-RED.txt: {nodeid}")
