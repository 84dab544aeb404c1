"""Blocking HTTP requests to the platform, with one curl handle per thread."""

import dataclasses
import re
import threading
import typing as t

import msgspec
import pycurl

from ..exceptions import PlatformConflictError
from ..exceptions import PlatformError
from ..exceptions import PlatformUnavailableError
from ..exceptions import PlatformUnknownError

SAFE_METHODS = frozenset({"GET", "HEAD"})
MAX_REPLY_BYTES = 64 << 20
JSON_TYPE = "application/json"
BYTES_TYPE = "application/octet-stream"

_OK = frozenset({200, 201, 204})
_REFUSED = frozenset({429, 503})
_CONFLICT = 409
_NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_URL_MALFORMAT,
    }
)
# The second is reported for an unknown scheme, and for a reply that is not HTTP.
_NOT_SENT_UNLESS_CONNECTED = frozenset(
    {pycurl.E_OPERATION_TIMEDOUT, pycurl.E_UNSUPPORTED_PROTOCOL}
)
_RETRY_AFTER = re.compile(rb"retry-after:\s*([0-9.]+)\s*$", re.IGNORECASE)

_local = threading.local()


@dataclasses.dataclass(slots=True, frozen=True)
class Timeouts:
    """Timeouts of one request, in seconds."""

    total_s: float = 2.0
    connect_s: float = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Reply:
    """A reply of the platform; ``body`` is decoded by `request_json` only."""

    status: int
    body: t.Any
    retry_after_s: float | None = None


def _get_handle() -> pycurl.Curl:
    curl = getattr(_local, "curl", None)
    if curl is None:
        curl = _local.curl = pycurl.Curl()
    # A reset keeps open connections.
    curl.reset()
    return curl


class _ReplyBuffer:
    """Collects the body and the retry delay of one reply."""

    __slots__ = ("body", "retry_after_s")

    def __init__(self) -> None:
        self.body = bytearray()
        self.retry_after_s: float | None = None

    def append_body(self, data: bytes) -> int | None:
        if len(self.body) + len(data) > MAX_REPLY_BYTES:
            return 0
        self.body += data
        return None

    def parse_header(self, line: bytes) -> None:
        match = _RETRY_AFTER.match(line)
        if match is None:
            return
        try:
            self.retry_after_s = float(match[1])
        except ValueError:
            self.retry_after_s = None


def _set_options(
    curl: pycurl.Curl,
    method: str,
    url: str,
    body: bytes | None,
    content_type: str,
    timeouts: Timeouts,
) -> None:
    curl.setopt(pycurl.URL, url)
    curl.setopt(pycurl.PROXY, "")
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.TIMEOUT_MS, max(1, int(timeouts.total_s * 1000)))
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(timeouts.connect_s * 1000)))
    # The empty "Expect:" keeps libcurl from sending "Expect: 100-continue": after
    # a 417 it would send the body a second time.
    curl.setopt(pycurl.HTTPHEADER, [f"Content-Type: {content_type}", "Expect:"])
    if body is not None:
        curl.setopt(pycurl.POSTFIELDS, body)
    curl.setopt(pycurl.CUSTOMREQUEST, method)


def _make_transport_error(
    curl: pycurl.Curl, error: pycurl.error, safe: bool, where: str
) -> PlatformError:
    code, message = error.args[0], error.args[1]
    if code in _NOT_SENT:
        return PlatformUnavailableError(f"request not sent: {message}", where=where)
    if safe:
        return PlatformUnavailableError(f"no complete reply: {message}", where=where)
    never_connected = curl.getinfo(pycurl.CONNECT_TIME) == 0
    if code in _NOT_SENT_UNLESS_CONNECTED and never_connected:
        return PlatformUnavailableError(f"no connection: {message}", where=where)
    return PlatformUnknownError(
        f"request sent, but no complete reply: {message}", where=where
    )


def _make_status_error(status: int, safe: bool, where: str) -> PlatformError:
    if status == _CONFLICT:
        return PlatformConflictError(
            "conflict: a condition of the request did not hold", where=where
        )
    if status in _REFUSED:
        return PlatformUnavailableError(f"refused with status {status}", where=where)
    if status >= 500 and safe:
        return PlatformUnavailableError(f"failed with status {status}", where=where)
    if status >= 500:
        return PlatformUnknownError(f"failed with status {status}", where=where)
    return PlatformError(f"unexpected status {status}", where=where)


def request(
    method: str,
    url: str,
    body: bytes | None = None,
    *,
    content_type: str = BYTES_TYPE,
    timeouts: Timeouts = Timeouts(),
    safe: bool | None = None,
    accept: frozenset[int] = _OK,
) -> Reply:
    """Send one request and return its reply with the body as bytes.

    :param safe: whether the request only reads, so that it may be sent twice;
        true by default for GET and HEAD only.
    :param accept: statuses that are returned; others raise an error.
    :raises PlatformUnavailableError: nothing took effect.
    :raises PlatformUnknownError: the request may have taken effect.
    :raises PlatformConflictError: the status was 409.
    """
    if safe is None:
        safe = method in SAFE_METHODS
    curl = _get_handle()
    buffer = _ReplyBuffer()
    _set_options(curl, method, url, body, content_type, timeouts)
    curl.setopt(pycurl.WRITEFUNCTION, buffer.append_body)
    curl.setopt(pycurl.HEADERFUNCTION, buffer.parse_header)
    if not safe:
        # libcurl resends a request on its own if a reused connection turns out
        # to be closed. It never does so on a new connection.
        curl.setopt(pycurl.FRESH_CONNECT, 1)
        curl.setopt(pycurl.FORBID_REUSE, 1)
    try:
        curl.perform()
    except pycurl.error as error:
        raise _make_transport_error(curl, error, safe, url) from error
    status = curl.getinfo(pycurl.RESPONSE_CODE)
    if status not in accept:
        raise _make_status_error(status, safe, url)
    return Reply(status, bytes(buffer.body), buffer.retry_after_s)


def request_json(
    method: str,
    url: str,
    body: object = None,
    *,
    timeouts: Timeouts = Timeouts(),
    safe: bool | None = None,
    accept: frozenset[int] = _OK,
) -> Reply:
    """Send one request with a JSON body and decode the JSON reply; see `request`.

    A reply that is not JSON counts as lost, except with status 429 or 503.
    """
    data = None if body is None else msgspec.json.encode(body)
    reply = request(
        method,
        url,
        data,
        content_type=JSON_TYPE,
        timeouts=timeouts,
        safe=safe,
        accept=accept,
    )
    if reply.status in _REFUSED:
        return Reply(reply.status, None, reply.retry_after_s)
    try:
        decoded = msgspec.json.decode(reply.body)
    except msgspec.DecodeError as error:
        raise make_reply_error(method, url, safe) from error
    return Reply(reply.status, decoded, reply.retry_after_s)


def make_reply_error(method: str, url: str, safe: bool | None = None) -> PlatformError:
    """Return the error for a reply that violates the protocol."""
    message = "malformed reply"
    if safe or (safe is None and method in SAFE_METHODS):
        return PlatformUnavailableError(message, where=url)
    return PlatformUnknownError(message, where=url)
