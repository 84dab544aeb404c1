"""The lists from a peer, over the daemon's HTTP port.

``GET /peer/lists?after=VERSION``, signed in a header; the answer holds the
rows that changed after that version, or all rows, and is signed as a whole.
"""

import collections
import dataclasses
import hmac
import typing as t

import msgspec
import pycurl

from ..clock import Clock
from ..core.lists import ACCOUNTS
from ..core.lists import PLANS
from ..core.lists import Lists
from ..core.lists import validate
from ..core.rows import VERSION_UNKNOWN
from ..core.rows import Row
from ..core.rows import RowKey
from ..exceptions import ListsError
from ..exceptions import PeerError
from .codec import open_sealed
from .codec import seal
from .codec import tag_of
from .records import put
from .schema import SCHEMA
from .schema import DecodeError

PATH = "/peer/lists"
HEADER = "X-Peer-Signature"
SIGNATURE_AGE_S = 300.0  # by the wall clocks of two hosts
RECENT_MAX = 1024  # steps between versions that are kept
RECENT_ROWS_MAX = 8192
BODY_BYTES_MAX = 64 << 20
WORDS_MAX = 64 << 20
TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
HTTP_OK = 200


@dataclasses.dataclass(slots=True, frozen=True)
class _Step:
    before: int
    after: int
    keys: tuple[RowKey, ...]


class RecentChanges:
    """Which rows changed in the last versions that this host took."""

    def __init__(self) -> None:
        self._steps: collections.deque[_Step] = collections.deque(maxlen=RECENT_MAX)
        self._rows = 0

    def record_changes(self, old: Lists, new: Lists) -> None:
        """Note the step from older lists to newer ones."""
        keys = (
            *_changed(PLANS, old.plan_by_name, new.plan_by_name),
            *_changed(ACCOUNTS, old.account_by_name, new.account_by_name),
        )
        if len(keys) > RECENT_ROWS_MAX:
            self._steps.clear()
            self._rows = 0
            return
        if len(self._steps) == RECENT_MAX:
            self._rows -= len(self._steps.popleft().keys)
        self._steps.append(_Step(old.version, new.version, keys))
        self._rows += len(keys)
        while self._rows > RECENT_ROWS_MAX:
            self._rows -= len(self._steps.popleft().keys)

    def since(self, after: int, version: int) -> set[RowKey] | None:
        """Return the rows that changed after a version, or None if not known."""
        steps = list(self._steps)
        if not steps or steps[-1].after != version:
            return set() if after == version else None
        keys: set[RowKey] = set()
        for step in reversed(steps):
            if step.after <= after:
                return keys
            keys.update(step.keys)
            if step.before <= after:
                return keys
        return None


def _changed(
    table: str, old: t.Mapping[str, object], new: t.Mapping[str, object]
) -> t.Iterator[RowKey]:
    for name, item in new.items():
        if old.get(name) is not item:
            yield table, name
    for name in old:
        if name not in new:
            yield table, name


def _row(lists: Lists, key: RowKey) -> dict[str, t.Any]:
    value = lists.value_of(key)
    return {
        "table": key[0],
        "key": key[1],
        "version": lists.row_versions.get(key, VERSION_UNKNOWN),
        "value": b"" if value is None else msgspec.json.encode(value),
    }


def encode_lists(lists: Lists, after: int, keys: t.Iterable[RowKey]) -> bytes:
    """Return rows of lists in the protocol's form, without a seal."""
    record = SCHEMA.Lists.new_message(version=lists.version, after=after)
    put(record, "rows", [_row(lists, key) for key in sorted(keys)])
    body: bytes = record.to_bytes_packed()
    return body


def apply_lists(body: bytes, lists: Lists) -> Lists:
    """Return the lists that a body leads to from older ones; never lower ones.

    :raises PeerError: if it is malformed or does not follow on these lists.
    """
    try:
        record = SCHEMA.Lists.from_bytes_packed(
            body, traversal_limit_in_words=WORDS_MAX, nesting_limit=4
        )
        if record.version <= lists.version:
            return lists
        if record.after > lists.version:
            raise PeerError(f"changes after {record.after}, but {lists.version} here")
        rows = [_read_row(row) for row in record.rows]
        if not record.after:
            found = Lists().with_rows(record.version, rows)
            validate(found)
            return found
        found = lists.with_rows(record.version, rows)
        validate(found, [(row.table, row.key) for row in rows])
        return found
    except (DecodeError, msgspec.MsgspecError, ValueError, ListsError) as error:
        raise PeerError(f"malformed lists: {type(error).__name__}") from error


def _read_row(record: t.Any) -> Row:
    data = bytes(record.value)
    value = msgspec.json.decode(data, type=dict[str, t.Any]) if data else None
    return Row(record.table, record.key, record.version, value)


def serve_lists(
    lists: Lists, recent: RecentChanges, after: int, key: bytes = b""
) -> bytes:
    """Return the answer to a peer that has a version of the lists."""
    keys = recent.since(after, lists.version) if after else None
    if keys is None:
        after = 0
        keys = {(PLANS, name) for name in lists.plan_by_name}
        keys.update((ACCOUNTS, name) for name in lists.account_by_name)
    return seal(encode_lists(lists, after, keys), key)


def _signature(key: bytes, after: int, second: int) -> str:
    return tag_of(key, b"lists", f"{after} {second}".encode()).hex()


def sign_request(key: bytes, after: int, clock: Clock) -> str:
    """Return the header's value for a request."""
    second = int(clock.utcnow().timestamp())
    return f"{second} {_signature(key, after, second) if key else '-'}"


def check_request(key: bytes, after: int, header: str, clock: Clock) -> None:
    """Check the header of a request.

    :raises PeerError: if it is not signed by the key, or too old.
    """
    if not key:
        return
    second, _, signature = header.partition(" ")
    if not second.isascii() or not second.isdigit() or len(second) > 12:
        raise PeerError("the request is not signed")
    if not signature.isascii():
        raise PeerError("the request is not signed")
    if not hmac.compare_digest(signature, _signature(key, after, int(second))):
        raise PeerError("the signature does not match")
    if abs(clock.utcnow().timestamp() - int(second)) > SIGNATURE_AGE_S:
        raise PeerError("the signature is too old")


def _get(url: str, header: str, timeout_s: float) -> bytes:
    body = bytearray()

    def take(data: bytes) -> int | None:
        if len(body) + len(data) > BODY_BYTES_MAX:
            return 0
        body.extend(data)
        return None

    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.HTTPHEADER, [header])
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        curl.setopt(pycurl.CONNECTTIMEOUT_MS, int(CONNECT_TIMEOUT_S * 1000))
        curl.setopt(pycurl.WRITEFUNCTION, take)
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as error:
        raise PeerError(f"no answer: {error.args[1]}", where=url) from error
    finally:
        curl.close()
    if status != HTTP_OK:
        raise PeerError(f"status {status}", where=url)
    return bytes(body)


def fetch_lists(
    address: str,
    lists: Lists,
    clock: Clock,
    key: bytes = b"",
    timeout_s: float = TIMEOUT_S,
) -> Lists:
    """Return the lists of a peer, given older ones; never lower ones.

    :param address: ``ip:port`` of the peer's HTTP port.
    :raises PeerError: if it does not answer as expected.
    """
    url = f"http://{address}{PATH}?after={lists.version}"
    header = f"{HEADER}: {sign_request(key, lists.version, clock)}"
    data = _get(url, header, timeout_s)
    return apply_lists(open_sealed(data, key, BODY_BYTES_MAX), lists)
