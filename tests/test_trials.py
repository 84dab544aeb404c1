"""Crashes of another cause under the first requests that have a part in common.

No answer has proven the part yet. If all requests that hold it are refused from then
on, nothing can clear it, and a new route is not served for ten minutes.
"""

import pytest

from tests.gateway_data import make_config_of_whole_engines
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_crashing_prompts import count_ends
from tests.test_gateway import wait_for_placement
from wagtailstair.core.quarantine import EVIDENCE_S
from wagtailstair.core.quarantine import Group
from wagtailstair.core.quarantine import PartKey
from wagtailstair.core.trials import HOST_TURN_S
from wagtailstair.core.trials import TRIAL_GROWTH
from wagtailstair.core.trials import TRIAL_S
from wagtailstair.core.trials import TRIAL_TIMEOUT_S
from wagtailstair.core.trials import WEAK_TRIAL_S
from wagtailstair.core.trials import Trials
from wagtailstair.core.trials import digest
from wagtailstair.gateway.crash_reports import RETURN_S
from wagtailstair.gateway.crash_reports import RETURN_SPREAD_S

KEYS = frozenset({PartKey("engines", "p1")})
GROUP = digest(KEYS)


def make_group(crashes=2, *, is_weak=False):
    return Group(KEYS, crashes, 100.0, is_weak)


def may_begin(trials, group, after_s, turn=0):
    return trials.may_begin([group], lambda _group: turn, group.last_at + after_s)


class TestTurns:
    def test_weak_evidence_is_tried_sooner(self):
        trials = Trials()
        for group, delay_s in (
            (make_group(is_weak=True), WEAK_TRIAL_S),
            (make_group(), TRIAL_S),
        ):
            assert not may_begin(trials, group, delay_s - 0.01)
            assert may_begin(trials, group, delay_s)

    def test_hosts_have_their_turn_one_after_the_other(self):
        trials = Trials()
        assert not may_begin(trials, make_group(), TRIAL_S, turn=2)
        assert may_begin(trials, make_group(), TRIAL_S + 2 * HOST_TURN_S, turn=2)

    def test_trial_of_another_host_keeps_this_one_back(self):
        trials = Trials()
        group = make_group(is_weak=True)
        trials.record_begin([GROUP], group.last_at + 1.0)
        assert not may_begin(trials, group, TRIAL_TIMEOUT_S)
        assert may_begin(trials, group, TRIAL_TIMEOUT_S + 1.0)

    def test_each_trial_makes_the_next_one_later(self):
        trials = Trials()
        trials.record_begin([GROUP], 50.0)
        trials.record_end([GROUP])
        assert not may_begin(trials, make_group(), TRIAL_S * TRIAL_GROWTH - 0.01)
        assert may_begin(trials, make_group(), TRIAL_S * TRIAL_GROWTH)

    def test_many_crashes_make_it_later_for_hosts_that_missed_the_trials(self):
        assert not may_begin(Trials(), make_group(crashes=9), 60.0)

    def test_trials_are_forgotten_with_the_evidence(self):
        trials = Trials()
        trials.record_begin([GROUP], 50.0)
        trials.record_begin([7], 50.0 + EVIDENCE_S)
        assert may_begin(trials, make_group(), TRIAL_S)


class TestEnginesThatEndTogether:
    """Three of twelve engines end at once, each with a request of the new part."""

    @pytest.fixture
    def deployment(self):
        deployment = Deployment()
        deployment.store.put("op", "config", make_config_of_whole_engines())
        return deployment

    @pytest.fixture
    def engines(self, deployment):
        engines = [deployment.add_engine(f"i-e{n}") for n in range(12)]
        for engine in engines:
            engine.restart_s = 0.5
            engine.events = 40
        return engines

    @pytest.fixture
    def hosts(self, deployment, engines):
        hosts = [deployment.add_host(f"entry-{n}") for n in (1, 2, 3)]
        deployment.run(lambda: all(host.is_ready() for host in hosts))
        deployment.run(lambda: all(len(h.peers.live_hosts()) == 2 for h in hosts))
        wait_for_placement(deployment, engines)
        return hosts

    def end_three(self, deployment, engines, host):
        """Send requests until three engines serve them, and end these at once."""
        used = []
        for number in range(30):
            deployment.send(host, make_stream(f"n{number}", ("new",)))
            deployment.run_for(0.05)
            used = [e for e in engines if any(r.startswith("n") for r in e.runs)]
            if len(used) == 3:
                break
        for engine in used:
            engine.crash()
        assert count_ends(engines) == 3

    def test_later_requests_with_the_part_are_served(self, deployment, engines, hosts):
        self.end_three(deployment, engines, hosts[0])
        deployment.run_for(2.0)
        statuses = []
        for number in range(12):
            request = make_stream(f"l{number}", ("new",))
            answered = deployment.send_and_wait(hosts[number % 3], request)
            statuses.append(answered.status)
        assert statuses.count(200) >= 10

    def test_trial_that_no_engine_takes_goes_to_another(
        self, deployment, engines, hosts
    ):
        self.end_three(deployment, engines, hosts[0])
        deployment.run_for(2.0)
        # Most of the engines refuse their next request as not run.
        for engine in engines[:9]:
            engine.script = ["refuse"]
        request = make_stream("l1", ("new",))
        answered = deployment.send_and_wait(hosts[0], request)
        if b"Retry-After" in answered.data:
            # Its budget of sends is used up; the next one finds an engine.
            deployment.run_for(4.0)
            request = make_stream("l2", ("new",))
            answered = deployment.send_and_wait(hosts[0], request)
        assert answered.status == 200

    def test_callers_return_soon_while_a_trial_is_in_progress(
        self, deployment, engines, hosts
    ):
        self.end_three(deployment, engines, hosts[0])
        deployment.run_for(2.0)
        for engine in engines:
            engine.first_event_s = 1.0
        deployment.send(hosts[0], make_stream("l1", ("new",)))
        deployment.run(lambda: any("l1" in engine.runs for engine in engines))
        deployment.run_for(0.2)
        for host in hosts:
            request = make_stream(f"l2{host.settings.host.name}", ("new",))
            answered = deployment.send_and_wait(host, request)
            assert answered.status == 503
            _, _, value = answered.data.partition(b"Retry-After: ")
            again_s = float(value.split(b"\r\n")[0])
            assert RETURN_S <= again_s <= RETURN_S + RETURN_SPREAD_S

    def test_one_request_is_tried_at_a_time(self, deployment, engines, hosts):
        self.end_three(deployment, engines, hosts[0])
        deployment.run_for(2.0)
        for engine in engines:
            engine.deadly_part = "new"
        sent = []
        for number in range(12):
            request = make_stream(f"l{number}", ("new",))
            sent.append(deployment.send(hosts[number % 3], request))
            deployment.run_for(0.1)
        deployment.run(lambda: all(a.is_complete or a.is_closed for a in sent))
        # The trial ends an engine, and the others are refused at once.
        assert count_ends(engines) == 4
        assert [answered.status for answered in sent].count(503) == 11
