"""Limits of requests a second that upstreams name, divided among the hosts.

An upstream names one limit for all hosts together. Each host keeps a token bucket for
its part. Where that would be less than a request from time to time, only some hosts,
chosen by rendezvous hashing, send requests there.
"""

import dataclasses
import random

from .rendezvous import ranked

Identity = tuple[str, int]
"""Name and incarnation of an upstream."""

HOSTS_PER_RATE = 1.5
HOSTS_MIN = 2
"""Hosts that use an upstream: so many for each request a second that it takes, and
some more. Their first requests together are no more than those of a second or two."""

BURST_S = 0.5
"""Seconds of its part that a host may send at once; one request in any case."""

FORGET_S = 120.0
"""Seconds after which a limit that is not named again is forgotten, and as many more at
random: a host that sends nothing to an upstream doesn't learn that its limit ended."""


@dataclasses.dataclass(slots=True)
class _Allowance:
    """The part of a limit that this host may use.

    ``limit``: requests a second of all hosts; ``hosts``: those that share it;
    ``rate``: requests a second of this host.
    """

    limit: float
    forget_at: float
    filled_at: float
    hosts: tuple[str, ...] = ()
    rate: float = 0.0
    tokens: float = 0.0

    @property
    def capacity(self) -> float:
        return max(1.0, self.rate * BURST_S) if self.rate > 0 else 0.0

    def fill(self, now: float) -> None:
        span_s = max(0.0, now - self.filled_at)
        self.tokens = min(self.capacity, self.tokens + span_s * self.rate)
        self.filled_at = now


class RateLimits:
    """The limits that upstreams have named to one host.

    :param host: name of this host.
    """

    __slots__ = ("_allowance_by_identity", "_host", "_rng")

    def __init__(self, host: str, rng: random.Random) -> None:
        self._host = host
        self._rng = rng
        self._allowance_by_identity: dict[Identity, _Allowance] = {}

    def limit(self, identity: Identity) -> float | None:
        """Return the limit in force at an upstream, ``None`` for none."""
        allowance = self._allowance_by_identity.get(identity)
        return None if allowance is None else allowance.limit

    def set_limit(
        self,
        identity: Identity,
        limit: float | None,
        hosts: tuple[str, ...],
        now: float,
    ) -> bool:
        """Apply the limit that an answer names, ``None`` if it names none.

        :param limit: requests a second from all hosts together.
        :param hosts: the live hosts, the same object until they change.
        :returns: whether the limit has changed.
        """
        allowance = self._allowance_by_identity.get(identity)
        if limit is None:
            return self._allowance_by_identity.pop(identity, None) is not None
        forget_at = now + FORGET_S * (1 + self._rng.random())
        if allowance is None:
            allowance = _Allowance(limit, forget_at, now)
            self._allowance_by_identity[identity] = allowance
            self._divide(identity, allowance, hosts)
            allowance.tokens = allowance.capacity
            return True
        allowance.forget_at = forget_at
        if allowance.limit == limit:
            return False
        allowance.fill(now)
        allowance.limit = limit
        self._divide(identity, allowance, hosts)
        return True

    def take(self, identity: Identity, now: float) -> None:
        """Count a request that is sent to an upstream."""
        allowance = self._allowance_by_identity.get(identity)
        if allowance is None:
            return
        allowance.fill(now)
        allowance.tokens -= 1.0

    def exhausted(self, hosts: tuple[str, ...], now: float) -> frozenset[Identity]:
        """Return the upstreams to which this host may send no request now."""
        if not self._allowance_by_identity:
            return frozenset()
        found = []
        for identity, allowance in list(self._allowance_by_identity.items()):
            if now >= allowance.forget_at:
                del self._allowance_by_identity[identity]
                continue
            allowance.fill(now)
            if allowance.hosts is not hosts:
                self._divide(identity, allowance, hosts)
            if allowance.tokens < 1.0:
                found.append(identity)
        return frozenset(found)

    def drop_gone(self, live: frozenset[Identity] | set[Identity]) -> None:
        """Drop the limits of upstreams that are not live any more."""
        for identity in list(self._allowance_by_identity):
            if identity not in live:
                del self._allowance_by_identity[identity]

    def _divide(
        self, identity: Identity, allowance: _Allowance, hosts: tuple[str, ...]
    ) -> None:
        """Set this host's part of a limit."""
        allowance.hosts = hosts
        count = min(len(hosts), int(HOSTS_PER_RATE * allowance.limit) + HOSTS_MIN)
        users = hosts
        if count < len(hosts):
            users = tuple(ranked(identity[0], hosts)[:count])
        is_user = self._host in users or not hosts
        allowance.rate = allowance.limit / max(1, count) if is_user else 0.0
        allowance.tokens = min(allowance.tokens, allowance.capacity)
