import dataclasses

import pytest

from tests.test_shapes import engine
from wagtailstair.core.capacity import Capacity
from wagtailstair.core.engine import Priority
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import Refusal
from wagtailstair.core.grants import RefusalReason
from wagtailstair.core.grants import RouteRequest
from wagtailstair.core.pool import NO_ROUTE_TIMEOUT_S
from wagtailstair.core.pool import Pool

WANT = RouteRequest(
    request="r",
    epoch=1,
    host="h",
    account="a",
    priority=Priority.STANDARD,
    weight=1.0,
    work=10.0,
    prompt_tokens=10,
    max_tokens=10,
    deadline=120.0,
)


class TestUnknownCapacity:
    def test_rate_is_zero_without_reports(self):
        assert Capacity().work_per_s(list, 1.0) == 0.0

    def test_idle_time_does_not_count_as_busy(self):
        # Guards against refusals of requests with 120 s left: the first request
        # that ended in a busy period was counted as all the work of 10 s.
        capacity = Capacity()
        capacity.record_served(10.0, False, 5.0)
        capacity.record_served(10.0, True, 100.0)
        for number in range(1, 11):
            capacity.record_served(10.0, True, 100.0 + number / 10)
        assert capacity.work_per_s(list, 101.0) == pytest.approx(100.0, rel=0.1)

    def test_burst_waits_while_a_range_has_no_engine(self):
        # Guards against refusing a burst after a daemon was paused: engine reports
        # had expired, so that there was no route for a moment and the estimated
        # rate fell to almost zero.
        pool = Pool("draft", "a")
        pool.observe(engine("e1", 0, 4), 0.0)
        for number in range(40):
            pool.submit(dataclasses.replace(WANT, request=f"r{number}"), 0.0)
        assert pool.poll(0.1) == []
        pool.observe(engine("e2", 4, 8), 0.5)
        answers = pool.poll(0.5)
        assert len(answers) == 8
        assert all(isinstance(answer, Grant) for answer in answers)


class TestNoRoute:
    def make(self):
        pool = Pool("draft", "a")
        pool.observe(engine("e2", 4, 8), 0.0)
        return pool

    def test_every_request_is_refused_at_its_timeout(self):
        # Guards against callers that wait for more than 60 s: requests that had
        # found no room were not checked again for a missing route.
        pool = self.make()
        for number in range(60):
            want = dataclasses.replace(WANT, request=f"r{number}")
            pool.submit(want, number / 100)
            pool.poll(number / 100)
        answers = pool.poll(0.6 + NO_ROUTE_TIMEOUT_S)
        assert {answer.request for answer in answers} == {f"r{n}" for n in range(60)}
        assert {answer.reason for answer in answers} == {RefusalReason.NO_ROUTE}

    def test_requests_are_kept_when_a_route_returns(self):
        pool = self.make()
        for number in range(20):
            pool.submit(dataclasses.replace(WANT, request=f"r{number}"), 0.0)
        pool.poll(0.0)
        pool.observe(engine("e1", 0, 4), 0.5)
        answers = pool.poll(0.5) + pool.poll(0.5 + NO_ROUTE_TIMEOUT_S)
        assert [answer for answer in answers if isinstance(answer, Refusal)] == []
        assert pool.stats().waiting[Priority.STANDARD] == 12
