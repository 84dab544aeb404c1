from wagtailstair.core.ejection import Ejection
from wagtailstair.core.ejection import EjectionLimits

LIMITS = EjectionLimits(consecutive_failures=3, base_s=5.0, max_s=60.0, share=0.5)


def fail(ejection, name, times, now=0.0, group=4):
    return [ejection.record_failure(name, group, now) for _ in range(times)]


class TestEjection:
    def test_ejects_after_consecutive_failures(self):
        ejection = Ejection(LIMITS)
        fail(ejection, "a", 2)
        ejection.record_success("a", 0.0)
        assert fail(ejection, "a", 3) == [False, False, True]
        assert ejection.is_ejected("a", 1.0)
        assert ejection.next_change(1.0) == 5.0

    def test_never_ejects_more_than_its_share(self):
        ejection = Ejection(LIMITS)
        ejected = [any(fail(ejection, name, 3)) for name in "abcd"]
        assert ejected == [True, True, False, False]

    def test_one_successful_probe_readmits(self):
        ejection = Ejection(LIMITS)
        fail(ejection, "a", 3)
        assert not ejection.is_ejected("a", 5.0)
        ejection.record_start("a")
        assert ejection.is_ejected("a", 5.0)
        ejection.record_success("a", 6.0)
        assert not ejection.is_ejected("a", 6.0)

    def test_an_inconclusive_probe_is_followed_by_another(self):
        ejection = Ejection(LIMITS)
        fail(ejection, "a", 3)
        ejection.record_start("a")
        ejection.record_inconclusive("a")
        assert not ejection.is_ejected("a", 5.0)

    def test_a_failed_probe_ejects_for_longer(self):
        ejection = Ejection(LIMITS)
        fail(ejection, "a", 3)
        ejection.record_start("a")
        assert ejection.record_failure("a", 4, 5.0)
        assert ejection.is_ejected("a", 14.9)
        assert not ejection.is_ejected("a", 15.1)


class TestSlow:
    def test_ejects_while_slow_until_clearly_fast(self):
        ejection = Ejection(LIMITS)
        ratios = [5.0] * 4 + [1.0] + [5.0] * 4
        for ratio in ratios:
            ejection.record_slowness("a", ratio, 4, 0.0)
            assert not ejection.is_ejected("a", 0.0)
        ejection.record_slowness("a", 5.0, 4, 0.0)
        assert ejection.is_ejected("a", 1_000.0)
        ejection.record_slowness("a", 3.0, 4, 0.0)
        assert ejection.is_ejected("a", 1_000.0)
        ejection.record_slowness("a", 1.9, 4, 0.0)
        assert not ejection.is_ejected("a", 0.0)

    def test_slow_and_failing_upstreams_share_one_limit(self):
        ejection = Ejection(LIMITS)
        for name in "abcd":
            for _ in range(9):
                ejection.record_slowness(name, 5.0, 4, 0.0)
        assert [ejection.is_ejected(name, 0.0) for name in "abcd"] == [
            True,
            True,
            False,
            False,
        ]
        assert fail(ejection, "c", 9) == [False] * 9
