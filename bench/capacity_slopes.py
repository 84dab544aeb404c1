"""Measure the cost of one message, peer, account, engine or request."""

import gc
import statistics
import time
import tracemalloc
import typing as t

import msgspec

from wagtailstair.clock import ManualClock
from wagtailstair.core.charges import OwnedQuotas
from wagtailstair.core.engine import EngineState
from wagtailstair.core.engine import Priority
from wagtailstair.core.engine import Stage
from wagtailstair.core.grants import GrantOutcome
from wagtailstair.core.grants import RouteRequest
from wagtailstair.core.lists import ACCOUNTS
from wagtailstair.core.lists import PLANS
from wagtailstair.core.lists import Lists
from wagtailstair.core.lists_refresh import ListsRefresh
from wagtailstair.core.lists_refresh import PeerVersions
from wagtailstair.core.lists_refresh import ReadVersion
from wagtailstair.core.membership import Heartbeat
from wagtailstair.core.membership import Host
from wagtailstair.core.membership import HostState
from wagtailstair.core.membership import Membership
from wagtailstair.core.messages import Ack
from wagtailstair.core.messages import Charge
from wagtailstair.core.messages import Charged
from wagtailstair.core.messages import EngineLoad
from wagtailstair.core.messages import EngineReport
from wagtailstair.core.messages import Finished
from wagtailstair.core.messages import Granted
from wagtailstair.core.messages import Limit
from wagtailstair.core.messages import Message
from wagtailstair.core.messages import Numbered
from wagtailstair.core.messages import PoolKey
from wagtailstair.core.messages import Settle
from wagtailstair.core.messages import Submit
from wagtailstair.core.pool import Pool
from wagtailstair.core.rows import Row
from wagtailstair.dispatch import Dispatcher
from wagtailstair.peers.bulk import RecentChanges
from wagtailstair.peers.bulk import serve_lists
from wagtailstair.peers.codec import Datagram
from wagtailstair.peers.codec import decode
from wagtailstair.peers.codec import encode

RUNS_PER_MEDIAN = 5
KEY = b"k" * 32
MODEL = "guild-70b"
STAGES = 4
LAYERS = 80
BYTES_PER_KB = 1024.0


def median_step_us(work: t.Callable[[], None], count: int) -> float:
    """Return the median processor time of one of ``count`` steps, in microseconds."""
    times = []
    for _ in range(RUNS_PER_MEDIAN):
        gc.collect()
        start = time.process_time()
        work()
        times.append((time.process_time() - start) * 1e6 / count)
    return statistics.median(times)


def reference_loop_us() -> float:
    """Return the time of a fixed loop, to compare runs under different load."""

    def work() -> None:
        total = 0
        for number in range(100_000):
            total += number

    return median_step_us(work, 1)


def allocated_kb(make: t.Callable[[], object]) -> float:
    """Return the memory that a new object holds, in KB."""
    gc.collect()
    tracemalloc.start()
    held_object = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held_object
    return size / BYTES_PER_KB


def make_host(number: int, data_centre: int, incarnation: int = 1) -> Host:
    """Return an entry host whose name and addresses have typical lengths."""
    ip = f"10.{data_centre}.{number // 250}.{number % 250 + 1}"
    name = f"entry-{data_centre:02d}-{number:03d}"
    start_ms = 1_790_000_000_000 + incarnation
    return Host(name, f"dc-{data_centre:02d}", f"{ip}:8080", f"{ip}:8081", start_ms)


def make_engine(number: int, count: int, slots: int = 16) -> EngineState:
    """Return an engine that holds a quarter of the model."""
    stage = number % STAGES
    span = LAYERS // STAGES
    return EngineState(
        name=f"engine-{number:04d}",
        incarnation="i-0123456789ab",
        address=f"10.200.{number // 250}.{number % 250 + 1}:9000",
        data_centre="dc-00",
        model=MODEL,
        version="2026-11",
        role="both",
        accelerator=f"kind-{number % 8}",
        first=stage * span,
        last=(stage + 1) * span,
        layers=LAYERS,
        slots=slots,
        running=3,
        waiting=0,
        kv_tokens=1 << 17,
        kv_used=1 << 12,
        step_s=0.02 + 0.001 * (number % 8),
        prefill_tokens_per_s=4000.0,
        leaving=False,
        fencing_checked=True,
        order=1,
        as_of=0.0,
        links_s=(("dc-01", 0.001), ("dc-02", 0.001)),
    )


def make_route_request(number: int, host: str, now: float) -> RouteRequest:
    """Return a route request of typical size with four prefix blocks."""
    return RouteRequest(
        request=f"{number:032x}",
        epoch=0,
        host=host,
        account=f"account-{number % 39_000:05d}",
        priority=Priority(number % 3),
        weight=1.0,
        work=96.0,
        prompt_tokens=512,
        max_tokens=256,
        deadline=now + 60.0,
        prefixes=tuple((number + step) * 0x9E3779B97F4A7C15 for step in range(4)),
    )


def make_message_by_name() -> dict[str, Message]:
    """Return one of each frequent message, with typical content."""
    host = make_host(117, 7)
    key = PoolKey(MODEL, "dc-00")
    route_request = make_route_request(31_234, host.name, 0.0)
    engines = [make_engine(number, STAGES) for number in range(STAGES)]
    route = tuple(Stage(e.name, e.address, e.first, e.last) for e in engines)
    report = engines[0]
    return {
        "heartbeat": Heartbeat(host, 123_456, HostState.LIVE, 7_100, 0x12345678, 7_100),
        "submit": Submit(123_456, key, route_request),
        "granted": Granted(123_456, route),
        "finished": Numbered(123_456, Finished(123_456, key, 512, 221)),
        "ack": Ack((123_456,)),
        "charge": Charge(123_456, "account-31234", 96.0, 2000.0, 10.0, 16),
        "charged": Charged(123_456, Limit.NONE),
        "settle": Numbered(123_456, Settle(123_456, 221.0)),
        "report": EngineReport(report, 0.1),
        "load": EngineLoad(report.name, 0x12345678, 5, 1, 40_960, 0.021, 0.1),
    }


def _datagram(*messages: Message) -> Datagram:
    host = make_host(117, 7)
    return Datagram(host.name, host.incarnation, host.incarnation, messages)


def datagram_bytes() -> dict[str, int]:
    """Return the size of a datagram with one message, without IP and UDP headers."""
    return {
        name: len(encode(_datagram(message), KEY))
        for name, message in make_message_by_name().items()
    }


def codec_us() -> dict[str, tuple[float, float]]:
    """Return the time to encode and to decode a datagram of one message."""
    count = 500
    times = {}
    for name, message in make_message_by_name().items():
        datagram = _datagram(message)
        data = encode(datagram, KEY)

        def write(datagram: Datagram = datagram) -> None:
            for _ in range(count):
                encode(datagram, KEY)

        def read(data: bytes = data) -> None:
            for _ in range(count):
                decode(data, KEY)

        times[name] = (median_step_us(write, count), median_step_us(read, count))
    return times


def make_membership(hosts: int, data_centres: int) -> Membership:
    """Return a host's membership in which all others are live."""
    own = make_host(0, 0)
    membership = Membership(own, heartbeat_s=1.0, dead_after_s=5.0, now=0.0)
    membership.set_state(HostState.LIVE)
    for number in range(1, hosts):
        host = make_host(number, number % data_centres)
        membership.receive_heartbeat(Heartbeat(host, 1, HostState.LIVE, 1), 0.0)
    return membership


def membership_cost(hosts: int, data_centres: int) -> dict[str, float]:
    """Return the time of a heartbeat and of a tick, and the memory of a peer."""
    membership = make_membership(hosts, data_centres)
    seq = 1
    others = [make_host(number, number % data_centres) for number in range(1, hosts)]

    def receive_heartbeats() -> None:
        nonlocal seq
        for _ in range(20):
            seq += 1
            for host in others:
                membership.receive_heartbeat(
                    Heartbeat(host, seq, HostState.LIVE, 1), 0.0
                )

    def run_ticks() -> None:
        for _ in range(100):
            membership.tick(0.0)

    return {
        "heartbeat us": median_step_us(receive_heartbeats, 20 * len(others)),
        "tick us": median_step_us(run_ticks, 100),
        "peer KB": allocated_kb(lambda: make_membership(hosts, data_centres)) / hosts,
    }


def heartbeats_per_minute(
    hosts: int, data_centres: int, heartbeat_s: float
) -> tuple[int, int]:
    """Return a host's heartbeats a minute inside its data centre and to others."""
    membership = make_membership(hosts, data_centres)
    membership._heartbeat_s = heartbeat_s
    inside = remote = 0
    for step in range(600):
        near, far = membership.due_addresses(step * 0.1)
        inside += len(near)
        remote += len(far)
    return inside, remote


class QueueingTransport:
    """A transport that queues messages until the benchmark delivers them."""

    def __init__(self) -> None:
        self.pending: list[tuple[str, Message]] = []

    def send(self, address: str, incarnation: int, message: Message) -> None:
        """Queue a message."""
        self.pending.append((address, message))

    def flush(self) -> None:
        """Do nothing; :meth:`DispatchPair.deliver_all` delivers the messages."""


class DispatchPair:
    """An entry host and a dispatcher with engines, timed separately."""

    def __init__(self, engines: int) -> None:
        self.clock = ManualClock(100.0)
        self.seconds_by_role = {"entry": 0.0, "dispatcher": 0.0}
        host_by_role = {"entry": make_host(0, 0), "dispatcher": make_host(1, 0)}
        self.transport_by_role = {role: QueueingTransport() for role in host_by_role}
        self.host_by_role = host_by_role
        self.dispatcher_by_role: dict[str, Dispatcher] = {}
        for role, peer_role in (("entry", "dispatcher"), ("dispatcher", "entry")):
            membership = Membership(
                host_by_role[role], heartbeat_s=1.0, dead_after_s=5.0, now=100.0
            )
            # Only the dispatcher is live, so that it has the pool.
            membership.set_state(
                HostState.LIVE if role == "dispatcher" else HostState.JOINING
            )
            state = HostState.LIVE if peer_role == "dispatcher" else HostState.JOINING
            membership.receive_heartbeat(
                Heartbeat(host_by_role[peer_role], 1, state, 1), 100.0
            )
            self.dispatcher_by_role[role] = Dispatcher(
                membership,
                self.transport_by_role[role],
                lambda key: Pool(key.model, key.data_centre),
                self.clock,
            )
        for number in range(engines):
            self.dispatcher_by_role["dispatcher"].observe(
                make_engine(number, engines, slots=64)
            )
        self.deliver_all()

    def call_timed(self, role: str, call: t.Callable[[], t.Any]) -> t.Any:
        """Make a call and add its processor time to a role's total."""
        start = time.process_time()
        result = call()
        self.seconds_by_role[role] += time.process_time() - start
        return result

    def deliver_all(self) -> None:
        """Deliver each message in a datagram of its own until none is queued."""
        has_pending = True
        while has_pending:
            has_pending = False
            for role, peer_role in (("entry", "dispatcher"), ("dispatcher", "entry")):
                pending, self.transport_by_role[role].pending = (
                    self.transport_by_role[role].pending,
                    [],
                )
                has_pending = has_pending or bool(pending)
                for _, message in pending:
                    self._deliver(role, peer_role, message)

    def _deliver(self, role: str, peer_role: str, message: Message) -> None:
        host = self.host_by_role[role]
        peer_incarnation = self.host_by_role[peer_role].incarnation
        datagram = Datagram(host.name, host.incarnation, peer_incarnation, (message,))
        data = self.call_timed(role, lambda: encode(datagram, KEY))
        received = self.call_timed(peer_role, lambda: decode(data, KEY))
        dispatcher = self.dispatcher_by_role[peer_role]
        self.call_timed(
            peer_role,
            lambda: dispatcher.receive(
                received.sender, received.incarnation, received.messages
            ),
        )

    def run(self, count: int) -> dict[str, float]:
        """Return the processor time of a request by role, in microseconds."""
        self.seconds_by_role = {"entry": 0.0, "dispatcher": 0.0}
        entry = self.dispatcher_by_role["entry"]
        name = self.host_by_role["entry"].name
        for number in range(count):
            self.clock.advance(0.001)
            route_request = make_route_request(number, name, self.clock.monotonic())
            future = self.call_timed(
                "entry", lambda r=route_request: entry.submit(MODEL, "dc-00", r)
            )
            self.deliver_all()
            assert future.done()
            outcome = GrantOutcome(route_request.request, 0, name, 512, 221)
            self.call_timed("entry", lambda o=outcome: entry.done(MODEL, "dc-00", o))
            self.deliver_all()
        return {role: s * 1e6 / count for role, s in self.seconds_by_role.items()}


def dispatch_cost(engines: int) -> dict[str, float]:
    """Return the processor time of a request at its entry host and dispatcher."""
    runs = [DispatchPair(engines).run(200) for _ in range(RUNS_PER_MEDIAN)]
    return {role: statistics.median(run[role] for run in runs) for role in runs[0]}


def quota_cost(accounts: int) -> dict[str, float]:
    """Return the time of a charge with its settlement, and an account's memory."""
    count = min(accounts, 2000)

    def charge(quotas: OwnedQuotas, number: int) -> None:
        message = Charge(number, f"account-{number:05d}", 96.0, 2000.0, 10.0, 16)
        quotas.charge("entry/1", message, 0.0)

    def fill() -> OwnedQuotas:
        quotas = OwnedQuotas()
        for number in range(accounts):
            charge(quotas, number)
        return quotas

    quotas = fill()
    first = accounts

    def work() -> None:
        nonlocal first
        for number in range(first, first + count):
            charge(quotas, number)
            quotas.settle("entry/1", Settle(number, 221.0), 0.0)
        first += count

    return {
        "charge us": median_step_us(work, count),
        "account KB": allocated_kb(fill) / accounts,
    }


def make_lists(accounts: int) -> Lists:
    """Return lists with 100 plans, and accounts with one key each."""
    plan = {
        "priorities": ["urgent", "standard"],
        "weight": 1.0,
        "work_per_s": 2000.0,
        "burst_s": 10.0,
        "max_concurrent": 16,
        "models": [MODEL],
        "services": {},
    }
    rows = [Row(PLANS, f"plan-{number}", 1, plan) for number in range(100)]
    for number in range(accounts):
        value = {
            "plan": f"plan-{number % 100}",
            "keys": [{"salt": f"{number:032x}", "digest": f"{number:064x}"}],
        }
        rows.append(Row(ACCOUNTS, f"account-{number:05d}", 1, value))
    return Lists().with_rows(1, rows)


def lists_cost(accounts: int) -> dict[str, float]:
    """Return the cost of a change, a snapshot's size and an account's memory."""
    lists = make_lists(accounts)
    value = lists.value_of((ACCOUNTS, "account-00000"))
    recent = RecentChanges()
    changed = lists.with_rows(2, [Row(ACCOUNTS, "account-00000", 2, value)])
    recent.record_changes(lists, changed)

    def change() -> None:
        for _ in range(10):
            new = lists.with_rows(2, [Row(ACCOUNTS, "account-00000", 2, value)])
            RecentChanges().record_changes(lists, new)

    return {
        "change us": median_step_us(change, 10),
        "change bytes": len(serve_lists(changed, recent, 1, KEY)),
        "snapshot KB": len(serve_lists(changed, recent, 0, KEY)) / BYTES_PER_KB,
        "account KB": allocated_kb(lambda: make_lists(accounts)) / accounts,
    }


def host_list_kb(entries: int) -> float:
    """Return the size of the platform's host list, in KB."""
    hosts = []
    for number in range(entries):
        engine = make_engine(number, entries)
        hosts.append(
            {
                "name": engine.name,
                "kind": "engine",
                "data_centre": engine.data_centre,
                "address": engine.address,
                "incarnation": engine.incarnation,
                "state": "live",
            }
        )
    return len(msgspec.json.encode({"hosts": hosts})) / BYTES_PER_KB


def version_reads_per_s(hosts: int, interval_s: float) -> float:
    """Return how often a data centre's hosts read the lists' version, a second."""
    count = 0
    seconds = 300
    for rank in range(hosts):
        draws = iter([(rank * 37 + step * 61) % 97 / 97 for step in range(100_000)])
        lists_refresh = ListsRefresh(interval_s, 0.0, lambda d=draws: next(d))
        lists_refresh.record_applied(1)
        for step in range(seconds * 10):
            now = step / 10.0
            for action in lists_refresh.tick(now, rank, PeerVersions(hosts - 1, 1, 1)):
                assert isinstance(action, ReadVersion)
                count += 1
                lists_refresh.record_version(action, 1, now)
    return count / seconds
