"""A dispatcher and engine streams under the control of a test."""

import concurrent.futures
import json
import socket

from wagtailstair.core.engine import Stage
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import Refusal
from wagtailstair.core.grants import RefusalReason

LAYERS = 8


class FakeDispatch:
    """Grants the next of its routes; keeps what is given back."""

    def __init__(self, *addresses):
        self.addresses = list(addresses)
        self.wants = []
        self.dones = []
        self.cancelled = []

    def submit(self, model, data_centre, want):
        self.wants.append((data_centre, want))
        future = concurrent.futures.Future()
        address = self.addresses.pop(0) if self.addresses else None
        if address is None:
            return future
        if isinstance(address, RefusalReason):
            refusal = Refusal(want.request, want.epoch, want.host, address, 2.0)
            future.set_result(refusal)
            return future
        number = len(self.wants)
        half = LAYERS // 2
        route = (
            Stage(f"engine-{number}", address, 0, half),
            Stage(f"second-{number}", address, half, LAYERS),
        )
        future.set_result(Grant(want.request, want.epoch, want.host, route))
        return future

    def done(self, model, data_centre, done):
        self.dones.append(done)

    def cancel(self, model, data_centre, request, epoch):
        self.cancelled.append((request, epoch))


def token(position, epoch, **other):
    line = {
        "r": "r1",
        "a": f"r1.{epoch}",
        "e": epoch,
        "p": position,
        "t": 100 + position,
        "x": f" t{position}",
        "w": [[0, LAYERS]],
    }
    line.update(other)
    return line


def end(position, epoch):
    attempt = f"r1.{epoch}"
    return {"r": "r1", "a": attempt, "e": epoch, "p": position, "end": "length"}


def stream(*lines, whole=True):
    body = b"".join(json.dumps(line).encode() + b"\n" for line in lines)

    def script(connection, request):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        connection.sendall(head + chunk + (b"0\r\n\r\n" if whole else b""))
        if not whole:
            connection.shutdown(socket.SHUT_RDWR)

    return script


def body_of(raw):
    return json.loads(raw.partition(b"\r\n\r\n")[2])
