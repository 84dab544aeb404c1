import pytest

from tests.fake_table import FakeTable
from wagtailstair.clock import ManualClock
from wagtailstair.core.changes import RowEdit
from wagtailstair.core.changes import make_edit
from wagtailstair.core.differences import diff_lists
from wagtailstair.core.differences import rebase_lists
from wagtailstair.core.lists import Lists
from wagtailstair.core.rows import Row
from wagtailstair.core.rows import Write
from wagtailstair.exceptions import EditConflictError
from wagtailstair.exceptions import ListsError
from wagtailstair.exceptions import PlatformConflictError
from wagtailstair.exceptions import PlatformError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.stores import lists as platform_lists
from wagtailstair.stores.lists import RetryPolicy
from wagtailstair.stores.lists import commit_edit
from wagtailstair.stores.lists import read_changes
from wagtailstair.stores.lists import read_head
from wagtailstair.stores.lists import read_rows
from wagtailstair.stores.lists import read_since
from wagtailstair.stores.lists import read_snapshot
from wagtailstair.stores.lists import seen_version

CLOCK = ManualClock()
RETRY = RetryPolicy(attempts=4, pause=lambda _: None)
EMPTY = Lists()


def plan(weight=1.0):
    return {
        "priorities": ["urgent"],
        "weight": weight,
        "work_per_s": 10.0,
        "max_concurrent": 2,
    }


def commit(table, change_id, *rows, author="ana", retry=RETRY):
    return commit_edit(table, make_edit(change_id, author, rows), CLOCK, retry)


def put_plan(table, change_id, name, weight=1.0, seen=None, **options):
    if seen is None:
        seen = table.row(("plans", name)).version
    row = RowEdit("plans", name, plan(weight), seen)
    return commit(table, change_id, row, **options)


def put_account(table, change_id, name, plan_name):
    seen = table.row(("accounts", name)).version
    row = RowEdit("accounts", name, {"plan": plan_name}, seen)
    return commit(table, change_id, row)


def delete(table, change_id, kind, name):
    seen = table.row((kind, name)).version
    return commit(table, change_id, RowEdit(kind, name, None, seen))


def scripted(*faults, calls=("transact",)):
    """Return a ``before_call`` hook of ``FakeTable``: one fault for each call.

    A callable fault is called, and its result is the fault.
    """
    remaining = list(faults)

    def before_call(kind):
        if kind not in calls or not remaining:
            return None
        fault = remaining.pop(0)
        return fault() if callable(fault) else fault

    return before_call


class TestMakeEdit:
    @pytest.mark.parametrize(
        ("options", "where"),
        [
            ({"change_id": "a b"}, "change id"),
            ({"author": ""}, "author"),
            ({"rows": []}, None),
            ({"rows": [RowEdit("leases", "x", None, 0)]}, "leases"),
            ({"rows": [RowEdit("plans", "x", {}, 0)]}, "plans.x"),
            ({"rows": [RowEdit("plans", "x", None, 1)] * 2}, "plans/x"),
        ],
    )
    def test_rejects_an_invalid_part(self, options, where):
        good = {
            "change_id": "c",
            "author": "ana",
            "rows": [RowEdit("plans", "x", None, 1)],
        }
        with pytest.raises(ListsError) as caught:
            make_edit(**(good | options))
        assert caught.value.where == where

    def test_the_digest_depends_on_the_content_alone(self):
        first = make_edit("c", "ana", [RowEdit("plans", "x", plan(), 1)])
        value = {**dict(reversed(plan().items())), "weight": 1}
        again = make_edit("c", "ben", [RowEdit("plans", "x", value, 2)])
        other = make_edit("c", "ana", [RowEdit("plans", "x", plan(2.0), 1)])
        assert first.digest == again.digest != other.digest


class TestCommit:
    def test_writes_rows_head_audit_record_and_change_id(self):
        table = FakeTable()
        change = put_plan(table, "c1", "maker", 2.0)
        assert change.version == 1
        assert (change.author, change.at) == ("ana", "2026-01-01T00:00:00.000+00:00")
        assert read_changes(table, 1, 1) == [change]
        assert change.rows[0].before is None
        assert table.row(("changes", "c1")).value == {"version": 1}
        assert read_snapshot(table).plan_by_name["maker"].weight == 2.0

    def test_edits_of_different_rows_both_succeed(self):
        table = FakeTable()

        def other():
            table.before_call = lambda kind: None
            put_plan(table, "c2", "judge")

        table.before_call = scripted(other)
        assert put_plan(table, "c1", "maker").version == 2
        assert set(read_snapshot(table).plan_by_name) == {"judge", "maker"}

    def test_second_edit_of_a_row_conflicts_with_the_first(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        put_plan(table, "c2", "maker", 2.0, seen=1, author="ben")
        with pytest.raises(EditConflictError, match=r"by ben in change c2") as caught:
            put_plan(table, "c3", "maker", 3.0, seen=1)
        assert caught.value.where == "plans/maker"
        assert read_head(table).version == 2

    def test_a_conflict_without_an_audit_record_is_still_reported(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        table.transact([], [Write("audit", "000000000001", None)])
        with pytest.raises(EditConflictError, match="has changed"):
            put_plan(table, "c2", "maker", seen=5)

    def test_an_account_without_its_plan_is_rejected(self):
        table = FakeTable()
        with pytest.raises(ListsError, match="no plan"):
            put_account(table, "c1", "shop", "maker")
        assert read_head(table).version == 0

    def test_a_plan_is_deleted_while_an_account_moves_to_it(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        table.before_call = scripted(lambda: delete(table, "c2", "plans", "maker"))
        with pytest.raises(ListsError, match="no plan"):
            put_account(table, "c3", "shop", "maker")
        assert table.keys("accounts") == []

    def test_an_account_moves_to_a_plan_while_it_is_deleted(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        table.before_call = scripted(
            lambda: put_account(table, "c2", "shop", "maker") and None
        )
        with pytest.raises(ListsError, match="no plan"):
            delete(table, "c3", "plans", "maker")
        assert table.keys("plans") == ["maker"]

    def test_a_rejection_based_on_rows_of_two_versions_is_retried(self):
        table = FakeTable()
        put_plan(table, "c1", "old")
        put_plan(table, "c2", "new")
        put_account(table, "c3", "shop", "old")

        # The account leaves the plan after the scan of the accounts and before
        # the validation, so the plan may be deleted.
        def move():
            put_account(table, "c4", "shop", "new")

        steps = [None] * 3 + [move]
        table.before_call = scripted(*steps, calls=("read", "scan"))
        change = delete(table, "c5", "plans", "old")
        assert change.version == 5

    @pytest.mark.parametrize(
        "key",
        [
            ("lists", "head"),
            ("changes", "c1"),
            ("audit", "000000000001"),
            ("plans", "maker"),
        ],
    )
    def test_each_row_of_the_transaction_has_a_condition(self, key):
        table = FakeTable()

        def change_row():
            table.value_by_key[key] = "{}"
            table.version_by_key[key] += 1

        table.before_call = scripted(change_row)
        with pytest.raises(PlatformConflictError):
            put_plan(table, "c1", "maker", retry=RetryPolicy(attempts=1))

    def test_a_damaged_row_raises_a_platform_error(self):
        table = FakeTable()
        table.transact([], [Write("plans", "maker", {"weight": 1})])
        with pytest.raises(PlatformError, match="damaged"):
            put_plan(table, "c1", "maker", seen=1)


class TestLostReplies:
    @pytest.mark.parametrize("fault", ["lose_reply", "lose_request", "delay"])
    def test_lost_reply_is_resolved_by_the_change_id(self, fault):
        table = FakeTable()
        table.before_call = scripted(fault)
        assert put_plan(table, "c1", "maker").version == 1
        table.deliver()
        assert table.keys("audit") == ["000000000001"]

    @pytest.mark.parametrize("calls_later", range(6))
    def test_late_attempt_of_the_same_change_is_no_conflict(self, calls_later):
        table = FakeTable()
        calls_since = []

        def before_call(kind):
            if calls_since:
                calls_since.append(kind)
                if len(calls_since) == calls_later + 2:
                    table.deliver()
                return None
            if kind != "transact":
                return None
            calls_since.append(kind)
            return "delay"

        table.before_call = before_call
        assert put_plan(table, "c1", "maker").version == 1
        assert table.keys("audit") == ["000000000001"]

    def test_a_retry_returns_the_first_change(self):
        table = FakeTable()
        table.before_call = scripted(*["lose_reply", "unavailable"] * 4)
        first = put_plan(table, "c1", "maker", seen=0)
        put_plan(table, "c2", "maker", 2.0)
        assert put_plan(table, "c1", "maker", seen=0) == first
        assert read_head(table).version == 2

    def test_a_change_id_is_rejected_for_another_edit(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        with pytest.raises(ListsError, match="another edit"):
            put_plan(table, "c1", "maker", 2.0)

    def test_an_unresolved_outcome_is_unknown(self):
        table = FakeTable()
        table.before_call = scripted("delay", *["unavailable"] * 3)
        with pytest.raises(PlatformUnknownError, match="c1"):
            put_plan(table, "c1", "maker")

    def test_unavailable_when_no_attempt_got_through(self):
        table = FakeTable()
        table.before_call = scripted(*["unavailable"] * 4)
        with pytest.raises(PlatformUnavailableError):
            put_plan(table, "c1", "maker")

    def test_stops_retrying_if_other_edits_always_win(self):
        table = FakeTable()

        def other():
            version = read_head(table).version
            before, table.before_call = table.before_call, lambda kind: None
            put_plan(table, f"other-{version}", "judge")
            table.before_call = before

        table.before_call = scripted(*[other] * 4)
        with pytest.raises(PlatformConflictError):
            put_plan(table, "c1", "maker")


class TestReading:
    def test_a_snapshot_has_a_single_version(self):
        table = FakeTable()
        for name in ("a", "b", "c", "d"):
            put_plan(table, f"c-{name}", name)
        put_account(table, "c-shop", "shop", "a")

        # The account moves to a plan that the scan of plans has already passed.
        def change():
            put_plan(table, "c-aa", "aa")
            put_account(table, "c-move", "shop", "aa")
            delete(table, "c-del", "plans", "a")

        table.before_call = scripted(None, None, change, calls=("scan",))
        lists = read_snapshot(table)
        assert lists.version == 8
        assert set(lists.plan_by_name) == {"aa", "b", "c", "d"}
        assert lists.account_by_name["shop"].plan == "aa"
        with pytest.raises(EditConflictError):
            seen_version(lists, ("accounts", "shop"))
        assert seen_version(lists, ("plans", "b")) == 1
        assert seen_version(lists, ("plans", "a")) == 0

    def test_an_update_reads_only_audit_records(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        old = read_snapshot(table)
        put_plan(table, "c2", "judge")
        delete(table, "c3", "plans", "maker")
        scans = table.calls["scan"]
        new = read_since(table, old)
        assert (new.version, set(new.plan_by_name)) == (3, {"judge"})
        assert table.calls["scan"] == scans
        assert read_since(table, new) is new

    def test_an_update_never_lowers_the_version(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        newer = Lists(9)
        assert read_since(table, newer) is newer

    @pytest.mark.parametrize("gap", [True, False])
    def test_reads_all_rows_when_too_far_behind(self, monkeypatch, gap):
        table = FakeTable()
        for number in range(4):
            put_plan(table, f"c{number}", f"p{number}")
        if gap:
            table.transact([], [Write("audit", "000000000002", None)])
        else:
            monkeypatch.setattr(platform_lists, "MAX_APPLIED_CHANGES", 3)
        lists = read_since(table, EMPTY)
        assert (lists.version, len(lists.plan_by_name)) == (4, 4)
        assert table.calls["scan"] > 0

    def test_reads_only_the_given_rows(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        lists = read_rows(table, [("plans", "maker"), ("plans", "none")])
        assert set(lists.plan_by_name) == {"maker"}
        assert seen_version(lists, ("plans", "maker")) == 1


class TestDifferences:
    def lists(self, version, **weights):
        rows = [Row("plans", name, 1, plan(weight)) for name, weight in weights.items()]
        return EMPTY.with_rows(version, rows)

    def test_diff_contains_only_rows_that_differ(self):
        old = self.lists(1, a=1.0, b=1.0, c=1.0)
        new = self.lists(2, b=1.0, c=2.0, d=1.0)
        changes = diff_lists(old, new)
        assert [change.key for change in changes] == ["a", "c", "d"]
        assert changes[0].value is None
        assert changes[1].before["weight"] == 1.0
        assert changes[1].value["weight"] == 2.0

    def test_rebase_keeps_changes_of_others(self):
        table = FakeTable()
        put_plan(table, "c1", "mine")
        put_plan(table, "c2", "theirs")
        put_plan(table, "c3", "theirs", 5.0)
        edited = self.lists(2, mine=2.0, theirs=1.0)
        current = read_snapshot(table)
        changes = rebase_lists(edited, current, read_changes(table, 3, 3))
        assert [change.key for change in changes] == ["mine"]

    def test_rebase_rejects_a_row_that_both_changed(self):
        table = FakeTable()
        put_plan(table, "c1", "maker")
        put_plan(table, "c2", "maker", 5.0, author="ben")
        edited = self.lists(1, maker=2.0)
        with pytest.raises(EditConflictError, match="by ben"):
            rebase_lists(edited, read_snapshot(table), read_changes(table, 2, 2))
