import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from wagtailstair.core.engine import EngineState
from wagtailstair.core.engine import Priority
from wagtailstair.core.engine import Stage
from wagtailstair.core.grants import RefusalReason
from wagtailstair.core.grants import RouteRequest
from wagtailstair.core.membership import Heartbeat
from wagtailstair.core.membership import Host
from wagtailstair.core.membership import HostState
from wagtailstair.core.membership import View
from wagtailstair.core.membership import ViewRequest
from wagtailstair.core.messages import Ack
from wagtailstair.core.messages import Charge
from wagtailstair.core.messages import Charged
from wagtailstair.core.messages import EngineFailed
from wagtailstair.core.messages import EngineLoad
from wagtailstair.core.messages import EngineLost
from wagtailstair.core.messages import EngineReport
from wagtailstair.core.messages import EngineUses
from wagtailstair.core.messages import Finished
from wagtailstair.core.messages import Granted
from wagtailstair.core.messages import Held
from wagtailstair.core.messages import Limit
from wagtailstair.core.messages import Numbered
from wagtailstair.core.messages import PoolKey
from wagtailstair.core.messages import QueueCounts
from wagtailstair.core.messages import Queued
from wagtailstair.core.messages import Refused
from wagtailstair.core.messages import ReportRequest
from wagtailstair.core.messages import Reset
from wagtailstair.core.messages import Settle
from wagtailstair.core.messages import Submit
from wagtailstair.core.messages import Withdraw
from wagtailstair.core.quarantine import CrashCandidate
from wagtailstair.core.quarantine import CrashSuspects
from wagtailstair.core.quarantine import PartKey
from wagtailstair.core.store import StoreVersion
from wagtailstair.exceptions import PeerError
from wagtailstair.peers.codec import DATAGRAM_BYTES_MAX
from wagtailstair.peers.codec import HEADER_BYTES
from wagtailstair.peers.codec import TAG_BYTES
from wagtailstair.peers.codec import Datagram
from wagtailstair.peers.codec import add_frame
from wagtailstair.peers.codec import decode
from wagtailstair.peers.codec import encode
from wagtailstair.peers.records import USES_MAX

KEY = PoolKey("draft", "a")
HOST = Host("entry-1", "a", "10.0.0.1:8080", "10.0.0.1:8081", 1_700_000_000_000)
REMOTE_HOST = Host(
    "entry-2", "b", "[fd00::2]:8080", "[fd00::2]:1", 5, ("draft", "quote")
)
ROUTE = (Stage("e1", "10.0.1.1:9000", 0, 16), Stage("e2", "10.0.1.2:9000", 16, 32))
ROUTE_REQUEST = RouteRequest(
    request="",
    epoch=0,
    host="",
    account="san-lucas",
    priority=Priority.BATCH,
    weight=0.5,
    work=96.0,
    prompt_tokens=512,
    max_tokens=64,
    deadline=12.5,
    entitled=False,
    adapter="legal",
    prefixes=(1, (1 << 64) - 1),
    avoid=frozenset({"e9", "e8"}),
)
STATE = EngineState(
    name="e1",
    incarnation="i1",
    address="10.0.1.1:9000",
    data_centre="a",
    model="draft",
    version="v2",
    role="decode",
    accelerator="kind-3",
    first=0,
    last=16,
    layers=32,
    slots=8,
    running=3,
    waiting=1,
    kv_tokens=65536,
    kv_used=4096,
    step_s=0.03125,
    prefill_tokens_per_s=2048.0,
    leaving=True,
    fencing_checked=True,
    order=77,
    as_of=0.0,
    adapters=("legal",),
    links_s=(("b", 0.5),),
)
BODIES = (
    Withdraw(5, KEY),
    Withdraw(6),
    Finished(7, KEY, 512, 60, frozenset({"e1"})),
    Held(8, KEY, ROUTE_REQUEST, ROUTE, 17),
    Reset(3),
    Charge(9, "san-lucas", 96.0, 2000.0, 10.0, 16, True),
    Settle(9, 60.0),
)
NEWEST = StoreVersion((1 << 64) - 1, (1 << 64) - 1)

MESSAGES = (
    Heartbeat(HOST, 4, HostState.LEAVING, 9, 0xFFFFFFFF, 11),
    Heartbeat(HOST, 4, HostState.LIVE, 9, 0, 9, NEWEST, True),
    ViewRequest(),
    View((HOST, REMOTE_HOST)),
    View(()),
    Submit(1 << 40 | 5, KEY, ROUTE_REQUEST),
    Queued(5),
    Granted(5, ROUTE),
    *(Refused(5, reason, 1.5) for reason in RefusalReason),
    Charge(9, "san-lucas", 96.0, 2000.0, 10.0, 16),
    *(Charged(9, limit, 0.25) for limit in Limit),
    EngineReport(STATE, 0.25),
    EngineFailed("i-e1", "1000"),
    EngineLoad("e1", 0xFFFFFFFF, 3, 1, 4096, 0.03125, 0.25),
    EngineUses(
        "entry-1",
        False,
        (0xFFFFFFFF, 2),
        (3, 1),
        (0, 1),
        (0xFFFFFFFF, 9),
        (0xFFFF, 0),
    ),
    EngineUses("gt-a", True, (), (), (), (), ()),
    CrashSuspects(
        (
            CrashCandidate(0xFFFFFFFF, 600.5, 6, frozenset({PartKey("engines", "d")})),
            CrashCandidate(
                2, 0.0, 4, frozenset({PartKey("engines", "d"), PartKey("others", "p")})
            ),
        ),
        (PartKey("engines", "p1"), PartKey("others", "p2")),
        (1, 0xFFFFFFFFFFFFFFFF),
    ),
    CrashSuspects(),
    QueueCounts(7, (1, 0, 65535), (900, 0, 4), (0, 5, 0), 3, (("shop", 0xFFFFFFFF),)),
    QueueCounts(0, (0, 0, 0), (0, 0, 0), (0, 0, 0), 0),
    ReportRequest("e1"),
    EngineLost("e1", "i1"),
    *(Numbered(number, body) for number, body in enumerate(BODIES)),
    Ack((1, 2, 3)),
)
SECRET = b"k" * 32


def make_datagram(*messages):
    return Datagram(HOST.name, HOST.incarnation, 12, messages)


class TestRoundTrip:
    @pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
    def test_each_message(self, message):
        datagram = make_datagram(message)
        assert decode(encode(datagram)) == datagram

    def test_all_messages_in_one_keyed_datagram(self):
        datagram = make_datagram(*MESSAGES)
        assert decode(encode(datagram, SECRET), SECRET) == datagram

    def test_values_too_large_for_a_field_are_clamped(self):
        state = dataclasses.replace(STATE, running=1 << 20, kv_used=1 << 40)
        [report] = decode(encode(make_datagram(EngineReport(state, 1.0)))).messages
        assert report.state.running == (1 << 16) - 1
        assert report.state.kv_used == (1 << 32) - 1


class TestEngineUses:
    # During a rolling start, hosts on builds without the column would be refused.
    def test_a_message_without_unread_prompts_counts_as_none(self):
        uses = EngineUses("entry-1", False, (5, 2), (3, 1), (0, 1), (7, 9), ())
        [read] = decode(encode(make_datagram(uses))).messages
        assert read == dataclasses.replace(uses, unread=(0, 0))

    def test_columns_of_different_lengths_are_refused(self):
        uses = EngineUses("entry-1", False, (5, 2), (3, 1), (0, 1), (7, 9), (1,))
        with pytest.raises(PeerError):
            decode(encode(make_datagram(uses)))

    # A further column could make the largest message too long to be sent.
    def test_the_largest_message_fits_into_a_datagram(self):
        rng = random.Random(1)
        columns = []
        for bits in (32, 16, 16, 32, 16):
            low = 1 << (bits - 1)
            column = [rng.randrange(low, 2 * low) for _ in range(USES_MAX)]
            columns.append(tuple(column))
        uses = EngineUses("entry-1" * 8, False, *columns)
        data = encode(make_datagram(MESSAGES[0], uses))
        assert len(data) <= DATAGRAM_BYTES_MAX
        assert decode(data).messages[1] == uses


class TestInvalidDatagrams:
    good = encode(make_datagram(*MESSAGES), SECRET)

    @pytest.mark.parametrize(
        "data",
        [
            pytest.param(b"", id="empty"),
            pytest.param(b"GET / HTTP/1.1\r\n", id="other-protocol"),
            pytest.param(good[:2] + b"\x02" + good[3:], id="other-version"),
            pytest.param(good[:-1], id="cut"),
            pytest.param(encode(make_datagram(Queued(1))), id="unsigned"),
            pytest.param(encode(make_datagram(Queued(1)), b"x" * 32), id="other-key"),
            pytest.param(good + bytes(DATAGRAM_BYTES_MAX), id="too-long"),
        ],
    )
    def test_is_refused(self, data):
        with pytest.raises(PeerError):
            decode(data, SECRET)

    def test_keyed_datagram_is_refused_without_a_key(self):
        with pytest.raises(PeerError):
            decode(self.good)

    def test_every_changed_byte_is_detected(self):
        for place in range(len(self.good)):
            changed = bytearray(self.good)
            changed[place] ^= 0x40
            with pytest.raises(PeerError):
                decode(bytes(changed), SECRET)


class TestMalformed:
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.data())
    def test_changed_bytes_are_refused_without_a_key_too(self, data):
        good = encode(make_datagram(*MESSAGES))
        changed = bytearray(good)
        for _ in range(data.draw(st.integers(1, 8))):
            place = data.draw(st.integers(0, len(changed) - 1))
            changed[place] = data.draw(st.integers(0, 255))
        if bytes(changed) == good:
            return
        with pytest.raises(PeerError):
            decode(bytes(changed))

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=300))
    def test_random_bodies_are_refused(self, body):
        head = encode(make_datagram())[: HEADER_BYTES + TAG_BYTES]
        with pytest.raises(PeerError):
            decode(head + b"x" + body)

    def test_unknown_enumerator_is_refused(self):
        body = encode(make_datagram(Charged(1, Limit.CONCURRENCY)))
        body = body[HEADER_BYTES + TAG_BYTES :]
        place = body.rindex(bytes([Limit.CONCURRENCY]))
        changed = body[:place] + b"\x63" + body[place + 1 :]
        with pytest.raises(PeerError):
            decode(add_frame(changed))
