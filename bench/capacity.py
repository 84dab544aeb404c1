"""Compute the cost of control traffic and state at the target size.

Run with ``python -m bench.capacity``. The costs of single messages, peers,
accounts and requests are measured; docs/CAPACITY.md explains the figures.
"""

import dataclasses
import pathlib
import resource
import typing as t

from bench import capacity_slopes as slopes
from wagtailstair import daemon as _daemon  # noqa: F401 - its memory is measured

SECONDS_A_DAY = 86_400
IP_UDP_BYTES = 28
BUDGET_BYTES_PER_S = 6 * 1024
BUDGET_CORE_SHARE = 0.023
BUDGET_KB = 64 * 1024
TABLE_READ_LIMIT_PER_S = 2_000
OUTPUT_PATH = pathlib.Path("bench/out/capacity.txt")

Row = tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class DeploymentSize:
    """The size and load of a deployment."""

    hosts: int
    data_centres: int
    replicas: int
    accounts: int
    requests_per_s: float
    models: int
    changes_a_day: float


TARGET_SIZE = DeploymentSize(380, 17, 3_900, 39_000, 14_000.0, 5, 7_100.0)
PRESENT_SIZE = DeploymentSize(8, 3, 43, 10, 0.0, 1, 100.0)


class Report:
    """A report that is printed line by line and kept for the output file."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def add_line(self, line: str = "") -> None:
        """Print and keep a line."""
        self.lines.append(line)
        print(line, flush=True)

    def add_table(self, head: Row, rows: t.Iterable[Row]) -> None:
        """Print and keep a table."""
        self.add_line("| " + " | ".join(head) + " |")
        self.add_line("|" + " --- |" * len(head))
        for row in rows:
            self.add_line("| " + " | ".join(row) + " |")
        self.add_line()


def _print_by_size(
    report: Report,
    title: str,
    sizes: t.Iterable[int],
    measure: t.Callable[[int], dict[str, float]],
) -> dict[str, float]:
    """Print the measures at several sizes; return those at the last size."""
    last_measures: dict[str, float] = {}
    rows = []
    for size in sizes:
        last_measures = measure(size)
        rows.append((str(size), *(f"{value:.2f}" for value in last_measures.values())))
    report.add_table((title, *last_measures), rows)
    return last_measures


def _print_messages(report: Report) -> tuple[dict[str, int], dict[str, float]]:
    sizes = slopes.datagram_bytes()
    times = slopes.codec_us()
    rows = []
    for name, size in sizes.items():
        encode_us, decode_us = times[name]
        rows.append((name, str(size), f"{encode_us:.0f}", f"{decode_us:.0f}"))
    report.add_table(("message", "datagram bytes", "encode us", "decode us"), rows)
    codec_us = {
        name: encode_us + decode_us for name, (encode_us, decode_us) in times.items()
    }
    return sizes, codec_us


def _wire_bytes(sizes: dict[str, int], *names: str) -> int:
    return sum(sizes[name] + IP_UDP_BYTES for name in names)


def _traffic(
    size: DeploymentSize, sizes: dict[str, int], heartbeat_s: float
) -> dict[str, float]:
    """Return the bytes/s that an average node sends, by purpose."""
    inside, outside = slopes.heartbeats_per_minute(
        size.hosts, size.data_centres, heartbeat_s
    )
    heartbeat_bytes = _wire_bytes(sizes, "heartbeat")
    neighbours = size.hosts / size.data_centres - 1
    engines_per_host = size.replicas / size.hosts
    requests_per_s = size.requests_per_s / size.hosts
    remote_share = 1.0 - size.data_centres / size.hosts
    # Every message has one sender. On average, a node thus sends as many bytes
    # as all messages of its own requests have, whichever nodes send them.
    dispatch_bytes = _wire_bytes(sizes, "submit", "granted", "finished", "ack")
    charge_bytes = _wire_bytes(sizes, "charge", "charged", "settle", "ack")
    changes = size.changes_a_day / SECONDS_A_DAY
    return {
        "heartbeats inside": inside / 60.0 * heartbeat_bytes,
        "heartbeats outside": outside / 60.0 * heartbeat_bytes,
        "versions of the lists": changes
        * (neighbours + 2 * size.data_centres)
        * heartbeat_bytes,
        "engine reports to all": engines_per_host
        * neighbours
        / 30.0
        * _wire_bytes(sizes, "report"),
        "engine loads, changed each second": engines_per_host
        * remote_share
        * _wire_bytes(sizes, "load"),
        "dispatch of requests": requests_per_s * remote_share * dispatch_bytes,
        "charges of accounts": requests_per_s * (1.0 - 1.0 / size.hosts) * charge_bytes,
    }


def _print_traffic(
    report: Report, size: DeploymentSize, sizes: dict[str, int], heartbeat_s: float
) -> None:
    traffic = _traffic(size, sizes, heartbeat_s)
    total = sum(traffic.values())
    rows = [(name, f"{value:.0f}") for name, value in traffic.items()]
    rows.append(("all", f"{total:.0f}"))
    rows.append(("budget", str(BUDGET_BYTES_PER_S)))
    report.add_line(
        f"Bytes a second sent by a node of {size.hosts}"
        f" at {size.requests_per_s:g} requests/s, heartbeats each {heartbeat_s:g} s:"
    )
    report.add_table(("purpose", "bytes/s"), rows)
    remaining = BUDGET_BYTES_PER_S - total
    if remaining > 0 and size.requests_per_s == 0:
        one_request_per_node = dataclasses.replace(
            size, requests_per_s=float(size.hosts)
        )
        per_request = (
            sum(_traffic(one_request_per_node, sizes, heartbeat_s).values()) - total
        )
        report.add_line(f"Room for {remaining / per_request:.1f} requests/s a node.")
        report.add_line()


def _print_processor(
    report: Report,
    codec_us: dict[str, float],
    membership: dict[str, float],
    dispatch: dict[str, float],
    quota: dict[str, float],
) -> None:
    requests_per_s = TARGET_SIZE.requests_per_s / TARGET_SIZE.hosts
    inside, outside = slopes.heartbeats_per_minute(
        TARGET_SIZE.hosts, TARGET_SIZE.data_centres, 1.0
    )
    heartbeats_per_s = (inside + outside) / 60.0
    engines_per_host = TARGET_SIZE.replicas / TARGET_SIZE.hosts
    charge_codec_us = sum(
        codec_us[name] for name in ("charge", "charged", "settle", "ack")
    )
    microseconds = {
        "heartbeats": heartbeats_per_s
        * (codec_us["heartbeat"] + membership["heartbeat us"]),
        "membership ticks, 10 a second": 10 * membership["tick us"],
        "engine loads": engines_per_host * codec_us["load"],
        "requests as entry host": requests_per_s * dispatch["entry"],
        "requests as dispatcher": requests_per_s * dispatch["dispatcher"],
        "charges, both sides": requests_per_s * (charge_codec_us + quota["charge us"]),
    }
    rows = [(name, f"{us / 1e4:.2f} %") for name, us in microseconds.items()]
    rows.append(("all", f"{sum(microseconds.values()) / 1e4:.2f} %"))
    rows.append(("budget", f"{BUDGET_CORE_SHARE * 100:.1f} %"))
    report.add_line("Share of a core that control takes on an average node:")
    report.add_table(("purpose", "core"), rows)


def _print_memory(
    report: Report,
    imports_kb: float,
    membership: dict[str, float],
    quota: dict[str, float],
    lists: dict[str, float],
) -> None:
    kilobytes = {
        "imports (resident, before any state)": imports_kb,
        "peers": TARGET_SIZE.hosts * membership["peer KB"],
        "accounts as owner (1/380 of them)": TARGET_SIZE.accounts
        / TARGET_SIZE.hosts
        * quota["account KB"],
        "both lists": TARGET_SIZE.accounts * lists["account KB"],
    }
    rows = [(name, f"{value / 1024:.1f}") for name, value in kilobytes.items()]
    rows.append(("all", f"{sum(kilobytes.values()) / 1024:.1f}"))
    rows.append(("budget", f"{BUDGET_KB / 1024:.0f}"))
    report.add_line("Memory of control, MB:")
    report.add_table(("what", "MB"), rows)


def _print_table_reads(report: Report) -> None:
    hosts = round(TARGET_SIZE.hosts / TARGET_SIZE.data_centres)
    rows = []
    for count in (3, 8, hosts):
        rows.append((str(count), f"{slopes.version_reads_per_s(count, 1.0):.2f}"))
    report.add_table(("hosts of a data centre", "reads of the version/s"), rows)
    listed = TARGET_SIZE.hosts + TARGET_SIZE.replicas
    report.add_line(
        f"The host list of {listed} hosts: {slopes.host_list_kb(listed):.0f} KB,"
        f" of {PRESENT_SIZE.hosts + PRESENT_SIZE.replicas} hosts:"
        f" {slopes.host_list_kb(PRESENT_SIZE.hosts + PRESENT_SIZE.replicas):.1f} KB."
    )
    report.add_line()
    reads = slopes.version_reads_per_s(hosts, 1.0) * TARGET_SIZE.data_centres
    report.add_line(
        f"All data centres: {reads:.0f} of {TABLE_READ_LIMIT_PER_S} reads/s."
    )
    report.add_line()


def _print_roles(
    report: Report,
    sizes: dict[str, int],
    codec_us: dict[str, float],
    dispatch: dict[str, float],
    quota: dict[str, float],
) -> None:
    """Print the extra load of the host that holds a role, above the average."""
    pool_requests_per_s = (
        TARGET_SIZE.requests_per_s / TARGET_SIZE.data_centres / TARGET_SIZE.models
    )
    owner_requests_per_s = TARGET_SIZE.requests_per_s / TARGET_SIZE.hosts
    dispatcher_core = pool_requests_per_s * dispatch["dispatcher"] / 1e4
    owner_us = quota["charge us"] + sum(codec_us[n] for n in ("charge", "charged")) / 2
    rows = [
        (
            "dispatcher of one pool",
            f"{pool_requests_per_s:.0f}",
            f"{pool_requests_per_s * _wire_bytes(sizes, 'granted', 'ack'):.0f}",
            f"{dispatcher_core:.1f} %",
        ),
        (
            "owner of its accounts",
            f"{owner_requests_per_s:.0f}",
            f"{owner_requests_per_s * _wire_bytes(sizes, 'charged', 'ack'):.0f}",
            f"{owner_requests_per_s * owner_us / 1e4:.2f} %",
        ),
    ]
    report.add_line("Roles that hash to single hosts:")
    report.add_table(("role", "requests/s", "bytes/s sent", "core"), rows)
    messages = ("submit", "granted", "finished", "ack", "charge", "charged", "settle")
    request_bytes = _wire_bytes(sizes, *messages, "ack")
    report.add_line(
        f"All messages of a request: {request_bytes} bytes with IP and UDP."
    )
    report.add_line()


def main() -> None:
    """Measure the costs, print the report and write it to a file."""
    imports_kb = float(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
    report = Report()
    report.add_line(f"Reference loop: {slopes.reference_loop_us():.0f} us")
    report.add_line()
    sizes, codec_us = _print_messages(report)
    membership = _print_by_size(
        report,
        "peers",
        (8, 23, 95, 380, 760),
        lambda hosts: slopes.membership_cost(hosts, TARGET_SIZE.data_centres),
    )
    membership = slopes.membership_cost(TARGET_SIZE.hosts, TARGET_SIZE.data_centres)
    dispatch = _print_by_size(
        report, "engines of a pool", (8, 46, 230), slopes.dispatch_cost
    )
    dispatch = slopes.dispatch_cost(46)
    quota = _print_by_size(
        report, "accounts", (1_000, 10_000, 39_000), slopes.quota_cost
    )
    lists = _print_by_size(
        report, "accounts in the lists", (1_000, 10_000, 39_000), slopes.lists_cost
    )
    _print_table_reads(report)
    for heartbeat_s in (0.5, 1.0):
        _print_traffic(report, TARGET_SIZE, sizes, heartbeat_s)
    _print_traffic(report, PRESENT_SIZE, sizes, 0.5)
    _print_processor(report, codec_us, membership, dispatch, quota)
    _print_roles(report, sizes, codec_us, dispatch, quota)
    _print_memory(report, imports_kb, membership, quota, lists)
    report.add_line(f"Reference loop: {slopes.reference_loop_us():.0f} us")
    OUTPUT_PATH.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT_PATH.write_text("\n".join(report.lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
