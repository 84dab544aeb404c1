import dataclasses

from tests.test_shapes import engine
from wagtailstair.core.capacity import Capacity
from wagtailstair.core.demand import Grant
from wagtailstair.core.demand import Want
from wagtailstair.core.engine import Priority
from wagtailstair.core.pool import Pool

WANT = Want(
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
    def test_nothing_known_is_no_rate(self):
        assert Capacity().work_per_s(list, 1.0) == 0.0

    def test_burst_waits_while_a_range_has_no_engine(self):
        # Seen after a daemon was stopped and went on: reports had timed out, so
        # that no route stood for a moment, and the burst was refused by a rate
        # of next to nothing.
        pool = Pool("draft", "a")
        pool.observe(engine("e1", 0, 4), 0.0)
        for number in range(40):
            pool.want(dataclasses.replace(WANT, request=f"r{number}"), 0.0)
        assert pool.poll(0.1) == []
        pool.observe(engine("e2", 4, 8), 0.5)
        answers = pool.poll(0.5)
        assert len(answers) == 8
        assert all(isinstance(answer, Grant) for answer in answers)
