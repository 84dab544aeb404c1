import random

import pytest

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
