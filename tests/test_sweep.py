from wagtailstair import sweep
from wagtailstair.core.rows import Row
from wagtailstair.sweep import Sweeper


class FakeClaims:
    def __init__(self):
        self.swept = []

    def sweep(self, rows):
        self.swept.append([row.key for row in rows])
        return len(self.swept[-1])


def scan_of(*names):
    def scan(table, after):
        assert table == "claims"
        return iter(Row(table, name, 1, {}) for name in names if name > after)

    return scan


class TestSweeper:
    def test_sweeps_all_pages_and_starts_over(self, monkeypatch):
        monkeypatch.setattr(sweep, "PAGE_ROWS", 2)
        claims = FakeClaims()
        sweeper = Sweeper(claims, scan_of("a", "b", "c"), lambda: True)
        counts = [sweeper.sweep_page() for _ in range(3)]
        assert claims.swept == [["a", "b"], ["c"], ["a", "b"]]
        assert counts == [2, 1, 2]

    def test_only_the_owner_sweeps(self):
        claims = FakeClaims()
        owner_checks = []

        def is_owner():
            owner_checks.append(True)
            if len(owner_checks) == 3:
                sweeper.stop()
            return False

        sweeper = Sweeper(claims, scan_of("a"), is_owner, interval_s=0.001)
        sweeper.start()
        sweeper._thread.join(20)
        assert len(owner_checks) == 3
        assert claims.swept == []
