"""State machine of the accounting of client memory, against a plain model.

It guards against bytes and places that are counted twice or never freed, and against
ending connections in the wrong order. Shares and times are written out here: a model
that took them from the module would follow a mistake in it.
"""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from tests import fuzz
from wagtailstair.core.admission.client_memory import ClientMemory
from wagtailstair.core.admission.client_memory import Group
from wagtailstair.core.admission.client_memory import Stage

MB = 1 << 20
BOUND_BYTES = 12 * MB
RELIEF_BYTES = 0.9 * BOUND_BYTES
BUFFERED_BYTES_MAX = BOUND_BYTES // 2
CONNECTION_BYTES = 4096
EVICTED_BYTES_MIN = 16 << 10
STALL_S = 1.0
PROGRESS_BYTES = 16 << 10
MEMORY_MB = 1
DESCRIPTORS = 240
PLACES_BY_GROUP = {Group.CALLERS: 18, Group.INTERNAL: 2}
ACCOUNTS = ("", "large", "small", "other")
IDLE_STAGES = (Stage.IDLE, Stage.CLOSING)

groups = st.sampled_from([Group.CALLERS, Group.CALLERS, Group.INTERNAL])
stages = st.sampled_from(list(Stage))
accounts = st.sampled_from(ACCOUNTS)
held = st.one_of(
    st.integers(0, 2 * EVICTED_BYTES_MIN),
    st.sampled_from([0, EVICTED_BYTES_MIN - CONNECTION_BYTES, MB, 4 * MB, 9 * MB]),
)
moved = st.sampled_from([0, 1, PROGRESS_BYTES - 1, PROGRESS_BYTES])
indexes = st.integers(0, 31)
crowds = st.lists(
    st.tuples(
        st.sampled_from([20 << 10, MB, 2 * MB, 3 * MB, 5 * MB]),
        st.sampled_from([Stage.RECEIVING, Stage.FORWARDED, Stage.ANSWERED]),
        accounts,
        st.sampled_from([0.0, 0.5, 2.0]),
    ),
    min_size=3,
    max_size=8,
)


class Model:
    """What one connection holds, by plain assignment."""

    def __init__(self, group, now, turn):
        self.group = group
        self.stage = Stage.IDLE
        self.held_bytes = CONNECTION_BYTES
        self.account = ""
        self.is_ahead = False
        self.progress_at = now
        self.moved_bytes = 0
        self.idle_turn = turn


class ClientMemoryMachine(RuleBasedStateMachine):
    """Connections that open, change, end and are ended in any order."""

    @initialize()
    def start(self):
        self.memory = ClientMemory(MEMORY_MB, DESCRIPTORS)
        self.models = {}
        self.closed = []
        self.buffered_bytes = 0
        self.now = 0.0
        self.turn = 0

    def total(self):
        return sum(model.held_bytes for model in self.models.values())

    def excess(self, goal_bytes):
        buffered = min(self.buffered_bytes, BUFFERED_BYTES_MAX)
        return self.total() + buffered - goal_bytes

    def close_use(self, use):
        self.memory.close(use)
        del self.models[use]
        self.closed.append(use)

    @rule(group=groups)
    def open(self, group):
        self.open_use(group)

    def open_use(self, group):
        """Open a connection as the gateway does: at the bound, another one ends."""
        if not self.memory.has_place(group):
            use = self.choose_place(group)
            if use is None:
                return None
            self.close_use(use)
        self.turn += 1
        use = self.memory.open(None, group, self.now)
        self.models[use] = Model(group, self.now, self.turn)
        return use

    def choose_place(self, group):
        models = {u: m for u, m in self.models.items() if m.group is group}
        idle, stalled, ahead = [], [], []
        for use, model in models.items():
            is_stalled = self.now - model.progress_at >= STALL_S
            if model.stage in IDLE_STAGES:
                idle.append(use)
            elif model.stage is not Stage.FORWARDED and is_stalled:
                stalled.append(use)
            elif model.is_ahead:
                ahead.append(use)
        chosen = self.memory.choose_place(group, self.now)
        if idle:
            assert chosen is min(idle, key=lambda use: models[use].idle_turn)
        elif stalled or ahead:
            assert chosen in (stalled or ahead)
        else:
            assert chosen is None
        return chosen

    @rule(crowd=crowds)
    def open_crowd(self, crowd):
        """Open connections that together hold more than the bound, or nearly."""
        for held_bytes, stage, account, pause_s in crowd:
            self.now += pause_s
            if self.open_use(Group.CALLERS) is None:
                continue
            self.update(len(self.models) - 1, held_bytes, stage, account, False, 0)
        self.evict()

    @precondition(lambda self: self.models)
    @rule(
        index=indexes,
        held_bytes=held,
        stage=stages,
        account=accounts,
        is_ahead=st.booleans(),
        moved_bytes=moved,
    )
    def update(self, index, held_bytes, stage, account, is_ahead, moved_bytes):
        use = list(self.models)[index % len(self.models)]
        model = self.models[use]
        use.account = model.account = account
        use.is_ahead = model.is_ahead = is_ahead
        self.memory.update(use, held_bytes, stage, self.now, moved_bytes)
        model.held_bytes = CONNECTION_BYTES + held_bytes
        model.moved_bytes += moved_bytes
        if model.moved_bytes >= PROGRESS_BYTES or stage is not model.stage:
            model.progress_at = self.now
            model.moved_bytes = 0
        if stage is not model.stage:
            self.turn += 1
            model.idle_turn = self.turn
        model.stage = stage

    @precondition(lambda self: self.models)
    @rule(index=indexes)
    def close(self, index):
        self.close_use(list(self.models)[index % len(self.models)])

    @precondition(lambda self: self.closed)
    @rule(index=indexes)
    def close_again(self, index):
        self.memory.close(self.closed[index % len(self.closed)])

    @rule(buffered_bytes=st.sampled_from([0, 100, 3 * MB, 6 * MB, 16 * MB]))
    def buffer(self, buffered_bytes):
        self.memory.buffered_bytes = self.buffered_bytes = buffered_bytes

    @rule(seconds=st.sampled_from([0.0, 0.1, 0.9, 1.0, 5.0]))
    def advance(self, seconds):
        self.now += seconds

    @rule()
    def evict(self):
        chosen = self.memory.choose_evictions(self.now)
        if self.excess(BOUND_BYTES) <= 0:
            assert not chosen
            return
        assert len(set(chosen)) == len(chosen)
        left = {
            use: model
            for use, model in self.models.items()
            if model.held_bytes >= EVICTED_BYTES_MIN
        }
        assert left.keys() >= set(chosen)
        accounts = {model.account for model in left.values()}
        share_bytes = BOUND_BYTES / max(1, len(accounts))
        for use in chosen:
            assert self.excess(RELIEF_BYTES) > 0, "more than needed is evicted"
            self.check_order(left, left[use], share_bytes)
            del left[use]
            self.close_use(use)
        assert self.excess(RELIEF_BYTES) <= 0 or not left

    def check_order(self, left, model, share_bytes):
        """Check that no other connection has to go before the chosen one."""
        held_by_account = dict.fromkeys(ACCOUNTS, 0)
        unforwarded_accounts = set()
        for other in left.values():
            held_by_account[other.account] += other.held_bytes
            if other.stage is not Stage.FORWARDED:
                unforwarded_accounts.add(other.account)
        if model.stage is Stage.FORWARDED:
            assert not unforwarded_accounts
            return
        if held_by_account[model.account] <= share_bytes:
            for account in unforwarded_accounts:
                assert held_by_account[account] <= share_bytes

    @invariant()
    def accounts_are_right(self):
        if not hasattr(self, "memory"):
            return
        memory = self.memory
        assert memory.bound_bytes == BOUND_BYTES
        assert set(memory.uses()) == self.models.keys()
        assert memory.connections == len(self.models)
        assert memory.total_bytes == self.total()
        assert memory.is_over == (self.excess(BOUND_BYTES) > 0)
        for group, places in PLACES_BY_GROUP.items():
            uses = [use for use in self.models if use.group is group]
            assert len(uses) <= places
            assert memory.has_place(group) == (len(uses) < places)
        for use, model in self.models.items():
            assert use.held_bytes == model.held_bytes
            assert use.progress_at == model.progress_at

    def teardown(self):
        if not hasattr(self, "memory"):
            return
        for use in list(self.models):
            self.close_use(use)
        assert self.memory.total_bytes == 0
        assert self.memory.connections == 0


ClientMemoryMachine.TestCase.settings = fuzz.settings(examples=150, steps=50)
TestClientMemoryMachine = fuzz.seeded(ClientMemoryMachine)
