"""Prompts that engines have yet to read, and the streams that wait for them.

In a burst, prompts once queued at the engines in order of arrival: the first events of
urgent streams came as late as those of the others.
"""

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from wagtailstair.core.admission.prompt_backlog import PACING_S
from wagtailstair.core.admission.prompt_backlog import SHARE_WINDOW_S
from wagtailstair.core.admission.prompt_backlog import Backlog
from wagtailstair.core.admission.prompt_backlog import PromptBacklogGate
from wagtailstair.core.engine_costs import Load
from wagtailstair.core.pipelines import LoadSource
from wagtailstair.core.room_queue import MINIMUM_SHARES

PROMPT = 300
PROMPT_S = 0.02
"""Seconds in which the engine of the simulation reads a prompt."""
REPORT_S = 0.25
TICK_S = 0.01
GOAL_S_BY_RANK = {0: 0.5, 1: 0.75, 2: 1.0}


class Burst:
    """One engine that reads prompts in turn, and hosts that learn of them late."""

    def __init__(self, urgent_rank, hosts=4):
        self.urgent_rank = urgent_rank
        self.gates = [PromptBacklogGate() for _ in range(hosts)]
        self.unread = [0] * hosts
        self.reported = [0] * hosts
        self.waiting = [{0: [], 1: [], 2: []} for _ in range(hosts)]
        self.ends = []
        self.free_at = 0.0
        self.waits = {0: [], 1: [], 2: []}

    def run(self, rate_by_rank, length_s):
        arrived = dict.fromkeys(rate_by_rank, 0)
        for tick in range(int(length_s / TICK_S)):
            now = tick * TICK_S
            while self.ends and self.ends[0][0] <= now:
                self.unread[self.ends.pop(0)[1]] -= 1
            if tick % int(REPORT_S / TICK_S) == 0:
                self.reported = list(self.unread)
            for rank, per_s in rate_by_rank.items():
                while arrived[rank] < per_s * now:
                    host = arrived[rank] % len(self.gates)
                    arrived[rank] += 1
                    self.waiting[host][rank].append(now)
            for host in range(len(self.gates)):
                self.start_waiting(host, now)

    def start_waiting(self, host, now):
        for rank, queue in self.waiting[host].items():
            while queue and now - queue[0] > GOAL_S_BY_RANK[rank]:
                queue.pop(0)
            while queue and self.may_begin(host, rank, now):
                self.gates[host].record_start(now, rank, 1.0)
                self.free_at = max(now, self.free_at) + PROMPT_S
                self.ends.append((self.free_at, host))
                self.unread[host] += 1
                self.waits[rank].append(self.free_at - queue.pop(0))

    def may_begin(self, host, rank, now):
        others = sum(self.reported) - self.reported[host]
        own_s = self.unread[host] * PROMPT_S
        backlog = Backlog(own_s + others * PROMPT_S, own_s)
        goal_s = GOAL_S_BY_RANK[rank]
        gate, hosts = self.gates[host], len(self.gates)
        return gate.may_begin(rank, self.urgent_rank, goal_s, backlog, hosts, now)


class TestBurst:
    LOAD = {0: 20, 2: 70}

    @pytest.mark.parametrize("hosts", [1, 4, 20])
    def test_urgent_streams_keep_their_goal_under_a_burst(self, hosts):
        burst = Burst(urgent_rank=0, hosts=hosts)
        burst.run(self.LOAD, 10.0)
        assert max(burst.waits[0]) <= GOAL_S_BY_RANK[0]
        # The engine does not become idle for it.
        assert sum(map(len, burst.waits.values())) >= 0.9 * 10.0 / PROMPT_S

    # Shows that the load of the test above needs the gate.
    def test_one_rank_is_not_held_back(self):
        burst = Burst(urgent_rank=None)
        burst.run(self.LOAD, 10.0)
        assert len(burst.waits[2]) >= 10.0 * self.LOAD[2] - 1
        assert max(burst.waits[0]) > 4 * GOAL_S_BY_RANK[0]

    # An urgent flood would shut out the other ranks for as long as it lasts.
    def test_ranks_keep_their_shares_under_an_urgent_flood(self):
        burst = Burst(urgent_rank=0)
        burst.run({0: 80, 1: 80, 2: 80}, 20.0)
        started = sum(map(len, burst.waits.values()))
        for rank, share in enumerate(MINIMUM_SHARES):
            assert len(burst.waits[rank]) >= 0.95 * share * started


class TestGate:
    @pytest.mark.parametrize(
        ("rank", "urgent_rank", "goal_s", "backlog_s", "may_begin"),
        [
            pytest.param(0, 0, 0.5, 9.0, True, id="most-urgent"),
            pytest.param(2, 0, 0.0, 9.0, True, id="no-goal"),
            pytest.param(1, 0, 1.0, 0.39, True, id="next-below"),
            pytest.param(1, 0, 1.0, 0.41, False, id="next-above"),
            pytest.param(2, 0, 1.0, 0.19, True, id="last-below"),
            pytest.param(2, 0, 1.0, 0.21, False, id="last-above"),
            pytest.param(9, 0, 1.0, 0.21, False, id="unknown-rank"),
        ],
    )
    def test_by_rank_and_goal(self, rank, urgent_rank, goal_s, backlog_s, may_begin):
        gate = PromptBacklogGate()
        gate.record_start(0.0, rank, 1.0)
        backlog = Backlog(backlog_s, 0.0)
        decided = gate.may_begin(rank, urgent_rank, goal_s, backlog, 1, 1.0)
        assert decided is may_begin

    # A host that has started nothing lately would wait for others without end.
    def test_starts_are_forgotten_after_the_window(self):
        gate = PromptBacklogGate()
        gate.record_start(0.0, 2, 1.0)
        backlog = Backlog(9.0, 0.0)
        assert not gate.may_begin(2, 0, 1.0, backlog, 1, SHARE_WINDOW_S)
        assert gate.may_begin(2, 0, 1.0, backlog, 1, SHARE_WINDOW_S + 0.1)

    # All hosts once sent their queued streams when a backlog was gone, each unaware
    # of the others, and made the next one longer.
    def test_a_host_takes_its_part_only_after_a_long_backlog(self):
        gate = PromptBacklogGate()
        gate.record_start(0.0, 2, 1.0)
        own = Backlog(0.1, 0.1)
        assert gate.may_begin(2, 0, 1.0, own, 20, 0.0)
        assert not gate.may_begin(2, 0, 1.0, Backlog(0.3, 0.0), 20, 0.1)
        assert not gate.may_begin(2, 0, 1.0, own, 20, 0.2)
        assert gate.may_begin(2, 0, 1.0, Backlog(0.1, 0.0), 20, 0.3)
        assert gate.may_begin(2, 0, 1.0, own, 20, 0.2 + PACING_S)


@pytest.fixture
def deployment():
    deployment = Deployment()
    deployment.store.put("op", "config", make_config())
    return deployment


@pytest.fixture
def host(deployment):
    host = deployment.add_host()
    deployment.run(host.is_ready)
    return host


def add_copies(deployment, host, copies="xy"):
    """Add engines that hold the layers several times in one data centre."""
    engine_by_name = {}
    for copy in copies:
        for first in (0, 20, 40, 60):
            engine = deployment.add_engine(f"i-{copy}{first}")
            engine.events, engine.pause_s, engine.first_event_s = 200, 0.02, 0.6
            layers = {"from": first, "target": first + 20, "version": 1}
            engine.write_row(layers=layers)
            engine_by_name[engine.name] = engine

    def has_layers(name):
        replica = host.replicas.by_name.get(name)
        return replica is not None and replica.layers is not None

    deployment.run(lambda: all(has_layers(name) for name in engine_by_name))
    return engine_by_name


def unread(host):
    """Return the token-layers of unread prompts by engine, without empty ones."""
    held = {}
    for identity, use in host.pipelines("engines").use_by_identity.items():
        if use.unread:
            held[identity[0]] = use.unread
    return held


def begin(deployment, host, attempt="a1"):
    answered = deployment.send(host, make_stream(attempt))
    deployment.run(lambda: bool(host.streams()) and bool(host.streams()[0].path))
    (stream,) = host.streams()
    expected = {hop.replica.name: PROMPT * 20 for hop in stream.path}
    assert unread(host) == expected
    return answered, stream


class TestCounts:
    """An engine whose count stays would be avoided and hold streams back for ever."""

    def test_until_the_first_event(self, deployment, host):
        add_copies(deployment, host)
        answered, _ = begin(deployment, host)
        deployment.run(lambda: b"id: 1\n" in answered.data)
        assert host.streams()
        assert unread(host) == {}

    def test_until_the_caller_is_gone(self, deployment, host):
        add_copies(deployment, host)
        answered, _ = begin(deployment, host)
        answered.connection.close()
        deployment.run(lambda: not host.streams())
        assert unread(host) == {}

    def test_until_the_engine_is_lost(self, deployment, host):
        engine_by_name = add_copies(deployment, host)
        _, stream = begin(deployment, host)
        first = engine_by_name[stream.path[0].replica.name]
        first.end()
        deployment.run(lambda: stream.is_finished or stream.sends > 1)
        assert first.name not in unread(host)
        deployment.run(lambda: stream.is_finished or stream.events > 0)
        assert unread(host) == {}

    def test_on_the_engines_of_the_new_path_after_a_move(self, deployment, host):
        engine_by_name = add_copies(deployment, host)
        answered, stream = begin(deployment, host)
        before = stream.path[2].replica.name
        engine_by_name[before].write_row(state="draining")
        deployment.run(lambda: not stream.uses_engine((before, 1000)))
        assert stream.events == 0
        expected = {hop.replica.name: PROMPT * 20 for hop in stream.path}
        assert unread(host) == expected
        deployment.run(lambda: b"id: 1\n" in answered.data)
        assert unread(host) == {}

    def test_after_a_move_of_a_stream_with_events(self, deployment, host):
        engine_by_name = add_copies(deployment, host)
        answered, stream = begin(deployment, host)
        deployment.run(lambda: b"id: 1\n" in answered.data)
        before = stream.path[2].replica.name
        engine_by_name[before].write_row(state="draining")
        deployment.run(lambda: not stream.uses_engine((before, 1000)))
        deployment.run(lambda: unread(host) == {})
        assert host.streams() == [stream]


class TestHeldBack:
    """A stream that begins behind a backlog delays the urgent ones after it."""

    METRIC = b"wagtailstair_streams_held_back_total"

    def add_backlog(self, deployment, host, *, later_rank):
        config = make_config()
        later = {**config["routes"][0], "name": "later", "prefix": "/later/"}
        config["routes"].append({**later, "priority": later_rank})
        config["version"] = 2
        deployment.store.put("op", "config", config)
        deployment.run(lambda: host.lists_version() == 2)
        add_copies(deployment, host)
        pipelines = host.pipelines("engines")
        for replica in host.replicas.by_name.values():
            pipelines.use(replica)
        loads = {}
        for use in pipelines.use_by_identity.values():
            loads[use.key] = Load(1, 0, 0.0, 80 * 30_000)
        pipelines.set_peer_loads(LoadSource("entry-2"), loads)
        # The account's rank is 1; its first stream is below the minimum share.
        deployment.send(host, make_stream("a1"))
        deployment.run(lambda: len(host.streams()) == 1)
        return pipelines

    def started(self, host):
        return sorted(s.attempt_id for s in host.streams() if s.sends)

    def test_less_urgent_stream_waits_until_the_backlog_is_gone(self, deployment, host):
        pipelines = self.add_backlog(deployment, host, later_rank=2)
        deployment.send(host, make_stream("a2"))
        deployment.run(lambda: len(host.streams()) == 2)
        deployment.send(host, make_stream("a3", key="key-three"))
        deployment.run(lambda: len(host.streams()) == 3)
        assert self.started(host) == [b"a1", b"a3"]
        assert self.METRIC + b'{host="' in host.telemetry.render(host)
        pipelines.drop_peer_loads(LoadSource("entry-2"))
        deployment.run(lambda: self.started(host) == [b"a1", b"a2", b"a3"])

    def test_nothing_waits_where_all_routes_have_one_rank(self, deployment, host):
        self.add_backlog(deployment, host, later_rank=0)
        deployment.send(host, make_stream("a2"))
        deployment.run(lambda: len(host.streams()) == 2)
        assert self.started(host) == [b"a1", b"a2"]
        assert self.METRIC + b'{host="' not in host.telemetry.render(host)
