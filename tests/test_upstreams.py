from wagtailstair.core import upstreams as module
from wagtailstair.core.upstreams import Upstream
from wagtailstair.core.upstreams import UpstreamKind
from wagtailstair.core.upstreams import Upstreams


def engine(name="e1", incarnation="1", data_centre="a"):
    return Upstream(name, UpstreamKind.ENGINE, "", data_centre, "ip:1", incarnation)


def replica(name="s1", incarnation="1", service="entries"):
    kind = UpstreamKind.SERVICE
    return Upstream(name, kind, service, "a", "ip:2", incarnation)


class TestLeaving:
    def test_an_older_list_does_not_undo_leaving(self):
        upstreams = Upstreams()
        upstreams.replace([(replica(), True)])
        upstreams.replace([(replica(), False)])
        assert upstreams.is_leaving("s1")
        assert upstreams.replicas("entries") == []

    def test_an_upstreams_own_report_takes_precedence_over_the_list(self):
        upstreams = Upstreams()
        upstreams.replace([(replica(), False)])
        upstreams.mark_leaving("s1", "1")
        assert upstreams.replicas("entries") == []

    def test_ends_with_a_new_incarnation(self):
        upstreams = Upstreams()
        upstreams.replace([(replica(), True)])
        upstreams.replace([(replica(incarnation="2"), False)])
        assert [r.incarnation for r in upstreams.replicas("entries")] == ["2"]

    def test_an_unlisted_upstream_counts_as_leaving(self):
        assert Upstreams().is_leaving("nobody")

    def test_remembered_incarnations_are_bounded(self, monkeypatch):
        monkeypatch.setattr(module, "LEAVING_MAX", 10)
        upstreams = Upstreams()
        upstreams.replace([(engine(f"e{n}"), True) for n in range(30)])
        assert len(upstreams._leaving) == 10
        assert upstreams.is_leaving("e29")


class TestListing:
    def test_replace_returns_the_removed_names(self):
        upstreams = Upstreams()
        upstreams.replace([(engine("e1"), False), (engine("e2"), False)])
        assert upstreams.replace([(engine("e2"), False)]) == ["e1"]

    def test_engines_of_one_data_centre_include_leaving_ones(self):
        upstreams = Upstreams()
        listed = [(engine("e1"), True), (engine("e2", data_centre="b"), False)]
        upstreams.replace([*listed, (replica(), False)])
        assert [e.name for e in upstreams.engines("a")] == ["e1"]

    def test_replicas_of_one_service(self):
        upstreams = Upstreams()
        listed = [(replica("s1"), False), (replica("s2", service="other"), False)]
        upstreams.replace(listed)
        assert [r.name for r in upstreams.replicas("entries")] == ["s1"]
