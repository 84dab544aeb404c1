"""Assignment of layer ranges to engines.

Every data centre should hold each layer at least once, with memory for requests
beside the weights; the remaining engines hold layers a second time. An engine
that holds layers is moved only to close a gap in its data centre.
"""

import dataclasses
import itertools
import typing as t

from .directory import ModelSpec
from .replicas import Replica

SPARE_SHARE = 0.15
"""Share of the model's layers that a data centre holds a second time."""

ROOM_STEP = 0.9
"""Factor by which the room for KV memory is reduced until the model fits."""

ROOM_TOKENS_MAX = 125_000.0
ROOM_TOKENS_MIN = 2_000.0
"""Bounds of the room for KV memory beside the weights, in tokens: for a hundred
requests, as many as may begin at one engine, and for one large request."""

FIRST_LAYER_ENGINES = 2
"""Engines of a data centre that should hold the first layer: the number of requests
that may begin at one engine is limited."""


@dataclasses.dataclass(slots=True, frozen=True)
class LayerAssignment:
    """An engine and the layers from ``first`` up to ``last`` that it is to hold."""

    replica: Replica
    first: int
    last: int


def layers_for(model: ModelSpec, accelerator: str, room_tokens: float) -> int:
    """Return how many layers an engine can hold beside KV memory for some tokens.

    At least one layer if its weights alone fit into the engine's memory.
    """
    accelerator_kind = model.accelerator_by_name.get(accelerator)
    if accelerator_kind is None:
        return 0
    kv_mb = model.kv_bytes / model.layers * room_tokens / 1e6
    most = int(accelerator_kind.memory_mb // model.layer_weights_mb)
    needed = int(accelerator_kind.memory_mb / (model.layer_weights_mb + kv_mb))
    return max(0, min(max(needed, 1), most, model.layers))


def room_for(model: ModelSpec, accelerators: t.Sequence[str]) -> float:
    """Return the most KV tokens with which engines still hold the model and spares.

    More room lets more requests run at once; more spare layers tolerate more lost
    engines.
    """
    needed = model.layers * (1 + SPARE_SHARE)
    room = ROOM_TOKENS_MAX
    while room > ROOM_TOKENS_MIN:
        held = sum(layers_for(model, name, room) for name in accelerators)
        if held >= needed:
            return room
        room *= ROOM_STEP
    return ROOM_TOKENS_MIN


def load_time_s(model: ModelSpec, assignment: LayerAssignment, at_once: int) -> float:
    """Return the seconds that an engine needs to load what it doesn't hold yet.

    :param at_once: number of loads in progress with this one.
    """
    held = assignment.replica.layers or (0, 0)
    kept = min(assignment.last, held[1]) - max(assignment.first, held[0])
    missing = assignment.last - assignment.first - max(0, kept)
    crowding = at_once / model.loads_at_once if model.loads_at_once else 1.0
    return model.load_s * missing / model.layers * max(1.0, crowding)


def plan_layers(
    model: ModelSpec,
    replicas: t.Iterable[Replica],
    range_by_identity: t.Mapping[tuple[str, int], tuple[int, int]],
    reserved: t.Container[tuple[str, int]] = (),
) -> list[LayerAssignment]:
    """Return assignments for the engines that hold no layers.

    :param range_by_identity: ranges that have already been ordered.
    :param reserved: engines that stay empty unless their data centre has a gap.
    """
    copies_anywhere = [0] * model.layers
    by_centre: dict[str, list[int]] = {}
    empty: list[tuple[int, Replica]] = []
    ends_by_centre: dict[str, set[int]] = {}
    staying = [replica for replica in replicas if not replica.is_leaving]
    room_by_centre = _room_by_centre(model, staying)
    for replica in staying:
        copies = by_centre.setdefault(replica.data_centre, [0] * model.layers)
        ends = ends_by_centre.setdefault(replica.data_centre, {0})
        held = replica.layers or range_by_identity.get(replica.identity)
        if held is None:
            room = room_by_centre[replica.data_centre]
            size = layers_for(model, replica.accelerator, room)
            if size:
                empty.append((size, replica))
            continue
        _count_range(held, copies, copies_anywhere, ends)
    empty.sort(key=lambda entry: (-entry[0], entry[1].name))
    assignments = []
    for size, replica in empty:
        copies = by_centre[replica.data_centre]
        ends = ends_by_centre[replica.data_centre]
        if replica.identity in reserved and 0 not in copies:
            continue
        if 0 not in copies and copies[0] < FIRST_LAYER_ENGINES:
            first = 0
        else:
            first = _best_start(model.layers, size, copies, copies_anywhere, ends)
        held = (first, first + size)
        _count_range(held, copies, copies_anywhere, ends)
        assignments.append(LayerAssignment(replica, *held))
    return assignments


def plan_repairs(
    model: ModelSpec,
    replicas: t.Iterable[Replica],
    range_by_identity: t.Mapping[tuple[str, int], tuple[int, int]],
) -> list[LayerAssignment]:
    """Return one move for each data centre that lacks layers.

    The move is the one that leaves the fewest layers uncovered. A data centre
    gets none while one of its engines is empty or has an order in progress.
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
    copies = [0] * model.layers
    for replica in engines:
        for layer in range(*t.cast("tuple[int, int]", replica.layers)):
            copies[layer] += 1
    fewest_uncovered = copies.count(0)
    if not fewest_uncovered or fewest_uncovered > model.layers // 2:
        return None
    best: LayerAssignment | None = None
    gaps = [layer for layer in range(model.layers) if not copies[layer]]
    for replica in sorted(engines, key=lambda engine: engine.name):
        first, last = t.cast("tuple[int, int]", replica.layers)
        size = last - first
        for layer in range(first, last):
            copies[layer] -= 1
        uncovered = copies.count(0)
        for start in _candidate_starts(gaps, size, model.layers):
            uncovered_after = uncovered - copies[start : start + size].count(0)
            if uncovered_after < fewest_uncovered:
                fewest_uncovered = uncovered_after
                best = LayerAssignment(replica, start, start + size)
        for layer in range(first, last):
            copies[layer] += 1
    return best


def _candidate_starts(gaps: list[int], size: int, layers: int) -> list[int]:
    """Return the starts at which a range of a size begins or ends with a gap."""
    starts = {min(gaps[0], layers - size), max(0, gaps[-1] + 1 - size)}
    for before, after in itertools.pairwise(gaps):
        if after > before + 1:
            starts.add(min(after, layers - size))
            starts.add(max(0, before + 1 - size))
    return sorted(starts)


def _room_by_centre(
    model: ModelSpec, replicas: t.Iterable[Replica]
) -> dict[str, float]:
    accelerators_by_centre: dict[str, list[str]] = {}
    for replica in replicas:
        names = accelerators_by_centre.setdefault(replica.data_centre, [])
        names.append(replica.accelerator)
    rooms = {}
    for centre, names in accelerators_by_centre.items():
        rooms[centre] = room_for(model, names)
    return rooms


def _count_range(
    held: tuple[int, int], copies: list[int], copies_anywhere: list[int], ends: set[int]
) -> None:
    for layer in range(*held):
        copies[layer] += 1
        copies_anywhere[layer] += 1
    ends.update(held)


def _best_start(
    layers: int,
    size: int,
    copies: list[int],
    copies_anywhere: list[int],
    ends: set[int],
) -> int:
    """Return the start at which a range adds most redundancy.

    The copies in this data centre count first, those anywhere break ties.
    """
    starts = {end for end in ends if end + size <= layers}
    starts.update(end - size for end in ends if end >= size)
    starts.add(layers - size)
    best = 0
    best_value = (-1.0, -1.0)
    for start in sorted(starts):
        local_value = sum(4.0 ** -copies[layer] for layer in range(start, start + size))
        overall_value = sum(
            4.0 ** -copies_anywhere[layer] for layer in range(start, start + size)
        )
        if (local_value, overall_value) > best_value:
            best, best_value = start, (local_value, overall_value)
    return best
