"""Header names of the platform, and parsing and formatting of header values."""

import hashlib
import math
import typing as t

from ..core.exchange_headers import HeaderNames
from ..core.upstream_notices import UpstreamNotice

HEADER_NAMES = HeaderNames(
    attempt=b"x-attempt-id",
    deadline_ms=b"x-deadline-ms",
    authorization=b"authorization",
    account=b"x-tenant",
    expected_replica=b"x-target-replica",
    rank=b"x-request-urgency",
    path=b"x-hop-count",
    token_usage=b"x-token-usage",
    length_hint=b"x-length-hint",
    last_event=b"last-event-id",
    prompt_parts=b"x-prompt-prefix",
    signature=b"x-response-signature",
    not_run=b"x-not-executed",
    faulty_address=b"at-server",
)

RATE_LIMIT = b"server-limit"
LEAVING = b"server-leaving"
PAUSE = b"retry-after"

MISDIRECTED = 421
UNAVAILABLE = 503

KEY_SCHEME = b"token "

PART_BYTES_MAX = 64
"""Bytes of the id of a part; a digest stands for a longer one."""

PART_DIGEST_BYTES = 16


def parse_api_key(authorization: bytes) -> str | None:
    """Return the API key of an Authorization header, ``None`` if it has none."""
    if not authorization.lower().startswith(KEY_SCHEME):
        return None
    return authorization[len(KEY_SCHEME) :].strip().decode("latin-1")


def parse_token_usage(usage: bytes) -> tuple[int, int]:
    """Return the prompt's tokens and the maximum of the answer's, 0 if unknown."""
    prompt, _, answer = usage.partition(b",")
    try:
        return int(prompt), int(answer)
    except ValueError:
        return 0, 0


def parse_prompt_parts(prompt_parts: bytes) -> tuple[tuple[str, ...], str]:
    """Return the ids of a prompt's parts that other requests may share, and its own.

    The last part belongs to the request or its session alone; its id is empty if it
    is malformed or missing. Ids are compared without regard to case and leading zeros,
    as they are hexadecimal numbers. All parts are read, as any of them may be the one
    under which engines crash.
    """
    *shared, own = prompt_parts.split(b",")
    ids = []
    for entry in shared:
        if name := _parse_part(entry):
            ids.append(name)
    return tuple(ids), _parse_part(own)


def _parse_part(entry: bytes) -> str:
    """Return the id of a part of a prompt, empty if it is malformed."""
    name = entry.partition(b":")[0].strip().lower().lstrip(b"0")
    if not name.isalnum():
        return ""
    if len(name) > PART_BYTES_MAX:
        digest = hashlib.blake2b(name, digest_size=PART_DIGEST_BYTES)
        return f"digest-{digest.hexdigest()}"
    return name.decode("ascii")


def _parse_number(value: bytes) -> float | None:
    """Return a finite number that is not negative, ``None`` for anything else."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def parse_notice(
    status: int, headers: t.Iterable[tuple[bytes, bytes]]
) -> UpstreamNotice:
    """Return what the head of an answer says about its upstream.

    Malformed values are ignored. An answer to a misdirected request comes from another
    upstream, which has got the address.
    """
    if status == MISDIRECTED:
        return UpstreamNotice()
    rate_limit = None
    is_leaving = False
    pause_s = 0.0
    for name, value in headers:
        lowered = name.lower()
        if lowered == RATE_LIMIT:
            rate_limit = _parse_number(value)
        elif lowered == LEAVING:
            is_leaving = value.strip() == b"1"
        elif lowered == PAUSE and status == UNAVAILABLE:
            pause_s = _parse_number(value) or 0.0
    return UpstreamNotice(rate_limit, is_leaving, pause_s)


def format_path(hops: t.Iterable[tuple[str, int, int]]) -> bytes:
    """Return the header value of a path.

    :param hops: address, first layer and the layer after the last one of each hop.
    """
    return ",".join(
        f"{address}={first}-{last}" for address, first, last in hops
    ).encode()
