"""Rows and changes in words."""

import typing as t

from ..core.changes import RowChange
from ..core.plans import Account
from ..core.plans import Plan
from ..core.rows import Value

ABSENT = "-"
KEY_DIGITS = 12


def key_name(digest: str) -> str:
    """Return the short name of a key, from its digest in hex."""
    return digest[:KEY_DIGITS]


def _text(field: str, value: t.Any) -> str:
    if field == "keys":
        names = [key_name(key["digest"]) for key in value]
        return ",".join(names) or ABSENT
    if field == "services":
        parts = []
        for name, use in value.items():
            parts.append(f"{name}:{'/'.join(use['repeatable'])}")
        return " ".join(parts) or ABSENT
    if isinstance(value, list):
        return ",".join(value) or ABSENT
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def describe_value(value: Value) -> str:
    """Return the fields of a row in one line."""
    return " ".join(f"{field}={_text(field, value[field])}" for field in value)


def describe_change(change: RowChange) -> str:
    """Return what a change does to a row, in one line."""
    place = f"{change.table}/{change.key}"
    if change.before is None:
        return f"+ {place} {describe_value(change.value or {})}"
    if change.value is None:
        return f"- {place} {describe_value(change.before)}"
    parts = []
    for field, value in change.value.items():
        before = change.before.get(field)
        if value != before:
            old = ABSENT if before is None else _text(field, before)
            parts.append(f"{field}: {old} -> {_text(field, value)}")
    return f"~ {place} {', '.join(parts)}"


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
    """Return a plan as a line of the table for people."""
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
    """Return an account as a line of the table for people."""
    names = [key_name(key.digest.hex()) for key in account.keys]
    return (account.name, account.plan, ",".join(names) or ABSENT, row_version)
