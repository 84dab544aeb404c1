"""Commands that edit a single row of the lists."""

import typing as t

import click

from ..core.changes import RowEdit
from ..core.lists import Lists
from ..core.plans import ACCOUNTS
from ..core.plans import PLANS
from ..core.rows import RowKey
from ..core.rows import Value
from ..exceptions import ListsError
from ..stores.lists import read_rows
from ..stores.lists import seen_version
from ..stores.table import TableClient
from .editing import print_result
from .editing import run_edit
from .lists import lists_group
from .options import command
from .options import edit_options
from .options import table_option

_TABLE_BY_KIND = {"plan": PLANS, "account": ACCOUNTS}

row_version_option = click.option(
    "--row-version",
    type=click.IntRange(min=0),
    metavar="VERSION",
    help="Refuse if the row is not at this version, as `lists show` tells it.",
)


def _split_names(
    _context: click.Context, _parameter: click.Parameter, text: str | None
) -> list[str] | None:
    if text is None:
        return None
    return [part.strip() for part in text.split(",") if part.strip()]


def _parse_services(
    _context: click.Context, _parameter: click.Parameter, texts: tuple[str, ...]
) -> dict[str, Value]:
    services: dict[str, Value] = {}
    for text in texts:
        name, _, methods = text.partition("=")
        names = [method for method in methods.split(",") if method]
        services[name] = {"repeatable": names}
    return services


def _edit_if_changed(
    lists: Lists, key: RowKey, row_version: int | None, value: Value | None
) -> list[RowEdit]:
    current_version = seen_version(lists, key)
    if row_version is None:
        row_version = current_version
    if row_version == current_version and lists.value_of(key) == value:
        return []
    return [RowEdit(*key, value, row_version)]


def _merge_plan(
    old: Value | None,
    fields: dict[str, t.Any],
    services: dict[str, Value],
    removed: tuple[str, ...],
) -> Value:
    given = {field: value for field, value in fields.items() if value is not None}
    value = {**(old or {}), **given}
    merged = dict(value.get("services", {})) | services
    for name in removed:
        merged.pop(name, None)
    value["services"] = merged
    return value


@command(lists_group, "set-plan")
@table_option
@click.argument("name")
@click.option(
    "--priorities",
    callback=_split_names,
    help="As urgent,standard,batch.",
)
@click.option("--weight", type=float, help="Share among accounts of a priority.")
@click.option("--work-per-s", type=float, help="Rate limit in work a second.")
@click.option("--burst-s", type=float, help="Seconds of burst.")
@click.option("--max-concurrent", type=int, help="Open requests of an account.")
@click.option("--models", callback=_split_names, help="Names, with commas between.")
@click.option(
    "--service",
    "services",
    multiple=True,
    callback=_parse_services,
    metavar="NAME=METHODS",
    help="Allow a service; METHODS (as GET,HEAD) need no idempotency key.",
)
@click.option("--no-service", "removed", multiple=True, metavar="NAME")
@row_version_option
@edit_options
def set_plan(
    table: TableClient,
    name: str,
    services: dict[str, Value],
    removed: tuple[str, ...],
    row_version: int | None,
    author: str,
    change_id: str | None,
    as_json: bool,
    **fields: t.Any,
) -> None:
    """Add a plan, or change the given fields of an existing one."""
    key = (PLANS, name)

    def make_rows() -> list[RowEdit]:
        lists = read_rows(table, [key])
        value = _merge_plan(lists.value_of(key), fields, services, removed)
        return _edit_if_changed(lists, key, row_version, value)

    content = ["set-plan", name, fields, services, list(removed)]
    result = run_edit(table, author, change_id, content, make_rows)
    print_result(result, as_json)


@command(lists_group, "set-account")
@table_option
@click.argument("name")
@click.option("--plan", required=True, help="The plan that the account holds.")
@row_version_option
@edit_options
def set_account(
    table: TableClient,
    name: str,
    plan: str,
    row_version: int | None,
    author: str,
    change_id: str | None,
    as_json: bool,
) -> None:
    """Add an account, or move it to another plan; its keys stay."""
    key = (ACCOUNTS, name)

    def make_rows() -> list[RowEdit]:
        lists = read_rows(table, [key])
        old = lists.value_of(key) or {"keys": []}
        return _edit_if_changed(lists, key, row_version, {**old, "plan": plan})

    content = ["set-account", name, plan]
    result = run_edit(table, author, change_id, content, make_rows)
    print_result(result, as_json)


@command(lists_group, "delete")
@table_option
@click.argument("kind", type=click.Choice(sorted(_TABLE_BY_KIND)))
@click.argument("name")
@row_version_option
@edit_options
def delete(
    table: TableClient,
    kind: str,
    name: str,
    row_version: int | None,
    author: str,
    change_id: str | None,
    as_json: bool,
) -> None:
    """Delete an account, or a plan that no account uses."""
    key = (_TABLE_BY_KIND[kind], name)

    def make_rows() -> list[RowEdit]:
        lists = read_rows(table, [key])
        if lists.value_of(key) is None and row_version is None:
            raise ListsError(f"there is no such {kind}", where="/".join(key))
        return _edit_if_changed(lists, key, row_version, None)

    result = run_edit(table, author, change_id, ["delete", *key], make_rows)
    print_result(result, as_json)
