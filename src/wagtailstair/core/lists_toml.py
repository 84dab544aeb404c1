"""Conversion of the lists to and from TOML."""

import json
import tomllib

from ..exceptions import ListsError
from .lists import Lists
from .lists import validate
from .plans import ACCOUNTS
from .plans import PLANS
from .plans import account_value
from .plans import parse_account
from .plans import parse_plan
from .plans import plan_value
from .rows import Value

_VERSION = "version"


def _table(raw: dict[str, object], name: str) -> dict[str, object]:
    table = raw.get(name, {})
    if not isinstance(table, dict):
        raise ListsError("expected a table", where=name)
    return table


def lists_from_toml(text: str) -> Lists:
    """Parse and validate the lists of plans and accounts.

    The version is that of the lists from which the text was written, 0 if the
    text has none.

    :raises ListsError: with the path of the invalid item in ``where``.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ListsError(f"not valid TOML: {error}") from error
    for key in raw:
        if key not in (_VERSION, PLANS, ACCOUNTS):
            raise ListsError("there is no such key", where=key)
    version = raw.get(_VERSION, 0)
    if type(version) is not int or version < 0:
        raise ListsError("expected a whole number, 0 or more", where=_VERSION)
    plan_by_name = {}
    for name, value in _table(raw, PLANS).items():
        plan_by_name[name] = parse_plan(name, value)
    account_by_name = {}
    for name, value in _table(raw, ACCOUNTS).items():
        account_by_name[name] = parse_account(name, value)
    lists = Lists(version, plan_by_name, account_by_name)
    validate(lists)
    return lists


def _literal(value: object) -> str:
    if isinstance(value, dict):
        pairs = ", ".join(f"{key} = {_literal(item)}" for key, item in value.items())
        return "{ " + pairs + " }"
    if isinstance(value, list):
        return "[" + ", ".join(_literal(item) for item in value) + "]"
    if isinstance(value, str):
        # A JSON string is a valid TOML basic string, except for DEL.
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
    return repr(value)


def _section(path: str, value: Value) -> list[str]:
    lines = [f"[{path}]"]
    for key, item in value.items():
        if key != "services":
            lines.append(f"{key} = {_literal(item)}")
    lines.append("")
    for name, use in value.get("services", {}).items():
        lines.extend(_section(f"{path}.services.{name}", use))
    return lines


def lists_to_toml(lists: Lists) -> str:
    """Return the lists as TOML that `lists_from_toml` parses."""
    lines = [f"{_VERSION} = {lists.version}", ""]
    for name, plan in sorted(lists.plan_by_name.items()):
        lines.extend(_section(f"{PLANS}.{name}", plan_value(plan)))
    for name, account in sorted(lists.account_by_name.items()):
        lines.extend(_section(f"{ACCOUNTS}.{name}", account_value(account)))
    return "\n".join(lines[:-1]) + "\n"
