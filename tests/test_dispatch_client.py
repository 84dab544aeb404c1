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
ROUTE_REQUEST = RouteRequest(
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


class EntryHost:
    """The submissions of a host, to a dispatcher that the test sets."""

    def __init__(self):
        self.dispatcher = "owner"
        self.messages = []
        self.dispatch_client = DispatchClient(
            lambda key: self.dispatcher,
            lambda key: Pool(key.model, key.data_centre),
            Engines(),
            lambda host, body, now: self.messages.append((host, body)),
        )

    def submit(self, now=0.0):
        self.dispatch_client.submit(KEY, ROUTE_REQUEST, now)
        [(_, message)] = self.dispatch_client.take_sends()
        return message.handle

    def sends(self):
        return [
            (host, message.handle)
            for host, message in self.dispatch_client.take_sends()
        ]


class TestSubmit:
    def test_deadline_is_sent_as_remaining_time(self):
        entry_host = EntryHost()
        entry_host.dispatch_client.submit(KEY, ROUTE_REQUEST, 10.0)
        [(host, message)] = entry_host.dispatch_client.take_sends()
        assert host == "owner"
        assert message.route_request.deadline == 20.0

    def test_is_repeated_until_answered(self):
        entry_host = EntryHost()
        handle = entry_host.submit()
        entry_host.dispatch_client.tick(0.15)
        assert entry_host.sends() == [("owner", handle)]
        entry_host.dispatch_client.tick(0.2)
        assert entry_host.sends() == []
        entry_host.dispatch_client.tick(0.4)
        assert entry_host.sends() == [("owner", handle)]

    def test_queued_submission_is_repeated_in_case_its_grant_was_lost(self):
        entry_host = EntryHost()
        handle = entry_host.submit()
        entry_host.dispatch_client.receive_queued("owner", Queued(handle), 0.01)
        entry_host.dispatch_client.tick(0.4)
        assert entry_host.sends() == []
        entry_host.dispatch_client.tick(0.6)
        assert entry_host.sends() == [("owner", handle)]

    def test_is_refused_locally_after_its_deadline(self):
        entry_host = EntryHost()
        handle = entry_host.submit()
        entry_host.dispatch_client.receive_queued("owner", Queued(handle), 30.9)
        entry_host.dispatch_client.tick(31.1)
        [refusal] = entry_host.dispatch_client.take_results()
        assert refusal.reason is RefusalReason.DEADLINE
        assert entry_host.messages == [("owner", Withdraw(handle, KEY))]


class TestAnswers:
    def test_grant_is_returned_for_its_request(self):
        entry_host = EntryHost()
        handle = entry_host.submit()
        entry_host.dispatch_client.receive_grant("owner", Granted(handle, ROUTE), 0.1)
        assert entry_host.dispatch_client.take_results() == [
            Grant("r1", 2, "entry", ROUTE)
        ]

    def test_late_copy_of_a_grant_has_no_effect(self):
        entry_host = EntryHost()
        handle = entry_host.submit()
        entry_host.dispatch_client.receive_grant("owner", Granted(handle, ROUTE), 0.1)
        entry_host.dispatch_client.receive_grant(
            "owner", Granted(handle, OTHER_ROUTE), 0.2
        )
        assert len(entry_host.dispatch_client.take_results()) == 1
        assert entry_host.messages == []

    def test_grant_of_another_host_is_withdrawn(self):
        entry_host = EntryHost()
        handle = entry_host.submit()
        entry_host.dispatch_client.receive_grant(
            "stranger", Granted(handle, ROUTE), 0.1
        )
        assert entry_host.dispatch_client.take_results() == []
        assert entry_host.messages == [("stranger", Withdraw(handle))]

    def test_grant_after_the_end_is_withdrawn(self):
        entry_host = EntryHost()
        handle = entry_host.submit()
        entry_host.dispatch_client.cancel("r1", 2, 0.1)
        entry_host.messages.clear()
        entry_host.dispatch_client.receive_grant("owner", Granted(handle, ROUTE), 0.2)
        assert entry_host.dispatch_client.take_results() == []
        assert entry_host.messages == [("owner", Withdraw(handle))]

    def test_queued_submission_without_a_request_is_withdrawn(self):
        entry_host = EntryHost()
        entry_host.dispatch_client.receive_queued("owner", Queued(99), 0.1)
        assert entry_host.messages == [("owner", Withdraw(99))]


class TestNewDispatcher:
    def test_waiting_request_is_submitted_to_the_new_dispatcher(self):
        entry_host = EntryHost()
        first = entry_host.submit()
        entry_host.dispatcher = "next"
        entry_host.dispatch_client.reassign(1.0)
        assert entry_host.messages == [("owner", Withdraw(first, KEY))]
        [(host, second)] = entry_host.sends()
        assert host == "next"
        assert second != first

    def test_grant_in_use_is_reported_to_the_new_dispatcher(self):
        entry_host = EntryHost()
        first = entry_host.submit()
        entry_host.dispatch_client.receive_grant("owner", Granted(first, ROUTE), 0.1)
        entry_host.dispatcher = "next"
        entry_host.dispatch_client.reassign(1.0)
        (_, withdraw), (host, held) = entry_host.messages
        assert withdraw == Withdraw(first, KEY)
        assert host == "next"
        route_request = dataclasses.replace(ROUTE_REQUEST, deadline=29.0)
        assert held == Held(held.handle, KEY, route_request, ROUTE, 0)
        entry_host.messages.clear()
        entry_host.dispatch_client.end_grant(GrantOutcome("r1", 2, "entry", 8, 5), 2.0)
        assert entry_host.messages == [("next", Finished(held.handle, KEY, 8, 5))]

    def test_dispatcher_that_lost_its_state_gets_a_new_handle(self):
        entry_host = EntryHost()
        first = entry_host.submit()
        entry_host.dispatch_client.reissue("owner", 1.0)
        [(host, second)] = entry_host.sends()
        assert host == "owner"
        assert second != first
        entry_host.dispatch_client.receive_grant("owner", Granted(first, ROUTE), 1.1)
        assert entry_host.dispatch_client.take_results() == []


class TestLocalPool:
    def test_request_without_a_dispatcher_or_engines_is_refused(self):
        entry_host = EntryHost()
        entry_host.dispatcher = None
        entry_host.dispatch_client.submit(KEY, ROUTE_REQUEST, 0.0)
        for step in range(60):
            entry_host.dispatch_client.tick(step * 0.05)
        [refusal] = entry_host.dispatch_client.take_results()
        assert isinstance(refusal, Refusal)
        assert refusal.reason is RefusalReason.NO_ROUTE

    def test_silent_dispatcher_is_suspected_until_it_answers(self):
        entry_host = EntryHost()
        entry_host.submit()
        entry_host.dispatch_client.tick(0.0)
        entry_host.dispatch_client.tick(0.8)
        assert entry_host.dispatch_client.suspects == {"owner"}
        entry_host.dispatch_client.mark_responsive("owner")
        assert entry_host.dispatch_client.suspects == set()
