"""Tables that one host relays to another."""

import json
import zlib

import msgspec
import pytest

from tests.gateway_data import make_config
from wagtailstair.core.relay_rows import VALUE_BYTES_MAX
from wagtailstair.core.relay_rows import RelayedTable
from wagtailstair.core.relay_rows import RelayRequest
from wagtailstair.core.relay_rows import ValueDeflater
from wagtailstair.core.relay_rows import decode_relayed
from wagtailstair.core.relay_rows import decode_request
from wagtailstair.core.relay_rows import encode_relayed
from wagtailstair.core.relay_rows import encode_request
from wagtailstair.core.store import StoreRow
from wagtailstair.core.store import StoreVersion
from wagtailstair.exceptions import PeerError

AS_OF = StoreVersion(2, 7)


def make_rows(routes):
    config = make_config(3)
    config["routes"] *= routes
    value = json.dumps(config).encode()
    small = StoreRow("op", "small", b"{}", StoreVersion(2, 4))
    removed = StoreRow("op", "removed", None, StoreVersion(2, 6))
    return [StoreRow("op", "config", value, StoreVersion(2, 5)), small, removed]


class TestDeflate:
    # Guards against lists that fill the links between hosts with repeated text.
    def test_large_values_are_deflated(self):
        rows = make_rows(500)
        body = encode_relayed(rows, AS_OF, None, is_all=False, deflater=ValueDeflater())
        assert len(body) < len(rows[0].value) / 5
        relay = decode_relayed("op", body)
        assert relay.store_rows("op") == rows
        assert relay.version == AS_OF

    def test_each_version_of_a_value_is_deflated_anew(self):
        deflater = ValueDeflater()
        for version in (1, 2):
            row = StoreRow("op", "config", b"%d" % version * 5000, AS_OF)
            body = encode_relayed([row], AS_OF, None, is_all=True, deflater=deflater)
            assert decode_relayed("op", body).store_rows("op") == [row]

    def test_hosts_of_an_earlier_build_get_values_as_they_are(self):
        request = decode_request("/tables/op?after=12")
        assert request == RelayRequest("op", 12, accepts_deflate=False)
        rows = make_rows(500)
        body = encode_relayed(rows, AS_OF, 0.5, is_all=False)
        entries = json.loads(body)["rows"]
        assert [entry[0] for entry in entries] == ["config", "small", "removed"]
        assert decode_relayed("op", body).store_rows("op") == rows

    def test_answers_of_an_earlier_build_are_read(self):
        body = (
            b'{"as_of":7,"is_all":true,"rows":[["config","e30=",5]],"trouble_s":null}'
        )
        relay = decode_relayed("op", body)
        assert relay.store_rows("op") == [
            StoreRow("op", "config", b"{}", StoreVersion(0, 5))
        ]

    @pytest.mark.parametrize(
        "value",
        [
            b"no deflated value",
            zlib.compress(b"v" * 9000)[:-4],
            zlib.compress(b"v" * (VALUE_BYTES_MAX + 1)),
        ],
        ids=["not deflated", "cut", "too long"],
    )
    def test_a_value_that_can_not_be_inflated_is_an_error(self, value):
        table = RelayedTable(7, True, [("config", value, 5)], None, ["config"])
        with pytest.raises(PeerError):
            decode_relayed("op", msgspec.json.encode(table))


class TestRequest:
    def test_request_is_read_as_it_was_written(self):
        for accepts in (True, False):
            target = encode_request("op", 12, accepts_deflate=accepts)
            assert decode_request(target) == RelayRequest("op", 12, accepts)

    def test_request_for_small_rows_is_as_in_earlier_builds(self):
        target = encode_request("servers", 12, accepts_deflate=False)
        assert target == "/tables/servers?after=12"

    @pytest.mark.parametrize(
        "query", ["", "?after=", "?after=x", "?after=-1", "?after=%C2%B2"]
    )
    def test_request_without_a_version_is_for_all_rows(self, query):
        assert decode_request(f"/tables/op{query}").after is None
