"""What upstreams say about themselves in their answers."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class UpstreamNotice:
    """What the head of one answer says about the upstream that sent it.

    ``rate_limit``: requests a second that it takes from all hosts together, ``None``
    for no limit; ``is_leaving``: whether it says that it leaves;
    ``pause_s``: seconds for which it wants no request from this host, 0 for none.
    """

    rate_limit: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
