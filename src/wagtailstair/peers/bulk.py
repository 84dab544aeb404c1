"""Transfers the lists between peers over the daemon's HTTP port.

The request is ``GET /peer/lists?after=VERSION``, signed in a header. The response
holds the rows that changed after that version, or all rows, and has a tag.
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
from .codec import add_frame
from .codec import compute_tag
from .codec import remove_frame
from .records import set_field
from .schema import SCHEMA
from .schema import DecodeError

PATH = "/peer/lists"
SIGNATURE_HEADER = "X-Peer-Signature"
SIGNATURE_MAX_AGE_S = 300.0  # includes the difference of two hosts' wall clocks
RECENT_STEPS_MAX = 1024  # recorded steps between versions
RECENT_ROWS_MAX = 8192
BODY_BYTES_MAX = 64 << 20
UNPACKED_WORDS_MAX = 64 << 20  # words of 8 bytes
TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
HTTP_OK = 200


@dataclasses.dataclass(slots=True, frozen=True)
class _Step:
    before: int
    after: int
    keys: tuple[RowKey, ...]


class RecentChanges:
    """The rows that changed in the latest versions applied by this host."""

    def __init__(self) -> None:
        self._steps: collections.deque[_Step] = collections.deque(
            maxlen=RECENT_STEPS_MAX
        )
        self._row_count = 0

    def record_changes(self, old: Lists, new: Lists) -> None:
        """Record the rows that differ between old and new lists."""
        keys = (
            *_changed(PLANS, old.plan_by_name, new.plan_by_name),
            *_changed(ACCOUNTS, old.account_by_name, new.account_by_name),
        )
        if len(keys) > RECENT_ROWS_MAX:
            self._steps.clear()
            self._row_count = 0
            return
        if len(self._steps) == RECENT_STEPS_MAX:
            self._row_count -= len(self._steps.popleft().keys)
        self._steps.append(_Step(old.version, new.version, keys))
        self._row_count += len(keys)
        while self._row_count > RECENT_ROWS_MAX:
            self._row_count -= len(self._steps.popleft().keys)

    def changed_since(self, after: int, version: int) -> set[RowKey] | None:
        """Return the keys of rows changed after a version, or None if not recorded."""
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
    """Return rows of lists in the protocol's form, without head and tag."""
    record = SCHEMA.Lists.new_message(version=lists.version, after=after)
    set_field(record, "rows", [_row(lists, key) for key in sorted(keys)])
    body: bytes = record.to_bytes_packed()
    return body


def apply_lists(body: bytes, lists: Lists) -> Lists:
    """Apply a peer's response to lists; return them unchanged if it is not newer.

    :raises PeerError: if it is malformed or does not follow on these lists.
    """
    try:
        record = SCHEMA.Lists.from_bytes_packed(
            body, traversal_limit_in_words=UNPACKED_WORDS_MAX, nesting_limit=4
        )
        if record.version <= lists.version:
            return lists
        if record.after > lists.version:
            raise PeerError(
                f"got changes after version {record.after}, but have {lists.version}"
            )
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
    """Return the response to a peer that has version ``after``, 0 if none."""
    keys = recent.changed_since(after, lists.version) if after else None
    if keys is None:
        after = 0
        keys = {(PLANS, name) for name in lists.plan_by_name}
        keys.update((ACCOUNTS, name) for name in lists.account_by_name)
    return add_frame(encode_lists(lists, after, keys), key)


def _signature(key: bytes, after: int, second: int) -> str:
    return compute_tag(key, b"lists", f"{after} {second}".encode()).hex()


def sign_request(key: bytes, after: int, clock: Clock) -> str:
    """Return the value of the signature header of a request."""
    second = int(clock.utcnow().timestamp())
    return f"{second} {_signature(key, after, second) if key else '-'}"


def check_request(key: bytes, after: int, header: str, clock: Clock) -> None:
    """Check the signature header of a request.

    :raises PeerError: if the signature is missing, under another key or too far from
            this host's clock.
    """
    if not key:
        return
    second, _, signature = header.partition(" ")
    if not second.isascii() or not second.isdigit() or len(second) > 12:
        raise PeerError("expected a signature header of seconds and hex digits")
    if not signature.isascii():
        raise PeerError("expected a signature header of seconds and hex digits")
    if not hmac.compare_digest(signature, _signature(key, after, int(second))):
        raise PeerError("the signature does not match")
    if abs(clock.utcnow().timestamp() - int(second)) > SIGNATURE_MAX_AGE_S:
        raise PeerError("the signature's time differs too much from this host's clock")


def _get(url: str, header: str, timeout_s: float) -> bytes:
    body = bytearray()

    def receive(data: bytes) -> int | None:
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
        curl.setopt(pycurl.WRITEFUNCTION, receive)
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as error:
        raise PeerError(f"no complete response: {error.args[1]}", where=url) from error
    finally:
        curl.close()
    if status != HTTP_OK:
        raise PeerError(f"expected status 200, got {status}", where=url)
    return bytes(body)


def fetch_lists(
    address: str,
    lists: Lists,
    clock: Clock,
    key: bytes = b"",
    timeout_s: float = TIMEOUT_S,
) -> Lists:
    """Fetch the changes since ``lists`` from a peer and return the newer lists.

    :param address: ``ip:port`` of the peer's HTTP port.
    :raises PeerError: if it cannot be reached or its response is invalid.
    """
    url = f"http://{address}{PATH}?after={lists.version}"
    header = f"{SIGNATURE_HEADER}: {sign_request(key, lists.version, clock)}"
    data = _get(url, header, timeout_s)
    return apply_lists(remove_frame(data, key, BODY_BYTES_MAX), lists)
