"""Values of the platform's headers, as callers and upstreams may send them."""

import pytest

from wagtailstair.platform import headers


class TestPromptParts:
    @pytest.mark.parametrize(
        ("value", "shared", "own"),
        [
            (b"5c1e07a2:800,91bd3f06:410,e4:250", ("5c1e07a2", "91bd3f06"), "e4"),
            (b"ab:300", (), "ab"),
            (b"", (), ""),
            (b"00AB:4, cd:5 ,0EF:6", ("ab", "cd"), "ef"),
            (b"ab,cd:x,ef", ("ab", "cd"), "ef"),
            (b":1,,ab:1,a\xff:2,a b:3,e e:4", ("ab",), ""),
            (b"a:1," * 999 + b"e:1", ("a",) * 999, "e"),
        ],
    )
    def test_last_part_is_apart_and_malformed_ones_are_left_out(
        self, value, shared, own
    ):
        assert headers.parse_prompt_parts(value) == (shared, own)

    def test_digest_stands_for_a_long_id(self):
        # Whatever is left out may be the part under which engines crash.
        long, other = b"f" * 65, b"f" * 66
        value = b"%b:1,%b:1,0%b:1,ab:1" % (long, other, long.upper())
        (first, second, third), own = headers.parse_prompt_parts(value)
        assert first == third != second
        assert len(first) <= headers.PART_BYTES_MAX
        assert own == "ab"


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
