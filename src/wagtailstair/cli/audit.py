"""The command that prints the audit trail."""

import click

from ..core.changes import Change
from ..core.changes import change_value
from ..core.plans import ACCOUNTS
from ..core.plans import PLANS
from ..core.rows import RowKey
from ..stores.lists import read_changes
from ..stores.lists import read_head
from ..stores.table import TableClient
from .describe import describe_change
from .options import command
from .options import table_option
from .output import print_json

DEFAULT_CHANGE_COUNT = 100


def _selected_row_keys(
    accounts: tuple[str, ...], plans: tuple[str, ...]
) -> set[RowKey]:
    keys = {(ACCOUNTS, name) for name in accounts}
    keys.update((PLANS, name) for name in plans)
    return keys


def _changes_any_row(change: Change, keys: set[RowKey]) -> bool:
    return not keys or any(row.row_key in keys for row in change.rows)


def register(group: click.Group) -> None:
    """Add the command to a group."""

    @command(group, "audit")
    @table_option
    @click.option(
        "--since",
        type=click.IntRange(min=0),
        metavar="VERSION",
        help=f"Changes after a version; by default the last {DEFAULT_CHANGE_COUNT}.",
    )
    @click.option("--account", "accounts", multiple=True, metavar="NAME")
    @click.option("--plan", "plans", multiple=True, metavar="NAME")
    def audit(
        table: TableClient,
        since: int | None,
        accounts: tuple[str, ...],
        plans: tuple[str, ...],
        as_json: bool,
    ) -> None:
        """Print the accepted changes of the lists, oldest first."""
        head = read_head(table)
        if since is None:
            since = max(0, head.version - DEFAULT_CHANGE_COUNT)
        keys = _selected_row_keys(accounts, plans)
        changes = []
        for change in read_changes(table, since + 1, head.version):
            if _changes_any_row(change, keys):
                changes.append(change)
        if as_json:
            print_json({"changes": [change_value(change) for change in changes]})
            return
        for change in changes:
            click.echo(
                f"{change.version}  {change.at}  {change.author}  {change.change_id}"
            )
            for row in change.rows:
                click.echo(f"    {describe_change(row)}")
