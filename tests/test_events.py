import random

import pytest

from wagtailstair.core.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n * 7) for n in range(1, 9))


class TestSplitter:
    @pytest.mark.parametrize("seed", range(20))
    def test_any_split_gives_complete_events(self, seed):
        rng = random.Random(seed)
        splitter = EventSplitter()
        out, position = b"", 0
        while position < len(STREAM):
            step = rng.randint(1, 30)
            piece = splitter.feed(STREAM[position : position + step])
            assert piece == b"" or piece.endswith(b"\n\n")
            out += piece
            position += step
        assert out == STREAM
        assert splitter.last_id == b"8"
        assert splitter.held == b""

    def test_an_incomplete_event_is_held(self):
        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert splitter.last_id == b"1"
        assert splitter.held == b"id: 2\nda"

    def test_keeps_the_given_id_without_a_newer_one(self):
        splitter = EventSplitter(b"5")
        splitter.feed(b"data: only\n\n")
        assert splitter.last_id == b"5"

    def test_counts_events(self):
        splitter = EventSplitter()
        splitter.feed(STREAM)
        assert splitter.count == 8
