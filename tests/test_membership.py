import dataclasses

from wagtailstair.core.membership import Heartbeat
from wagtailstair.core.membership import Host
from wagtailstair.core.membership import HostState
from wagtailstair.core.membership import Membership
from wagtailstair.core.membership import NameClash
from wagtailstair.core.membership import PeerDead
from wagtailstair.core.membership import PeerLeaving
from wagtailstair.core.membership import PeerLive
from wagtailstair.core.membership import PeerReplaced
from wagtailstair.core.membership import SelfPaused
from wagtailstair.core.membership import View

HEARTBEAT_S = 0.5
DEAD_AFTER_S = 2.5


def make_host(name, centre="a", incarnation=1):
    return Host(name, centre, f"{name}:80", f"{name}:81", incarnation)


def make_membership(name="self", centre="a", **options):
    membership = Membership(
        make_host(name, centre),
        heartbeat_s=HEARTBEAT_S,
        dead_after_s=DEAD_AFTER_S,
        now=0.0,
        **options,
    )
    membership.set_state(HostState.LIVE)
    return membership


def beat(host, seq=1, state=HostState.LIVE, lists_version=0, view=0):
    return Heartbeat(host, seq, state, lists_version, view)


def tick_until(membership, start, end, step=0.25):
    events = []
    now = start
    while now < end:
        now += step
        events += membership.tick(now)
    return events


class Network:
    """Hosts whose heartbeats and views all arrive, but over cut links."""

    def __init__(self, places):
        self.by_name = {
            name: make_membership(name, centre) for name, centre in places.items()
        }
        hosts = [member.host for member in self.by_name.values()]
        for member in self.by_name.values():
            member.apply_host_list(hosts, 0.0)
        self.name_by_address = {host.peer_address: host.name for host in hosts}
        self.cut = set()
        self.stopped = set()
        self.now = 0.0

    def run(self, seconds):
        end = self.now + seconds
        while self.now < end:
            self.now += 0.25
            for name, member in self.by_name.items():
                if name not in self.stopped:
                    self._step(name, member)

    def _step(self, name, member):
        member.tick(self.now)
        inside, remote = member.due_addresses(self.now)
        addresses = inside + remote
        message = member.next_heartbeat(0, 0)
        for target in self._reach(name, addresses):
            target.receive_heartbeat(message, self.now)
        for target in self._reach(name, member.view_request_addresses(self.now)):
            member.receive_view(target.host.name, target.own_view(), self.now)

    def _reach(self, name, addresses):
        for address in addresses:
            other = self.name_by_address[address]
            link = frozenset((name, other))
            if link not in self.cut and other not in self.stopped:
                yield self.by_name[other]

    def views(self):
        return {
            member.live()
            for name, member in self.by_name.items()
            if name not in self.stopped
        }


class TestHeartbeat:
    def test_makes_a_peer_live(self):
        membership = make_membership()
        peer = make_host("b")
        assert membership.receive_heartbeat(beat(peer), 0.0) == [PeerLive(peer)]
        assert membership.live("a") == ("b", "self")

    def test_late_duplicate_does_not_keep_a_peer_alive(self):
        membership = make_membership()
        peer = make_host("b")
        membership.receive_heartbeat(beat(peer, seq=5), 0.0)
        events = []
        for step in range(1, 13):
            now = step * 0.25
            membership.receive_heartbeat(beat(peer, seq=5), now)
            events += membership.tick(now)
        assert events == [PeerDead(peer)]

    def test_leaving_holds_for_the_incarnation(self):
        membership = make_membership()
        peer = make_host("b")
        membership.receive_heartbeat(beat(peer, 1), 0.0)
        events = membership.receive_heartbeat(beat(peer, 2, HostState.LEAVING), 0.0)
        assert events == [PeerLeaving(peer)]
        assert membership.receive_heartbeat(beat(peer, 3), 0.0) == []
        assert membership.live() == ("self",)

    def test_replaced_under_the_same_name_and_address(self):
        membership = make_membership()
        old, new = make_host("b"), make_host("b", incarnation=2)
        membership.receive_heartbeat(beat(old, 9, HostState.LEAVING), 0.0)
        events = membership.receive_heartbeat(beat(new, 1), 0.1)
        assert events == [PeerReplaced(new, old), PeerLive(new)]
        assert membership.receive_heartbeat(beat(old, 10), 0.2) == []
        assert membership.find("b") == new

    def test_successor_with_a_slow_clock_is_taken_after_the_timeout(self):
        membership = make_membership()
        old, new = make_host("b", incarnation=7), make_host("b", incarnation=3)
        membership.receive_heartbeat(beat(old), 0.0)
        assert membership.receive_heartbeat(beat(new), 0.1) == []
        tick_until(membership, 0.1, 3.0)
        events = membership.receive_heartbeat(beat(new, 2), 3.0)
        assert events == [PeerReplaced(new, old), PeerLive(new)]

    def test_tells_of_another_process_with_the_own_name(self):
        membership = make_membership()
        other = make_host("self", incarnation=2)
        assert membership.receive_heartbeat(beat(other), 0.0) == [NameClash(other)]

    def test_highest_lists_version_and_its_holders(self):
        membership = make_membership()
        near, far = make_host("y"), make_host("b", "b")
        membership.receive_heartbeat(beat(far, lists_version=7), 0.0)
        membership.receive_heartbeat(beat(near, lists_version=7), 0.0)
        membership.receive_heartbeat(beat(make_host("c"), lists_version=6), 0.0)
        assert membership.lists_version() == 7
        assert membership.holders(7) == [near, far]


class TestPause:
    def test_thawed_host_does_not_declare_all_dead(self):
        membership = make_membership()
        membership.receive_heartbeat(beat(make_host("b")), 0.0)
        assert membership.tick(60.0) == [SelfPaused(60.0)]
        assert membership.tick(60.25) == []
        assert membership.live() == ("b", "self")

    def test_peer_that_died_meanwhile_is_noticed(self):
        membership = make_membership()
        peer = make_host("b")
        membership.receive_heartbeat(beat(peer), 0.0)
        membership.tick(60.0)
        assert tick_until(membership, 60.0, 63.0) == [PeerDead(peer)]


class TestHostList:
    def test_listed_host_is_not_live_until_heard(self):
        membership = make_membership()
        membership.apply_host_list([make_host("b")], 0.0)
        assert membership.live() == ("self",)
        assert membership.due_addresses(0.0) == (["b:81"], [])

    def test_seeds_are_tried_until_known(self):
        membership = make_membership(seeds=["b:81", "self:81"])
        assert membership.due_addresses(0.0) == ([], ["b:81"])

    def test_silent_host_off_the_list_is_forgotten(self):
        membership = make_membership()
        membership.receive_heartbeat(beat(make_host("b")), 0.0)
        tick_until(membership, 0.0, 700.0, step=1.0)
        assert membership.by_name == {}


class TestNetwork:
    places = {f"{c}{n}": c for c in "abc" for n in range(5)}

    def test_all_see_all_through_views(self):
        network = Network(self.places)
        network.run(8.0)
        assert network.views() == {tuple(sorted(self.places))}

    def test_host_killed_is_dead_everywhere(self):
        network = Network(self.places)
        network.run(8.0)
        network.stopped.add("b2")
        network.run(4 * DEAD_AFTER_S + 4.0)
        assert network.views() == {tuple(sorted(set(self.places) - {"b2"}))}

    def test_data_centre_cut_off_and_back(self):
        network = Network(self.places)
        network.run(8.0)
        inside = {name for name in self.places if name[0] == "a"}
        outside = set(self.places) - inside
        network.cut = {frozenset((x, y)) for x in inside for y in outside}
        network.run(4 * DEAD_AFTER_S + 4.0)
        assert network.views() == {tuple(sorted(inside)), tuple(sorted(outside))}
        network.cut = set()
        network.run(20.0)
        assert network.views() == {tuple(sorted(self.places))}

    def test_remote_traffic_goes_to_two_hosts_of_each_data_centre(self):
        network = Network(self.places)
        network.run(8.0)
        member = network.by_name["a0"]
        inside, remote = member.due_addresses(network.now + 10.0)
        assert len(inside) == 4
        assert len(remote) <= 2 * 3  # two that hear it and one that is tried

    def test_models_are_told_through_views(self):
        membership = make_membership()
        near = make_host("near")
        far = dataclasses.replace(make_host("far", "b"), models=("draft",))
        membership.receive_heartbeat(beat(near), 0.0)
        membership.receive_view("near", View((far,)), 0.0)
        assert membership.models_by_centre() == {"b": {"draft"}}

    def test_view_of_a_foreign_data_centre_is_not_taken(self):
        membership = make_membership()
        membership.receive_heartbeat(beat(make_host("b", "b")), 0.0)
        ghost = dataclasses.replace(make_host("ghost", "c"))
        assert membership.receive_view("b", View((ghost,)), 0.0) == []
