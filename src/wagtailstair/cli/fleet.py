"""Commands that show the state of hosts and daemons."""

import collections
import concurrent.futures
import dataclasses
import typing as t

import click
import msgspec

from ..exceptions import PlatformError
from ..stores.hosts import ENTRY
from ..stores.hosts import HostEntry
from ..stores.hosts import read_hosts
from ..stores.http import Timeouts
from ..stores.http import request_json
from ..stores.lists import read_head
from ..stores.table import TableClient
from .options import EXIT_FAILED
from .options import TIMEOUTS
from .options import command
from .options import hosts_option
from .options import table_option
from .output import print_json
from .output import print_note
from .output import print_table

MAX_CONCURRENT_STATUS_REQUESTS = 16
STATUS_TIMEOUTS = Timeouts(total_s=5.0, connect_s=1.0)
UNREACHABLE = "unreachable"


class PeerStatus(msgspec.Struct, frozen=True):
    """A peer as a daemon sees it."""

    host: str
    state: str
    lists_version: int


class UpstreamStatus(msgspec.Struct, frozen=True):
    """An upstream as a daemon sees it."""

    name: str
    kind: str
    data_centre: str
    state: str


class DaemonStatus(msgspec.Struct, frozen=True):
    """The reply of a daemon at ``/status``."""

    host: str
    data_centre: str
    ready: bool
    lists_version: int
    peers: tuple[PeerStatus, ...] = ()
    upstreams: tuple[UpstreamStatus, ...] = ()
    open_requests: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class StatusResult:
    """A daemon's status, or the error of the request for it."""

    entry: HostEntry
    status: DaemonStatus | None
    error: str = ""


def _fetch_status(entry: HostEntry) -> StatusResult:
    url = f"http://{entry.address}/status"
    try:
        reply = request_json("GET", url, timeouts=STATUS_TIMEOUTS)
        return StatusResult(entry, msgspec.convert(reply.body, DaemonStatus))
    except (PlatformError, msgspec.ValidationError) as error:
        return StatusResult(entry, None, str(error))


def _fetch_all_statuses(hosts_url: str) -> list[StatusResult]:
    entries = []
    for entry in read_hosts(hosts_url, TIMEOUTS):
        if entry.kind == ENTRY:
            entries.append(entry)
    entries.sort(key=lambda entry: entry.name)
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_STATUS_REQUESTS) as pool:
        return list(pool.map(_fetch_status, entries))


def _print_and_report_failures(
    results: list[StatusResult], print_all: t.Callable[[], None]
) -> None:
    """Print the results; exit with an error if any status request failed."""
    print_all()
    failed = [result for result in results if result.status is None]
    for result in failed:
        print_note(f"no status from {result.entry.name}: {result.error}")
    if failed:
        raise SystemExit(EXIT_FAILED)


def _add_hosts(group: click.Group) -> None:
    @command(group, "hosts")
    @hosts_option
    def hosts(hosts_url: str, as_json: bool) -> None:
        """List the hosts registered with the platform."""
        entries = sorted(
            read_hosts(hosts_url, TIMEOUTS), key=lambda entry: (entry.kind, entry.name)
        )
        if as_json:
            print_json({"hosts": msgspec.to_builtins(entries)})
            return
        rows = []
        for entry in entries:
            rows.append(
                (
                    entry.name,
                    entry.kind,
                    entry.data_centre,
                    entry.address,
                    entry.state,
                    entry.incarnation,
                )
            )
        titles = ("HOST", "KIND", "DATA CENTRE", "ADDRESS", "STATE", "INCARNATION")
        print_table(titles, rows)


def _merge_upstreams(results: list[StatusResult]) -> list[dict[str, t.Any]]:
    merged: dict[tuple[str, str, str], collections.Counter[str]] = {}
    for result in results:
        if result.status is None:
            continue
        for upstream in result.status.upstreams:
            key = (upstream.kind, upstream.data_centre, upstream.name)
            merged.setdefault(key, collections.Counter())[upstream.state] += 1
    upstreams = []
    for (kind, data_centre, name), count_by_state in sorted(merged.items()):
        upstreams.append(
            {
                "name": name,
                "kind": kind,
                "data_centre": data_centre,
                "states": dict(sorted(count_by_state.items())),
            }
        )
    return upstreams


def _add_upstreams(group: click.Group) -> None:
    @command(group, "upstreams")
    @hosts_option
    def upstreams(hosts_url: str, as_json: bool) -> None:
        """List the upstreams, with the number of daemons that see each state."""
        results = _fetch_all_statuses(hosts_url)
        merged = _merge_upstreams(results)

        def print_all() -> None:
            if as_json:
                print_json({"upstreams": merged})
                return
            rows = []
            for upstream in merged:
                states = upstream["states"].items()
                text = ", ".join(f"{state} {count}" for state, count in states)
                cells = (upstream["name"], upstream["kind"], upstream["data_centre"])
                rows.append((*cells, text))
            print_table(("UPSTREAM", "KIND", "DATA CENTRE", "SEEN AS"), rows)

        _print_and_report_failures(results, print_all)


def _add_peers(group: click.Group) -> None:
    @command(group, "peers")
    @hosts_option
    def peers(hosts_url: str, as_json: bool) -> None:
        """List the state of each peer as each daemon sees it."""
        results = _fetch_all_statuses(hosts_url)
        rows = []
        for result in results:
            if result.status is None:
                continue
            for peer in result.status.peers:
                rows.append(
                    (result.entry.name, peer.host, peer.state, peer.lists_version)
                )

        def print_all() -> None:
            if as_json:
                names = ("host", "peer", "state", "lists_version")
                seen = [dict(zip(names, row, strict=True)) for row in rows]
                print_json({"peers": seen})
                return
            print_table(("HOST", "PEER", "STATE", "LISTS"), rows)

        _print_and_report_failures(results, print_all)


def _version_row(result: StatusResult, head: int) -> dict[str, t.Any]:
    row: dict[str, t.Any] = {
        "host": result.entry.name,
        "data_centre": result.entry.data_centre,
        "state": result.entry.state,
    }
    status = result.status
    if status is None:
        return {**row, "error": result.error}
    return {
        **row,
        "ready": status.ready,
        "lists_version": status.lists_version,
        "behind": max(0, head - status.lists_version),
        "open_requests": status.open_requests,
    }


def _add_versions(group: click.Group) -> None:
    @command(group, "versions")
    @hosts_option
    @table_option
    def versions(hosts_url: str, table: TableClient, as_json: bool) -> None:
        """List the version of the lists that each daemon uses."""
        head = read_head(table).version
        results = _fetch_all_statuses(hosts_url)
        rows = [_version_row(result, head) for result in results]

        def print_all() -> None:
            if as_json:
                print_json({"version": head, "hosts": rows})
                return
            click.echo(f"version {head}\n")
            fields = ("host", "data_centre", "state", "ready", "lists_version")
            names = (*fields, "behind", "open_requests")
            lines = []
            for row in rows:
                lines.append([row.get(name, UNREACHABLE) for name in names])
            titles = ("HOST", "DATA CENTRE", "STATE", "READY", "LISTS")
            print_table((*titles, "BEHIND", "OPEN"), lines)

        _print_and_report_failures(results, print_all)


def register(group: click.Group) -> None:
    """Add the commands to a group."""
    _add_hosts(group)
    _add_upstreams(group)
    _add_peers(group)
    _add_versions(group)
