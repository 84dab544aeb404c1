import dataclasses

from wagtailstair.core.dispatch_client import DispatchClient
from wagtailstair.core.engine import Priority
from wagtailstair.core.engine import Stage
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import GrantOutcome
from wagtailstair.core.grants import Refusal
from wagtailstair.core.grants import RefusalReason
from wagtailstair.core.grants import RouteRequest
from wagtailstair.core.messages import Finished
from wagtailstair.core.messages import Granted
from wagtailstair.core.messages import Held
from wagtailstair.core.messages import PoolKey
from wagtailstair.core.messages import Queued
from wagtailstair.core.messages import Withdraw
from wagtailstair.core.pool import Pool
from wagtailstair.core.pools import Engines

KEY = PoolKey("draft", "a")
ROUTE = (Stage("e1", "10.0.1.1:90", 0, 8),)
OTHER_ROUTE = (Stage("e2", "10.0.1.2:90", 0, 8),)
WANT = RouteRequest(
    request="r1",
    epoch=2,
    host="entry",
    account="one",
    priority=Priority.STANDARD,
    weight=1.0,
    work=10.0,
    prompt_tokens=8,
    max_tokens=8,
    deadline=30.0,
)


class Desk:
    """Tickets whose dispatcher is set by hand."""

    def __init__(self):
        self.owner = "owner"
        self.told = []
        self.dispatch_client = DispatchClient(
            lambda key: self.owner,
            lambda key: Pool(key.model, key.data_centre),
            Engines(),
            lambda host, body, now: self.told.append((host, body)),
        )

    def submit(self, now=0.0):
        self.dispatch_client.submit(KEY, WANT, now)
        [(_, message)] = self.dispatch_client.take_sends()
        return message.handle

    def sends(self):
        return [
            (host, message.handle)
            for host, message in self.dispatch_client.take_sends()
        ]


class TestSubmit:
    def test_deadline_travels_as_remaining_time(self):
        desk = Desk()
        desk.dispatch_client.submit(KEY, WANT, 10.0)
        [(host, message)] = desk.dispatch_client.take_sends()
        assert host == "owner"
        assert message.want.deadline == 20.0

    def test_is_repeated_until_answered(self):
        desk = Desk()
        handle = desk.submit()
        desk.dispatch_client.tick(0.15)
        assert desk.sends() == [("owner", handle)]
        desk.dispatch_client.tick(0.2)
        assert desk.sends() == []
        desk.dispatch_client.tick(0.4)
        assert desk.sends() == [("owner", handle)]

    def test_lost_grant_is_asked_for_while_it_waits(self):
        desk = Desk()
        handle = desk.submit()
        desk.dispatch_client.receive_queued("owner", Queued(handle), 0.01)
        desk.dispatch_client.tick(0.4)
        assert desk.sends() == []
        desk.dispatch_client.tick(0.6)
        assert desk.sends() == [("owner", handle)]

    def test_ends_after_its_deadline_at_the_latest(self):
        desk = Desk()
        handle = desk.submit()
        desk.dispatch_client.receive_queued("owner", Queued(handle), 30.9)
        desk.dispatch_client.tick(31.1)
        [refusal] = desk.dispatch_client.take_results()
        assert refusal.reason is RefusalReason.DEADLINE
        assert desk.told == [("owner", Withdraw(handle, KEY))]


class TestAnswers:
    def test_grant_names_the_request(self):
        desk = Desk()
        handle = desk.submit()
        desk.dispatch_client.receive_grant("owner", Granted(handle, ROUTE), 0.1)
        assert desk.dispatch_client.take_results() == [Grant("r1", 2, "entry", ROUTE)]

    def test_late_copy_of_a_grant_has_no_effect(self):
        desk = Desk()
        handle = desk.submit()
        desk.dispatch_client.receive_grant("owner", Granted(handle, ROUTE), 0.1)
        desk.dispatch_client.receive_grant("owner", Granted(handle, OTHER_ROUTE), 0.2)
        assert len(desk.dispatch_client.take_results()) == 1
        assert desk.told == []

    def test_grant_of_another_host_is_given_back(self):
        desk = Desk()
        handle = desk.submit()
        desk.dispatch_client.receive_grant("stranger", Granted(handle, ROUTE), 0.1)
        assert desk.dispatch_client.take_results() == []
        assert desk.told == [("stranger", Withdraw(handle))]

    def test_grant_after_the_end_is_given_back(self):
        desk = Desk()
        handle = desk.submit()
        desk.dispatch_client.cancel("r1", 2, 0.1)
        desk.told.clear()
        desk.dispatch_client.receive_grant("owner", Granted(handle, ROUTE), 0.2)
        assert desk.dispatch_client.take_results() == []
        assert desk.told == [("owner", Withdraw(handle))]

    def test_submission_that_waits_for_nobody_is_withdrawn(self):
        desk = Desk()
        desk.dispatch_client.receive_queued("owner", Queued(99), 0.1)
        assert desk.told == [("owner", Withdraw(99))]


class TestMoved:
    def test_waiting_request_is_submitted_to_the_new_dispatcher(self):
        desk = Desk()
        first = desk.submit()
        desk.owner = "next"
        desk.dispatch_client.reassign(1.0)
        assert desk.told == [("owner", Withdraw(first, KEY))]
        [(host, second)] = desk.sends()
        assert host == "next"
        assert second != first

    def test_grant_in_use_is_told_to_the_new_dispatcher(self):
        desk = Desk()
        first = desk.submit()
        desk.dispatch_client.receive_grant("owner", Granted(first, ROUTE), 0.1)
        desk.owner = "next"
        desk.dispatch_client.reassign(1.0)
        (_, withdraw), (host, held) = desk.told
        assert withdraw == Withdraw(first, KEY)
        assert host == "next"
        want = dataclasses.replace(WANT, deadline=29.0)
        assert held == Held(held.handle, KEY, want, ROUTE, 0)
        desk.told.clear()
        desk.dispatch_client.done(GrantOutcome("r1", 2, "entry", 8, 5), 2.0)
        assert desk.told == [("next", Finished(held.handle, KEY, 8, 5))]

    def test_forgetful_dispatcher_gets_a_new_handle(self):
        desk = Desk()
        first = desk.submit()
        desk.dispatch_client.reissue("owner", 1.0)
        [(host, second)] = desk.sends()
        assert host == "owner"
        assert second != first
        desk.dispatch_client.receive_grant("owner", Granted(first, ROUTE), 1.1)
        assert desk.dispatch_client.take_results() == []


class TestLocal:
    def test_without_a_dispatcher_or_engines_it_is_refused(self):
        desk = Desk()
        desk.owner = None
        desk.dispatch_client.submit(KEY, WANT, 0.0)
        for step in range(60):
            desk.dispatch_client.tick(step * 0.05)
        [refusal] = desk.dispatch_client.take_results()
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.NO_ROUTE

    def test_suspect_dispatcher_is_not_waited_for_again(self):
        desk = Desk()
        desk.submit()
        desk.dispatch_client.tick(0.0)
        desk.dispatch_client.tick(0.8)
        assert desk.dispatch_client.suspects == {"owner"}
        desk.dispatch_client.heard("owner")
        assert desk.dispatch_client.suspects == set()
