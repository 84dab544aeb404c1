"""Headers between callers, the gateway and upstreams."""

import dataclasses

# Hop-by-hop headers of RFC 9110, section 7.6.1, and older ones.
CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

FINAL_STATUS_MIN = 200
STATUS_MIN = 100
STATUS_MAX = 599
"""Status codes of HTTP, and the first that isn't interim (RFC 9110, section 15)."""


@dataclasses.dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names of the headers that the gateway reads or sets, in lower case.

    ``attempt``: identifies one request of a caller; ``path``: the engines of a
    pipeline; ``prompt_parts``: the parts of a request's prompt, in order;
    ``not_run``: set by an upstream that refused a request without
    running it; ``faulty_address``: the engine of a path that failed;
    ``signature``: an upstream's authentication code over its answer.
    """

    attempt: bytes
    deadline_ms: bytes
    authorization: bytes
    account: bytes
    expected_replica: bytes
    rank: bytes
    path: bytes
    token_usage: bytes
    length_hint: bytes
    last_event: bytes
    prompt_parts: bytes
    signature: bytes
    not_run: bytes
    faulty_address: bytes

    def set_by_gateway(self) -> frozenset[bytes]:
        """Return the headers that the gateway sets, whatever the caller sent."""
        return frozenset(
            {
                self.deadline_ms,
                self.authorization,
                self.account,
                self.expected_replica,
                self.rank,
                self.path,
                self.last_event,
                b"content-length",
                b"expect",
            }
        )
