"""Commands that manage the keys of accounts."""

import os

import click

from ..core.changes import RowEdit
from ..core.keys import SEPARATOR
from ..core.keys import new_key
from ..core.lists import Lists
from ..core.plans import ACCOUNTS
from ..core.plans import MAX_KEYS
from ..core.plans import Account
from ..core.plans import Key
from ..exceptions import ListsError
from ..exceptions import PlatformUnknownError
from ..stores.lists import read_rows
from ..stores.lists import seen_version
from ..stores.table import TableClient
from .describe import key_name
from .editing import EditResult
from .editing import print_result
from .editing import run_edit
from .options import command
from .options import edit_options
from .options import table_option
from .output import print_json
from .output import print_note
from .output import print_table


@click.group("keys")
def keys_group() -> None:
    """Create, list and remove the keys of an account."""


def _read_account(table: TableClient, name: str) -> tuple[Lists, Account]:
    lists = read_rows(table, [(ACCOUNTS, name)])
    account = lists.account_by_name.get(name)
    if account is None:
        raise ListsError("there is no such account", where=f"{ACCOUNTS}/{name}")
    return lists, account


def _row_with_keys(
    lists: Lists, account: Account, keys: list[dict[str, str]]
) -> RowEdit:
    key = (ACCOUNTS, account.name)
    value = {"plan": account.plan, "keys": keys}
    return RowEdit(*key, value, seen_version(lists, key))


def _key_values(account: Account) -> list[dict[str, str]]:
    values = []
    for key in account.keys:
        values.append({"salt": key.salt.hex(), "digest": key.digest.hex()})
    return values


def _adds_key(result: EditResult, key: Key) -> bool:
    # An earlier run with the same change id may have added a different key.
    if result.change is None:
        return False
    for row in result.change.rows:
        values = [] if row.value is None else row.value["keys"]
        if any(value["digest"] == key.digest.hex() for value in values):
            return True
    return False


@command(keys_group, "new")
@table_option
@click.argument("account")
@edit_options
def new(
    table: TableClient,
    account: str,
    author: str,
    change_id: str | None,
    as_json: bool,
) -> None:
    """Create a key for an account and print it; it cannot be printed again."""
    created = new_key(os.urandom)
    bearer = f"{account}{SEPARATOR}{created.secret}"

    def make_rows() -> list[RowEdit]:
        lists, current = _read_account(table, account)
        if len(current.keys) >= MAX_KEYS:
            raise ListsError(
                f"has {MAX_KEYS} keys already; remove one first",
                where=f"{ACCOUNTS}/{account}",
            )
        added = {"salt": created.key.salt.hex(), "digest": created.key.digest.hex()}
        return [_row_with_keys(lists, current, [*_key_values(current), added])]

    try:
        result = run_edit(table, author, change_id, ["new key", account], make_rows)
    except PlatformUnknownError:
        print_note("if the change took effect, this is the key:")
        click.echo(bearer)
        raise
    is_added = _adds_key(result, created.key)
    if not is_added:
        print_note("the key was printed by the earlier run that created it")
    if as_json:
        version = None if result.change is None else result.change.version
        print_json({"version": version, "key": bearer if is_added else None})
        return
    print_result(result, as_json)
    if is_added:
        click.echo(bearer)


@command(keys_group, "list")
@table_option
@click.argument("account")
def list_(table: TableClient, account: str, as_json: bool) -> None:
    """List the keys of an account, each by the start of its digest."""
    _, current = _read_account(table, account)
    names = [key_name(key.digest.hex()) for key in current.keys]
    if as_json:
        print_json({"account": account, "keys": names})
        return
    print_table(("KEY",), [(name,) for name in names])


@command(keys_group, "remove")
@table_option
@click.argument("account")
@click.argument("key")
@edit_options
def remove(
    table: TableClient,
    account: str,
    key: str,
    author: str,
    change_id: str | None,
    as_json: bool,
) -> None:
    """Remove a key, given as printed by `keys list`."""

    def make_rows() -> list[RowEdit]:
        lists, current = _read_account(table, account)
        values = _key_values(current)
        kept = [value for value in values if key_name(value["digest"]) != key]
        if len(kept) == len(values):
            raise ListsError("there is no such key", where=f"{ACCOUNTS}/{account}")
        return [_row_with_keys(lists, current, kept)]

    content = ["remove key", account, key]
    result = run_edit(table, author, change_id, content, make_rows)
    print_result(result, as_json)
