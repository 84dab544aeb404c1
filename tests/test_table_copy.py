"""Copies of tables that hear of changes in any order."""

import itertools
import random

import pytest

from wagtailstair.core.store import StoreRow
from wagtailstair.core.table_copy import TOMBSTONES_MAX
from wagtailstair.core.table_copy import TableCopy


def row(key, version, value=b"v"):
    return StoreRow("t", key, value, version)


def keys(rows):
    return sorted(entry.key for entry in rows)


@pytest.fixture
def copy():
    copy = TableCopy("t")
    copy.apply_snapshot([row("x", 3), row("y", 5)], 7)
    return copy


class TestReplace:
    def test_what_is_missing_is_gone(self, copy):
        news = copy.apply_snapshot([row("y", 5)], 9)
        assert [(entry.key, entry.value) for entry in news] == [("x", None)]
        assert keys(copy.live_rows()) == ["y"]

    def test_what_is_later_stays(self, copy):
        copy.apply_delta([row("z", 12)], 12)
        assert copy.apply_snapshot([row("x", 3), row("y", 5)], 9) == []
        assert keys(copy.live_rows()) == ["x", "y", "z"]

    def test_nothing_is_complete_before(self):
        copy = TableCopy("t")
        assert not copy.is_complete
        assert copy.rows_since(0) == []
        copy.apply_snapshot([], 4)
        assert copy.is_complete


class TestChange:
    def test_an_older_change_is_no_news(self, copy):
        assert copy.apply_delta([row("y", 4, None)], 7) == []
        assert keys(copy.live_rows()) == ["x", "y"]

    def test_a_removed_row_does_not_come_back(self, copy):
        copy.apply_delta([row("x", 8, None)], 8)
        assert copy.apply_delta([row("x", 3)], 7) == []
        assert keys(copy.live_rows()) == ["y"]

    @pytest.mark.parametrize("seed", range(20))
    def test_any_order_leads_to_the_same(self, copy, seed):
        changes = [row("x", 8, None), row("x", 9), row("y", 10, None), row("z", 11)]
        random.Random(seed).shuffle(changes)
        for change in changes + changes:
            copy.apply_delta([change], 7)
        assert keys(copy.live_rows()) == ["x", "z"]
        assert copy.version == 11


class TestSince:
    def test_removals_are_told(self, copy):
        copy.apply_delta([row("x", 8, None), row("z", 9)], 9)
        told = copy.rows_since(7)
        assert [(entry.key, entry.value) for entry in told] == [
            ("x", None),
            ("z", b"v"),
        ]

    def test_what_was_before_the_first_read_is_not_known(self, copy):
        # A row that was removed at 6 left no trace here.
        assert copy.rows_since(5) is None

    def test_only_some_removals_are_kept(self, copy):
        for number in range(TOMBSTONES_MAX + 5):
            version = 10 + 2 * number
            copy.apply_delta([row(f"k{number}", version)], version)
            copy.apply_delta([row(f"k{number}", version + 1, None)], version + 1)
        assert copy.rows_since(7) is None
        assert copy.rows_since(copy.version - 3) is not None
        assert keys(copy.live_rows()) == ["x", "y"]

    def test_peers_come_to_the_same_rows(self, copy):
        other = TableCopy("t")
        steps = itertools.count(8)
        for _ in range(30):
            version = next(steps)
            key = f"k{version % 4}"
            copy.apply_delta(
                [row(key, version, b"v" if version % 3 else None)], version
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
