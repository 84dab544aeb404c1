"""Table copies that receive changes in any order."""

import itertools
import random

import pytest

from wagtailstair.core.store import NO_VERSION
from wagtailstair.core.store import StoreRow
from wagtailstair.core.store import StoreVersion
from wagtailstair.core.table_copy import TOMBSTONES_MAX
from wagtailstair.core.table_copy import TableCopy


def at(number, era=1):
    return StoreVersion(era, number)


def row(key, number, value=b"v", era=1):
    return StoreRow("t", key, value, at(number, era))


def keys(rows):
    return sorted(entry.key for entry in rows)


@pytest.fixture
def copy():
    copy = TableCopy("t")
    copy.apply_snapshot([row("x", 3), row("y", 5)], at(7))
    return copy


class TestSnapshot:
    def test_rows_missing_from_a_snapshot_are_deleted(self, copy):
        newer = copy.apply_snapshot([row("y", 5)], at(9))
        assert [(entry.key, entry.value) for entry in newer] == [("x", None)]
        assert keys(copy.live_rows()) == ["y"]

    def test_rows_newer_than_a_snapshot_are_kept(self, copy):
        copy.apply_delta([row("z", 12)], at(12))
        assert copy.apply_snapshot([row("x", 3), row("y", 5)], at(9)) == []
        assert keys(copy.live_rows()) == ["x", "y", "z"]

    def test_copy_is_incomplete_before_the_first_snapshot(self):
        copy = TableCopy("t")
        assert not copy.is_complete
        assert copy.rows_since(NO_VERSION) == []
        copy.apply_snapshot([], at(4))
        assert copy.is_complete

    @pytest.mark.parametrize("is_whole", [True, False])
    def test_a_restarted_copy_takes_no_deleted_row_from_an_older_peer(self, is_whole):
        # A host that starts again reads from two peers. The slower one may not know
        # yet that an upstream has left: it must not come back into use.
        copy = TableCopy("t")
        copy.apply_snapshot([row("y", 5)], at(9))
        older = [row("x", 3), row("y", 5)]
        if is_whole:
            assert copy.apply_snapshot(older, at(7)) == []
        else:
            assert copy.apply_delta(older, at(7)) == []
        assert keys(copy.live_rows()) == ["y"]


class TestDelta:
    def test_an_older_change_is_ignored(self, copy):
        assert copy.apply_delta([row("y", 4, None)], at(7)) == []
        assert keys(copy.live_rows()) == ["x", "y"]

    def test_an_older_change_does_not_restore_a_deleted_row(self, copy):
        copy.apply_delta([row("x", 8, None)], at(8))
        assert copy.apply_delta([row("x", 3)], at(7)) == []
        assert keys(copy.live_rows()) == ["y"]

    @pytest.mark.parametrize("seed", range(20))
    def test_the_order_of_changes_does_not_matter(self, copy, seed):
        changes = [row("x", 8, None), row("x", 9), row("y", 10, None), row("z", 11)]
        random.Random(seed).shuffle(changes)
        for changed in changes + changes:
            copy.apply_delta([changed], at(7))
        assert keys(copy.live_rows()) == ["x", "z"]
        assert copy.version == at(11)


class TestSince:
    def test_deletions_are_included(self, copy):
        copy.apply_delta([row("x", 8, None), row("z", 9)], at(9))
        changed = copy.rows_since(at(7))
        assert [(entry.key, entry.value) for entry in changed] == [
            ("x", None),
            ("z", b"v"),
        ]

    def test_changes_before_the_first_snapshot_are_unknown(self, copy):
        # The snapshot has no tombstone of a row that was deleted at version 6.
        assert copy.rows_since(at(5)) is None

    def test_the_number_of_tombstones_is_limited(self, copy):
        for number in range(TOMBSTONES_MAX + 5):
            version = 10 + 2 * number
            copy.apply_delta([row(f"k{number}", version)], at(version))
            gone = row(f"k{number}", version + 1, None)
            copy.apply_delta([gone], at(version + 1))
        assert copy.rows_since(at(7)) is None
        assert copy.rows_since(at(copy.version.number - 3)) is not None
        assert keys(copy.live_rows()) == ["x", "y"]

    def test_a_peer_that_reads_the_changes_gets_the_same_rows(self, copy):
        other = TableCopy("t")
        steps = itertools.count(8)
        for _ in range(30):
            version = next(steps)
            key = f"k{version % 4}"
            copy.apply_delta(
                [row(key, version, b"v" if version % 3 else None)], at(version)
            )
            if version % 5:
                continue
            rows = copy.rows_since(other.as_of)
            if rows is None:
                other.apply_snapshot(copy.live_rows(), copy.as_of)
            else:
                other.apply_delta(rows, copy.as_of)
            assert keys(other.live_rows()) == keys(copy.live_rows())
            assert other.version == copy.version


class TestReturn:
    """The store gives versions out again after it has come back from a copy."""

    def test_rows_of_a_later_era_replace_those_with_higher_numbers(self, copy):
        newer = copy.apply_snapshot([row("x", 2, b"w", era=2)], at(4, era=2))
        assert [(entry.key, entry.value) for entry in newer] == [
            ("x", b"w"),
            ("y", None),
        ]
        assert copy.as_of == copy.version == at(4, era=2)

    def test_changes_of_a_later_era_need_a_snapshot(self, copy):
        assert copy.apply_delta([row("x", 8, era=2)], at(8, era=2)) == []
        assert copy.as_of == at(7)

    def test_rows_of_an_earlier_era_change_nothing(self, copy):
        copy.apply_snapshot([row("x", 2, era=2)], at(4, era=2))
        assert copy.apply_delta([row("y", 90)], at(90)) == []
        assert copy.apply_snapshot([row("z", 91)], at(91)) == []
        assert keys(copy.live_rows()) == ["x"]
        assert copy.as_of == at(4, era=2)

    def test_changes_since_an_earlier_era_are_unknown(self, copy):
        copy.apply_snapshot([row("x", 2, era=2)], at(4, era=2))
        assert copy.rows_since(at(7)) is None
        assert copy.rows_since(at(3, era=2)) is None
        assert copy.rows_since(at(4, era=2)) == []
