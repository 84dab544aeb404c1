import random
import re

import pytest

from wagtailstair.core.events import DeliveredEvents
from wagtailstair.core.events import EventSplitter
from wagtailstair.core.events import ReplayFilter

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


def number_of(block):
    """Return what tells a block with data from others, ``None`` for one without."""
    found = re.search(rb"data: ?(\S+)", block)
    return found.group(1) if found else None


class Stream:
    """Blocks of one answer, and how runs of it look.

    Each run puts its own comments between the blocks, splits its bytes anywhere, and
    begins after an event with an id.
    """

    def __init__(self, rng, *, has_numbers):
        self.rng = rng
        self.newline = rng.choice([b"\n", b"\r\n"])
        self.blocks = []
        self.ids = []
        number = 0
        for index in range(rng.randrange(4, 30)):
            data = b"data: d%d" % index
            event_id = b""
            if rng.random() < 0.7:
                number += rng.randrange(1, 4)
                event_id = b"%d" % number if has_numbers else b"x%dy" % number
            fields = [data, b"id: " + event_id] if event_id else [data]
            if rng.random() < 0.2:
                fields.append(b"retry: 10")
            rng.shuffle(fields)
            self.blocks.append(self.newline.join(fields) + 2 * self.newline)
            self.ids.append(event_id)

    def run(self, start_id):
        """Return the bytes of a run that begins after an event, in parts."""
        first = self.ids.index(start_id) + 1 if start_id else 0
        data = b""
        for block in self.blocks[first:]:
            if self.rng.random() < 0.4:
                data += self.rng.choice([b": ping", b"retry: 5"]) + 2 * self.newline
            data += block
        parts = []
        while data:
            length = self.rng.randrange(1, 60)
            parts.append(data[:length])
            data = data[length:]
        return parts


class TestJoin:
    """The events of several runs reach the caller once each, and in order.

    A comment after the event that a successor began with set the caller's position
    back, and later events came twice.
    """

    @pytest.mark.parametrize("has_numbers", [True, False])
    @pytest.mark.parametrize("seed", range(150))
    def test_any_runs_give_each_event_once(self, seed, has_numbers):
        rng = random.Random(seed)
        stream = Stream(rng, has_numbers=has_numbers)
        delivered = DeliveredEvents()
        out = b""
        start_ids = [b""]
        for attempt in range(rng.randrange(1, 5) + 1):
            # It was sent some time ago: the caller has got more events since.
            start_id = rng.choice(start_ids[-4:])
            splitter = EventSplitter(start_id)
            replay_filter = ReplayFilter(delivered, start_id) if attempt else None
            parts = stream.run(start_id)
            is_last = attempt and rng.random() < 0.3
            for part in parts if is_last else parts[: rng.randrange(len(parts) + 1)]:
                complete = splitter.feed(part)
                if replay_filter is None:
                    delivered.record(complete, splitter.new_ids if complete else ())
                    out += complete
                else:
                    out += replay_filter.feed(complete)
                if delivered.last_id != start_ids[-1]:
                    start_ids.append(delivered.last_id)
            if is_last:
                break
        splitter = EventSplitter(delivered.last_id)
        replay_filter = ReplayFilter(delivered, delivered.last_id)
        for part in stream.run(delivered.last_id):
            out += replay_filter.feed(splitter.feed(part))
        got = [number_of(block) for block in re.split(rb"\r?\n\r?\n", out)]
        expected = [number_of(block) for block in stream.blocks]
        assert [number for number in got if number is not None] == expected

    def test_comment_does_not_set_the_position_back(self):
        delivered = DeliveredEvents()
        events = b"".join(b"id: %d\ndata: d\n\n" % n for n in range(1, 31))
        delivered.record(events, [b"%d" % n for n in range(1, 31)])
        replay_filter = ReplayFilter(delivered, b"23")
        assert replay_filter.feed(b"id: 24\ndata: d\n\n: keep-alive\n\n") == b""
        assert delivered.last_id == b"30"
        assert replay_filter.feed(b"id: 25\ndata: d\n\n") == b""
        later = b"id: 31\ndata: d\n\n: keep-alive\n\n"
        assert replay_filter.feed(later) == later
