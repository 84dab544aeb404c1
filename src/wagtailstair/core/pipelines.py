"""The engines of a service: what runs on them, and the pipeline for a request.

The cost of an engine is the time that it adds, with its free KV memory as a
second measure. The cheapest chain of engines is that of :mod:`.shortest`.
"""

import dataclasses
import random
import typing as t
import zlib

from .directory import ModelSpec
from .path_search import Candidate
from .path_search import Entry
from .path_search import Hop as Hop
from .path_search import Path as Path
from .path_search import cheapest_path
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

ROOM_SHARES = (1.5, 1.3, 1.0)
"""Shares of an engine's KV memory that requests of each rank may fill. Answers are
counted whole from the start, and most engines of a path hold less than the fullest."""

SUSPECT_COST_S = 60.0
"""Seconds that an engine under suspicion costs: more than all else together, so
that it is taken only where no other holds its layers."""

AVOIDED_COST_S = 2.0
"""Seconds that an engine of an earlier attempt costs, where the one at fault is
not known: it may be any of the path."""

JITTER = 0.1
"""Share of a hop's cost that is random, so that hosts don't choose alike."""


HEADS_SOFT_SHARE = 0.7
"""Share of the requests that may begin at an engine above which others are
preferred: hosts learn of each other's requests half a second late."""

FULL_FILL = 10.0
"""The fill of an engine that has no KV memory at all."""


class Load(t.NamedTuple):
    """Requests on an engine, those that begin there, and KV memory in token-layers."""

    running: int
    heads: int
    token_layers: float


NO_LOAD = Load(0, 0, 0.0)


class LoadSource(t.NamedTuple):
    """Who tells of loads: a host, or a data centre for the sum of its hosts."""

    name: str
    is_centre: bool = False


@dataclasses.dataclass(slots=True)
class EngineUse:
    """What requests of this host hold on an engine.

    ``key``: names the engine and its start among hosts; ``token_layers``: KV
    memory; ``running``: requests; ``heads``: those that begin there;
    ``suspect_until``: the engine failed or stalled
    and is avoided till then.
    """

    key: int
    token_layers: float = 0.0
    running: int = 0
    heads: int = 0
    suspect_until: float = 0.0
    slowness: float = 1.0


def engine_key(replica: Replica) -> int:
    """Return a short name of an engine and its start."""
    return zlib.crc32(f"{replica.name}/{replica.incarnation}".encode())


def kv_capacity(model: ModelSpec, replica: Replica) -> float:
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

    __slots__ = (
        "_data_centre",
        "_loads_by_source",
        "_peer_load_by_key",
        "_rng",
        "use_by_identity",
    )

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._loads_by_source: dict[LoadSource, dict[int, Load]] = {}
        # Sums over all sources.
        self._peer_load_by_key: dict[int, Load] = {}
        self.use_by_identity: dict[tuple[str, int], EngineUse] = {}

    def use(self, replica: Replica) -> EngineUse:
        """Return what is known of an engine."""
        use = self.use_by_identity.get(replica.identity)
        if use is None:
            use = EngineUse(engine_key(replica))
            self.use_by_identity[replica.identity] = use
        return use

    def reserve_tokens(self, path: Path, tokens: float) -> None:
        """Count a request of some tokens on its engines."""
        for hop in path:
            use = self.use(hop.replica)
            use.running += 1
            use.heads += hop is path[0]
            use.token_layers += tokens * (hop.last - hop.first)

    def release_tokens(self, path: Path, tokens: float) -> None:
        """Undo :meth:`take`."""
        for hop in path:
            use = self.use(hop.replica)
            use.running -= 1
            use.heads -= hop is path[0]
            use.token_layers -= tokens * (hop.last - hop.first)

    def set_peer_loads(self, source: LoadSource, loads: dict[int, Load]) -> None:
        """Take what a source tells of engines, in place of what it told before."""
        self.drop_peer_loads(source)
        self._loads_by_source[source] = loads
        for key, load in loads.items():
            known = self._peer_load_by_key.get(key, NO_LOAD)
            self._peer_load_by_key[key] = _add(known, load)

    def drop_peer_loads(self, source: LoadSource) -> None:
        """Drop what a source has told."""
        for key, load in self._loads_by_source.pop(source, {}).items():
            known = self._peer_load_by_key[key]
            left = Load(
                known.running - load.running,
                known.heads - load.heads,
                known.token_layers - load.token_layers,
            )
            if left.running > 0:
                self._peer_load_by_key[key] = left
                continue
            del self._peer_load_by_key[key]

    def own_loads(self) -> dict[int, Load]:
        """Return what requests of this host hold, by engine."""
        loads = {}
        for use in self.use_by_identity.values():
            if use.running > 0:
                held = max(0.0, use.token_layers)
                loads[use.key] = Load(use.running, max(0, use.heads), held)
        return loads

    def data_centre_loads(self) -> dict[int, Load]:
        """Return what requests of this data centre's hosts hold, by engine."""
        sums = self.own_loads()
        for source, loads in self._loads_by_source.items():
            if source.is_centre:
                continue
            for key, load in loads.items():
                sums[key] = _add(sums.get(key, NO_LOAD), load)
        return sums

    def total(self, replica: Replica) -> Load:
        """Return what requests of all hosts hold on an engine."""
        use = self.use(replica)
        peers = self._peer_load_by_key.get(use.key, NO_LOAD)
        return Load(
            max(0, use.running) + peers.running,
            max(0, use.heads) + peers.heads,
            max(0.0, use.token_layers) + peers.token_layers,
        )

    def has_room(self, model: ModelSpec, path: Path, tokens: float, rank: int) -> bool:
        """Tell whether all engines of a path have room for some tokens.

        The less urgent a request is, the more room it leaves for others.
        """
        share = ROOM_SHARES[min(rank, len(ROOM_SHARES) - 1)]
        first = path[0].replica
        if self.total(first).heads >= min(1.0, share) * first.slots:
            return False
        for hop in path:
            held = self.total(hop.replica).token_layers
            wanted = held + tokens * (hop.last - hop.first)
            if wanted > share * kv_capacity(model, hop.replica):
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
        start = 0 if head is None else head.last
        engines = []
        for replica in replicas:
            if replica.layers is None or replica.layers[1] <= start:
                continue
            if head is not None and replica.identity == head.replica.identity:
                continue
            if replica.accelerator not in model.accelerator_by_name:
                continue
            load = self.total(replica)
            seconds, fixed = self._costs(model, replica, load, prompt, answer)
            if self.use(replica).suspect_until > now:
                fixed += SUSPECT_COST_S
            if replica.identity in avoid:
                fixed += AVOIDED_COST_S
            engines.append(
                Candidate(replica, seconds, fixed, _head_cost(replica, load))
            )
        centre = self._data_centre if head is None else head.replica.data_centre
        entry = Entry(start, centre, is_begun=head is not None)
        path = cheapest_path(model, engines, entry, prompt, answer)
        if path is None or head is None:
            return path
        return (head, *path)

    def _costs(
        self,
        model: ModelSpec,
        replica: Replica,
        load: Load,
        prompt: float,
        answer: float,
    ) -> tuple[float, float]:
        """Return the seconds that a layer costs on an engine, and those of the hop."""
        kind = model.accelerator_by_name[replica.accelerator]
        use = self.use(replica)
        step = (model.step_s + model.sequence_s * load.running) * kind.step_factor
        read = kind.prefill_factor / model.read_tokens_per_s
        seconds = (answer * step + prompt * read) * use.slowness / model.layers
        seconds *= 1 + JITTER * self._rng.random()
        room = kv_capacity(model, replica)
        assert replica.layers is not None
        wanted = (prompt + answer) * (replica.layers[1] - replica.layers[0])
        fill = (load.token_layers + wanted) / room if room > 0 else FULL_FILL
        fixed = answer * EVENTLESS_HOP_S
        if fill > 1.0:
            fixed += FULL_COST_S
        elif fill > KV_SOFT_SHARE:
            fixed += KV_COST_S * (fill - KV_SOFT_SHARE)
        return seconds, fixed


def _head_cost(replica: Replica, load: Load) -> float:
    """Return the seconds that it costs to begin at an engine, over those of a hop."""
    fill = (load.heads + 1) / max(1, replica.slots)
    if fill > 1.0:
        return FULL_COST_S
    return KV_COST_S * max(0.0, fill - HEADS_SOFT_SHARE)


def _add(one: Load, other: Load) -> Load:
    return Load(
        one.running + other.running,
        one.heads + other.heads,
        one.token_layers + other.token_layers,
    )
