"""Tests of which connections a host ends when its clients hold too much.

They guard against crowds of clients that exhaust a host's memory or descriptors, and
against ending the wrong connections: ordinary ones, or those whose request may run.
"""

import random

import pytest

from wagtailstair.core.admission.client_limits import ClientLimits
from wagtailstair.core.admission.client_memory import BASE_BYTES
from wagtailstair.core.admission.client_memory import BYTES_PER_MB
from wagtailstair.core.admission.client_memory import CONNECTION_BYTES
from wagtailstair.core.admission.client_memory import RELIEF_SHARE
from wagtailstair.core.admission.client_memory import ClientMemory
from wagtailstair.core.admission.client_memory import Group
from wagtailstair.core.admission.client_memory import Stage

SMALLEST_MB = 152
BODY_BYTES = 4 * BYTES_PER_MB
HELD_BYTES = BODY_BYTES - 10


@pytest.fixture
def memory():
    return ClientMemory(SMALLEST_MB, 1535)


def hold(memory, name, held_bytes, stage=Stage.RECEIVING, now=0.0):
    use = memory.open(name, Group.CALLERS, now)
    memory.update(use, held_bytes, stage, now)
    return use


def evicted(memory, now):
    """End what is chosen, like the gateway; return the names."""
    names = []
    for use in memory.choose_evictions(now):
        names.append(use.owner)
        memory.close(use)
    return names


class TestMemory:
    # The bound could have been lower than one legal request, which no host would serve.
    @pytest.mark.parametrize("memory_mb", [1, SMALLEST_MB, 552])
    def test_one_largest_request_fits_also_while_it_is_forwarded(self, memory_mb):
        memory = ClientMemory(memory_mb, 1535)
        hold(memory, "a", 2 * BODY_BYTES * 9 // 8, Stage.FORWARDED)
        assert not memory.is_over

    def test_crowd_of_stalled_bodies_stays_within_the_bound(self, memory):
        for number in range(150):
            hold(memory, number, HELD_BYTES, now=number * 0.01)
            evicted(memory, number * 0.01)
            assert memory.total_bytes <= memory.bound_bytes

    # Ordinary requests that arrive beside a crowd hold little and were ended with it.
    def test_ordinary_requests_and_idle_connections_are_kept(self, memory):
        hold(memory, "idle", 0, Stage.IDLE)
        hold(memory, "ordinary", 8000)
        crowd = [hold(memory, n, HELD_BYTES, now=1.0).owner for n in range(20)]
        assert set(evicted(memory, 2.0)) < set(crowd)
        assert memory.total_bytes <= memory.bound_bytes * RELIEF_SHARE

    def test_connections_that_stalled_go_before_those_that_move(self, memory):
        stalled = hold(memory, "stalled", 5 << 20)
        moving = [hold(memory, f"m{n}", 5 << 20) for n in range(9)]
        for use in moving:
            memory.update(use, 5 << 20, Stage.RECEIVING, 2.9, 64 << 10)
        assert evicted(memory, 3.0)[0] == stalled.owner

    def test_those_that_hold_the_most_go_first(self, memory):
        for number in range(10):
            hold(memory, number, (number + 1) << 20)
        assert evicted(memory, 1.0)[0] == 9

    # Single bytes now and then made a stalled client look like a moving one.
    def test_single_bytes_are_no_progress(self, memory):
        trickling = hold(memory, "trickling", HELD_BYTES)
        for number in range(1, 100):
            memory.update(trickling, HELD_BYTES, Stage.RECEIVING, number * 0.1, 1)
        assert trickling.progress_at == 0.0

    # Ending a request that an upstream has may run it twice or lose its answer.
    def test_forwarded_requests_go_last(self, memory):
        hold(memory, "forwarded", 40 << 20, Stage.FORWARDED)
        for number in range(3):
            hold(memory, number, 3 << 20, now=8.0)
        assert set(evicted(memory, 9.0)) == {0, 1, 2}
        hold(memory, "more", 20 << 20, Stage.FORWARDED, now=8.9)
        assert evicted(memory, 9.0) == ["forwarded"]

    # Many small bodies of one account, all of which move, ended the large uploads of
    # the other accounts of the host.
    @pytest.mark.parametrize("seed", range(3))
    def test_account_over_its_share_makes_room_for_others(self, seed, memory):
        rng = random.Random(seed)
        others = []
        for name in ("shop", "desk"):
            use = hold(memory, name, 3 << 20)
            use.account = name
            others.append(use)
        for number in range(200):
            now = 1.0 + number * 0.05
            for use in others:
                memory.update(use, 3 << 20, Stage.RECEIVING, now, rng.randrange(9000))
            for part in range(4):
                name = (number, part)
                crowd = hold(memory, name, rng.randrange(64 << 10, 1 << 20), now=now)
                crowd.account = "crowd"
            assert not {"shop", "desk"} & set(evicted(memory, now))
            assert memory.total_bytes <= memory.bound_bytes

    def test_accounts_within_their_shares_are_ended_as_one(self, memory):
        for number in range(40):
            use = hold(memory, number, 2 << 20, now=number * 0.1)
            use.account = f"account{number}"
        ended = evicted(memory, 9.0)
        assert ended == list(range(len(ended)))
        assert memory.total_bytes <= memory.bound_bytes

    # A request that an upstream has goes last, also of an account over its share.
    def test_forwarded_requests_of_an_account_over_its_share_go_last(self, memory):
        for name, stage in (("forwarded", Stage.FORWARDED), ("other", Stage.RECEIVING)):
            use = hold(memory, name, 30 << 20, stage)
            use.account = "crowd"
        use = hold(memory, "shop", 4 << 20)
        use.account = "shop"
        assert evicted(memory, 9.0)[0] == "other"

    # Long lists and the bodies of clients together exceeded the memory of a small host.
    def test_clients_make_room_for_what_the_gateway_buffers(self, memory):
        for number in range(9):
            hold(memory, number, 4 << 20)
        assert not memory.is_over
        memory.buffered_bytes = 16 << 20
        evicted(memory, 1.0)
        assert memory.total_bytes + memory.buffered_bytes <= memory.bound_bytes

    def test_what_the_gateway_buffers_leaves_half_to_clients(self, memory):
        memory.buffered_bytes = 100 << 20
        hold(memory, "a", memory.bound_bytes // 3)
        assert evicted(memory, 1.0) == []

    # A lower share that only bounds what comes later leaves the memory taken.
    def test_share_of_the_memory_is_a_setting_that_changes_in_force(self):
        memory = ClientMemory(260, 0, ClientLimits(memory_share=0.25))
        spare_bytes = 260 * BYTES_PER_MB - BASE_BYTES
        assert memory.bound_bytes == spare_bytes // 4
        memory.set_limits(ClientLimits(memory_share=1.0))
        assert memory.bound_bytes == spare_bytes
        for number in range(40):
            hold(memory, number, 4 << 20)
        assert not memory.is_over
        memory.set_limits(ClientLimits(memory_share=0.125))
        evicted(memory, 1.0)
        assert 0 < memory.total_bytes <= spare_bytes // 8

    # Without the host's limits, a change of the shares made up bounds of nothing.
    def test_shares_of_no_limit_bound_nothing(self):
        memory = ClientMemory(0, 0)
        memory.set_limits(ClientLimits(memory_share=0.1, descriptor_share=0.1))
        assert (memory.bound_bytes, memory.bound_by_group) == (0, {})

    def test_without_settings_nothing_is_bounded(self):
        memory = ClientMemory(0, 0)
        for number in range(3000):
            hold(memory, number, HELD_BYTES)
        assert memory.choose_evictions(9.0) == []
        assert memory.has_place(Group.CALLERS)

    # A total that drifts ends ordinary connections, or none, after some days.
    @pytest.mark.parametrize("seed", range(5))
    def test_total_is_that_of_open_connections(self, seed, memory):
        rng = random.Random(seed)
        uses = []
        for step in range(2000):
            if not uses or rng.random() < 0.3:
                uses.append(memory.open(step, rng.choice(list(Group)), step))
            use = rng.choice(uses)
            memory.update(
                use, rng.randrange(90_000), rng.choice(list(Stage)), step, 9000
            )
            if rng.random() < 0.25:
                uses.remove(use)
                memory.close(use)
                memory.close(use)
        assert memory.connections == len(uses)
        assert memory.total_bytes == sum(use.held_bytes for use in uses)
        for use in uses:
            memory.close(use)
        assert (memory.total_bytes, memory.connections) == (0, 0)
        assert not any(memory.longest_idle(group) for group in Group)


class TestConnections:
    # Upstreams and files need descriptors as well.
    def test_clients_have_half_of_the_descriptors_that_are_not_reserved(self, memory):
        assert sum(memory.bound_by_group.values()) == (1535 - 200) // 2

    def test_longest_idle_connection_makes_place(self, memory):
        uses = [memory.open(n, Group.CALLERS, n) for n in range(3)]
        memory.update(uses[0], 100, Stage.RECEIVING, 5.0)
        assert memory.longest_idle(Group.CALLERS) is uses[1]
        memory.update(uses[0], 0, Stage.IDLE, 6.0)
        memory.close(uses[1])
        assert memory.longest_idle(Group.CALLERS) is uses[2]
        memory.close(uses[2])
        assert memory.longest_idle(Group.CALLERS) is uses[0]

    # Half heads, and requests sent ahead without end, kept all places.
    def test_stalled_and_pipelining_connections_make_place_if_none_is_idle(
        self, memory
    ):
        uses = [memory.open(n, Group.CALLERS, 0.0) for n in range(4)]
        memory.update(uses[0], 100, Stage.RECEIVING, 0.0)
        for use in uses[1:]:
            memory.update(use, 100, Stage.FORWARDED, 0.0)
        assert memory.choose_place(Group.CALLERS, 0.5) is None
        assert memory.choose_place(Group.CALLERS, 1.5) is uses[0]
        uses[2].is_ahead = True
        assert memory.choose_place(Group.CALLERS, 0.5) is uses[2]
        assert memory.choose_place(Group.CALLERS, 1.5) is uses[0]

    # A share that is read from the settings and has no effect leaves a host unbounded.
    def test_share_of_descriptors_is_a_setting(self):
        memory = ClientMemory(0, 1000, ClientLimits(descriptor_share=0.25))
        assert sum(memory.bound_by_group.values()) == 200
        memory.set_limits(ClientLimits(descriptor_share=0.75))
        assert sum(memory.bound_by_group.values()) == 600

    # A stalled request gave up its place after the time of the default.
    def test_time_after_which_a_stalled_request_gives_up_its_place_is_a_setting(self):
        memory = ClientMemory(0, 216, ClientLimits(stall_s=3.0))
        use = hold(memory, "a", 100)
        assert memory.choose_place(Group.CALLERS, 2.9) is None
        assert memory.choose_place(Group.CALLERS, 3.0) is use
        memory.set_limits(ClientLimits(stall_s=0.5))
        assert memory.choose_place(Group.CALLERS, 0.4) is None
        assert memory.choose_place(Group.CALLERS, 0.5) is use

    # A crowd of callers took the connections of the balancer's readiness checks.
    def test_groups_do_not_take_each_others_places(self, memory):
        while memory.has_place(Group.CALLERS):
            hold(memory, "a", 0)
        assert memory.has_place(Group.INTERNAL)

    def test_connection_without_a_request_is_counted(self, memory):
        memory.open("a", Group.CALLERS, 0.0)
        assert memory.total_bytes == CONNECTION_BYTES
