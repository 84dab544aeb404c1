"""A client of the object store, which keeps bytes by name."""

import urllib.parse

from .http import Timeouts
from .http import request

_NOT_FOUND = 404


class ObjectClient:
    """A thread-safe client of the object store."""

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
        request("PUT", self._make_url(name), data, timeouts=self._timeouts)

    def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if there is none.

        :raises PlatformUnavailableError: if the object can't be read.
        """
        reply = request(
            "GET",
            self._make_url(name),
            timeouts=self._timeouts,
            accept=frozenset({200, _NOT_FOUND}),
        )
        return None if reply.status == _NOT_FOUND else bytes(reply.body)

    def _make_url(self, name: str) -> str:
        return f"{self._url}/v1/objects/{urllib.parse.quote(name)}"
