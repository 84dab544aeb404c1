"""What each engine costs a request, from its speed, its load and its health."""

import dataclasses
import random
import typing as t
import zlib

from .directory import ModelSpec
from .replicas import Replica

HOP_QUEUEING_S = 0.0004
"""Seconds of queueing that a hop adds to each decoding step."""

KV_SOFT_SHARE = 0.6
"""Share of an engine's KV memory above which other engines are preferred."""

KV_FILL_COST_S = 10.0
"""Penalty in seconds for each unit of fill above the soft share. A full engine
costs more than a crossing between data centres, so that the KV memory of all data
centres is used before any is full."""

NO_ROOM_COST_S = 30.0
"""Penalty in seconds for an engine without room: it would refuse the request."""

SUSPECT_COST_S = 60.0
"""Penalty in seconds for a suspected engine: more than all other costs together,
so that it is used only where no other engine holds its layers."""

AVOIDED_COST_S = 2.0
"""Penalty in seconds for an engine of an earlier attempt that failed without
naming the faulty engine: it may be any engine of the path."""

COST_JITTER_SHARE = 0.1
"""Largest random share added to an engine's time, so that hosts don't all choose
the same engine."""

HEADS_SOFT_SHARE = 0.7
"""Share of an engine's slots that requests beginning there may take before other
engines are preferred: hosts learn of each other's requests half a second late."""

NO_KV_FILL = 10.0
"""Fill assumed for an engine without any KV memory."""


BACKLOG_COST_MAX_S = 10.0
"""Most seconds that a backlog costs: less than an engine without room."""


class Load(t.NamedTuple):
    """The load on one engine.

    ``running``: requests; ``heads``: requests that begin there;
    ``token_layers``: KV memory in use; ``unread``: token-layers of prompts that were
    sent and whose first event has not come. For a link between data centres,
    ``running``: requests whose prompt has yet to pass it; ``token_layers``: tokens of
    the prompts.
    """

    running: int
    heads: int
    token_layers: float
    unread: float = 0.0


NO_LOAD = Load(0, 0, 0.0)


@dataclasses.dataclass(slots=True)
class EngineUse:
    """What requests of this host hold on an engine, and its observed health.

    ``key``: identifies one incarnation of the engine in messages between hosts;
    ``token_layers``: KV memory in use; ``running``: requests; ``heads``: requests
    that begin there; ``unread``: token-layers of prompts without a first event;
    ``suspect_until``: the engine failed or stalled and is avoided until then;
    ``slowness``: factor on the engine's expected time.
    """

    key: int
    token_layers: float = 0.0
    running: int = 0
    heads: int = 0
    unread: float = 0.0
    suspect_until: float = 0.0
    slowness: float = 1.0


def engine_key(replica: Replica) -> int:
    """Return the key of one incarnation of an engine."""
    return zlib.crc32(f"{replica.name}/{replica.incarnation}".encode())


def kv_capacity(model: ModelSpec, replica: Replica) -> float:
    """Return the token-layers that fit into an engine's memory beside its weights."""
    accelerator = model.accelerator_by_name.get(replica.accelerator)
    if accelerator is None or replica.layers is None:
        return 0.0
    held = replica.layers[1] - replica.layers[0]
    free_mb = accelerator.memory_mb - held * model.layer_weights_mb
    return max(0.0, free_mb * 1e6 / (model.kv_bytes / model.layers))


def read_s(model: ModelSpec, replica: Replica) -> float:
    """Return the seconds in which an engine reads a token in all layers, 0 if unknown.

    ``prefill_tokens_per_s`` is that of an accelerator with the factor 1.
    """
    accelerator = model.accelerator_by_name.get(replica.accelerator)
    if accelerator is None:
        return 0.0
    return accelerator.prefill_factor / model.prefill_tokens_per_s


@dataclasses.dataclass(slots=True, frozen=True)
class RatedEngine:
    """An engine with the figures that its costs depend on.

    ``step_factor``: on the times of a decoding step; ``read_s``: seconds to read a
    token, in all layers; ``held``: layers that it holds; ``capacity``: token-layers
    that its KV memory takes.
    """

    replica: Replica
    identity: tuple[str, int]
    use: EngineUse
    step_factor: float
    read_s: float
    held: int
    capacity: float


class EngineCost(t.NamedTuple):
    """What an engine costs a request.

    ``layer_s``: seconds for each layer; ``hop_s``: seconds for the hop; ``head_s``:
    further seconds if the engine is the first of the pipeline.
    """

    layer_s: float
    hop_s: float
    head_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """A request as far as the costs of engines depend on it.

    ``prompt``: tokens to read; ``answer``: expected tokens of the answer; ``avoid``:
    engines that an earlier attempt used; ``stalled_heads``: engines that are used
    only where no others remain; ``closed_heads``: engines that may get no request now.
    """

    prompt: float
    answer: float
    now: float
    avoid: t.Container[tuple[str, int]] = ()
    stalled_heads: t.Container[tuple[str, int]] = ()
    closed_heads: t.Container[tuple[str, int]] = ()


def rate_engine(
    model: ModelSpec, replica: Replica, use: EngineUse
) -> RatedEngine | None:
    """Return an engine with its figures, ``None`` if it can't serve the model."""
    accelerator = model.accelerator_by_name.get(replica.accelerator)
    if accelerator is None or replica.layers is None:
        return None
    return RatedEngine(
        replica,
        replica.identity,
        use,
        accelerator.step_factor,
        read_s(model, replica),
        replica.layers[1] - replica.layers[0],
        kv_capacity(model, replica),
    )


def request_costs(
    model: ModelSpec,
    engines: t.Iterable[RatedEngine],
    demand: Demand,
    peer_load_by_key: t.Mapping[int, Load],
    rng: random.Random,
) -> list[EngineCost]:
    """Return what each engine costs a request, in the order of the engines."""
    tokens = demand.prompt + demand.answer
    queueing_s = demand.answer * HOP_QUEUEING_S
    costs = []
    for engine in engines:
        use = engine.use
        running, heads, token_layers, unread = peer_load_by_key.get(use.key, NO_LOAD)
        running += max(0, use.running)
        token_layers += max(0.0, use.token_layers)
        step_s = (model.step_s + model.sequence_s * running) * engine.step_factor
        layer_s = demand.answer * step_s + demand.prompt * engine.read_s
        layer_s *= use.slowness * (1 + COST_JITTER_SHARE * rng.random()) / model.layers
        unread += use.unread
        hop_s = queueing_s
        if unread:
            backlog_s = unread * engine.read_s * use.slowness / model.layers
            hop_s += min(BACKLOG_COST_MAX_S, backlog_s)
        needed = token_layers + tokens * engine.held
        if needed > engine.capacity:
            hop_s += NO_ROOM_COST_S
        elif needed > KV_SOFT_SHARE * engine.capacity:
            hop_s += KV_FILL_COST_S * (needed / engine.capacity - KV_SOFT_SHARE)
        if use.suspect_until > demand.now or engine.identity in demand.stalled_heads:
            hop_s += SUSPECT_COST_S
        if engine.identity in demand.avoid:
            hop_s += AVOIDED_COST_S
        head_s = 0.0
        fill = (heads + use.heads + 1) / max(1, engine.replica.slots)
        if fill > 1.0 or engine.identity in demand.closed_heads:
            head_s = NO_ROOM_COST_S
        elif fill > HEADS_SOFT_SHARE:
            head_s = KV_FILL_COST_S * (fill - HEADS_SOFT_SHARE)
        costs.append(EngineCost(layer_s, hop_s, head_s))
    return costs
