"""Rows and changes of the lists, formatted for the terminal."""

import typing as t

from ..core.changes import RowChange
from ..core.plans import Account
from ..core.plans import Plan
from ..core.rows import Value

ABSENT = "-"
KEY_NAME_HEX_DIGITS = 12


def key_name(digest: str) -> str:
    """Return the name shown for a key: the start of its hex digest."""
    return digest[:KEY_NAME_HEX_DIGITS]


def _format_field(field: str, value: t.Any) -> str:
    if field == "keys":
        names = [key_name(key["digest"]) for key in value]
        return ",".join(names) or ABSENT
    if field == "services":
        parts = []
        for name, service in value.items():
            parts.append(f"{name}:{'/'.join(service['repeatable'])}")
        return " ".join(parts) or ABSENT
    if isinstance(value, list):
        return ",".join(value) or ABSENT
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def describe_value(value: Value) -> str:
    """Return the fields of a row as one line of ``field=value`` pairs."""
    return " ".join(f"{field}={_format_field(field, value[field])}" for field in value)


def describe_change(change: RowChange) -> str:
    """Return a row's change as one line.

    The line starts with ``+`` for an added row, ``-`` for a deleted one and
    ``~`` for a changed one.
    """
    row_path = f"{change.table}/{change.key}"
    if change.before is None:
        return f"+ {row_path} {describe_value(change.value or {})}"
    if change.value is None:
        return f"- {row_path} {describe_value(change.before)}"
    parts = []
    for field, value in change.value.items():
        before = change.before.get(field)
        if value != before:
            old = ABSENT if before is None else _format_field(field, before)
            parts.append(f"{field}: {old} -> {_format_field(field, value)}")
    return f"~ {row_path} {', '.join(parts)}"


PLAN_TITLES = (
    "PLAN",
    "PRIORITIES",
    "WEIGHT",
    "WORK/S",
    "BURST S",
    "CONCURRENT",
    "MODELS",
    "SERVICES",
    "ROW",
)
ACCOUNT_TITLES = ("ACCOUNT", "PLAN", "KEYS", "ROW")


def plan_cells(plan: Plan, row_version: int) -> tuple[object, ...]:
    """Return the cells of a plan, in the order of ``PLAN_TITLES``."""
    priorities = ",".join(priority.name.lower() for priority in plan.priorities)
    return (
        plan.name,
        priorities,
        f"{plan.weight:g}",
        f"{plan.work_per_s:g}",
        f"{plan.burst_s:g}",
        plan.max_concurrent,
        ",".join(plan.models) or ABSENT,
        ",".join(sorted(plan.service_by_name)) or ABSENT,
        row_version,
    )


def account_cells(account: Account, row_version: int) -> tuple[object, ...]:
    """Return the cells of an account, in the order of ``ACCOUNT_TITLES``."""
    names = [key_name(key.digest.hex()) for key in account.keys]
    return (account.name, account.plan, ",".join(names) or ABSENT, row_version)
