"""Snapshots of the lists of plans and accounts, each at one version."""

import collections.abc
import dataclasses
import threading
import typing as t

from ..exceptions import ListsError
from .plans import ACCOUNTS as ACCOUNTS
from .plans import PLANS as PLANS
from .plans import Account as Account
from .plans import Key as Key
from .plans import Plan as Plan
from .plans import ServiceUse as ServiceUse
from .plans import account_value
from .plans import parse_account as parse_account
from .plans import parse_plan as parse_plan
from .plans import plan_value
from .rows import VERSION_ABSENT
from .rows import VERSION_UNKNOWN
from .rows import Row
from .rows import RowKey
from .rows import Value

LISTS = "lists"
HEAD = "head"
HEAD_KEY: RowKey = (LISTS, HEAD)


@dataclasses.dataclass(slots=True, frozen=True)
class Lists:
    """An immutable snapshot of the plans and accounts at one version.

    ``row_versions``: the known versions of the rows in the table; a row whose
    value comes from an audit record has none.
    """

    version: int = 0
    plan_by_name: t.Mapping[str, Plan] = dataclasses.field(default_factory=dict)
    account_by_name: t.Mapping[str, Account] = dataclasses.field(default_factory=dict)
    row_versions: t.Mapping[RowKey, int] = dataclasses.field(default_factory=dict)

    def plan_of(self, account: Account) -> Plan:
        """Return the plan of an account of these lists."""
        return self.plan_by_name[account.plan]

    def value_of(self, key: RowKey) -> Value | None:
        """Return the JSON value of a plan or an account, ``None`` if absent."""
        table, name = key
        if table == PLANS:
            plan = self.plan_by_name.get(name)
            return None if plan is None else plan_value(plan)
        account = self.account_by_name.get(name)
        return None if account is None else account_value(account)

    def with_rows(self, version: int, rows: collections.abc.Iterable[Row]) -> "Lists":
        """Return the lists at another version, with some rows replaced.

        Only these rows are parsed; all others are copied by reference.

        :raises ListsError: if a row can't be parsed.
        """
        plan_by_name = dict(self.plan_by_name)
        account_by_name = dict(self.account_by_name)
        row_versions = dict(self.row_versions)
        for row in rows:
            if row.table == PLANS:
                _put(plan_by_name, row, parse_plan)
            elif row.table == ACCOUNTS:
                _put(account_by_name, row, parse_account)
            if row.version in (VERSION_ABSENT, VERSION_UNKNOWN):
                row_versions.pop((row.table, row.key), None)
                continue
            row_versions[row.table, row.key] = row.version
        return Lists(version, plan_by_name, account_by_name, row_versions)


_ItemT = t.TypeVar("_ItemT")


def _put(
    item_by_name: dict[str, _ItemT],
    row: Row,
    parse: t.Callable[[str, object], _ItemT],
) -> None:
    if row.value is None:
        item_by_name.pop(row.key, None)
        return
    item_by_name[row.key] = parse(row.key, row.value)


def _check_account(lists: Lists, account: Account) -> None:
    if account.plan not in lists.plan_by_name:
        raise ListsError(
            f"there is no plan {account.plan!r}",
            where=f"{ACCOUNTS}.{account.name}.plan",
        )


def validate(
    lists: Lists, changed: collections.abc.Iterable[RowKey] | None = None
) -> None:
    """Check that every account's plan exists.

    :param changed: rows that differ from lists already known to be valid; all
        accounts are checked only if a plan among these rows was deleted.
    :raises ListsError: naming the account.
    """
    if changed is None:
        for account in lists.account_by_name.values():
            _check_account(lists, account)
        return
    deleted = set()
    for table, name in changed:
        if table == PLANS and name not in lists.plan_by_name:
            deleted.add(name)
        if table == ACCOUNTS and name in lists.account_by_name:
            _check_account(lists, lists.account_by_name[name])
    if not deleted:
        return
    for account in lists.account_by_name.values():
        if account.plan in deleted:
            _check_account(lists, account)


class ListsHolder:
    """The current lists; a lower version never replaces a higher one."""

    __slots__ = ("_current", "_lock")

    def __init__(self) -> None:
        self._current = Lists()
        self._lock = threading.Lock()

    @property
    def current(self) -> Lists:
        """The current lists; each request keeps the snapshot it started with."""
        return self._current

    def replace_if_newer(self, lists: Lists) -> bool:
        """Replace the current lists by a higher version; return whether replaced."""
        with self._lock:
            if lists.version <= self._current.version:
                return False
            self._current = lists
            return True
