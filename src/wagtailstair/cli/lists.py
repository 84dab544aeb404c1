"""Commands that read, check and edit the lists of plans and accounts."""

import pathlib
import typing as t

import click

from ..core.changes import RowChange
from ..core.changes import RowEdit
from ..core.differences import diff_lists
from ..core.differences import rebase_lists
from ..core.lists import Lists
from ..core.lists_toml import lists_from_toml
from ..core.lists_toml import lists_to_toml
from ..core.plans import ACCOUNTS
from ..core.plans import PLANS
from ..core.plans import account_value
from ..core.plans import plan_value
from ..exceptions import ListsError
from ..stores.lists import read_changes
from ..stores.lists import read_snapshot
from ..stores.lists import seen_version
from ..stores.table import TableClient
from .describe import ACCOUNT_TITLES
from .describe import PLAN_TITLES
from .describe import account_cells
from .describe import describe_change
from .describe import plan_cells
from .editing import print_result
from .editing import run_edit
from .options import command
from .options import edit_options
from .options import table_option
from .output import print_json
from .output import print_table

FILE = click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)


@click.group("lists")
def lists_group() -> None:
    """Show, check, compare and edit the lists of plans and accounts."""


def _read_file(path: pathlib.Path) -> Lists:
    try:
        return lists_from_toml(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ListsError(f"can't be read: {error}", where=str(path)) from error
    except ListsError as error:
        location = str(path) if error.where is None else f"{path}: {error.where}"
        raise ListsError(error.message, where=location) from error


def _lists_value(lists: Lists) -> dict[str, dict[str, t.Any]]:
    plans = lists.plan_by_name.values()
    accounts = lists.account_by_name.values()
    return {
        PLANS: {plan.name: plan_value(plan) for plan in plans},
        ACCOUNTS: {account.name: account_value(account) for account in accounts},
    }


def _print_lists(lists: Lists) -> None:
    click.echo(f"version {lists.version}\n")
    rows = []
    for name, plan in sorted(lists.plan_by_name.items()):
        rows.append(plan_cells(plan, lists.row_versions.get((PLANS, name), 0)))
    print_table(PLAN_TITLES, rows)
    click.echo()
    rows = []
    for name, account in sorted(lists.account_by_name.items()):
        version = lists.row_versions.get((ACCOUNTS, name), 0)
        rows.append(account_cells(account, version))
    print_table(ACCOUNT_TITLES, rows)


@command(lists_group, "show")
@table_option
@click.option("--toml", "as_toml", is_flag=True, help="Print a file for `apply`.")
def show(table: TableClient, as_toml: bool, as_json: bool) -> None:
    """Print both lists as stored in the table."""
    lists = read_snapshot(table)
    if as_toml:
        click.echo(lists_to_toml(lists), nl=False)
    elif as_json:
        row_versions = {}
        for key, row_version in lists.row_versions.items():
            row_versions["/".join(key)] = row_version
        print_json(
            {
                "version": lists.version,
                "row_versions": row_versions,
                **_lists_value(lists),
            }
        )
    else:
        _print_lists(lists)


@command(lists_group, "check")
@click.argument("file", type=FILE)
def check(file: pathlib.Path, as_json: bool) -> None:
    """Check a file without reading the table."""
    lists = _read_file(file)
    plans, accounts = len(lists.plan_by_name), len(lists.account_by_name)
    if as_json:
        print_json({"version": lists.version, PLANS: plans, ACCOUNTS: accounts})
        return
    click.echo(f"{file}: valid, {plans} plans, {accounts} accounts")


def _base_version(edited: Lists, current: Lists, base: int | None) -> int:
    if base is None:
        base = edited.version
    if base == 0 and current.version > 0:
        raise ListsError(
            "the file does not name the version that it is based on;"
            f" give --base (the lists are at {current.version}) or --overwrite",
            where="version",
        )
    if base > current.version:
        raise ListsError(
            f"the base version is newer than the lists (version {current.version})",
            where="version",
        )
    return base


def _rows_to_change(
    table: TableClient,
    current: Lists,
    edited: Lists,
    base: int | None,
    overwrite: bool,
) -> list[RowChange]:
    if overwrite:
        return diff_lists(current, edited)
    base = _base_version(edited, current, base)
    later_changes = read_changes(table, base + 1, current.version)
    return rebase_lists(edited, current, later_changes)


_base_option = click.option(
    "--base",
    type=click.IntRange(min=0),
    metavar="VERSION",
    help="The version that the file was made from; by default the file names it.",
)
_overwrite_option = click.option(
    "--overwrite", is_flag=True, help="Undo what others changed since then."
)


@command(lists_group, "diff")
@table_option
@click.argument("file", type=FILE)
@_base_option
@_overwrite_option
def diff(
    table: TableClient,
    file: pathlib.Path,
    base: int | None,
    overwrite: bool,
    as_json: bool,
) -> None:
    """Print the changes that `apply` would make."""
    edited = _read_file(file)
    current = read_snapshot(table)
    changes = _rows_to_change(table, current, edited, base, overwrite)
    if as_json:
        rows = []
        for change in changes:
            rows.append(
                {
                    "table": change.table,
                    "key": change.key,
                    "before": change.before,
                    "value": change.value,
                }
            )
        print_json({"version": current.version, "rows": rows})
        return
    for change in changes:
        click.echo(describe_change(change))


@command(lists_group, "apply")
@table_option
@click.argument("file", type=FILE)
@_base_option
@_overwrite_option
@edit_options
def apply(
    table: TableClient,
    file: pathlib.Path,
    base: int | None,
    overwrite: bool,
    author: str,
    change_id: str | None,
    as_json: bool,
) -> None:
    """Edit the rows in which the lists differ from a file."""
    edited = _read_file(file)

    def make_rows() -> list[RowEdit]:
        current = read_snapshot(table)
        rows = []
        for change in _rows_to_change(table, current, edited, base, overwrite):
            version = seen_version(current, change.row_key)
            rows.append(RowEdit(change.table, change.key, change.value, version))
        # A large edit is committed in parts, and the lists must be valid after each:
        # a plan is deleted only after the accounts that use it were changed.
        rows.sort(key=lambda row: row.table == PLANS and row.value is None)
        return rows

    content = ["apply", _lists_value(edited)]
    result = run_edit(table, author, change_id, content, make_rows)
    print_result(result, as_json)
    if result.change is not None and not as_json:
        for row in result.change.rows:
            click.echo(describe_change(row))
