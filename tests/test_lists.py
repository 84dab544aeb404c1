import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailstair.core.engine import Priority
from wagtailstair.core.lists import Lists
from wagtailstair.core.lists import ListsHolder
from wagtailstair.core.lists import parse_account
from wagtailstair.core.lists import parse_plan
from wagtailstair.core.lists import validate
from wagtailstair.core.lists_toml import lists_from_toml
from wagtailstair.core.lists_toml import lists_to_toml
from wagtailstair.core.plans import plan_value
from wagtailstair.core.rows import VERSION_UNKNOWN
from wagtailstair.core.rows import Row
from wagtailstair.exceptions import ListsError

MAKER = {"priorities": ["standard", "urgent"], "work_per_s": 2000, "max_concurrent": 16}
KEY = {"salt": "00" * 16, "digest": "11" * 32}

TEXT = f"""
version = 7
[plans.maker]
priorities = ["urgent", "standard"]
weight = 1.0
work_per_s = 2000.0
burst_s = 10.0
max_concurrent = 16
models = ["draft"]
[plans.maker.services.entries]
repeatable = ["GET", "HEAD"]
[accounts.san-lucas]
plan = "maker"
keys = [{{ salt = "{KEY["salt"]}", digest = "{KEY["digest"]}" }}]
"""


def plan_row(name="maker", version=1, **changes):
    return Row("plans", name, version, MAKER | changes)


def account_row(name, plan="maker", version=1):
    return Row("accounts", name, version, {"plan": plan})


class TestParse:
    def test_priorities_are_sorted_and_defaults_applied(self):
        plan = parse_plan("maker", MAKER)
        assert plan.priorities == (Priority.URGENT, Priority.STANDARD)
        assert (plan.weight, plan.burst_s, plan.models) == (1.0, 10.0, ())

    @pytest.mark.parametrize(
        ("change", "where"),
        [
            ({"weight": 0}, "plans.maker.weight"),
            ({"weight": "heavy"}, "plans.maker.weight"),
            ({"work_per_s": float("inf")}, "plans.maker.work_per_s"),
            ({"burst_s": -1}, "plans.maker.burst_s"),
            ({"max_concurrent": 0}, "plans.maker.max_concurrent"),
            ({"priorities": ["first"]}, "plans.maker.priorities"),
            ({"priorities": []}, "plans.maker.priorities"),
            ({"priorities": ["batch", "batch"]}, "plans.maker.priorities"),
            ({"services": {"a/b": {}}}, "plans.maker.services.a/b"),
            (
                {"services": {"desk": {"repeatable": ["get"]}}},
                "plans.maker.services.desk.repeatable",
            ),
            ({"wieght": 1}, "plans.maker"),
        ],
    )
    def test_a_plan_error_names_the_path(self, change, where):
        with pytest.raises(ListsError) as caught:
            parse_plan("maker", MAKER | change)
        assert caught.value.where == where

    @pytest.mark.parametrize(
        ("value", "where"),
        [
            ({}, "accounts.shop"),
            ({"plan": 1}, "accounts.shop.plan"),
            ({"plan": "p", "keys": [KEY | {"salt": "zz"}]}, "accounts.shop.keys[0]"),
            ({"plan": "p", "keys": [KEY, {"salt": "00"}]}, "accounts.shop.keys[1]"),
            ({"plan": "p", "keys": [KEY] * 5}, "accounts.shop.keys"),
        ],
    )
    def test_an_account_error_names_the_path(self, value, where):
        with pytest.raises(ListsError) as caught:
            parse_account("shop", value)
        assert caught.value.where.startswith(where)

    @pytest.mark.parametrize("name", ["", "a.b", "a/b", "-a", "a\n", "x" * 65])
    def test_rejects_invalid_names(self, name):
        with pytest.raises(ListsError, match="expected a name"):
            parse_account(name, {"plan": "maker"})


class TestLists:
    def test_with_rows_replaces_and_deletes_rows_in_a_copy(self):
        old = Lists().with_rows(1, [plan_row(), account_row("a"), account_row("b")])
        changed = Row("accounts", "b", VERSION_UNKNOWN, {"plan": "maker"})
        new = old.with_rows(2, [Row("accounts", "a", 0, None), changed])
        assert set(old.account_by_name) == {"a", "b"}
        assert set(new.account_by_name) == {"b"}
        assert new.row_versions == {("plans", "maker"): 1}
        assert new.version == 2

    def test_an_account_without_its_plan_is_invalid(self):
        lists = Lists().with_rows(1, [plan_row(), account_row("a", plan="judge")])
        with pytest.raises(ListsError, match="no plan 'judge'") as caught:
            validate(lists)
        assert caught.value.where == "accounts.a.plan"
        with pytest.raises(ListsError):
            validate(lists, [("accounts", "a")])

    def test_deleting_a_plan_in_use_is_invalid(self):
        lists = Lists().with_rows(1, [plan_row(), account_row("a")])
        lists = lists.with_rows(2, [Row("plans", "maker", 0, None)])
        with pytest.raises(ListsError, match="no plan 'maker'"):
            validate(lists, [("plans", "maker")])


class TestHolder:
    def test_only_a_higher_version_replaces_the_current_one(self):
        holder = ListsHolder()
        assert holder.replace_if_newer(Lists(3))
        assert not holder.replace_if_newer(Lists(3))
        assert not holder.replace_if_newer(Lists(2))
        assert holder.current.version == 3


class TestToml:
    def test_parses_the_documented_format(self):
        lists = lists_from_toml(TEXT)
        plan = lists.plan_of(lists.account_by_name["san-lucas"])
        assert lists.version == 7
        assert plan.service_by_name["entries"].repeatable == {"GET", "HEAD"}

    @pytest.mark.parametrize(
        ("text", "where"),
        [
            ("[plan.maker]", "plan"),
            ("version = -1", "version"),
            ("plans = 1", "plans"),
            ("[accounts.a]\nplan = 'none'", "accounts.a.plan"),
            ("=", None),
        ],
    )
    def test_an_error_names_the_path(self, text, where):
        with pytest.raises(ListsError) as caught:
            lists_from_toml(text)
        assert caught.value.where == where

    @settings(derandomize=True)
    @given(
        st.text(min_size=1, max_size=128).filter(str.isprintable) | st.just("a\x7f\n"),
        st.floats(min_value=1e-300, allow_infinity=False),
    )
    def test_written_lists_are_parsed_unchanged(self, model, weight):
        plan = plan_row(models=[model], weight=weight, services={"desk": {}})
        lists = Lists().with_rows(4, [plan, account_row("a")])
        again = lists_from_toml(lists_to_toml(lists))
        assert again.version == 4
        assert again.account_by_name == lists.account_by_name
        assert again.plan_by_name == lists.plan_by_name
        assert plan_value(again.plan_by_name["maker"])["models"] == [model]
