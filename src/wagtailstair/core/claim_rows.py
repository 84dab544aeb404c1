"""JSON encoding of claim rows, and their conditional writes."""

import base64
import binascii
import collections.abc
import typing as t

from .claim_steps import Answer
from .claim_steps import Claimant
from .claim_steps import ClaimRow
from .claim_steps import ClaimState
from .claim_steps import Insert
from .claim_steps import Release
from .claim_steps import Settle
from .rows import VERSION_ABSENT
from .rows import Condition
from .rows import Row
from .rows import Value
from .rows import Write

TABLE = "claims"


def encode_claim(row: ClaimRow) -> Value:
    """Return the value of a claim's row."""
    value: Value = {
        "hash": row.request_hash,
        "host": row.claimant.host,
        "incarnation": row.claimant.incarnation,
        "attempt": row.claimant.attempt,
        "claimed_at": row.claimed_at,
        "state": row.state.value,
    }
    if row.answer is None:
        return value
    value["status"] = row.answer.status
    value["headers"] = [list(header) for header in row.answer.headers]
    value["body"] = base64.b64encode(row.answer.body).decode("ascii")
    value["object"] = row.object_name
    return value


def _decode_answer(value: Value) -> Answer | None:
    if "status" not in value:
        return None
    headers = tuple((str(name), str(text)) for name, text in value["headers"])
    body = base64.b64decode(value["body"], validate=True)
    return Answer(int(value["status"]), headers, body)


def decode_claim(value: t.Mapping[str, t.Any]) -> ClaimRow:
    """Return the claim that a row's value describes.

    An invalid value decodes as a claim with an unknown outcome, so that no call
    is sent under its key.
    """
    try:
        return ClaimRow(
            value["hash"],
            Claimant(value["host"], value["incarnation"], value["attempt"]),
            float(value["claimed_at"]),
            ClaimState(value["state"]),
            _decode_answer(dict(value)),
            value.get("object", ""),
        )
    except (KeyError, TypeError, ValueError, binascii.Error):
        claimant = Claimant("", "", "")
        return ClaimRow(
            str(value.get("hash", "")), claimant, float("inf"), ClaimState.UNKNOWN
        )


def make_write(key: str, command: Insert | Settle | Release) -> tuple[Condition, Write]:
    """Return the write of a claim and its precondition."""
    value = None
    if not isinstance(command, Release):
        value = encode_claim(command.row)
    version = VERSION_ABSENT
    if not isinstance(command, Insert):
        version = command.version
    return Condition(TABLE, key, version), Write(TABLE, key, value)


def find_expired(
    rows: collections.abc.Iterable[Row], now: float, retention_s: float
) -> list[tuple[Condition, Write]]:
    """Return the deletions of the claims that are past their retention.

    :param now: wall clock, seconds since the epoch.
    """
    deletes: list[tuple[Condition, Write]] = []
    for row in rows:
        if row.value is None:
            continue
        if decode_claim(row.value).claimed_at + retention_s >= now:
            continue
        condition = Condition(TABLE, row.key, row.version)
        deletes.append((condition, Write(TABLE, row.key, None)))
    return deletes
