"""Which layers each engine is to hold.

Every data centre should hold each layer at least once, with room for requests
beside the weights; what is left covers layers a second time. An engine that
holds layers is moved only to close a gap of its data centre.
"""

import dataclasses
import itertools
import typing as t

from .directory import ModelSpec
from .replicas import Replica

SPARE_SHARE = 0.15
"""Layers that a data centre holds a second time, over those of the model."""

ROOM_STEP = 0.9
ROOM_TOKENS_MAX = 125_000.0
ROOM_TOKENS_MIN = 2_000.0
"""Bounds of the room beside the weights, in tokens: that of a hundred requests, as
many as may begin at one engine, and that of a single large one."""

HEADS_WANTED = 2
"""Engines of a data centre that hold the first layer: each takes only so many
requests that begin there."""


@dataclasses.dataclass(slots=True, frozen=True)
class LayerAssignment:
    """An order to hold the layers from ``first`` up to ``last``."""

    replica: Replica
    first: int
    last: int


def layers_for(model: ModelSpec, accelerator: str, room_tokens: float) -> int:
    """Return how many layers an engine holds with room for some tokens beside.

    Never more than its memory takes.
    """
    kind = model.accelerator_by_name.get(accelerator)
    if kind is None:
        return 0
    kv_mb = model.kv_bytes / model.layers * room_tokens / 1e6
    most = int(kind.memory_mb // model.layer_weights_mb)
    wanted = int(kind.memory_mb / (model.layer_weights_mb + kv_mb))
    return max(0, min(max(wanted, 1), most, model.layers))


def room_for(model: ModelSpec, accelerators: t.Sequence[str]) -> float:
    """Return the largest room with which engines hold the model and a spare part.

    More room lets more requests run at once; more layers survive more losses.
    """
    wanted = model.layers * (1 + SPARE_SHARE)
    room = ROOM_TOKENS_MAX
    while room > ROOM_TOKENS_MIN:
        held = sum(layers_for(model, name, room) for name in accelerators)
        if held >= wanted:
            return room
        room *= ROOM_STEP
    return ROOM_TOKENS_MIN


def plan_layers(
    model: ModelSpec,
    replicas: t.Iterable[Replica],
    range_by_identity: t.Mapping[tuple[str, int], tuple[int, int]],
    reserved: t.Container[tuple[str, int]] = (),
) -> list[LayerAssignment]:
    """Return the orders for the engines that hold nothing.

    :param range_by_identity: ranges that were ordered already.
    :param reserved: engines that are kept empty unless a gap needs them.
    """
    total = [0] * model.layers
    by_centre: dict[str, list[int]] = {}
    empty: list[tuple[int, Replica]] = []
    ends_by_centre: dict[str, set[int]] = {}
    staying = [replica for replica in replicas if not replica.is_leaving]
    room_by_centre = _rooms(model, staying)
    for replica in staying:
        cover = by_centre.setdefault(replica.data_centre, [0] * model.layers)
        ends = ends_by_centre.setdefault(replica.data_centre, {0})
        held = replica.layers or range_by_identity.get(replica.identity)
        if held is None:
            room = room_by_centre[replica.data_centre]
            size = layers_for(model, replica.accelerator, room)
            if size:
                empty.append((size, replica))
            continue
        _add(held, cover, total, ends)
    empty.sort(key=lambda entry: (-entry[0], entry[1].name))
    orders = []
    for size, replica in empty:
        cover = by_centre[replica.data_centre]
        ends = ends_by_centre[replica.data_centre]
        if replica.identity in reserved and 0 not in cover:
            continue
        if 0 not in cover and cover[0] < HEADS_WANTED:
            first = 0
        else:
            first = _best_start(model.layers, size, cover, total, ends)
        held = (first, first + size)
        _add(held, cover, total, ends)
        orders.append(LayerAssignment(replica, *held))
    return orders


def plan_repairs(
    model: ModelSpec,
    replicas: t.Iterable[Replica],
    range_by_identity: t.Mapping[tuple[str, int], tuple[int, int]],
) -> list[LayerAssignment]:
    """Return one move for each data centre that lacks layers.

    The engine is moved that leaves the fewest layers uncovered. A data centre
    in which a move or a load is under way gets none.
    """
    by_centre: dict[str, list[Replica]] = {}
    busy: set[str] = set()
    for replica in replicas:
        if replica.is_leaving:
            continue
        by_centre.setdefault(replica.data_centre, []).append(replica)
        if replica.identity in range_by_identity or replica.layers is None:
            busy.add(replica.data_centre)
    moves = []
    for centre, engines in by_centre.items():
        if centre in busy:
            continue
        move = _best_move(model, engines)
        if move is not None:
            moves.append(move)
    return moves


def _best_move(model: ModelSpec, engines: list[Replica]) -> LayerAssignment | None:
    cover = [0] * model.layers
    for replica in engines:
        for layer in range(*t.cast("tuple[int, int]", replica.layers)):
            cover[layer] += 1
    fewest = cover.count(0)
    if not fewest or fewest > model.layers // 2:
        return None
    best: LayerAssignment | None = None
    gaps = [layer for layer in range(model.layers) if not cover[layer]]
    for replica in sorted(engines, key=lambda engine: engine.name):
        first, last = t.cast("tuple[int, int]", replica.layers)
        size = last - first
        for layer in range(first, last):
            cover[layer] -= 1
        bare = cover.count(0)
        for start in _starts_over(gaps, size, model.layers):
            left = bare - cover[start : start + size].count(0)
            if left < fewest:
                fewest = left
                best = LayerAssignment(replica, start, start + size)
        for layer in range(first, last):
            cover[layer] += 1
    return best


def _starts_over(gaps: list[int], size: int, layers: int) -> list[int]:
    """Return where a range may begin so that it begins or ends with a gap."""
    starts = {min(gaps[0], layers - size), max(0, gaps[-1] + 1 - size)}
    for before, after in itertools.pairwise(gaps):
        if after > before + 1:
            starts.add(min(after, layers - size))
            starts.add(max(0, before + 1 - size))
    return sorted(starts)


def _rooms(model: ModelSpec, replicas: t.Iterable[Replica]) -> dict[str, float]:
    accelerators_by_centre: dict[str, list[str]] = {}
    for replica in replicas:
        names = accelerators_by_centre.setdefault(replica.data_centre, [])
        names.append(replica.accelerator)
    rooms = {}
    for centre, names in accelerators_by_centre.items():
        rooms[centre] = room_for(model, names)
    return rooms


def _add(
    held: tuple[int, int], cover: list[int], total: list[int], ends: set[int]
) -> None:
    for layer in range(*held):
        cover[layer] += 1
        total[layer] += 1
    ends.update(held)


def _best_start(
    layers: int, size: int, cover: list[int], total: list[int], ends: set[int]
) -> int:
    """Return where a range helps most: few engines here first, then anywhere."""
    starts = {end for end in ends if end + size <= layers}
    starts.update(end - size for end in ends if end >= size)
    starts.add(layers - size)
    best = 0
    best_value = (-1.0, -1.0)
    for start in sorted(starts):
        here = sum(4.0 ** -cover[layer] for layer in range(start, start + size))
        anywhere = sum(4.0 ** -total[layer] for layer in range(start, start + size))
        if (here, anywhere) > best_value:
            best, best_value = start, (here, anywhere)
    return best
