"""One HTTP request to an upstream, and whether the upstream may have run it."""

import concurrent.futures
import dataclasses
import enum
import typing as t

import pycurl

from ..core.exchange_headers import FINAL_STATUS_MIN
from ..core.exchange_headers import STATUS_MAX
from .loop import Loop

OnData = t.Callable[[bytes], bool]


class TransferOutcome(enum.Enum):
    """Whether a request reached the upstream and was answered.

    ``LOST``: it may have been sent, but no complete answer came back.
    """

    NOT_SENT = "not_sent"
    ANSWERED = "answered"
    LOST = "lost"


@dataclasses.dataclass(slots=True, frozen=True)
class TransferEnd:
    """The result of a transfer; ``status`` is 0 if no status line was received."""

    sent: TransferOutcome
    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    error: str = ""

    def header(self, name: str, default: str = "") -> str:
        """Return the last value of a header; its name is not case-sensitive."""
        wanted = name.lower()
        for key, value in reversed(self.headers):
            if key.lower() == wanted:
                return value
        return default


@dataclasses.dataclass(slots=True, frozen=True)
class TransferRequest:
    """An HTTP request with its limits.

    ``may_send`` is called once the connection is established, right before the
    request is sent; if it returns False, nothing is sent. The process may have
    been paused for any time since the transfer began, so a lease or deadline
    has to be checked at this point.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    connect_timeout_s: float = 0.5
    timeout_s: float = 10.0
    max_response_bytes: int = 4 << 20
    # libcurl resends a request by itself if a reused connection turns out to be
    # closed, so only requests that may run twice reuse connections.
    repeatable: bool = False
    may_send: t.Callable[[], bool] | None = None


# Headers that libcurl adds by itself unless they are set or disabled.
CURL_DEFAULT_HEADERS = ("Accept", "Content-Type", "Expect", "User-Agent")

_CURL_ERRORS_BEFORE_CONNECT = frozenset(
    {
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_URL_MALFORMAT,
        # Only `may_send` aborts a transfer by a callback, before anything is sent.
        pycurl.E_ABORTED_BY_CALLBACK,
    }
)


class Transfer:
    """A running transfer; used in the loop's thread only.

    ``on_data`` receives each chunk of the body of an answer with status 200 and
    returns False to have it delivered again after :meth:`resume`. Without
    ``on_data`` the body is collected and passed to ``on_end``.
    """

    __slots__ = (
        "_body",
        "_easy",
        "_headers",
        "_loop",
        "_on_data",
        "_on_end",
        "_request",
        "_size",
        "_status",
        "_too_large",
    )

    def __init__(
        self,
        loop: Loop,
        request: TransferRequest,
        on_end: t.Callable[[TransferEnd], None],
        on_data: OnData | None = None,
    ) -> None:
        self._loop = loop
        self._request = request
        self._on_end = on_end
        self._on_data = on_data
        self._headers: list[tuple[str, str]] = []
        self._body: list[bytes] = []
        self._size = 0
        self._status = 0
        self._too_large = False
        self._easy: pycurl.Curl | None = None

    def start(self) -> None:
        """Start the transfer."""
        self._easy = _new_easy(self._request)
        self._easy.setopt(pycurl.HEADERFUNCTION, self._on_header)
        self._easy.setopt(pycurl.WRITEFUNCTION, self._on_body)
        self._loop.add_easy(self._easy, self._on_finished)

    def cancel(self) -> None:
        """Abort the transfer and close its connection; ``on_end`` is not called."""
        easy = self._easy
        self._easy = None
        if easy is None:
            return
        # libcurl forbids removing a handle from within its own callbacks.
        self._loop.call(lambda: self._remove(easy))

    def resume(self) -> None:
        """Deliver the data again that ``on_data`` rejected."""
        if self._easy is not None:
            self._easy.pause(pycurl.PAUSE_CONT)

    def _remove(self, easy: pycurl.Curl) -> None:
        self._loop.remove_easy(easy)
        easy.close()

    def _on_header(self, raw: bytes) -> None:
        line = raw.decode("latin-1").rstrip("\r\n")
        if line.startswith("HTTP/"):
            self._headers.clear()
            self._status = int(line.split(" ", 2)[1])
            return
        name, colon, value = line.partition(":")
        if colon:
            self._headers.append((name.strip(), value.strip()))

    def _on_body(self, data: bytes) -> int:
        if self._easy is None:
            return len(data)
        if self._on_data is not None and self._status == 200:
            accepted = self._on_data(data)
            return len(data) if accepted else pycurl.WRITEFUNC_PAUSE
        self._size += len(data)
        if self._size > self._request.max_response_bytes:
            self._too_large = True
            return 0
        self._body.append(data)
        return len(data)

    def _on_finished(self, number: int, message: str) -> None:
        easy = self._easy
        self._easy = None
        if easy is None:
            return
        sent = TransferOutcome.ANSWERED
        if number:
            sent = _failure_outcome(easy, number)
        elif not FINAL_STATUS_MIN <= self._status <= STATUS_MAX:
            sent = TransferOutcome.LOST
            message = f"not an answer: status {self._status:03d}"
        if self._too_large:
            message = "the answer is larger than the limit"
        easy.close()
        body = b"".join(self._body)
        self._on_end(
            TransferEnd(sent, self._status, tuple(self._headers), body, message)
        )


def _prereq_callback(may_send: t.Callable[[], bool]) -> t.Callable[..., int]:
    def check(*addresses: object) -> int:
        if may_send():
            return int(pycurl.PREREQFUNC_OK)
        return int(pycurl.PREREQFUNC_ABORT)

    return check


def _header_lines(headers: tuple[tuple[str, str], ...]) -> list[str]:
    lines = []
    names = set()
    for name, value in headers:
        names.add(name.lower())
        # curl expects a header without a value to end in a semicolon.
        lines.append(f"{name}: {value}" if value else f"{name};")
    for name in CURL_DEFAULT_HEADERS:
        if name.lower() not in names:
            lines.append(f"{name}:")
    return lines


def _new_easy(request: TransferRequest) -> pycurl.Curl:
    easy = pycurl.Curl()
    easy.setopt(pycurl.URL, request.url)
    easy.setopt(pycurl.CUSTOMREQUEST, request.method)
    easy.setopt(pycurl.PATH_AS_IS, 1)
    easy.setopt(pycurl.NOSIGNAL, 1)
    easy.setopt(pycurl.PROXY, "")
    easy.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    easy.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(request.connect_timeout_s * 1000)))
    easy.setopt(pycurl.TIMEOUT_MS, max(1, int(request.timeout_s * 1000)))
    easy.setopt(pycurl.TCP_NODELAY, 1)
    easy.setopt(pycurl.HTTPHEADER, _header_lines(request.headers))
    if request.method == "HEAD":
        easy.setopt(pycurl.NOBODY, 1)
    if request.body or request.method in {"POST", "PUT", "PATCH"}:
        easy.setopt(pycurl.POSTFIELDS, request.body)
    if request.may_send is not None:
        easy.setopt(pycurl.PREREQFUNCTION, _prereq_callback(request.may_send))
    if not request.repeatable:
        easy.setopt(pycurl.FRESH_CONNECT, 1)
        easy.setopt(pycurl.FORBID_REUSE, 1)
    return easy


def _failure_outcome(easy: pycurl.Curl, number: int) -> TransferOutcome:
    if number in _CURL_ERRORS_BEFORE_CONNECT:
        return TransferOutcome.NOT_SENT
    # It is reported for an unknown scheme, and for an answer that is not HTTP.
    is_unsent = easy.getinfo(pycurl.REQUEST_SIZE) == 0
    if number == pycurl.E_UNSUPPORTED_PROTOCOL and is_unsent:
        return TransferOutcome.NOT_SENT
    # PRETRANSFER_TIME is set once the connection is ready to send the request.
    if easy.getinfo(pycurl.PRETRANSFER_TIME) == 0:
        return TransferOutcome.NOT_SENT
    return TransferOutcome.LOST


def start_exchange(
    loop: Loop, request: TransferRequest
) -> "concurrent.futures.Future[TransferEnd]":
    """Start a transfer and return its future; cancelling it aborts the transfer."""
    future: concurrent.futures.Future[TransferEnd] = concurrent.futures.Future()

    def on_end(end: TransferEnd) -> None:
        if future.set_running_or_notify_cancel():
            future.set_result(end)

    transfer = Transfer(loop, request, on_end)

    def on_done(done: "concurrent.futures.Future[TransferEnd]") -> None:
        if done.cancelled():
            loop.call(transfer.cancel)

    future.add_done_callback(on_done)
    loop.call(transfer.start)
    return future
