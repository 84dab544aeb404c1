"""The order of streams over several hosts: loads that a queue for each host fails."""

import random
import re

import pytest

from tests import test_room_queue
from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_room_queue import Engines
from tests.test_room_queue import served
from tests.test_room_queue import waits
from tests.virtual_loop import VirtualLoop
from wagtailstair.core.admission.shared_order import ACTIVE_S
from wagtailstair.core.admission.shared_order import COUNTS_TIMEOUT_S
from wagtailstair.core.admission.shared_order import MESSAGE_ACCOUNTS
from wagtailstair.core.admission.shared_order import MESSAGE_INTERVAL_S
from wagtailstair.core.admission.shared_order import NO_START_S
from wagtailstair.core.admission.shared_order import SharedOrder
from wagtailstair.core.messages import QueueCounts
from wagtailstair.core.room_queue import MINIMUM_SHARES
from wagtailstair.core.room_queue import RoomQueue
from wagtailstair.core.room_queue import make_item
from wagtailstair.gateway.paths import PathFinder
from wagtailstair.gateway.waiting_streams import CHECK_INTERVAL_S
from wagtailstair.gateway.waiting_streams import WaitingStreams
from wagtailstair.peers.codec import DATAGRAM_BYTES_MAX
from wagtailstair.peers.codec import Datagram
from wagtailstair.peers.codec import encode

NONE = (0, 0, 0)
TOKENS = 1000.0


class UnevenEngines(Engines):
    """Engines whose requests take unequal times.

    With equal ones, the host that checks for room first after each end takes it all.
    """

    rng = None

    def start(self):
        self.run_s = self.rng.uniform(0.1, 0.3)
        return super().start()


class Stream(test_room_queue.Stream):
    """A stream that also lets more urgent ones of other hosts go first."""

    queue_reason = ""

    def send(self, wait_s=1.0):
        now = self.engines.loop.now
        if self.waiting.queue.holds_back_new(self.rank, TOKENS, now):
            self.waiting.add(self, self.account, self.rank, TOKENS, now + wait_s)
            return self
        return super().send(wait_s)

    def record(self):
        self.started_at = now = self.engines.loop.now
        self.waiting.queue.record_start(now, TOKENS, self.rank, self.account)


class Hosts:
    """Hosts that share engines and send each other their counters.

    ``cut``: hosts whose messages are lost; ``sent``: number of messages.
    """

    def __init__(self, count, *, places=4, is_shared=True):
        self.loop = VirtualLoop()
        # Each place starts five streams a second.
        self.engines = UnevenEngines(self.loop, places, run_s=0.2)
        self.engines.rng = random.Random(1)
        self.waiting = []
        self.cut = set()
        self.sent = 0
        for number in range(count):
            rng = random.Random(number)
            waiting = WaitingStreams(self.loop, rng, is_shared=is_shared)
            self.waiting.append(waiting)
            self.loop.call_later(0.01 * number, lambda n=number: self.exchange(n))

    def exchange(self, number):
        self.loop.call_later(MESSAGE_INTERVAL_S, lambda: self.exchange(number))
        message = self.waiting[number].queue.message(self.loop.now)
        if message is None:
            return
        self.sent += 1
        for other, waiting in enumerate(self.waiting):
            if other != number and not {other, number} & self.cut:
                shared = waiting.queue.shared
                shared.receive(f"entry-{number}", message, self.loop.now)

    def flood(self, number, account, rank, per_s, until, wait_s=1.0):
        """Send streams of an account to a host; return the list they are added to."""
        streams = []

        def send():
            waiting = self.waiting[number]
            stream = Stream(self.engines, waiting, account, rank, len(streams))
            streams.append(stream.send(wait_s))
            if self.loop.now < until:
                self.loop.call_later(1 / per_s, send)

        # Checks for room at even distances, so that each host finds as much.
        self.loop.call_later(CHECK_INTERVAL_S * number / len(self.waiting), send)
        return streams


def flood_beside_urgent(*, is_shared):
    """Return the least urgent streams of three hosts and the urgent ones of another."""
    hosts = Hosts(4, is_shared=is_shared)
    batch = []
    for number in range(3):
        batch.append(hosts.flood(number, "batch", 2, per_s=40, until=8.0))
    urgent = hosts.flood(3, "shop", 0, per_s=17, until=8.0, wait_s=0.5)
    hosts.loop.run_until(10.0)
    return [stream for streams in batch for stream in streams], urgent


class TestFloods:
    def test_least_urgent_flood_of_other_hosts_leaves_urgent_streams_first(self):
        # Each host started its own head whenever it found room.
        _, alone = flood_beside_urgent(is_shared=False)
        batch, urgent = flood_beside_urgent(is_shared=True)
        assert served(alone) < 0.6 * len(alone)
        late = [stream for stream in urgent if stream.sent_at > 1.0]
        assert served(late) >= 0.95 * len(late)
        assert max(waits(urgent)) <= 0.5 + 0.04
        assert served(batch) >= MINIMUM_SHARES[2] * 20 * 8

    def test_least_urgent_rank_keeps_its_share_beside_an_urgent_flood(self):
        # A rank that only waits for more urgent ones would get nothing.
        hosts = Hosts(3)
        urgent = hosts.flood(0, "shop", 0, per_s=100, until=8.0)
        batch = hosts.flood(1, "batch", 2, per_s=10, until=8.0)
        hosts.loop.run_until(10.0)
        assert 0.8 * MINIMUM_SHARES[2] * 20 * 8 <= served(batch) <= 0.25 * 20 * 8
        assert served(urgent) >= 0.7 * 20 * 8

    def test_account_of_many_hosts_gets_fewer_turns_at_each(self):
        # It got a turn at each host for each one of an account of one host.
        shares = []
        for is_shared in (False, True):
            hosts = Hosts(4, is_shared=is_shared)
            small = hosts.flood(0, "small", 0, per_s=20, until=10.0)
            large = []
            for number in range(4):
                large.append(hosts.flood(number, "large", 0, per_s=20, until=10.0))
            hosts.loop.run_until(10.0)
            shares.append(served(small) / (served(small) + served(large[0])))
        assert shares[0] < 0.6
        # Large has three quarters of its work elsewhere.
        assert 0.7 < shares[1] < 0.9

    def test_nothing_is_sent_where_nothing_waits(self):
        # Hosts that answer each other's messages would never be silent again.
        hosts = Hosts(3)
        hosts.flood(0, "shop", 0, per_s=5, until=4.0)
        hosts.loop.run_until(4.0)
        assert hosts.sent == 0
        hosts.flood(0, "shop", 0, per_s=100, until=5.0)
        hosts.loop.run_until(6.5 + 2 * ACTIVE_S)
        assert hosts.sent > 0
        sent = hosts.sent
        hosts.loop.run_until(20.0)
        assert hosts.sent == sent


def waiting_counts(sequence, *, started=(0, 0, 0), waiting=(1, 0, 0)):
    work = tuple(1000 * count for count in waiting)
    return QueueCounts(sequence, waiting, work, started, 10)


class TestFailures:
    @pytest.fixture
    def order(self):
        return SharedOrder(MINIMUM_SHARES)

    def test_host_that_is_cut_off_holds_back_no_one_for_long(self):
        hosts = Hosts(2, places=20)
        hosts.engines.free = 0
        hosts.flood(0, "shop", 0, per_s=20, until=0.3)
        hosts.loop.run_until(0.6)
        hosts.cut = {0}
        hosts.engines.free = 20
        batch = hosts.flood(1, "batch", 2, per_s=4, until=4.0, wait_s=2.0)
        hosts.loop.run_until(6.0)
        assert served(batch) == len(batch)
        assert max(waits(batch)) <= COUNTS_TIMEOUT_S + 0.1

    def test_host_that_starts_nothing_holds_back_no_one_for_long(self, order):
        # Its engines may be paused, while those of other services have room.
        for number in range(20):
            now = 0.25 * number
            order.receive("entry-2", waiting_counts(number + 1), now)
            assert order.is_held_back(2, 1000.0, now) == (now < NO_START_S)
        started = waiting_counts(21, started=(1000, 0, 0))
        order.receive("entry-2", started, 5.0)
        order.record_start(5.0, 2, "batch", 1000.0)
        assert order.is_held_back(2, 1000.0, 5.0)

    def test_most_urgent_rank_is_never_held_back(self, order):
        order.receive("entry-2", waiting_counts(1, waiting=(9, 9, 9)), 0.0)
        assert not order.is_held_back(0, 1000.0, 0.0)
        assert order.is_held_back(1, 1000.0, 0.0)

    def test_counters_of_a_host_that_is_gone_are_dropped(self, order):
        order.receive("entry-2", waiting_counts(1), 0.0)
        assert order.is_held_back(2, 1000.0, 0.1)
        order.drop("entry-2")
        assert not order.is_held_back(2, 1000.0, 0.1)
        assert order.peers_started(0.1) == (0, 0)

    def test_message_that_arrives_late_is_ignored(self, order):
        order.receive("entry-2", waiting_counts(8, waiting=NONE), 0.0)
        order.receive("entry-2", waiting_counts(7), 0.1)
        assert not order.is_held_back(2, 1000.0, 0.1)
        # A host that has started again counts from one.
        order.receive("entry-2", waiting_counts(1), COUNTS_TIMEOUT_S + 0.1)
        assert order.is_held_back(2, 1000.0, COUNTS_TIMEOUT_S + 0.1)

    def test_hosts_that_see_one_shortage_do_not_all_fill_it(self, order):
        # Of many hosts, each started all that the rank lacked until the next message.
        counts = waiting_counts(1, started=(99_000, 0, 0), waiting=(1, 0, 9))
        order.receive("entry-2", counts, 0.0)
        starts = 0
        while starts < 50 and not order.is_held_back(2, 1000.0, 0.0):
            order.record_start(0.0, 2, "batch", 100.0)
            starts += 1
        # A tenth of the queued work is here, and 4,950 tokens are lacking.
        assert starts == 5

    def test_disabled_order_neither_sends_nor_applies_counters(self):
        order = SharedOrder(MINIMUM_SHARES, is_enabled=False)
        order.receive("entry-2", waiting_counts(1), 0.0)
        assert not order.is_held_back(2, 1000.0, 0.0)
        assert order.message(0.0, (1, 0, 0), (1.0, 0.0, 0.0)) is None


class TestMessages:
    def test_message_is_bounded(self):
        # The platform has 39,000 accounts, and a datagram has 16 KB.
        order = SharedOrder(MINIMUM_SHARES)
        for number in range(2_000):
            order.record_start(0.001 * number, 0, f"{number:04}" + "é" * 62, number)
            order.record_start(0.001 * number, 0, "x" * 2_000 + str(number), 9e9)
        message = order.message(2.0, (1, 0, 0), (10.0, 0.0, 0.0))
        assert len(message.accounts) <= MESSAGE_ACCOUNTS
        data = encode(Datagram("entry-1", 1, 0, (message,)))
        assert len(data) <= DATAGRAM_BYTES_MAX

    def test_accounts_with_the_most_work_of_the_last_seconds_are_named(self):
        order = SharedOrder(MINIMUM_SHARES)
        order.record_start(0.0, 0, "old", 9_000.0)
        for number in range(100):
            order.record_start(5.0, 0, f"a{number}", 100.0 + number)
        message = order.message(10.5, (1, 0, 0), (10.0, 0.0, 0.0))
        assert message.accounts[0] == ("a99", 199)
        assert "old" not in dict(message.accounts)
        assert message.started_work == NONE

    def test_rate_of_all_hosts_gives_the_wait_of_a_host_with_few_starts(self):
        # A host with fewer than eight starts expected no wait and refused too late.
        queue = RoomQueue(random.Random(1))
        for number in range(20):
            queue.push(make_item(str(number), "shop", 0, 1000.0, 9.0))
        item = make_item("new", "shop", 0, 1000.0, 9.0)
        assert queue.wait_s(item, 1.0) == 0.0
        counts = QueueCounts(1, (21, 0, 0), (21_000, 0, 0), (40_000, 0, 0), 40)
        queue.shared.receive("entry-2", counts, 1.0)
        # Half of 20 streams a second is this host's.
        assert queue.wait_s(item, 1.0) == pytest.approx(2.0)


class TestGateways:
    def test_counters_of_a_host_that_is_not_live_are_ignored(self):
        # They would hold streams back for a host that has left or was replaced.
        deployment = Deployment()
        host, peer = deployment.add_host("entry-1"), deployment.add_host("entry-2")
        deployment.run(lambda: len(host.peers.live_hosts()) == 1)
        shared = host.waiting_streams().queue.shared
        host.peers._on_message("entry-9", waiting_counts(1))
        assert not shared.is_held_back(2, 1.0, deployment.loop.now)
        host.peers._on_message("entry-2", waiting_counts(1))
        assert shared.is_held_back(2, 1.0, deployment.loop.now)
        peer.peers.leave()
        deployment.run(lambda: not host.peers.live_hosts())
        assert not shared.is_held_back(2, 1.0, deployment.loop.now)
        host.peers._on_message("entry-2", waiting_counts(2))
        assert not shared.is_held_back(2, 1.0, deployment.loop.now)

    def test_less_urgent_stream_waits_for_an_urgent_one_of_another_host(
        self, monkeypatch
    ):
        # A host with room started it at once; one that is told not to still does.
        deployment = Deployment()
        config = make_config()
        bulk = dict(config["routes"][0], name="bulk", prefix="/bulk/")
        bulk.update(priority=2, aim_ms=2000)
        config["routes"].append(bulk)
        deployment.store.put("op", "config", config)
        engines = [deployment.add_engine(f"i-e{n}") for n in range(4)]
        off = "[admission]\nshared_order = false\n"
        first, second = deployment.add_host("entry-1"), deployment.add_host("entry-2")
        alone = deployment.add_host("entry-3", more_settings=off)
        hosts = [first, second, alone]

        def is_placed(host):
            replicas = host.replicas.by_name.values()
            return sum(r.layers is not None for r in replicas) == len(engines)

        deployment.run(lambda: all(is_placed(host) for host in hosts))
        deployment.run(lambda: all(len(h.peers.live_hosts()) == 2 for h in hosts))
        monkeypatch.setattr(
            PathFinder, "has_room", lambda finder, _: finder._context is not first
        )
        urgent = deployment.send(first, make_stream("a1", key="key-three"))
        shared = second.waiting_streams().queue.shared
        deployment.run(lambda: shared.is_held_back(2, 1.0, deployment.loop.now))
        bulk_stream = make_stream("a2", key="key-three").replace(b"/draft/", b"/bulk/")
        held = deployment.send(second, bulk_stream)
        free = deployment.send(alone, bulk_stream.replace(b"a2", b"a3"))
        deployment.run(lambda: free.is_complete)
        assert "a2" not in [attempt for e in engines for attempt in e.runs]
        assert len(second.waiting_streams().queue) == 1
        metrics = second.telemetry.render(second).decode()
        assert re.search(r'streams_waiting\{.*rank="2".*\} 1', metrics)
        assert re.search(r'held_back_total\{.*"urgent_elsewhere".*\} 1', metrics)
        deployment.run(lambda: held.is_complete)
        assert (urgent.status, held.status, free.status) == (503, 200, 200)
