"""Heads of requests to upstreams and of responses to callers."""

import typing as t

from ..core.directory import Grant
from ..core.exchange_headers import CONNECTION_HEADERS
from ..core.exchange_headers import HeaderNames
from .requests import Header
from .requests import Request


def _connection_options(headers: t.Iterable[Header]) -> frozenset[bytes]:
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(part.strip().lower() for part in value.split(b","))
    return CONNECTION_HEADERS | options


def forwarded_head(request: Request, names: HeaderNames) -> bytes:
    """Return the part of a request's head that all its attempts share."""
    dropped = _connection_options(request.headers) | names.set_by_gateway()
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    for name, value in request.headers:
        if name.lower() not in dropped:
            lines.append(b"%b: %b\r\n" % (name, value))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    return b"".join(lines)


def attempt_headers(
    names: HeaderNames, grant: Grant, replica: str, remaining_s: float
) -> list[Header]:
    """Return the headers that differ between attempts."""
    headers = [
        (names.deadline_ms, b"%d" % max(1, int(remaining_s * 1000))),
        (names.expected_replica, replica.encode()),
    ]
    if grant.account is not None:
        headers.append((names.account, grant.account.name.encode()))
    return headers


def join_request(
    common: bytes, headers: t.Iterable[Header], body: bytes | bytearray
) -> bytes:
    """Return the bytes of a request, beginning with its shared head."""
    lines: list[bytes | bytearray] = [common]
    for name, value in headers:
        lines.append(b"%b: %b\r\n" % (name, value))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)


def forwarded_headers(headers: list[Header]) -> list[Header]:
    """Return the headers of an upstream's response that are sent to the caller."""
    dropped = _connection_options(headers) | {b"content-length"}
    return [header for header in headers if header[0].lower() not in dropped]


def is_event_stream(headers: t.Iterable[Header]) -> bool:
    """Return whether a body is a series of events, unless another type is named."""
    kind = find_header(headers, b"content-type")
    return kind is None or kind.strip().lower().startswith(b"text/event-stream")


def ends_with_connection(headers: t.Iterable[Header]) -> bool:
    """Return whether a body has neither a length nor chunks."""
    names = {name.lower() for name, _ in headers}
    return names.isdisjoint((b"content-length", b"transfer-encoding"))


def find_header(headers: t.Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header, by its name in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
