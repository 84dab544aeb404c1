import pathlib
import re

import pytest
from click.testing import CliRunner

from wagtailstair.cli import main
from wagtailstair.core.request_trace import parse_line
from wagtailstair.core.request_trace import trace_request

ROOT = pathlib.Path(__file__).parent.parent


def line(second, host, text):
    return f"time=2026-01-01T00:00:{second:02d}.000+0000 level=INFO host={host} {text}"


LOGS = [
    line(1, "a", "event=lists_taken version=4 before=3"),
    line(2, "a", "event=attempt_lost request=r1 replica=i-1 reason=closed"),
    line(3, "a", 'event=engine_suspected replica=i-9 reason="stalled at i-1"'),
    line(3, "b", "event=store_lost table=op reason=timeout"),
    line(4, "a", "event=request_ended request=r2 outcome=served"),
    line(5, "a", 'event=request_ended request=r1 outcome="no pipeline" left_out=7'),
    line(6, "a", "event=store_lost table=op reason=timeout"),
]


class TestTraceRequest:
    def test_events_of_the_request_and_of_its_host(self):
        trace = trace_request(LOGS, "r1")
        events = [entry.event for entry in trace.lines]
        assert events == ["attempt_lost", "engine_suspected", "request_ended"]
        assert trace.outcome == "no pipeline"
        assert trace.left_out == 7

    def test_lines_out_of_order_and_truncated_lines(self):
        truncated = LOGS[5][:-15]
        trace = trace_request([*reversed(LOGS), truncated, "noise", ""], "r1")
        assert trace.outcome == "no pipeline"
        assert trace.unreadable == 2

    def test_unknown_request_has_no_events(self):
        assert trace_request(LOGS, "r3").lines == []

    def test_a_prefix_before_the_event_is_skipped(self):
        entry = parse_line("  12.5 host-a " + LOGS[2])
        assert entry is not None
        assert entry.value_by_key["reason"] == "stalled at i-1"


class TestCommand:
    def test_from_standard_input(self):
        result = CliRunner().invoke(main, ["explain", "r1"], input="\n".join(LOGS))
        assert result.exit_code == 0
        assert "outcome: no pipeline" in result.output

    def test_from_files(self, tmp_path):
        file = tmp_path / "host.log"
        file.write_text("\n".join(LOGS))
        result = CliRunner().invoke(main, ["explain", "r2", str(file), "--json"])
        assert result.exit_code == 0
        assert '"outcome": "served"' in result.output

    def test_unknown_request(self):
        result = CliRunner().invoke(main, ["explain", "r9"], input="\n".join(LOGS))
        assert result.exit_code != 0


class TestPage:
    @pytest.fixture
    def listed(self):
        page = (ROOT / "docs" / "OPERATIONS.md").read_text()
        return set(re.findall(r"`([a-z]+(?:_[a-z]+)*)`", page))

    def test_every_event_of_the_gateway_is_listed(self, listed):
        sources = (ROOT / "src" / "wagtailstair" / "gateway").glob("*.py")
        call = re.compile(r'(?:log_event|self\.log)\(\s*"([a-z_]+)"')
        events = set()
        for source in sources:
            events.update(call.findall(source.read_text()))
        assert events
        assert events - listed == set()
