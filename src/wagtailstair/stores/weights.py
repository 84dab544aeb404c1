"""A client of the weight store, which limits the rate of fetches."""

import dataclasses

from .http import Timeouts
from .http import request_json

DEFAULT_RETRY_S = 1.0
_TOO_MANY_REQUESTS = 429


@dataclasses.dataclass(slots=True, frozen=True)
class FetchReply:
    """Whether a fetch was allowed, and if not, the seconds until a retry."""

    allowed: bool
    retry_after_s: float = 0.0


def fetch_weights(
    url: str,
    model: str,
    version: str,
    size: int,
    timeouts: Timeouts = Timeouts(),  # noqa: B008 - immutable
) -> FetchReply:
    """Request the weights of a model.

    :param size: size of the requested weights in bytes.
    :raises PlatformUnavailableError: the store refused or is unreachable.
    :raises PlatformUnknownError: the store may have counted the fetch.
    """
    reply = request_json(
        "POST",
        url.rstrip("/") + "/v1/weights/fetch",
        {"model": model, "version": version, "bytes": size},
        timeouts=timeouts,
        accept=frozenset({200, _TOO_MANY_REQUESTS}),
    )
    if reply.status == _TOO_MANY_REQUESTS:
        return FetchReply(False, reply.retry_after_s or DEFAULT_RETRY_S)
    return FetchReply(True)
