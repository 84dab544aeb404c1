import queue
import socket

import pytest

from wagtailstair.clock import SystemClock
from wagtailstair.core.messages import Ack
from wagtailstair.core.messages import Queued
from wagtailstair.peers.codec import DATAGRAM_BYTES
from wagtailstair.peers.transport import UdpTransport

KEY = b"s" * 32
TIMEOUT_S = 10.0


@pytest.fixture
def make_transport():
    opened = []

    def make(name, incarnation, key=KEY):
        transport = UdpTransport(
            name, incarnation, "127.0.0.1", 0, SystemClock(), key=key
        )
        received = queue.Queue()
        transport.start(received.put)
        opened.append(transport)
        return transport, received

    yield make
    for transport in opened:
        transport.close()


def address_of(transport):
    return f"127.0.0.1:{transport.port}"


class TestSend:
    def test_batches_messages_sent_together(self, make_transport):
        one, _ = make_transport("one", 1)
        two, received = make_transport("two", 2)
        for handle in range(5):
            one.send(address_of(two), 2, Queued(handle))
        one.flush()
        datagram = received.get(timeout=TIMEOUT_S)
        assert datagram.messages == tuple(Queued(handle) for handle in range(5))
        assert (datagram.sender, datagram.incarnation) == ("one", 1)

    def test_sends_queued_messages_without_another_call(self, make_transport):
        one, _ = make_transport("one", 1)
        two, received = make_transport("two", 2)
        for handle in range(3):
            one.send(address_of(two), 2, Queued(handle))
            one.flush()
        found = []
        while len(found) < 3:
            found += received.get(timeout=TIMEOUT_S).messages
        assert found == [Queued(0), Queued(1), Queued(2)]

    def test_splits_batches_larger_than_a_datagram(self, make_transport):
        one, _ = make_transport("one", 1)
        two, received = make_transport("two", 2)
        messages = [Ack(tuple(range(n * 100, n * 100 + 100))) for n in range(12)]
        for message in messages:
            one.send(address_of(two), 2, message)
        one.flush()
        found = []
        while len(found) < len(messages):
            found += received.get(timeout=TIMEOUT_S).messages
        assert found == messages
        assert one.traffic.sent_bytes <= one.traffic.sent * DATAGRAM_BYTES
        assert one.traffic.sent > 1


class TestReceive:
    def test_drops_and_counts_malformed_and_misdirected_datagrams(self, make_transport):
        foreign, _ = make_transport("foreign", 9, key=b"")
        one, _ = make_transport("one", 1)
        two, received = make_transport("two", 2)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as noise:
            noise.sendto(b"noise", ("127.0.0.1", two.port))
        foreign.send(address_of(two), 2, Queued(1))
        foreign.flush()
        one.send(address_of(two), 1, Queued(2))
        one.flush()
        one.send(address_of(two), 2, Queued(3))
        one.flush()
        assert received.get(timeout=TIMEOUT_S).messages == (Queued(3),)
        while two.traffic.received < 4:
            pass
        assert received.empty()
        assert two.traffic.malformed == 2
        assert two.traffic.misdirected == 1

    def test_continues_after_a_handler_raises(self, make_transport):
        one, _ = make_transport("one", 1)
        received = queue.Queue()

        def receive(datagram):
            if datagram.messages == (Queued(1),):
                raise RuntimeError("no")
            received.put(datagram)

        two = UdpTransport("two", 2, "127.0.0.1", 0, SystemClock(), key=KEY)
        two.start(receive)
        for handle in (1, 2):
            one.send(address_of(two), 2, Queued(handle))
            one.flush()
        assert received.get(timeout=TIMEOUT_S).messages == (Queued(2),)
        assert two.traffic.failed == 1
        two.close()
