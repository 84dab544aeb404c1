"""Limits on what clients may hold: the section ``[clients]`` of the settings."""

import typing as t

import msgspec

Share = t.Annotated[float, msgspec.Meta(gt=0, le=1)]

PipelinedMax = t.Annotated[int, msgspec.Meta(ge=4, le=64)]
"""Up to four requests may end in one part of a chunked body: with a lower limit, such
a body would never be read. 64 bounds what one connection can have parsed."""

UnreadKb = t.Annotated[int, msgspec.Meta(ge=1, le=1024)]
"""At 1 MB, a caller that does not read is disconnected."""

StallSeconds = t.Annotated[float, msgspec.Meta(gt=0, le=60)]
"""With more, stalled requests would keep all places for over a minute."""

PauseSeconds = t.Annotated[float, msgspec.Meta(ge=0.01, le=10)]
"""Shorter, the event loop would be kept busy by accepts that fail; longer, clients give
up before they are accepted."""


class ClientLimits(
    msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True
):
    """Named limits on clients; no ordinary client reaches them.

    ``memory_share``: share of the memory beyond the base that clients may hold. The
    rest is for copies while a body is passed on, answers of upstreams, and unused parts
    of allocations.
    ``descriptor_share``: share of the descriptors that are not reserved. A request that
    is passed on needs one more, for its upstream.
    ``pipelined_max``: complete requests of a connection; its further bytes stay
    unparsed.
    ``unread_kb``: KB of answers not read by the caller with which its next pipelined
    request is not started: far more than the answers that one read of a caller takes.
    ``stall_s``: seconds without progress after which a request that was not forwarded
    loses its connection to a new one if all places are taken. A caller on a slow link
    makes progress several times as often.
    ``accept_pause_s``: seconds without accepting after the system had no descriptor or
    memory left. The socket stays readable, and the event loop would spin.
    """

    memory_share: Share = 0.5
    descriptor_share: Share = 0.5
    pipelined_max: PipelinedMax = 8
    unread_kb: UnreadKb = 64
    stall_s: StallSeconds = 1.0
    accept_pause_s: PauseSeconds = 0.1


DEFAULT_LIMITS = ClientLimits()
