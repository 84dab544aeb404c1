"""The upstreams of a deployment, and when a missing one is dropped."""

import collections
import dataclasses
import math

REMEMBERED_MAX = 4096
"""Upstreams that are remembered for having said themselves that they leave, and those
that are remembered for having been removed."""


@dataclasses.dataclass(slots=True, frozen=True)
class Replica:
    """One upstream, as in its latest row of the store.

    ``incarnation``: its start time in milliseconds; ``layers``: the half-open
    range of layers that an engine holds; ``accelerator``: name of its kind.
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
        """Return the name and the incarnation: unique for each start."""
        return self.name, self.incarnation

    def holds(self, first: int, last: int) -> bool:
        """Return whether an engine holds the layers from ``first`` up to ``last``."""
        if self.layers is None:
            return False
        return self.layers[0] <= first and last <= self.layers[1]


class ReplicaSet:
    """The live upstreams, from rows of the store.

    While calls to the store fail, the rows of live upstreams lapse. A removal
    therefore takes effect only ``lapse_s`` after the last failure, unless the row
    has come back by then.

    An upstream may also say itself that it leaves. That holds for its incarnation,
    whatever its row says. An engine whose row names layers that its service's model
    does not have is not usable: another writer may have left that row.

    A row from an older copy of the store may say less than is known: it is held back
    until it is written again, or until it would have been removed again.
    """

    __slots__ = (
        "_held_back_by_name",
        "_lapse_s",
        "_layers_by_service",
        "_leaving_by_name",
        "_removal_at_by_name",
        "_removed_by_name",
        "_usable_by_service",
        "by_name",
        "generation",
    )

    def __init__(self, lapse_s: float) -> None:
        self._lapse_s = lapse_s
        self.by_name: dict[str, Replica] = {}
        self._removal_at_by_name: dict[str, float] = {}
        # Incarnations that have said themselves that they leave, the oldest first.
        self._leaving_by_name: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Incarnations that were removed, the oldest removal first.
        self._removed_by_name: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Rows that are held back, and the time until which they are.
        self._held_back_by_name: dict[str, tuple[Replica, float]] = {}
        # Layers of the models, of services that have one.
        self._layers_by_service: dict[str, int] = {}
        self.generation = 0
        # Results of usable() since the last change.
        self._usable_by_service: dict[str, tuple[Replica, ...]] = {}

    def apply_models(self, layers_by_service: dict[str, int]) -> None:
        """Apply how many layers the models of services have."""
        if layers_by_service != self._layers_by_service:
            self._layers_by_service = layers_by_service
            self._count_change()

    def put(self, replica: Replica) -> bool:
        """Add or update an upstream from its row; return whether anything changed.

        A row of an older incarnation is ignored.
        """
        current = self.by_name.get(replica.name)
        if current is not None and replica.incarnation < current.incarnation:
            return False
        self._held_back_by_name.pop(replica.name, None)
        self._removal_at_by_name.pop(replica.name, None)
        if self._leaving_by_name.get(replica.name) == replica.incarnation:
            replica = dataclasses.replace(replica, is_leaving=True)
        if current == replica:
            return False
        self.by_name[replica.name] = replica
        self._count_change()
        return True

    def contradicts(self, replica: Replica) -> bool:
        """Return whether a row is at odds with what is known of its incarnation."""
        current = self.by_name.get(replica.name)
        if current is None:
            return replica.incarnation <= self._removed_by_name.get(replica.name, -1)
        if current.incarnation != replica.incarnation or replica.is_leaving:
            return False
        return current.is_leaving or current.layers != replica.layers

    def hold_back(self, replica: Replica, until: float) -> None:
        """Apply a row at a later time, unless the upstream's row changes before."""
        self._held_back_by_name[replica.name] = replica, until

    def apply_held_back(self, now: float) -> list[Replica]:
        """Apply the rows that were held back until now; return those that changed."""
        changed = []
        for replica, until in list(self._held_back_by_name.values()):
            if now < until:
                continue
            del self._held_back_by_name[replica.name]
            if self.put(replica):
                changed.append(replica)
        return changed

    def mark_leaving(self, identity: tuple[str, int]) -> bool:
        """Apply that an upstream says that it leaves; return whether that is news."""
        name, incarnation = identity
        if self._leaving_by_name.get(name, -1) >= incarnation:
            return False
        _remember(self._leaving_by_name, identity)
        current = self.by_name.get(name)
        if current is None or current.identity != identity or current.is_leaving:
            return False
        self.by_name[name] = dataclasses.replace(current, is_leaving=True)
        self._count_change()
        return True

    def remove(self, name: str, now: float, failed_at: float) -> None:
        """Remove an upstream whose row is gone, or schedule its removal.

        :param failed_at: time of the last failed call to the store.
        """
        self._held_back_by_name.pop(name, None)
        if name not in self.by_name:
            return
        removal_at = failed_at + self._lapse_s
        if removal_at > now:
            self._removal_at_by_name.setdefault(name, removal_at)
            return
        self._drop_row(name)

    def drop_lapsed(self, now: float, *, is_store_unreachable: bool) -> list[str]:
        """Drop the upstreams whose removal is due; return their names.

        While the store is unreachable no row can come back, so the removals are
        postponed.
        """
        dropped = []
        for name, at in list(self._removal_at_by_name.items()):
            if is_store_unreachable:
                self._removal_at_by_name[name] = now + self._lapse_s
                continue
            if now >= at:
                self._drop_row(name)
                dropped.append(name)
        return dropped

    def usable(self, service: str) -> tuple[Replica, ...]:
        """Return the upstreams of a service that may get new requests.

        It is the same object until an upstream changes.
        """
        known = self._usable_by_service.get(service)
        if known is not None:
            return known
        found = []
        layers = self._layers_by_service.get(service, math.inf)
        for replica in self.by_name.values():
            if replica.service != service or replica.is_leaving:
                continue
            if replica.layers is not None and replica.layers[1] > layers:
                continue
            found.append(replica)
        usable = self._usable_by_service[service] = tuple(found)
        return usable

    def is_serving(self, identity: tuple[str, int]) -> bool:
        """Return whether this start of an upstream is live and does not leave."""
        replica = self.by_name.get(identity[0])
        if replica is None or replica.incarnation != identity[1]:
            return False
        return not replica.is_leaving

    def _drop_row(self, name: str) -> None:
        self._removal_at_by_name.pop(name, None)
        replica = self.by_name.pop(name, None)
        if replica is not None:
            _remember(self._removed_by_name, replica.identity)
            self._count_change()

    def _count_change(self) -> None:
        self.generation += 1
        self._usable_by_service.clear()


def _remember(
    incarnation_by_name: collections.OrderedDict[str, int], identity: tuple[str, int]
) -> None:
    """Remember an incarnation, and forget the oldest if there are too many."""
    name, incarnation = identity
    incarnation_by_name[name] = incarnation
    incarnation_by_name.move_to_end(name)
    if len(incarnation_by_name) > REMEMBERED_MAX:
        incarnation_by_name.popitem(last=False)
