"""Values of the platform's headers, as callers and upstreams may send them."""

import pytest

from wagtailstair.platform import headers


class TestSharedParts:
    @pytest.mark.parametrize(
        ("value", "parts"),
        [
            (b"5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
            (b"ab:300", ()),
            (b"", ()),
            (b"00AB:4, cd:5 ,ef:6", ("ab", "cd")),
            (b"ab,cd:x,ef", ("ab", "cd")),
            (b":1,,ab:1,a\xff:2,a b:3,e:4", ("ab",)),
            (b"f" * 65 + b":1,ab:1,e:1", ("ab",)),
            (b"a:1," * 99 + b"e:1", ("a",) * headers.PARTS_MAX),
        ],
    )
    def test_last_part_and_malformed_ones_are_left_out(self, value, parts):
        assert headers.parse_shared_parts(value) == parts


class TestNotices:
    @pytest.mark.parametrize("value", [b"-1", b"nan", b"inf", b"x", b"", b"1,2"])
    def test_malformed_limit_is_none(self, value):
        notice = headers.parse_notice(200, [(b"Server-Limit", value)])
        assert notice.rate_limit is None

    def test_values_of_a_refusal(self):
        sent = [(b"Server-Limit", b"7.5"), (b"SERVER-LEAVING", b"1")]
        notice = headers.parse_notice(503, sent)
        assert (notice.rate_limit, notice.is_leaving) == (7.5, True)

    def test_answer_of_another_upstream_says_nothing(self):
        sent = [(b"Server-Limit", b"7.5"), (b"Server-Leaving", b"1")]
        notice = headers.parse_notice(421, sent)
        assert (notice.rate_limit, notice.is_leaving) == (None, False)
