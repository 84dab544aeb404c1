import dataclasses

from tests.test_peers_codec import STATE
from wagtailstair.core.messages import EngineLost
from wagtailstair.core.pools import Engines
from wagtailstair.core.report_distribution import STALE_S
from wagtailstair.core.report_distribution import ReportDistribution
from wagtailstair.core.report_distribution import load_of
from wagtailstair.core.report_distribution import with_load

PEERS = ("p1", "p2", "p3")
STATE = dataclasses.replace(STATE, name="e4", leaving=False)
BUSY = dataclasses.replace(STATE, running=5)


class TestTargets:
    def make(self):
        spread = ReportDistribution()
        assert spread.select_peers(STATE, "p2", PEERS, 0.0) == (PEERS, ())
        return spread

    def test_changed_load_goes_to_the_dispatcher_alone(self):
        spread = self.make()
        assert spread.select_peers(STATE, "p2", PEERS, 1.5) == ((), ())
        assert spread.select_peers(BUSY, "p2", PEERS, 1.6) == ((), ["p2"])
        assert spread.select_peers(STATE, "p2", PEERS, 1.7) == ((), ())

    def test_change_that_matters_to_all_goes_to_all_at_once(self):
        spread = self.make()
        leaving = dataclasses.replace(STATE, leaving=True)
        assert spread.select_peers(leaving, "p2", PEERS, 0.1) == (PEERS, ())

    def test_new_dispatcher_is_told_at_once(self):
        spread = self.make()
        assert spread.select_peers(STATE, "p3", PEERS, 0.1) == (["p3"], ())

    def test_new_peer_is_told_at_once(self):
        spread = self.make()
        peers = (*PEERS, "p4")
        assert spread.select_peers(STATE, "p2", peers, 0.1) == (["p4"], ())
        assert spread.select_peers(STATE, "p2", peers, 0.2) == ((), ())

    def test_replaced_peer_is_told_of_everything(self):
        spread = self.make()
        spread.refresh_all()
        assert spread.select_peers(STATE, "p2", PEERS, 0.1) == (PEERS, ())


class TestLoad:
    def test_is_put_on_a_known_report(self):
        load = load_of(dataclasses.replace(BUSY, as_of=9.0), 9.5)
        expected = dataclasses.replace(BUSY, as_of=19.5)
        assert with_load(STATE, load, 20.0) == expected

    def test_of_another_incarnation_is_not_taken(self):
        other = dataclasses.replace(BUSY, incarnation="i2")
        assert with_load(STATE, load_of(other, 0.0), 0.0) is None


class TestEngines:
    def test_late_report_of_a_replaced_incarnation_is_not_taken(self):
        engines = Engines()
        new = dataclasses.replace(STATE, incarnation="i2", as_of=1.0)
        assert engines.observe(STATE)
        assert engines.observe(new)
        late = dataclasses.replace(STATE, as_of=2.0)
        assert not engines.observe(late)
        assert engines.by_name == {"e4": new}

    def test_leaving_holds_for_the_incarnation(self):
        engines = Engines()
        engines.observe(dataclasses.replace(STATE, leaving=True))
        engines.observe(dataclasses.replace(STATE, as_of=1.0))
        assert engines.by_name["e4"].leaving

    def test_loss_of_another_incarnation_has_no_effect(self):
        engines = Engines()
        engines.observe(STATE)
        assert not engines.remove(EngineLost("e4", "i0"))
        assert engines.remove(EngineLost("e4", "i1"))

    def test_engine_without_reports_is_forgotten(self):
        engines = Engines()
        engines.observe(STATE)
        spread = ReportDistribution()
        assert spread.stale(engines, STALE_S - 1.0) == []
        assert spread.stale(engines, STALE_S + 1.0) == [STATE]
