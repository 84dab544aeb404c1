"""The upstreams that may get new requests, from the host list and other sources."""

import dataclasses
import enum
import typing as t

LEAVING_MAX = 16_384
"""Most incarnations that are remembered as leaving; the oldest are dropped."""


class UpstreamKind(enum.Enum):
    """Kind of an upstream."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(slots=True, frozen=True)
class Upstream:
    """One upstream of the host list; ``service`` is empty for an engine."""

    name: str
    kind: UpstreamKind
    service: str
    data_centre: str
    address: str
    incarnation: str


class Upstreams:
    """Live and leaving upstreams.

    An incarnation that leaves never returns: the host list lags, so an older
    version of it must not undo what another source has reported.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, Upstream] = {}
        # In the order in which they were first reported as leaving.
        self._leaving: dict[tuple[str, str], None] = {}

    def replace(self, entries: t.Iterable[tuple[Upstream, bool]]) -> list[str]:
        """Replace the host list; return the names that it no longer holds.

        :param entries: pairs of an upstream and whether it is leaving.
        """
        by_name: dict[str, Upstream] = {}
        for upstream, leaving in entries:
            by_name[upstream.name] = upstream
            if leaving:
                self.mark_leaving(upstream.name, upstream.incarnation)
        gone = [name for name in self._by_name if name not in by_name]
        self._by_name = by_name
        return gone

    def mark_leaving(self, name: str, incarnation: str) -> None:
        """Mark an incarnation of an upstream as leaving."""
        self._leaving.setdefault((name, incarnation))
        if len(self._leaving) > LEAVING_MAX:
            del self._leaving[next(iter(self._leaving))]

    def is_leaving(self, name: str) -> bool:
        """Return whether an upstream is leaving or unknown."""
        upstream = self._by_name.get(name)
        if upstream is None:
            return True
        return (name, upstream.incarnation) in self._leaving

    def get(self, name: str) -> Upstream | None:
        """Return an upstream by name."""
        return self._by_name.get(name)

    def all(self) -> list[tuple[Upstream, bool]]:
        """Return pairs of an upstream and whether it is leaving, sorted by name."""
        pairs = []
        for name in sorted(self._by_name):
            pairs.append((self._by_name[name], self.is_leaving(name)))
        return pairs

    def engines(self, data_centre: str) -> list[Upstream]:
        """Return the engines of a data centre, including those that are leaving."""
        found = []
        for upstream in self._by_name.values():
            if upstream.kind is not UpstreamKind.ENGINE:
                continue
            if upstream.data_centre == data_centre:
                found.append(upstream)
        return found

    def replicas(self, service: str) -> list[Upstream]:
        """Return the replicas of a service that may get new requests."""
        found = []
        for name, upstream in self._by_name.items():
            if upstream.kind is not UpstreamKind.SERVICE:
                continue
            if upstream.service != service or self.is_leaving(name):
                continue
            found.append(upstream)
        return found
