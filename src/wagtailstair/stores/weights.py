"""The weight store, which is limited in rate."""

import dataclasses

from .http import Timeouts
from .http import request_json

DEFAULT_RETRY_S = 1.0
_OVER_RATE = 429


@dataclasses.dataclass(slots=True, frozen=True)
class FetchReply:
    """Whether a fetch was allowed, and if not, seconds to wait."""

    allowed: bool
    retry_after_s: float = 0.0


def fetch_weights(
    url: str,
    model: str,
    version: str,
    size: int,
    timeouts: Timeouts = Timeouts(),  # noqa: B008 - immutable
) -> FetchReply:
    """Ask for the weights of a model.

    :param size: what is asked for, in bytes.
    :raises PlatformUnavailableError: the store refused or can't be reached.
    :raises PlatformUnknownError: the fetch may have been counted.
    """
    reply = request_json(
        "POST",
        url.rstrip("/") + "/v1/weights/fetch",
        {"model": model, "version": version, "bytes": size},
        timeouts=timeouts,
        accept=frozenset({200, _OVER_RATE}),
    )
    if reply.status == _OVER_RATE:
        return FetchReply(False, reply.retry_after_s or DEFAULT_RETRY_S)
    return FetchReply(True)
