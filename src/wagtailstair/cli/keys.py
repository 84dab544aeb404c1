"""Commands for the keys of accounts."""

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
    """Make, list and remove the keys of an account."""


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
    # An earlier run with the same change id may have added another key.
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
    """Give an account one more key, and print it once."""
    made = new_key(os.urandom)
    bearer = f"{account}{SEPARATOR}{made.secret}"

    def make_rows() -> list[RowEdit]:
        lists, found = _read_account(table, account)
        if len(found.keys) >= MAX_KEYS:
            raise ListsError(
                f"has {MAX_KEYS} keys already; remove one first",
                where=f"{ACCOUNTS}/{account}",
            )
        added = {"salt": made.key.salt.hex(), "digest": made.key.digest.hex()}
        return [_row_with_keys(lists, found, [*_key_values(found), added])]

    try:
        result = run_edit(table, author, change_id, ["new key", account], make_rows)
    except PlatformUnknownError:
        print_note("if the change took effect, this is the key:")
        click.echo(bearer)
        raise
    is_in_force = _adds_key(result, made.key)
    if not is_in_force:
        print_note("the key was printed by the run that made it")
    if as_json:
        version = None if result.change is None else result.change.version
        print_json({"version": version, "key": bearer if is_in_force else None})
        return
    print_result(result, as_json)
    if is_in_force:
        click.echo(bearer)


@command(keys_group, "list")
@table_option
@click.argument("account")
def list_(table: TableClient, account: str, as_json: bool) -> None:
    """List the keys of an account by the start of their digests."""
    _, found = _read_account(table, account)
    names = [key_name(key.digest.hex()) for key in found.keys]
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
    """Remove a key, named as `keys list` names it."""

    def make_rows() -> list[RowEdit]:
        lists, found = _read_account(table, account)
        values = _key_values(found)
        kept = [value for value in values if key_name(value["digest"]) != key]
        if len(kept) == len(values):
            raise ListsError("there is no such key", where=f"{ACCOUNTS}/{account}")
        return [_row_with_keys(lists, found, kept)]

    content = ["remove key", account, key]
    result = run_edit(table, author, change_id, content, make_rows)
    print_result(result, as_json)
