"""The upstreams that may get new work, from every source that speaks of them."""

import dataclasses
import enum
import typing as t

LEAVING_MAX = 16_384
"""Incarnations that are remembered as leaving; the oldest are forgotten."""


class UpstreamKind(enum.Enum):
    """What an upstream is."""

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

    Leaving is sticky for an incarnation: the host list lags, so an older
    answer of it must not bring back what another source saw leaving.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, Upstream] = {}
        # Ordered by when each was first seen leaving.
        self._leaving: dict[tuple[str, str], None] = {}

    def replace(self, entries: t.Iterable[tuple[Upstream, bool]]) -> list[str]:
        """Take the host list, pairs of upstream and leaving; return names gone."""
        by_name: dict[str, Upstream] = {}
        for upstream, leaving in entries:
            by_name[upstream.name] = upstream
            if leaving:
                self.mark_leaving(upstream.name, upstream.incarnation)
        gone = [name for name in self._by_name if name not in by_name]
        self._by_name = by_name
        return gone

    def mark_leaving(self, name: str, incarnation: str) -> None:
        """Note that this incarnation of an upstream leaves."""
        self._leaving.setdefault((name, incarnation))
        if len(self._leaving) > LEAVING_MAX:
            del self._leaving[next(iter(self._leaving))]

    def is_leaving(self, name: str) -> bool:
        """Tell whether an upstream leaves or is unknown."""
        upstream = self._by_name.get(name)
        if upstream is None:
            return True
        return (name, upstream.incarnation) in self._leaving

    def get(self, name: str) -> Upstream | None:
        """Return an upstream by name."""
        return self._by_name.get(name)

    def all(self) -> list[tuple[Upstream, bool]]:
        """Return pairs of upstream and leaving, by name."""
        pairs = []
        for name in sorted(self._by_name):
            pairs.append((self._by_name[name], self.is_leaving(name)))
        return pairs

    def engines(self, data_centre: str) -> list[Upstream]:
        """Return the engines of a data centre, leaving ones too."""
        found = []
        for upstream in self._by_name.values():
            if upstream.kind is not UpstreamKind.ENGINE:
                continue
            if upstream.data_centre == data_centre:
                found.append(upstream)
        return found

    def replicas(self, service: str) -> list[Upstream]:
        """Return the replicas of a service that may get new work."""
        found = []
        for name, upstream in self._by_name.items():
            if upstream.kind is not UpstreamKind.SERVICE:
                continue
            if upstream.service != service or self.is_leaving(name):
                continue
            found.append(upstream)
        return found
