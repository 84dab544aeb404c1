"""Work out the cost of control at the target size, from slopes measured here.

Run with ``python -m bench.capacity``; docs/CAPACITY.md explains the figures.
"""

import pathlib
import resource
import typing as t

from bench import capacity_slopes as slopes
from wagtailstair import daemon as _daemon  # noqa: F401 - its memory is measured

HOSTS = 380
CENTRES = 17
REPLICAS = 3_900
ACCOUNTS = 39_000
REQUESTS_PER_S = 14_000
MODELS = 5
CHANGES_A_DAY = 7_100
SECONDS_A_DAY = 86_400
IP_UDP_BYTES = 28
BUDGET_BYTES_PER_S = 6 * 1024
BUDGET_CORE = 0.023
BUDGET_KB = 64 * 1024
TABLE_READS_PER_S = 2_000
OUTPUT = pathlib.Path("bench/out/capacity.txt")

Row = tuple[str, ...]


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


def _traffic(
    report: Report, sizes: dict[str, int], heartbeat_s: float
) -> dict[str, float]:
    """Return the bytes a second that a node sends, by purpose."""
    inside, remote = slopes.heartbeat_rates(HOSTS, CENTRES, heartbeat_s)
    beat = _wire(sizes, "heartbeat")
    neighbours = HOSTS / CENTRES - 1
    polled = REPLICAS / HOSTS
    requests = REQUESTS_PER_S / HOSTS
    elsewhere = 1.0 - CENTRES / HOSTS
    # Each message has one sender, so a request costs a node what all its
    # messages cost, whoever sends them.
    dispatch = _wire(sizes, "submit", "granted", "finished", "ack")
    charge = _wire(sizes, "charge", "charged", "settle", "ack")
    changes = CHANGES_A_DAY / SECONDS_A_DAY
    return {
        "heartbeats inside": inside / 60.0 * beat,
        "heartbeats outside": remote / 60.0 * beat,
        "versions of the lists": changes * (neighbours + 2 * CENTRES) * beat,
        "engine reports to all": polled * neighbours / 30.0 * _wire(sizes, "report"),
        "engine loads, changed each second": polled * elsewhere * _wire(sizes, "load"),
        "dispatch of requests": requests * elsewhere * dispatch,
        "charges of accounts": requests * (1.0 - 1.0 / HOSTS) * charge,
    }


def _print_traffic(report: Report, sizes: dict[str, int], heartbeat_s: float) -> None:
    traffic = _traffic(report, sizes, heartbeat_s)
    total = sum(traffic.values())
    rows = [(name, f"{value:.0f}") for name, value in traffic.items()]
    rows.append(("all", f"{total:.0f}"))
    rows.append(("budget", str(BUDGET_BYTES_PER_S)))
    report.say(f"Bytes a second sent by a node, heartbeats each {heartbeat_s:g} s:")
    report.table(("purpose", "bytes/s"), rows)


def _print_processor(
    report: Report,
    times: dict[str, float],
    member: dict[str, float],
    dispatch: dict[str, float],
    quota: dict[str, float],
) -> None:
    requests = REQUESTS_PER_S / HOSTS
    inside, remote = slopes.heartbeat_rates(HOSTS, CENTRES, 1.0)
    beats = (inside + remote) / 60.0
    polled = REPLICAS / HOSTS
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
        "peers": HOSTS * member["peer KB"],
        "accounts as home (1/380 of them)": ACCOUNTS / HOSTS * quota["account KB"],
        "both lists": ACCOUNTS * lists["account KB"],
    }
    rows = [(name, f"{value / 1024:.1f}") for name, value in kilobytes.items()]
    rows.append(("all", f"{sum(kilobytes.values()) / 1024:.1f}"))
    rows.append(("budget", f"{BUDGET_KB / 1024:.0f}"))
    report.say("Memory of control, MB:")
    report.table(("what", "MB"), rows)


def _print_table_reads(report: Report) -> None:
    hosts = round(HOSTS / CENTRES)
    rows = []
    for count in (3, 8, hosts):
        rows.append((str(count), f"{slopes.table_reads(count, 1.0):.2f}"))
    report.table(("hosts of a data centre", "reads of the version/s"), rows)
    reads = slopes.table_reads(hosts, 1.0) * CENTRES
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
    pool_rate = REQUESTS_PER_S / CENTRES / MODELS
    home_rate = REQUESTS_PER_S / HOSTS
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
        lambda hosts: slopes.membership_slope(hosts, CENTRES),
    )
    member = slopes.membership_slope(HOSTS, CENTRES)
    dispatch = _sized(report, "engines of a pool", (8, 46, 230), slopes.dispatch_slope)
    dispatch = slopes.dispatch_slope(46)
    quota = _sized(report, "accounts", (1_000, 10_000, 39_000), slopes.quota_slope)
    lists = _sized(
        report, "accounts in the lists", (1_000, 10_000, 39_000), slopes.lists_slope
    )
    _print_table_reads(report)
    for heartbeat_s in (0.5, 1.0):
        _print_traffic(report, sizes, heartbeat_s)
    _print_processor(report, times, member, dispatch, quota)
    _print_roles(report, sizes, times, dispatch, quota)
    _print_memory(report, base_kb, member, quota, lists)
    report.say(f"Reference loop: {slopes.reference_us():.0f} us")
    OUTPUT.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT.write_text("\n".join(report.lines) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
