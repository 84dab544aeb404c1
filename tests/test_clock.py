import pytest

from wagtailstair.clock import ManualClock
from wagtailstair.clock import SystemClock


class TestManualClock:
    def test_advances_both_clocks(self):
        clock = ManualClock(5.0)
        before = clock.utcnow()
        clock.advance(2.5)
        assert clock.monotonic() == 7.5
        assert (clock.utcnow() - before).total_seconds() == 2.5

    def test_advance_rejects_negative_seconds(self):
        with pytest.raises(ValueError, match="negative"):
            ManualClock().advance(-1)


class TestSystemClock:
    def test_wall_clock_is_aware(self):
        assert SystemClock().utcnow().utcoffset().total_seconds() == 0
