import random
import re

import pytest

from wagtailstair.core.events import EventSplitter

STREAM = b"".join(b"id: %d\ndata: %d\n\n" % (n, n * 7) for n in range(1, 9))
PART_BYTES = 1000
DELIMITER = re.compile(rb"\n\r?\n")


class CountedBytes(bytes):
    """Bytes that count how many are copied and searched."""

    touched = 0

    def __radd__(self, left):
        if isinstance(left, bytearray):  # appended in place
            CountedBytes.touched += len(self)
            return NotImplemented
        CountedBytes.touched += len(left) + len(self)
        return CountedBytes(bytes(left) + bytes(self))

    def rfind(self, *arguments):
        CountedBytes.touched += len(self)
        return super().rfind(*arguments)

    def find(self, *arguments):
        CountedBytes.touched += len(self)
        return super().find(*arguments)


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

    # Each part was joined to all before it, which took seconds for some megabytes.
    def test_work_for_an_incomplete_event_is_linear(self):
        splitter = EventSplitter()
        CountedBytes.touched = 0
        fed = 0
        while fed < 1_000_000:
            splitter.feed(CountedBytes(b"x" * PART_BYTES))
            fed += PART_BYTES
        assert CountedBytes.touched <= 8 * fed
        assert len(splitter.held) == fed

    def test_work_for_single_bytes_is_linear(self):
        splitter = EventSplitter()
        CountedBytes.touched = 0
        for _ in range(20_000):
            splitter.feed(CountedBytes(b"x"))
        assert CountedBytes.touched <= 20 * 20_000

    # An event that ends in "\n\r\n" was kept behind one that ends in "\n\n".
    def test_no_complete_event_is_held(self):
        rng = random.Random(1)
        for _ in range(500):
            data = bytes(rng.choice(b"\n\n\n\r\rab") for _ in range(60))
            splitter = EventSplitter()
            position = 0
            while position < len(data):
                step = rng.randint(1, 8)
                part = splitter.feed(data[position : position + step])
                position += step
                assert not part or part.endswith((b"\n\n", b"\n\r\n")), data
                assert DELIMITER.search(splitter.held) is None, (data, position)

    def test_delimiter_split_between_parts(self):
        for delimiter in (b"\n\n", b"\n\r\n", b"\r\n\r\n"):
            for split in range(len(delimiter) + 1):
                splitter = EventSplitter()
                out = splitter.feed(b"id: 1" + delimiter[:split])
                out += splitter.feed(delimiter[split:] + b"id")
                assert out == b"id: 1" + delimiter
                assert (splitter.held, splitter.last_id) == (b"id", b"1")
