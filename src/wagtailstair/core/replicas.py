"""The upstreams of a deployment and when one of them counts as gone."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Replica:
    """One upstream as it last told of itself.

    ``incarnation``: milliseconds of its start; ``layers``: the half-open range
    that an engine holds; ``accelerator``: the name of its kind.
    """

    name: str
    service: str
    address: str
    data_centre: str
    slots: int
    is_leaving: bool
    incarnation: int
    accelerator: str = ""
    layers: tuple[int, int] | None = None

    @property
    def identity(self) -> tuple[str, int]:
        """Return what differs after each start of the upstream."""
        return self.name, self.incarnation

    def holds(self, first: int, last: int) -> bool:
        """Tell whether an engine holds the layers from ``first`` up to ``last``."""
        if self.layers is None:
            return False
        return self.layers[0] <= first and last <= self.layers[1]


class ReplicaSet:
    """The live upstreams, from rows of the store.

    While the store has trouble, the rows of live upstreams lapse. Such a
    removal takes effect only ``lapse_s`` after the trouble, if the row is not back.
    """

    __slots__ = ("_lapse_s", "_removal_at_by_name", "by_name", "generation")

    def __init__(self, lapse_s: float) -> None:
        self._lapse_s = lapse_s
        self.by_name: dict[str, Replica] = {}
        self._removal_at_by_name: dict[str, float] = {}
        self.generation = 0

    def put(self, replica: Replica) -> bool:
        """Take in a row; return whether anything changed.

        An older start of the same upstream is passed over.
        """
        known = self.by_name.get(replica.name)
        if known is not None and replica.incarnation < known.incarnation:
            return False
        self._removal_at_by_name.pop(replica.name, None)
        if known == replica:
            return False
        self.by_name[replica.name] = replica
        self.generation += 1
        return True

    def remove(self, name: str, now: float, failed_at: float) -> None:
        """Take in that a row is gone.

        :param failed_at: when a call to the store failed last.
        """
        if name not in self.by_name:
            return
        sure_at = failed_at + self._lapse_s
        if sure_at > now:
            self._removal_at_by_name.setdefault(name, sure_at)
            return
        self._drop(name)

    def drop_lapsed(self, now: float, *, is_store_unreachable: bool) -> list[str]:
        """Drop what has been missing for long enough; return the names.

        While the store is away nothing can come back, so the wait is extended.
        """
        dropped = []
        for name, at in list(self._removal_at_by_name.items()):
            if is_store_unreachable:
                self._removal_at_by_name[name] = now + self._lapse_s
                continue
            if now >= at:
                self._drop(name)
                dropped.append(name)
        return dropped

    def usable(self, service: str) -> list[Replica]:
        """Return the upstreams of a service that may get new work."""
        found = []
        for replica in self.by_name.values():
            if replica.service == service and not replica.is_leaving:
                found.append(replica)
        return found

    def _drop(self, name: str) -> None:
        self._removal_at_by_name.pop(name, None)
        if self.by_name.pop(name, None) is not None:
            self.generation += 1
