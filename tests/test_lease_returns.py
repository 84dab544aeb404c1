"""A lease held while the store comes back from an older copy.

Guards against two holders: the copy's row may name a host that has released the lease
since, and versions with which writes are conditional are given out again.
"""

import base64
import json
import random

import pytest

from tests.virtual_loop import VirtualLoop
from wagtailstair.core.leases import Lease
from wagtailstair.core.leases import LeaseLimits
from wagtailstair.core.leases import LeaseRead
from wagtailstair.core.leases import LeaseRow
from wagtailstair.core.leases import LeaseWait
from wagtailstair.core.leases import LeaseWrite
from wagtailstair.core.store import StoreVersion
from wagtailstair.gateway import lease as lease_module
from wagtailstair.gateway.fetch import Answer
from wagtailstair.gateway.lease import LEASE
from wagtailstair.gateway.lease import LeaseManager
from wagtailstair.gateway.store_eras import StoreEras

ANSWER_S = 0.004
STEP_S = 0.05


class LeaseStore:
    """One row of the store, which is written under conditions."""

    def __init__(self, loop):
        self.loop = loop
        self.era = 1
        self.version = 1
        self.row_version = 0
        self.value = None

    def fetch(self, _loop, _pool, name, call, _timeout_s, on_answer):
        self.loop.call_later(ANSWER_S, lambda: on_answer(self._answer(call)))

    def _answer(self, call):
        status = 200
        if call.method == "POST":
            body = json.loads(call.body)
            status = 200 if body["expect_rev"][0]["ver"] == self.row_version else 412
            if status == 200:
                self.version += 1
                self.row_version = self.version
                self.value = body["writes"][0]["value"]
        rows = []
        if self.value is not None:
            row = {"table": "leases", "key": "placement", "value": self.value}
            rows.append({**row, "ver": self.row_version})
        body = json.dumps({"rows": rows, "ver": self.version}).encode()
        headers = ((b"Store-Era", str(self.era).encode()),)
        return Answer(status, body, headers=headers)

    def copy(self):
        return self.version, self.row_version, self.value

    def come_back(self, copy):
        self.version, self.row_version, self.value = copy
        self.era += 1

    @property
    def lease(self):
        return json.loads(base64.b64decode(self.value))


class Candidates:
    """Two hosts that acquire the lease when they are told to."""

    def __init__(self, monkeypatch, seed):
        self.loop = VirtualLoop()
        self.store = LeaseStore(self.loop)
        self.wanted = {"a"}
        self.by_name = {}
        monkeypatch.setattr(lease_module, "Fetch", self.store.fetch)
        self.seed = seed
        for name in ("a", "b"):
            self.start(name)

    def start(self, name):
        self.by_name[name] = LeaseManager(
            self.loop,
            None,
            None,
            "placement",
            name,
            lambda: name in self.wanted,
            random.Random(self.seed),
            StoreEras(),
        )
        self.by_name[name].start()

    def holders(self):
        found = []
        for name, lease in self.by_name.items():
            if lease.may_send_order(0.0):
                found.append(name)
        return found

    def run_until_held_by(self, name, limit_s=20.0):
        until = self.loop.now + limit_s
        while self.holders() != [name]:
            assert self.loop.now < until
            self.step()

    def run_until_given_up(self):
        until = self.loop.now + LEASE.renew_s + 2 * STEP_S
        while self.holders():
            assert self.loop.now < until
            self.step()

    def run_until_renewed(self):
        version = self.store.version
        while self.store.version == version:
            self.step()

    def run_until_settled(self):
        """Run for a few durations of the lease, after which one host holds it."""
        until = self.loop.now + 4 * LEASE.duration_s
        while self.loop.now < until:
            self.step()
        assert len(self.holders()) == 1

    def step(self):
        self.loop.run_until(self.loop.now + STEP_S)
        assert len(self.holders()) <= 1

    def hand_over(self):
        """Let the first host release the lease, and the second one acquire it."""
        self.wanted = {"b"}
        self.by_name["a"].release()
        self.run_until_held_by("b")


@pytest.fixture(params=range(5))
def candidates(monkeypatch, request):
    candidates = Candidates(monkeypatch, request.param)
    candidates.run_until_held_by("a")
    return candidates


class TestReturn:
    def test_holder_of_the_copy_does_not_act_beside_the_one_in_force(self, candidates):
        copy = candidates.store.copy()
        candidates.hand_over()
        candidates.wanted = {"a", "b"}
        candidates.store.come_back(copy)
        candidates.run_until_settled()

    def test_holder_counts_itself_out_until_it_has_won_again(self, candidates):
        copy = candidates.store.copy()
        candidates.store.come_back(copy)
        returned_at = candidates.loop.now
        candidates.run_until_given_up()
        candidates.run_until_held_by("a")
        assert candidates.loop.now - returned_at >= LEASE.duration_s

    def test_fence_of_a_host_never_falls(self, candidates):
        copy = candidates.store.copy()
        candidates.hand_over()
        before = candidates.by_name["b"].fence
        assert before == 2
        candidates.store.come_back(copy)
        candidates.run_until_given_up()
        candidates.run_until_held_by("b")
        assert candidates.store.lease["fence"] > before

    def test_write_of_the_old_era_is_not_believed(self, candidates):
        # The row has the version that the write names, but another content.
        copy = candidates.store.copy()
        candidates.store.come_back((copy[0], copy[1], None))
        until = candidates.loop.now + LEASE.renew_s + STEP_S
        while candidates.loop.now < until:
            candidates.step()
        assert candidates.holders() == []

    def test_host_that_starts_after_it_does_not_act_beside_the_holder(self, candidates):
        # The copy is older than the holder's lease, which it has just renewed.
        candidates.run_until_renewed()
        candidates.store.come_back((1, 0, None))
        candidates.wanted = {"a", "c"}
        candidates.start("c")
        candidates.run_until_settled()

    def test_fence_exceeds_those_that_only_other_hosts_have_seen(self, candidates):
        copy = candidates.store.copy()
        candidates.hand_over()
        before = candidates.by_name["b"].fence
        candidates.store.come_back(copy)
        candidates.wanted = {"c"}
        candidates.start("c")
        candidates.run_until_held_by("c")
        assert candidates.store.lease["fence"] > before

    def test_fence_of_the_holder_that_the_copy_names_is_a_new_one(self, candidates):
        copy = candidates.store.copy()
        candidates.hand_over()
        before = candidates.by_name["b"].fence
        candidates.store.come_back(copy)
        candidates.wanted = {"a"}
        candidates.run_until_held_by("a")
        assert candidates.store.lease["fence"] > before

    def test_fence_exceeds_that_of_a_row_which_a_late_write_replaced(self, candidates):
        copy = candidates.store.copy()
        candidates.store.come_back((1, 0, None))
        candidates.wanted = {"b"}
        candidates.run_until_held_by("b")
        before = candidates.by_name["b"].fence
        candidates.store.version += 1
        candidates.store.row_version = candidates.store.version
        candidates.store.value = copy[2]
        candidates.wanted = {"c"}
        candidates.start("c")
        candidates.run_until_held_by("c")
        assert candidates.store.lease["fence"] > before


class TestWait:
    """Guards against a wait that ends early, while an earlier holder still acts."""

    LIMITS = LeaseLimits(duration_s=10.0, renew_s=3.0, margin_s=1.0, retry_s=0.5)

    @pytest.mark.parametrize("holder", ["", "a", "b"])
    def test_failed_call_does_not_shorten_it(self, holder):
        lease = Lease("a", self.LIMITS)
        lease.apply_read(StoreVersion(1, 7), LeaseRow("b", 5, 10.0, 1), 100.0)
        # A call is in progress when a peer tells of the return.
        lease.apply_return(105.0)
        lease.delay_retry(106.0)
        row = LeaseRow(holder, 3, 10.0, 1)
        for now in (107.0, 110.0, 114.9):
            command = lease.next(now)
            assert not isinstance(command, LeaseWrite)
            if isinstance(command, LeaseRead):
                lease.apply_read(StoreVersion(2, 4), row, now)
                assert isinstance(lease.next(now), LeaseWait)
