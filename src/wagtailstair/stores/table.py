"""A client of the table service: conditional transactions, reads and scans."""

import collections.abc
import random
import time
import typing as t

import msgspec

from ..core.rows import Condition
from ..core.rows import Row
from ..core.rows import RowKey
from ..core.rows import Write
from ..exceptions import PlatformConflictError
from ..exceptions import PlatformUnavailableError
from .http import Reply
from .http import Timeouts
from .http import make_reply_error
from .http import request_json

PAGE_ROWS = 1000
PAGE_ATTEMPTS = 6
BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0

_TRANSACT_STATUSES = frozenset({200, 409})
_READ_STATUSES = frozenset({200, 429, 503})


class TransactionConflictError(PlatformConflictError):
    """A condition of the transaction did not hold; nothing took effect.

    :param conflicts: the rows that conflict, with their current versions.
    """

    def __init__(
        self, conflicts: tuple[Condition, ...], *, where: str | None = None
    ) -> None:
        keys = ", ".join(f"{row.table}/{row.key}" for row in conflicts)
        super().__init__(f"changed in the meantime: {keys}", where=where)
        self.conflicts = conflicts


class Table(t.Protocol):
    """The interface of the table service."""

    def transact(
        self,
        conditions: collections.abc.Sequence[Condition],
        writes: collections.abc.Sequence[Write],
    ) -> tuple[int, ...]:
        """Write all rows if all conditions hold; return the new versions."""
        ...

    def read(self, keys: collections.abc.Sequence[RowKey]) -> list[Row]:
        """Return the rows of some keys, in their order."""
        ...

    def scan(self, table: str, after: str = "") -> collections.abc.Iterator[Row]:
        """Yield all rows of a table by key, those after one key."""
        ...


class _Versions(msgspec.Struct):
    versions: list[int]


class _Conflicts(msgspec.Struct):
    conflicts: list[Condition]


class _Rows(msgspec.Struct):
    rows: list[Row]


_ShapeT = t.TypeVar("_ShapeT")


class TableClient:
    """A thread-safe client of the table service.

    :param pause: sleeps for a number of seconds between attempts.
    :param read_attempts: attempts of a read that the service refuses.
    """

    __slots__ = ("_pause", "_read_attempts", "_timeouts", "_url")

    def __init__(
        self,
        url: str,
        timeouts: Timeouts = Timeouts(),  # noqa: B008 - immutable
        pause: t.Callable[[float], None] = time.sleep,
        read_attempts: int = 1,
    ) -> None:
        self._url = url.rstrip("/")
        self._timeouts = timeouts
        self._read_attempts = read_attempts
        self._pause = pause

    def transact(
        self,
        conditions: collections.abc.Sequence[Condition],
        writes: collections.abc.Sequence[Write],
    ) -> tuple[int, ...]:
        """Write all rows if all conditions hold; return the new versions.

        :raises TransactionConflictError: with the rows that have changed.
        :raises PlatformUnavailableError: nothing took effect.
        :raises PlatformUnknownError: the writes may have taken effect.
        """
        path = "/v1/transact"
        body = {"conditions": list(conditions), "writes": list(writes)}
        reply = self._post(path, body, safe=False, accept=_TRANSACT_STATUSES)
        if reply.status == 409:
            conflicts = self._convert(reply, _Conflicts, path, safe=False).conflicts
            raise TransactionConflictError(tuple(conflicts), where=self._url + path)
        versions = self._convert(reply, _Versions, path, safe=False).versions
        if len(versions) != len(writes):
            raise make_reply_error("POST", self._url + path, safe=False)
        return tuple(versions)

    def read(self, keys: collections.abc.Sequence[RowKey]) -> list[Row]:
        """Return the rows of some keys, in their order.

        :raises PlatformUnavailableError: if the rows can't be read.
        """
        path = "/v1/read"
        reply = self._post_read(path, {"keys": list(keys)}, self._read_attempts)
        rows = self._convert(reply, _Rows, path, safe=True).rows
        if [(row.table, row.key) for row in rows] != [tuple(key) for key in keys]:
            raise make_reply_error("POST", self._url + path, safe=True)
        return rows

    def scan(self, table: str, after: str = "") -> collections.abc.Iterator[Row]:
        """Yield all rows of a table by key, those after one key.

        A page that the service refuses is retried with backoff.

        :raises PlatformUnavailableError: if a page can't be read.
        """
        while True:
            rows = self._read_page(table, after)
            yield from rows
            if len(rows) < PAGE_ROWS:
                return
            after = rows[-1].key

    def _read_page(self, table: str, after: str) -> list[Row]:
        path = "/v1/scan"
        body = {"table": table, "after": after, "limit": PAGE_ROWS}
        reply = self._post_read(path, body, PAGE_ATTEMPTS)
        return self._convert(reply, _Rows, path, safe=True).rows

    def _post_read(self, path: str, body: object, attempts: int) -> Reply:
        backoff_s = BACKOFF_S
        for attempt in range(attempts):
            reply = self._post(path, body, safe=True, accept=_READ_STATUSES)
            if reply.status == 200:
                return reply
            if attempt + 1 == attempts:
                break
            wait_s = max(backoff_s, reply.retry_after_s or 0.0)
            self._pause(min(wait_s, MAX_BACKOFF_S) * random.uniform(1.0, 1.5))
            backoff_s *= 2
        raise PlatformUnavailableError(
            f"refused with status {reply.status}", where=self._url + path
        )

    def _post(
        self,
        path: str,
        body: object,
        *,
        safe: bool,
        accept: frozenset[int] = frozenset({200}),
    ) -> Reply:
        return request_json(
            "POST",
            self._url + path,
            body,
            timeouts=self._timeouts,
            safe=safe,
            accept=accept,
        )

    def _convert(
        self, reply: Reply, shape: type[_ShapeT], path: str, *, safe: bool
    ) -> _ShapeT:
        try:
            return msgspec.convert(reply.body, shape)
        except msgspec.ValidationError as error:
            raise make_reply_error("POST", self._url + path, safe) from error
