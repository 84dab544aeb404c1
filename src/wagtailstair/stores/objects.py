"""The object store: bytes by name."""

import urllib.parse

from .http import Timeouts
from .http import request

_NOT_FOUND = 404


class ObjectClient:
    """A client of the object store; it may be shared between threads."""

    __slots__ = ("_timeouts", "_url")

    def __init__(
        self,
        url: str,
        timeouts: Timeouts = Timeouts(),  # noqa: B008 - immutable
    ) -> None:
        self._url = url.rstrip("/")
        self._timeouts = timeouts

    def put(self, name: str, data: bytes) -> None:
        """Store an object.

        :raises PlatformUnavailableError: nothing took effect.
        :raises PlatformUnknownError: the object may have been stored.
        """
        request("PUT", self._place(name), data, timeouts=self._timeouts)

    def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none.

        :raises PlatformUnavailableError: if it can't be read.
        """
        reply = request(
            "GET",
            self._place(name),
            timeouts=self._timeouts,
            accept=frozenset({200, _NOT_FOUND}),
        )
        return None if reply.status == _NOT_FOUND else bytes(reply.body)

    def _place(self, name: str) -> str:
        return f"{self._url}/v1/objects/{urllib.parse.quote(name)}"
