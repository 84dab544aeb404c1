"""State that the handlers share: the daemon's parts and the open requests."""

import dataclasses
import threading
import typing as t

from werkzeug.wrappers import Request
from werkzeug.wrappers import Response

from ..admission import Identity
from ..admission import QuotaGate
from ..admission import authenticate
from ..clock import Clock
from ..core.lists import Lists
from ..exceptions import InvalidRequestError
from ..exceptions import QueueFullError
from ..metrics import Metrics
from ..relay import Relays
from ..services import Services
from ..settings import Settings


class OpenRequests:
    """Counts the open requests of callers and enforces their maximum."""

    def __init__(self, limit: int, metrics: Metrics) -> None:
        self._limit = limit
        self._metrics = metrics
        self._lock = threading.Lock()
        self.count = 0

    def enter(self) -> None:
        """Count a new request.

        :raises QueueFullError: if the maximum is reached.
        """
        with self._lock:
            if self.count >= self._limit:
                raise QueueFullError("too many open requests", retry_after_s=1.0)
            self.count += 1
        self._metrics.gauge("open_requests", self.count)

    def leave(self) -> None:
        """Count a request as ended."""
        with self._lock:
            self.count -= 1
        self._metrics.gauge("open_requests", self.count)


@dataclasses.dataclass(slots=True)
class Context:
    """The parts of the daemon that the handlers use.

    ``lists``: returns the lists, or raises NotReadyError until they are loaded;
    ``data_centres_of``: returns the data centres where a model has engines, in order
    of preference.
    """

    settings: Settings
    clock: Clock
    metrics: Metrics
    open_requests: OpenRequests
    lists: t.Callable[[], Lists]
    is_ready: t.Callable[[], bool]
    status: t.Callable[[], dict[str, t.Any]]
    data_centres_of: t.Callable[[str], tuple[str, ...]]
    relays: Relays
    services: Services
    quota: QuotaGate
    peer_lists: t.Callable[[Request], Response]


Handler = t.Callable[[Context, Request, str], Response]


def request_deadline(context: Context, request: Request) -> float:
    """Return the monotonic time of the request's deadline."""
    limits = context.settings.limits
    text = request.headers.get("X-Timeout", "")
    timeout_s = limits.timeout_s
    if text:
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = 0.0
        if not 0 < timeout_s <= limits.max_timeout_s:
            raise InvalidRequestError(
                f"expected seconds up to {limits.max_timeout_s:g}", where="X-Timeout"
            )
    return context.clock.monotonic() + timeout_s


def identify(context: Context, request: Request) -> Identity:
    """Authenticate the caller against the current lists."""
    return authenticate(context.lists(), request.headers.get("Authorization", ""))
