import random

import pytest

from wagtailstair.core.resend_budget import UNREPORTED
from wagtailstair.core.resend_budget import Counts
from wagtailstair.core.resend_budget import ResendBudget

RATIO, SLACK, WINDOW_S = 0.2, 200.0, 10.0


class TestBudget:
    def test_slack_is_divided_among_hosts(self):
        resend_budget = ResendBudget(RATIO, SLACK, WINDOW_S)
        taken = sum(resend_budget.take("s", 8, 0.0) for _ in range(100))
        assert 0 < taken <= SLACK / 8

    def test_requests_add_to_the_budget(self):
        resend_budget = ResendBudget(RATIO, 0.0, WINDOW_S)
        assert not resend_budget.take("s", 8, 0.0)
        for _ in range(100):
            resend_budget.count_request("s", 0.0)
        taken = sum(resend_budget.take("s", 8, 0.0) for _ in range(100))
        assert 0 < taken <= 20

    def test_services_have_budgets_of_their_own(self):
        resend_budget = ResendBudget(RATIO, 8.0, WINDOW_S)
        while resend_budget.take("s", 1, 0.0):
            continue
        assert resend_budget.take("other", 1, 0.0)

    def test_repeats_are_allowed_again_after_the_window(self):
        resend_budget = ResendBudget(RATIO, 8.0, WINDOW_S)
        while resend_budget.take("s", 1, 0.0):
            continue
        assert not resend_budget.take("s", 1, WINDOW_S)
        assert resend_budget.take("s", 1, WINDOW_S + 2)

    @pytest.mark.parametrize("seed", range(10))
    def test_all_hosts_together_stay_within_the_budget(self, seed):
        rng = random.Random(seed)
        hosts = [ResendBudget(RATIO, SLACK, WINDOW_S) for _ in range(8)]
        requests, repeats = [], []
        for step in range(4000):
            now = step * 0.01
            host = rng.choice(hosts)
            if rng.random() < 0.5:
                host.count_request("s", now)
                requests.append(now)
            if host.take("s", 8, now):
                repeats.append(now)
        for start in range(31):
            end = start + WINDOW_S
            sent = sum(start <= at < end for at in requests)
            repeated = sum(start <= at < end for at in repeats)
            before = sum(start - WINDOW_S / 2 <= at < end - 5 for at in requests)
            assert repeated <= RATIO * max(sent, before) + SLACK


class TestLoans:
    """Faults hit some of many hosts: the unused parts of the others are borrowed."""

    HOSTS = 83

    def take_all(self, resend_budget, now, peers):
        taken = 0
        while resend_budget.take("s", self.HOSTS, now, peers=peers):
            taken += 1
        return taken

    def test_host_borrows_what_others_leave(self):
        resend_budget = ResendBudget(RATIO, 350.0, WINDOW_S)
        taken = sum(
            self.take_all(resend_budget, second, Counts(900, 0, 82))
            for second in range(10)
        )
        assert taken > 350 / self.HOSTS

    def test_nothing_is_borrowed_from_hosts_that_have_not_reported(self):
        resend_budget = ResendBudget(RATIO, 350.0, WINDOW_S)
        taken = sum(self.take_all(resend_budget, now, UNREPORTED) for now in range(10))
        assert taken <= 350 / self.HOSTS

    def test_nothing_is_borrowed_where_half_is_used(self):
        resend_budget = ResendBudget(RATIO, 350.0, WINDOW_S)
        taken = sum(
            self.take_all(resend_budget, second, Counts(0, 175, 82))
            for second in range(10)
        )
        assert taken <= 350 / self.HOSTS

    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("faulty_share", [0.1, 0.5, 1.0])
    def test_hosts_with_old_counts_stay_within_the_budget(self, seed, faulty_share):
        # Each host knows what the others had used two seconds ago.
        rng = random.Random(seed)
        hosts = [ResendBudget(RATIO, 350.0, WINDOW_S) for _ in range(self.HOSTS)]
        requests, repeats = [], []
        reports = [[Counts()] * self.HOSTS] * 20
        for step in range(400):
            now = step * 0.1
            old = reports[-20]
            total = Counts(sum(c.requests for c in old), sum(c.repeats for c in old))
            for index, host in enumerate(hosts):
                if rng.random() < 0.2:
                    host.count_request("s", now)
                    requests.append(now)
                if now < 5 or index >= faulty_share * self.HOSTS:
                    continue
                peers = Counts(
                    total.requests - old[index].requests,
                    total.repeats - old[index].repeats,
                    self.HOSTS - 1,
                )
                if host.take("s", self.HOSTS, now, peers=peers):
                    repeats.append(now)
            reports.append([host.counts("s", now) for host in hosts])
        for start in range(31):
            end = start + WINDOW_S
            sent = sum(start <= at < end for at in requests)
            repeated = sum(start <= at < end for at in repeats)
            assert repeated <= RATIO * sent + 350.0
