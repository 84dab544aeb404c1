import pytest

from tests.gateway_data import encode
from tests.gateway_data import make_config
from wagtailstair.core.directory import Denial
from wagtailstair.core.directory import Grant
from wagtailstair.core.directory import RouteKind
from wagtailstair.exceptions import ListsError
from wagtailstair.platform.lists import decode_directory


@pytest.fixture
def directory():
    return decode_directory(encode(make_config(7)))


class TestDecode:
    def test_route(self, directory):
        route = directory.find_route("desk.example", "/draft/x")
        assert route is not None
        assert (route.kind, route.timeout_s) == (RouteKind.STREAMING, 20.0)
        assert (route.goal_s, route.gap_s, route.attempts) == (0.5, 0.25, 2)
        assert route.may_repeat

    def test_split_gives_weighted_targets(self, directory):
        route = directory.find_route("desk.example", "/lookup/x")
        assert route is not None
        assert route.targets == (("desk", 90.0), ("desk2", 10.0))

    def test_model(self, directory):
        model = directory.service_by_name["engines"].model
        assert model is not None
        assert model.step_s == pytest.approx(0.00102)
        assert model.link_bytes_per_s == pytest.approx(1.625e9)
        assert model.delay_s_by_centres["b", "a"] == pytest.approx(0.0005)
        assert model.accelerator_by_name["l4"].step_factor == 16.0

    # A service with one rank would hold its streams back for no other's sake.
    def test_urgent_rank_is_set_only_where_ranks_differ(self, directory):
        assert directory.service_by_name["engines"].urgent_rank is None
        config = make_config()
        later = dict(config["routes"][0], name="later", prefix="/later/", priority=2)
        config["routes"].append(later)
        service_by_name = decode_directory(encode(config)).service_by_name
        assert service_by_name["engines"].urgent_rank == 0
        assert service_by_name["desk"].urgent_rank is None

    def test_limits(self, directory):
        assert directory.limits.header_s == 3.0
        assert directory.limits.body_bytes == 65536

    @pytest.mark.parametrize(
        "value",
        [b"", b"{", b"[]", b"\xff\xfe", encode({"version": 1})],
    )
    def test_invalid_value(self, value):
        with pytest.raises(ListsError, match="op/config"):
            decode_directory(value)

    def test_unknown_kind(self):
        config = make_config()
        config["routes"][0]["kind"] = "sometimes"
        with pytest.raises(ListsError):
            decode_directory(encode(config))


class TestAuthorize:
    def test_longest_prefix_wins(self):
        config = make_config()
        longer = dict(config["routes"][1], name="deep", prefix="/register/fee/")
        config["routes"].append(longer)
        directory = decode_directory(encode(config))
        grant = directory.authorize("desk.example", "/register/fee/9", "key-one")
        assert isinstance(grant, Grant)
        assert grant.route.name == "deep"

    def test_prefix_ends_at_a_slash(self, directory):
        denial = directory.authorize("desk.example", "/registered/1", "key-one")
        assert denial is Denial.NO_ROUTE

    def test_unknown_host(self, directory):
        assert directory.authorize("other", "/draft/", "key-one") is Denial.NO_ROUTE

    @pytest.mark.parametrize("key", [None, "", "key-four"])
    def test_unknown_key(self, directory, key):
        denial = directory.authorize("desk.example", "/register/1", key)
        assert denial is Denial.UNKNOWN_KEY

    def test_anonymous_route_needs_no_key(self, directory):
        grant = directory.authorize("desk.example", "/lookup/1", None)
        assert isinstance(grant, Grant)
        assert grant.account is None

    def test_rank_of_the_account_takes_precedence(self, directory):
        maker = directory.authorize("desk.example", "/draft/1", "key-two")
        judge = directory.authorize("desk.example", "/draft/1", "key-three")
        assert (maker.rank, judge.rank) == (1, 0)
        assert maker.version == 7

    def test_keys_are_not_required_without_accounts(self):
        directory = decode_directory(encode(make_config(tenants=[])))
        assert isinstance(directory.authorize("desk.example", "/draft/1", None), Grant)
