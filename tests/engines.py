"""A fake route dispatcher and scripted engine streams."""

import concurrent.futures
import json
import socket

from wagtailstair.core.engine import Stage
from wagtailstair.core.grants import Grant
from wagtailstair.core.grants import Refusal
from wagtailstair.core.grants import RefusalReason

LAYERS = 8


class FakeRouteDispatcher:
    """Answers each request with the next scripted address or refusal; records calls.

    Without a scripted answer a request stays pending.
    """

    def __init__(self, *addresses):
        self.addresses = list(addresses)
        self.route_requests = []
        self.outcomes = []
        self.cancelled = []

    def submit(self, model, data_centre, route_request):
        self.route_requests.append((data_centre, route_request))
        future = concurrent.futures.Future()
        address = self.addresses.pop(0) if self.addresses else None
        if address is None:
            return future
        if isinstance(address, RefusalReason):
            refusal = Refusal(
                route_request.request,
                route_request.epoch,
                route_request.host,
                address,
                2.0,
            )
            future.set_result(refusal)
            return future
        number = len(self.route_requests)
        half = LAYERS // 2
        route = (
            Stage(f"engine-{number}", address, 0, half),
            Stage(f"second-{number}", address, half, LAYERS),
        )
        future.set_result(
            Grant(route_request.request, route_request.epoch, route_request.host, route)
        )
        return future

    def done(self, model, data_centre, outcome):
        self.outcomes.append(outcome)

    def cancel(self, model, data_centre, request, epoch):
        self.cancelled.append((request, epoch))


def token(position, epoch, **other):
    """Return the line of a token, with some fields replaced."""
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
    """Return the line that ends an answer."""
    attempt = f"r1.{epoch}"
    return {"r": "r1", "a": attempt, "e": epoch, "p": position, "end": "length"}


def stream(*lines, is_complete=True):
    """Return a script that sends lines, cut off unless ``is_complete``."""
    body = b"".join(json.dumps(line).encode() + b"\n" for line in lines)

    def script(connection, request):
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
        connection.sendall(head + chunk + (b"0\r\n\r\n" if is_complete else b""))
        if not is_complete:
            connection.shutdown(socket.SHUT_RDWR)

    return script


def parse_request_body(raw):
    return json.loads(raw.partition(b"\r\n\r\n")[2])
