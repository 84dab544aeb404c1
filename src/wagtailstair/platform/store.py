"""Encodes calls to the platform's store, and decodes its answers.

No I/O: the gateway's client sends the calls that these functions return.
"""

import base64
import binascii
import typing as t
import urllib.parse

import msgspec

from ..core.store import Call
from ..core.store import StoreRow
from ..core.store import StoreRows
from ..core.store import StoreVersion
from ..exceptions import PlatformError
from ..exceptions import PlatformUnavailableError

TRANSACT_PATH = "/rows-tx"
READ_PATH = "/rows-get"
FEED_PATH = "/rows-feed"
ROWS_MAX = 500

ERA_HEADER = b"store-era"
ERA_DIGITS_MAX = 18
"""Digits of the largest era that a field of 64 bits holds for certain."""


class _Row(msgspec.Struct):
    table: str
    key: str
    ver: int
    part: str = ""
    value: str | None = None
    deleted: bool = False


class _Rows(msgspec.Struct):
    rows: list[_Row] = []
    # The version of the whole store, which may be newer than all of these rows.
    ver: int = 0
    now_ms: float = 0.0
    truncated: bool = False


_DECODER = msgspec.json.Decoder(_Rows)


def find_era(headers: t.Iterable[tuple[bytes, bytes]]) -> bytes | None:
    """Return the era that an answer names as it is written, ``None`` for none."""
    for name, value in headers:
        if name.lower() == ERA_HEADER:
            return value
    return None


def parse_era(text: bytes) -> int | None:
    """Return an era, ``None`` if it is not a positive whole number."""
    if not text.isdigit() or len(text) > ERA_DIGITS_MAX:
        return None
    return int(text) or None


def _decode_row(row: _Row, era: int) -> StoreRow | None:
    value: bytes | None = None
    if not row.deleted and row.value is not None:
        try:
            value = base64.b64decode(row.value, validate=True)
        except (binascii.Error, ValueError):
            return None
    return StoreRow(row.table, row.key, value, StoreVersion(era, row.ver))


def read_call(table: str, after: str = "") -> Call:
    """Return the call that reads the rows of a table after a key."""
    query = {"table": table, "part": "", "limit": str(ROWS_MAX)}
    if after:
        query["from"] = after + "\0"
    return Call("GET", f"{READ_PATH}?{urllib.parse.urlencode(query)}")


def feed_call(table: str, after: int, wait_s: float) -> Call:
    """Return the call that waits for changes of a table after a version."""
    query = {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
    return Call("GET", f"{FEED_PATH}?{urllib.parse.urlencode(query)}")


def transact_call(
    conditions: t.Iterable[tuple[str, str, int]],
    writes: t.Iterable[tuple[str, str, bytes]],
    removals: t.Iterable[tuple[str, str]] = (),
) -> Call:
    """Return the call that writes and removes rows if all conditions hold.

    :param conditions: table, key and the version that the row must have.
    """
    body = {
        "expect_rev": [
            {"table": table, "part": "", "key": key, "ver": version}
            for table, key, version in conditions
        ],
        "writes": [
            {
                "table": table,
                "part": "",
                "key": key,
                "value": base64.b64encode(value).decode(),
            }
            for table, key, value in writes
        ],
        "remove": [{"table": table, "part": "", "key": key} for table, key in removals],
    }
    return Call("POST", TRANSACT_PATH, msgspec.json.encode(body))


def decode_rows(status: int, body: bytes, era: int) -> StoreRows:
    """Decode the rows of an answer of an era.

    Status 412 (a condition failed) and 410 (the changes that were requested are no
    longer kept) set ``is_conflict``.

    :raises PlatformUnavailableError: if the store refused the call.
    :raises PlatformError: if the status is unexpected or the body malformed.
    """
    if status in (429, 503):
        raise PlatformUnavailableError(f"store refused the call with status {status}")
    if status not in (200, 410, 412):
        raise PlatformError(
            f"expected status 200, 410 or 412 from the store, got {status}"
        )
    try:
        answer = _DECODER.decode(body) if body else _Rows()
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise PlatformError(f"invalid answer from the store: {error}") from error
    rows = []
    for row in answer.rows:
        decoded = _decode_row(row, era)
        if decoded is not None:
            rows.append(decoded)
    return StoreRows(
        tuple(rows),
        StoreVersion(era, answer.ver),
        is_more=answer.truncated,
        is_conflict=status != 200,
    )
