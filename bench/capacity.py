"""Work out the cost of control at the target size, from slopes measured here.

Run with ``python -m bench.capacity``; docs/CAPACITY.md explains the figures.
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
BUDGET_CORE = 0.023
BUDGET_KB = 64 * 1024
TABLE_READS_PER_S = 2_000
OUTPUT = pathlib.Path("bench/out/capacity.txt")

Row = tuple[str, ...]


@dataclasses.dataclass(slots=True, frozen=True)
class Size:
    """A deployment."""

    hosts: int
    centres: int
    replicas: int
    accounts: int
    requests_per_s: float
    models: int
    changes_a_day: float


TARGET = Size(380, 17, 3_900, 39_000, 14_000.0, 5, 7_100.0)
TODAY = Size(8, 3, 43, 10, 0.0, 1, 100.0)


class Report:
    """Lines that are printed and kept."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def say(self, line: str = "") -> None:
        """Print a line."""
        self.lines.append(line)
        print(line, flush=True)

    def table(self, head: Row, rows: t.Iterable[Row]) -> None:
        """Print a table."""
        self.say("| " + " | ".join(head) + " |")
        self.say("|" + " --- |" * len(head))
        for row in rows:
            self.say("| " + " | ".join(row) + " |")
        self.say()


def _sized(
    report: Report,
    title: str,
    sizes: t.Iterable[int],
    measure: t.Callable[[int], dict[str, float]],
) -> dict[str, float]:
    """Print a measure at several sizes; return the last one."""
    last: dict[str, float] = {}
    rows = []
    for size in sizes:
        last = measure(size)
        rows.append((str(size), *(f"{value:.2f}" for value in last.values())))
    report.table((title, *last), rows)
    return last


def _messages(report: Report) -> tuple[dict[str, int], dict[str, float]]:
    sizes = slopes.datagram_bytes()
    times = slopes.codec_us()
    rows = []
    for name, size in sizes.items():
        write, read = times[name]
        rows.append((name, str(size), f"{write:.0f}", f"{read:.0f}"))
    report.table(("message", "datagram bytes", "encode us", "decode us"), rows)
    both = {name: write + read for name, (write, read) in times.items()}
    return sizes, both


def _wire(sizes: dict[str, int], *names: str) -> int:
    return sum(sizes[name] + IP_UDP_BYTES for name in names)


def _traffic(size: Size, sizes: dict[str, int], heartbeat_s: float) -> dict[str, float]:
    """Return the bytes a second that a node sends, by purpose."""
    inside, remote = slopes.heartbeat_rates(size.hosts, size.centres, heartbeat_s)
    beat = _wire(sizes, "heartbeat")
    neighbours = size.hosts / size.centres - 1
    polled = size.replicas / size.hosts
    requests = size.requests_per_s / size.hosts
    elsewhere = 1.0 - size.centres / size.hosts
    # Each message has one sender, so a request costs a node what all its
    # messages cost, whoever sends them.
    dispatch = _wire(sizes, "submit", "granted", "finished", "ack")
    charge = _wire(sizes, "charge", "charged", "settle", "ack")
    changes = size.changes_a_day / SECONDS_A_DAY
    return {
        "heartbeats inside": inside / 60.0 * beat,
        "heartbeats outside": remote / 60.0 * beat,
        "versions of the lists": changes * (neighbours + 2 * size.centres) * beat,
        "engine reports to all": polled * neighbours / 30.0 * _wire(sizes, "report"),
        "engine loads, changed each second": polled * elsewhere * _wire(sizes, "load"),
        "dispatch of requests": requests * elsewhere * dispatch,
        "charges of accounts": requests * (1.0 - 1.0 / size.hosts) * charge,
    }


def _print_traffic(
    report: Report, size: Size, sizes: dict[str, int], heartbeat_s: float
) -> None:
    traffic = _traffic(size, sizes, heartbeat_s)
    total = sum(traffic.values())
    rows = [(name, f"{value:.0f}") for name, value in traffic.items()]
    rows.append(("all", f"{total:.0f}"))
    rows.append(("budget", str(BUDGET_BYTES_PER_S)))
    report.say(
        f"Bytes a second sent by a node of {size.hosts}"
        f" at {size.requests_per_s:g} requests/s, heartbeats each {heartbeat_s:g} s:"
    )
    report.table(("purpose", "bytes/s"), rows)
    room = BUDGET_BYTES_PER_S - total
    if room > 0 and size.requests_per_s == 0:
        one = dataclasses.replace(size, requests_per_s=float(size.hosts))
        each = sum(_traffic(one, sizes, heartbeat_s).values()) - total
        report.say(f"Room for {room / each:.1f} requests/s a node.")
        report.say()


def _print_processor(
    report: Report,
    times: dict[str, float],
    member: dict[str, float],
    dispatch: dict[str, float],
    quota: dict[str, float],
) -> None:
    requests = TARGET.requests_per_s / TARGET.hosts
    inside, remote = slopes.heartbeat_rates(TARGET.hosts, TARGET.centres, 1.0)
    beats = (inside + remote) / 60.0
    polled = TARGET.replicas / TARGET.hosts
    charge_codec = sum(times[name] for name in ("charge", "charged", "settle", "ack"))
    microseconds = {
        "heartbeats": beats * (times["heartbeat"] + member["heartbeat us"]),
        "membership ticks, 10 a second": 10 * member["tick us"],
        "engine loads": polled * times["load"],
        "requests as entry host": requests * dispatch["entry"],
        "requests as dispatcher": requests * dispatch["dispatcher"],
        "charges, both sides": requests * (charge_codec + quota["charge us"]),
    }
    rows = [(name, f"{us / 1e4:.2f} %") for name, us in microseconds.items()]
    rows.append(("all", f"{sum(microseconds.values()) / 1e4:.2f} %"))
    rows.append(("budget", f"{BUDGET_CORE * 100:.1f} %"))
    report.say("Share of a core that control takes on an average node:")
    report.table(("purpose", "core"), rows)


def _print_memory(
    report: Report,
    base_kb: float,
    member: dict[str, float],
    quota: dict[str, float],
    lists: dict[str, float],
) -> None:
    kilobytes = {
        "imports (resident, before any state)": base_kb,
        "peers": TARGET.hosts * member["peer KB"],
        "accounts as home (1/380 of them)": TARGET.accounts
        / TARGET.hosts
        * quota["account KB"],
        "both lists": TARGET.accounts * lists["account KB"],
    }
    rows = [(name, f"{value / 1024:.1f}") for name, value in kilobytes.items()]
    rows.append(("all", f"{sum(kilobytes.values()) / 1024:.1f}"))
    rows.append(("budget", f"{BUDGET_KB / 1024:.0f}"))
    report.say("Memory of control, MB:")
    report.table(("what", "MB"), rows)


def _print_table_reads(report: Report) -> None:
    hosts = round(TARGET.hosts / TARGET.centres)
    rows = []
    for count in (3, 8, hosts):
        rows.append((str(count), f"{slopes.table_reads(count, 1.0):.2f}"))
    report.table(("hosts of a data centre", "reads of the version/s"), rows)
    listed = TARGET.hosts + TARGET.replicas
    report.say(
        f"The host list of {listed} hosts: {slopes.host_list_kb(listed):.0f} KB,"
        f" of {TODAY.hosts + TODAY.replicas} hosts:"
        f" {slopes.host_list_kb(TODAY.hosts + TODAY.replicas):.1f} KB."
    )
    report.say()
    reads = slopes.table_reads(hosts, 1.0) * TARGET.centres
    report.say(f"All data centres: {reads:.0f} of {TABLE_READS_PER_S} reads/s.")
    report.say()


def _print_roles(
    report: Report,
    sizes: dict[str, int],
    times: dict[str, float],
    dispatch: dict[str, float],
    quota: dict[str, float],
) -> None:
    """Print what the busiest holder of each role does, above the average."""
    pool_rate = TARGET.requests_per_s / TARGET.centres / TARGET.models
    home_rate = TARGET.requests_per_s / TARGET.hosts
    dispatcher_core = pool_rate * dispatch["dispatcher"] / 1e4
    home_us = quota["charge us"] + sum(times[n] for n in ("charge", "charged")) / 2
    rows = [
        (
            "dispatcher of one pool",
            f"{pool_rate:.0f}",
            f"{pool_rate * _wire(sizes, 'granted', 'ack'):.0f}",
            f"{dispatcher_core:.1f} %",
        ),
        (
            "home of its accounts",
            f"{home_rate:.0f}",
            f"{home_rate * _wire(sizes, 'charged', 'ack'):.0f}",
            f"{home_rate * home_us / 1e4:.2f} %",
        ),
    ]
    report.say("Roles that hash to single hosts:")
    report.table(("role", "requests/s", "bytes/s sent", "core"), rows)
    messages = ("submit", "granted", "finished", "ack", "charge", "charged", "settle")
    a_request = _wire(sizes, *messages, "ack")
    report.say(f"All messages of a request: {a_request} bytes with IP and UDP.")
    report.say()


def main() -> None:
    """Measure and print."""
    base_kb = float(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)
    report = Report()
    report.say(f"Reference loop: {slopes.reference_us():.0f} us")
    report.say()
    sizes, times = _messages(report)
    member = _sized(
        report,
        "peers",
        (8, 23, 95, 380, 760),
        lambda hosts: slopes.membership_slope(hosts, TARGET.centres),
    )
    member = slopes.membership_slope(TARGET.hosts, TARGET.centres)
    dispatch = _sized(report, "engines of a pool", (8, 46, 230), slopes.dispatch_slope)
    dispatch = slopes.dispatch_slope(46)
    quota = _sized(report, "accounts", (1_000, 10_000, 39_000), slopes.quota_slope)
    lists = _sized(
        report, "accounts in the lists", (1_000, 10_000, 39_000), slopes.lists_slope
    )
    _print_table_reads(report)
    for heartbeat_s in (0.5, 1.0):
        _print_traffic(report, TARGET, sizes, heartbeat_s)
    _print_traffic(report, TODAY, sizes, 0.5)
    _print_processor(report, times, member, dispatch, quota)
    _print_roles(report, sizes, times, dispatch, quota)
    _print_memory(report, base_kb, member, quota, lists)
    report.say(f"Reference loop: {slopes.reference_us():.0f} us")
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text("\n".join(report.lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
