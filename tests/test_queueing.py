import collections
import random

import pytest
from policy_data import make_route_request

from wagtailstair.core.engine import Priority
from wagtailstair.core.fairness import MAX_IDLE_ACCOUNTS
from wagtailstair.core.queueing import FairQueue

SHARES = (0.5, 0.2, 0.05)
URGENT, STANDARD, BATCH = Priority


def fill(queue, count, account, priority, **changes):
    for number in range(count):
        name = f"{account}-{priority}-{changes.get('entitled')}-{number}"
        assert queue.push(make_route_request(name, account, priority, **changes))[0]


def serve(queue, count):
    served = []
    for _ in range(count):
        served.append(queue.take(queue.first().request))
    return served


def work_by(served, key):
    work = collections.Counter()
    for item in served:
        work[key(item)] += item.work
    return work


class TestPriorities:
    def test_each_gets_its_minimum_share_while_all_wait(self):
        queue = FairQueue(10_000, SHARES)
        rng = random.Random(1)
        for priority in Priority:
            for number in range(2_000):
                work = rng.uniform(5, 50)
                queue.push(
                    make_route_request(f"{priority}-{number}", "a", priority, work=work)
                )
        served = serve(queue, 1_500)
        work = work_by(served, lambda item: item.priority)
        total = sum(work.values())
        for priority in (STANDARD, BATCH):
            assert work[priority] >= SHARES[priority] * total - 50
        # The remaining share goes to the most urgent priority.
        assert work[URGENT] >= (1 - SHARES[STANDARD] - SHARES[BATCH]) * total - 100

    def test_time_without_work_earns_no_credit(self):
        queue = FairQueue(10_000, SHARES)
        fill(queue, 500, "a", URGENT)
        serve(queue, 400)
        fill(queue, 100, "a", BATCH)
        served = serve(queue, 40)
        assert sum(item.priority is BATCH for item in served) <= 3

    def test_service_beyond_the_minimum_does_not_reduce_later_service(self):
        queue = FairQueue(10_000, SHARES)
        fill(queue, 600, "a", BATCH)
        serve(queue, 500)
        fill(queue, 200, "a", URGENT)
        served = serve(queue, 100)
        assert sum(item.priority is BATCH for item in served) >= 4

    def test_entitled_work_is_served_first(self):
        queue = FairQueue(100, SHARES)
        fill(queue, 3, "a", STANDARD, entitled=False)
        fill(queue, 3, "b", STANDARD, entitled=True)
        assert [item.account for item in serve(queue, 6)] == list("bbbaaa")


class TestAccounts:
    def test_share_work_by_weight_whatever_the_number_of_requests(self):
        queue = FairQueue(10_000, SHARES)
        fill(queue, 900, "many", STANDARD, work=5.0)
        fill(queue, 300, "large", STANDARD, work=40.0)
        fill(queue, 300, "double", STANDARD, work=20.0, weight=2.0)
        work = work_by(serve(queue, 600), lambda item: item.account)
        assert work["many"] == pytest.approx(work["large"], abs=80)
        assert work["double"] == pytest.approx(2 * work["large"], abs=120)

    def test_a_new_account_is_served_before_the_backlog_of_another(self):
        queue = FairQueue(10_000, SHARES)
        fill(queue, 1_000, "large", STANDARD)
        serve(queue, 100)
        queue.push(make_route_request("new", "small"))
        assert "new" in [item.request for item in serve(queue, 2)]

    def test_the_charge_is_corrected_to_the_actual_work(self):
        queue = FairQueue(10_000, SHARES)
        fill(queue, 100, "under", STANDARD)
        fill(queue, 100, "exact", STANDARD)
        work = collections.Counter()
        for _ in range(90):
            item = queue.take(queue.first().request)
            actual = item.work * (3 if item.account == "under" else 1)
            work[item.account] += actual
            queue.settle(item, actual)
        assert work["under"] == pytest.approx(work["exact"], abs=60)

    def test_memory_is_bounded_whatever_the_number_of_accounts(self):
        queue = FairQueue(100, SHARES)
        for number in range(20_000):
            queue.push(make_route_request(f"r{number}", f"account{number}"))
            if number % 2:
                serve(queue, 1)
        assert queue.flows() <= MAX_IDLE_ACCOUNTS + 100
        while len(queue):
            serve(queue, 1)
        assert queue.flows() == 0


class TestBound:
    def test_more_urgent_work_displaces_items_of_a_flood(self):
        queue = FairQueue(100, SHARES)
        for number in range(200):
            queue.push(make_route_request(f"b{number}", "flood", BATCH))
        fill(queue, 3, "other", BATCH)
        count_before = queue.count(BATCH)
        taken, victim = queue.push(make_route_request("u", "small", URGENT))
        assert taken
        assert victim is None
        for number in range(60):
            taken, victim = queue.push(
                make_route_request(f"s{number}", "small", URGENT)
            )
            assert taken
        assert victim is not None
        assert (victim.account, victim.priority) == ("flood", BATCH)
        assert len(queue) <= 100
        assert queue.count(BATCH) < count_before

    def test_less_urgent_work_displaces_no_more_urgent_items(self):
        queue = FairQueue(100, SHARES)
        for number in range(300):
            queue.push(make_route_request(f"u{number}", "flood", URGENT))
        urgent = queue.count(URGENT)
        for number in range(300):
            _, victim = queue.push(make_route_request(f"b{number}", "small", BATCH))
            assert victim is None or victim.priority is BATCH
        assert queue.count(URGENT) == urgent
        # A flood leaves the other priorities the places of their minimum.
        assert queue.count(BATCH) >= 5
        assert len(queue) <= 100

    def test_a_flood_of_urgent_work_leaves_the_others_their_places(self):
        queue = FairQueue(100, SHARES)
        fill(queue, 30, "a", BATCH)
        fill(queue, 20, "a", STANDARD)
        for number in range(300):
            queue.push(make_route_request(f"u{number}", "flood", URGENT))
        assert (queue.count(STANDARD), queue.count(BATCH)) == (20, 5)

    def test_an_account_with_few_items_displaces_one_of_an_account_with_many(self):
        queue = FairQueue(10, (0.0, 0.0, 0.0))
        fill(queue, 10, "flood", STANDARD)
        taken, victim = queue.push(make_route_request("r", "small"))
        assert taken
        assert victim.account == "flood"
        taken, victim = queue.push(make_route_request("again", "flood"))
        assert (taken, victim) == (False, None)

    def test_unentitled_work_does_not_displace_entitled_work(self):
        queue = FairQueue(10, (0.0, 0.0, 0.0))
        fill(queue, 10, "flood", STANDARD, entitled=True)
        assert not queue.push(make_route_request("r", "small", entitled=False))[0]
        fresh = FairQueue(10, (0.0, 0.0, 0.0))
        fill(fresh, 10, "flood", STANDARD, entitled=False)
        taken, victim = fresh.push(make_route_request("r", "flood", entitled=True))
        assert taken
        assert not victim.entitled
