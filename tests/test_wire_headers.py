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
