"""Several operators on one table with faults, checked against the audit records."""

import collections

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests import fuzz
from tests.fake_table import CrashError
from tests.fake_table import FakeTable
from wagtailstair.clock import ManualClock
from wagtailstair.core.changes import RowEdit
from wagtailstair.core.changes import make_edit
from wagtailstair.core.lists import Lists
from wagtailstair.exceptions import EditConflictError
from wagtailstair.exceptions import ListsError
from wagtailstair.exceptions import PlatformConflictError
from wagtailstair.exceptions import PlatformUnavailableError
from wagtailstair.exceptions import PlatformUnknownError
from wagtailstair.stores.lists import RetryPolicy
from wagtailstair.stores.lists import commit_edit
from wagtailstair.stores.lists import read_since
from wagtailstair.stores.lists import read_snapshot
from wagtailstair.stores.lists import seen_version

PLANS = ["p0", "p1", "p2"]
ACCOUNTS = ["a0", "a1", "a2"]
OPERATORS = range(3)
# Events before a call to the table; a write may also get one of WRITE_FAULTS.
EVENTS = ["none"] * 6 + ["unavailable", "crash_before", "other_edit", "deliver"]
WRITE_FAULTS = [
    "none",
    "none",
    "unavailable",
    "lose_reply",
    "lose_request",
    "delay",
    "crash_before",
    "crash_after",
]
SCRIPTS = st.tuples(
    st.lists(st.sampled_from(EVENTS), max_size=14),
    st.lists(st.sampled_from(WRITE_FAULTS), max_size=3),
)
TARGETS = st.one_of(
    st.tuples(
        st.just("plans"),
        st.sampled_from(PLANS),
        st.sampled_from([True, True, True, False]),
    ),
    st.tuples(
        st.just("accounts"),
        st.sampled_from(ACCOUNTS),
        st.sampled_from([*PLANS, None]),
    ),
)
EDITS = st.lists(TARGETS, min_size=1, max_size=2, unique_by=lambda target: target[:2])
RETRY = RetryPolicy(attempts=2, pause=lambda _: None)


class Operators(RuleBasedStateMachine):
    """Operators that read the lists, edit what they read, and retry edits."""

    def __init__(self):
        super().__init__()
        self.table = FakeTable()
        self.clock = ManualClock()
        self.seen = [Lists() for _ in OPERATORS]
        # Makes change ids and row values unique.
        self.numbers = iter(range(1, 1_000_000))
        self.edit_by_id = {}
        self.seen_values_by_id = {}
        self.accepted_by_id = {}
        self.refused = set()
        self.base_version_by_unresolved_id = {}
        self.head = 0

    @initialize()
    def begin(self):
        for name in PLANS[:2]:
            self.edit_now([("plans", name, True)])
        self.edit_now([("accounts", "a0", "p0")])
        self.seen = [read_snapshot(self.table) for _ in OPERATORS]

    def start_script(self, script, draw):
        events, faults = (list(part) for part in script)

        def before_call(kind):
            event = events.pop(0) if events else "none"
            if event == "deliver":
                self.table.deliver()
            elif event == "other_edit":
                self.without_faults(lambda: self.edit_now(*draw(kind)))
            elif event != "none":
                return event
            if kind == "transact" and faults:
                return faults.pop(0)
            return None

        self.table.before_call = before_call

    def without_faults(self, action):
        before, self.table.before_call = self.table.before_call, lambda kind: None
        try:
            action()
        finally:
            self.table.before_call = before

    def value(self, kind, choice):
        if choice is None or choice is False:
            return None
        number = next(self.numbers)
        if kind == "accounts":
            key = {"salt": f"{number:032x}", "digest": "11" * 32}
            return {"plan": choice, "keys": [key]}
        return {
            "priorities": ["urgent"],
            "work_per_s": float(number),
            "max_concurrent": 1,
        }

    def new_edit(self, seen, targets):
        rows = []
        for kind, name, choice in targets:
            version = seen_version(seen, (kind, name))
            rows.append(RowEdit(kind, name, self.value(kind, choice), version))
        change_id = f"c{next(self.numbers)}"
        edit = make_edit(change_id, "op", rows)
        self.edit_by_id[change_id] = edit
        self.seen_values_by_id[change_id] = {
            row.row_key: seen.value_of(row.row_key) for row in edit.rows
        }
        self.base_version_by_unresolved_id[change_id] = seen.version
        return edit

    def edit_now(self, targets):
        self.run(self.new_edit(read_snapshot(self.table), targets))

    def run(self, edit):
        change_id = edit.change_id
        try:
            change = commit_edit(self.table, edit, self.clock, RETRY)
        except (CrashError, PlatformUnknownError):
            return
        except (PlatformUnavailableError, PlatformConflictError):
            # This run had no effect, but an earlier run may still take effect.
            return
        except EditConflictError:
            self.check_conflict(edit)
            self.record_refusal(change_id)
            return
        except ListsError:
            self.record_refusal(change_id)
            return
        assert change_id not in self.refused
        assert self.accepted_by_id.setdefault(change_id, change) == change
        self.base_version_by_unresolved_id.pop(change_id, None)

    def record_refusal(self, change_id):
        assert change_id not in self.accepted_by_id
        self.refused.add(change_id)
        self.base_version_by_unresolved_id.pop(change_id, None)

    def records(self):
        return [
            self.table.row(("audit", key)).value for key in self.table.keys("audit")
        ]

    def check_conflict(self, edit):
        edited = {row.row_key for row in edit.rows}
        changed = set()
        for record in self.records():
            if record["version"] <= self.base_version_by_unresolved_id.get(
                edit.change_id, 0
            ):
                continue
            changed |= {(row["table"], row["key"]) for row in record["rows"]}
        assert edited & changed, "told of a conflict that there was not"

    def history(self, version):
        """Return the rows after replaying the accepted edits by version."""
        value_by_key = {}
        for record in self.records()[:version]:
            for row in self.edit_by_id[record["change_id"]].rows:
                value_by_key[row.row_key] = row.value
        return {key: value for key, value in value_by_key.items() if value is not None}

    def check_lists(self, lists):
        expected = self.history(lists.version)
        keys = [("plans", name) for name in lists.plan_by_name]
        keys += [("accounts", name) for name in lists.account_by_name]
        assert {key: lists.value_of(key) for key in keys} == expected

    @rule(operator=st.sampled_from(OPERATORS), script=SCRIPTS, data=st.data())
    def look(self, operator, script, data):
        self.start_script(script, lambda kind: (data.draw(EDITS),))
        self.check_read(operator, lambda: read_snapshot(self.table))

    @rule(operator=st.sampled_from(OPERATORS), script=SCRIPTS, data=st.data())
    def follow(self, operator, script, data):
        self.start_script(script, lambda kind: (data.draw(EDITS),))
        self.check_read(operator, lambda: read_since(self.table, self.seen[operator]))

    def check_read(self, operator, read):
        try:
            lists = read()
        except (PlatformUnavailableError, CrashError):
            return
        finally:
            self.table.before_call = lambda kind: None
        assert lists.version >= self.seen[operator].version
        self.check_lists(lists)
        self.seen[operator] = lists

    @rule(
        operator=st.sampled_from(OPERATORS),
        wanted=EDITS,
        script=SCRIPTS,
        data=st.data(),
    )
    def edit(self, operator, wanted, script, data):
        try:
            edit = self.new_edit(self.seen[operator], wanted)
        except EditConflictError:
            # The version of the row is unknown: the operator must read again.
            return
        self.start_script(script, lambda kind: (data.draw(EDITS),))
        self.run_scripted(edit)

    @precondition(lambda self: self.edit_by_id)
    @rule(script=SCRIPTS, data=st.data())
    def run_again(self, script, data):
        edit = self.edit_by_id[data.draw(st.sampled_from(sorted(self.edit_by_id)))]
        if edit.change_id in self.refused:
            return
        self.start_script(script, lambda kind: (data.draw(EDITS),))
        self.run_scripted(edit)

    def run_scripted(self, edit):
        try:
            self.run(edit)
        finally:
            self.table.before_call = lambda kind: None

    @precondition(lambda self: self.accepted_by_id)
    @rule(data=st.data())
    def use_an_id_twice(self, data):
        change_id = data.draw(st.sampled_from(sorted(self.accepted_by_id)))
        row = RowEdit("plans", "p0", self.value("plans", True), 0)
        try:
            commit_edit(self.table, make_edit(change_id, "op", [row]), self.clock)
        except ListsError:
            return
        raise AssertionError("one change id was accepted for two edits")

    @rule()
    def deliver(self):
        self.table.deliver()

    @invariant()
    def versions_grow_and_each_has_one_record(self):
        row = self.table.row(("lists", "head"))
        head = row.value["version"] if row.value else 0
        assert head >= self.head
        self.head = head
        assert [record["version"] for record in self.records()] == [*range(1, head + 1)]

    @invariant()
    def every_account_has_its_plan(self):
        plans = self.table.keys("plans")
        for name in self.table.keys("accounts"):
            assert self.table.row(("accounts", name)).value["plan"] in plans

    @invariant()
    def one_record_for_an_accepted_edit_and_none_for_a_refused_one(self):
        counts = collections.Counter(record["change_id"] for record in self.records())
        assert all(count == 1 for count in counts.values())
        assert not self.refused & counts.keys()
        for change_id, change in self.accepted_by_id.items():
            record = self.table.row(("audit", f"{change.version:012d}")).value
            assert record["change_id"] == change_id

    @invariant()
    def no_accepted_edit_is_lost_or_overwrites_an_unseen_value(self):
        value_by_key = {}
        for record in self.records():
            change_id = record["change_id"]
            seen = self.seen_values_by_id[change_id]
            for row in self.edit_by_id[change_id].rows:
                assert value_by_key.get(row.row_key) == seen[row.row_key]
                value_by_key[row.row_key] = row.value
        for kind in ("plans", "accounts"):
            for key in {*self.table.keys(kind), *PLANS, *ACCOUNTS}:
                row = self.table.row((kind, key))
                assert row.value == value_by_key.get((kind, key))

    def teardown(self):
        self.table.before_call = lambda kind: None
        while self.table.in_flight:
            self.table.deliver()
        for change_id in list(self.base_version_by_unresolved_id):
            self.run(self.edit_by_id[change_id])
        assert not self.base_version_by_unresolved_id
        recorded = {record["change_id"] for record in self.records()}
        assert recorded == self.accepted_by_id.keys()
        self.check_lists(read_snapshot(self.table))


Operators.TestCase.settings = fuzz.settings(examples=150, steps=25)
TestOperators = fuzz.seeded(Operators)
