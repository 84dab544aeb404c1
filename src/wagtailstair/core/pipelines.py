"""The choice of a pipeline: which engines run which layers of a request.

A request takes every layer once, in order. Among the engines that hold a layer
the cheapest chain is found by dynamic programming over the layers at which
ranges begin and end. The cost of a hop is the time that it adds, with the
engine's free KV memory as a second measure.
"""

import dataclasses
import random
import typing as t

from .directory import ModelSpec
from .replicas import Replica

EVENTLESS_HOP_S = 0.0004
"""Seconds of queueing that each further hop adds to a pass, from bench runs."""

KV_SOFT_SHARE = 0.6
"""Share of an engine's KV memory above which others are preferred."""

KV_COST_S = 10.0
"""Seconds that a full KV memory costs, beside a half full one: more than a
crossing, so that the memory of all data centres is used before any is full."""

FULL_COST_S = 30.0
"""Seconds that an engine without room costs: it would refuse the request."""

ROOM_SHARES = (1.1, 0.95, 0.8)
"""Shares of an engine's KV memory that requests of each rank may fill. Answers are
counted whole, so that a tenth and more of them is not written yet."""

REMOTE_START_COST_S = 0.5
"""Seconds that a pipeline wholly in another data centre costs: only the request
and its events pass between the two, a thousandth of what activations take."""

CROSSING_COST_S = 3.0
"""Seconds that a crossing in the middle of a pipeline costs: all activations pass
the one pipe between two data centres, one transfer after the other."""

SUSPECT_COST_S = 60.0
"""Seconds that an engine under suspicion costs: more than all else together, so
that it is taken only where no other holds its layers."""

AVOIDED_COST_S = 2.0
"""Seconds that an engine of an earlier attempt costs, where the one at fault is
not known: it may be any of the path."""

JITTER = 0.1
"""Share of a hop's cost that is random, so that hosts don't choose alike."""


@dataclasses.dataclass(slots=True, frozen=True)
class Hop:
    """The layers from ``first`` up to ``last`` on one engine."""

    replica: Replica
    first: int
    last: int


Path = tuple[Hop, ...]


@dataclasses.dataclass(slots=True)
class EngineUse:
    """What requests of this host hold on an engine.

    ``token_layers``: KV memory; ``running``: requests; ``suspect_until``: the
    engine failed or stalled and is avoided till then; ``was_told``: peers have
    heard of requests on it.
    """

    token_layers: float = 0.0
    running: int = 0
    suspect_until: float = 0.0
    slowness: float = 1.0
    was_told: bool = False


def kv_room(model: ModelSpec, replica: Replica) -> float:
    """Return the token-layers that an engine has room for beside its weights."""
    accelerator = model.accelerator_by_name.get(replica.accelerator)
    if accelerator is None or replica.layers is None:
        return 0.0
    held = replica.layers[1] - replica.layers[0]
    free_mb = accelerator.memory_mb - held * model.layer_weights_mb
    return max(0.0, free_mb * 1e6 / (model.kv_bytes / model.layers))


class Pipelines:
    """The engines of one service and what this host has running on them.

    :param data_centre: that of this host, where pipelines begin if they can.
    """

    __slots__ = ("_data_centre", "_peer_use", "_rng", "use_by_identity")

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        # By engine, then by host: requests and token-layers.
        self._peer_use: dict[str, dict[str, tuple[int, float]]] = {}
        self.use_by_identity: dict[tuple[str, int], EngineUse] = {}

    def use(self, replica: Replica) -> EngineUse:
        """Return what is known of an engine."""
        use = self.use_by_identity.get(replica.identity)
        if use is None:
            use = self.use_by_identity[replica.identity] = EngineUse()
        return use

    def take(self, path: Path, tokens: float) -> None:
        """Count a request of some tokens on its engines."""
        for hop in path:
            use = self.use(hop.replica)
            use.running += 1
            use.token_layers += tokens * (hop.last - hop.first)

    def give_back(self, path: Path, tokens: float) -> None:
        """Undo :meth:`take`."""
        for hop in path:
            use = self.use(hop.replica)
            use.running -= 1
            use.token_layers -= tokens * (hop.last - hop.first)

    def note_peer(
        self, host: str, engine: str, running: int, token_layers: float
    ) -> None:
        """Take what a peer has running on an engine."""
        self._peer_use.setdefault(engine, {})[host] = (running, token_layers)

    def forget_peer(self, host: str) -> None:
        """Drop what a peer had running."""
        for by_host in self._peer_use.values():
            by_host.pop(host, None)

    def total(self, replica: Replica) -> tuple[int, float]:
        """Return the requests and token-layers of all hosts on an engine."""
        use = self.use(replica)
        running, held = max(0, use.running), max(0.0, use.token_layers)
        for peer_running, peer_held in self._peer_use.get(replica.name, {}).values():
            running += peer_running
            held += peer_held
        return running, held

    def has_room(self, model: ModelSpec, path: Path, tokens: float, rank: int) -> bool:
        """Tell whether all engines of a path have room for some tokens.

        The less urgent a request is, the more room it leaves for others.
        """
        share = ROOM_SHARES[min(rank, len(ROOM_SHARES) - 1)]
        for hop in path:
            _, held = self.total(hop.replica)
            wanted = held + tokens * (hop.last - hop.first)
            if wanted > share * kv_room(model, hop.replica):
                return False
        return True

    def suspect(self, replica: Replica, until: float) -> None:
        """Avoid an engine for a while."""
        use = self.use(replica)
        use.suspect_until = max(use.suspect_until, until)

    def forget(self, live: t.Container[tuple[str, int]]) -> None:
        """Drop the engines that are gone and have nothing running."""
        for identity, use in list(self.use_by_identity.items()):
            if identity not in live and use.running <= 0:
                del self.use_by_identity[identity]

    def choose(
        self,
        model: ModelSpec,
        replicas: t.Iterable[Replica],
        prompt: float,
        answer: float,
        now: float,
        avoid: t.Container[tuple[str, int]] = (),
        head: Hop | None = None,
    ) -> Path | None:
        """Return the cheapest pipeline for a request, ``None`` if there is none.

        :param prompt: tokens to read; ``answer``: tokens expected; ``avoid``:
            engines that are taken only where no others hold their layers;
            ``head``: the first hop, if it is given.
        """
        engines = []
        start = 0 if head is None else head.last
        centre = self._data_centre if head is None else head.replica.data_centre
        for replica in replicas:
            if replica.layers is None:
                continue
            if head is not None and replica.identity == head.replica.identity:
                continue
            if replica.accelerator not in model.accelerator_by_name:
                continue
            seconds, fill = self._layer_cost(model, replica, prompt, answer)
            fixed = answer * EVENTLESS_HOP_S
            if fill > 1.0:
                fixed += FULL_COST_S
            elif fill > KV_SOFT_SHARE:
                fixed += KV_COST_S * (fill - KV_SOFT_SHARE)
            if self.use(replica).suspect_until > now:
                fixed += SUSPECT_COST_S
            if replica.identity in avoid:
                fixed += AVOIDED_COST_S
            engines.append(_Engine(replica, seconds, fixed))
        origin = (start, centre)
        path = _shortest(model, engines, origin, prompt, answer)
        if path is None or head is None:
            return path
        return (head, *path)

    def _layer_cost(
        self, model: ModelSpec, replica: Replica, prompt: float, answer: float
    ) -> tuple[float, float]:
        """Return seconds a layer, and how full the engine's KV memory would be."""
        kind = model.accelerator_by_name[replica.accelerator]
        use = self.use(replica)
        running, held = self.total(replica)
        step = (model.step_s + model.sequence_s * running) * kind.step_factor
        read = kind.prefill_factor / model.read_tokens_per_s
        seconds = (answer * step + prompt * read) * use.slowness / model.layers
        seconds *= 1 + JITTER * self._rng.random()
        room = kv_room(model, replica)
        assert replica.layers is not None
        wanted = (prompt + answer) * (replica.layers[1] - replica.layers[0])
        fill = (held + wanted) / room if room > 0 else 10.0
        return seconds, fill


@dataclasses.dataclass(slots=True)
class _Step:
    """The cheapest way to a layer in a data centre, and its last hop."""

    cost: float
    hop: Hop | None
    before: "_Step | None"
    data_centre: str


class _Search:
    """Cheapest chains from a layer on, by the layer reached and data centre."""

    __slots__ = ("_answer", "_model", "_transfer_s", "steps_by_layer")

    def __init__(
        self, model: ModelSpec, origin: tuple[int, str], prompt: float, answer: float
    ) -> None:
        self._model = model
        self._answer = answer
        self._transfer_s = 0.0
        if model.pipe_bytes_per_s > 0:
            sent = prompt * model.hidden_bytes
            self._transfer_s = sent / model.pipe_bytes_per_s
        layer, centre = origin
        self.steps_by_layer: dict[int, dict[str, _Step]] = {
            layer: {centre: _Step(0.0, None, None, centre)}
        }

    def extend(self, layer: int, engine: "_Engine", ends: list[int]) -> None:
        """Try all hops of an engine that begin at a layer."""
        replica = engine.replica
        centre = replica.data_centre
        for before in list(self.steps_by_layer[layer].values()):
            base = before.cost + engine.fixed_s
            if before.data_centre != centre and before.hop is None and layer == 0:
                base += REMOTE_START_COST_S
            elif before.data_centre != centre:
                base += self._crossing_s(before.data_centre, centre)
            for end in ends:
                cost = base + engine.layer_s * (end - layer)
                steps = self.steps_by_layer.setdefault(end, {})
                known = steps.get(centre)
                if known is None or cost < known.cost:
                    hop = Hop(replica, layer, end)
                    steps[centre] = _Step(cost, hop, before, centre)

    def _crossing_s(self, before: str, after: str) -> float:
        delay_s = self._model.delay_s_by_centres.get((before, after), 0.0)
        return CROSSING_COST_S + self._transfer_s + self._answer * delay_s


@dataclasses.dataclass(slots=True)
class _Engine:
    """An engine's cost for a request, in seconds a layer and for the hop."""

    replica: Replica
    layer_s: float
    fixed_s: float


def _shortest(
    model: ModelSpec,
    engines: list[_Engine],
    origin: tuple[int, str],
    prompt: float,
    answer: float,
) -> Path | None:
    """Return the cheapest chain from a layer and data centre to the last layer."""
    bounds = {origin[0], model.layers}
    for engine in engines:
        bounds.update(engine.replica.layers or ())
    search = _Search(model, origin, prompt, answer)
    ordered = sorted(bound for bound in bounds if bound >= origin[0])
    for layer in ordered[:-1]:
        if layer not in search.steps_by_layer:
            continue
        for engine in engines:
            first, last = t.cast("tuple[int, int]", engine.replica.layers)
            if first <= layer < last:
                ends = [bound for bound in ordered if layer < bound <= last]
                search.extend(layer, engine, ends)
    steps = search.steps_by_layer.get(model.layers)
    if not steps:
        return None
    return _walk_back(min(steps.values(), key=lambda step: step.cost))


def _walk_back(last: _Step) -> Path:
    hops: list[Hop] = []
    step: _Step | None = last
    while step is not None:
        if step.hop is not None:
            hops.append(step.hop)
        step = step.before
    hops.reverse()
    return _merge(hops)


def _merge(hops: list[Hop]) -> Path:
    """Give each engine one part: what lies between two of its parts, too."""
    merged: list[Hop] = []
    for hop in hops:
        for index, earlier in enumerate(merged):
            if earlier.replica is hop.replica:
                del merged[index:]
                hop = Hop(hop.replica, earlier.first, hop.last)
                break
        merged.append(hop)
    return tuple(merged)
