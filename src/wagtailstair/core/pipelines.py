"""The load on the engines of a service, and the choice of a request's pipeline.

An engine costs the seconds that it adds to the request, plus penalties for KV
memory that is nearly full. :mod:`.path_search` finds the cheapest chain of engines.
The head of a pipeline is its first engine.
"""

import dataclasses
import functools
import itertools
import random
import typing as t
import zlib

from .directory import ModelSpec
from .path_search import Candidate
from .path_search import Entry
from .path_search import Hop as Hop
from .path_search import Link
from .path_search import Path as Path
from .path_search import cheapest_path
from .path_search import crossed_links as crossed_links
from .path_search import merge_hops
from .path_search import transfer_s
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

ROOM_SHARE_BY_RANK = (1.5, 1.3, 1.0)
"""Shares of an engine's KV memory that requests of each rank may fill. They may
exceed 1: an answer counts with its full expected length from the start, and most
engines of a path are less full than the fullest one."""

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

LINK_BACKLOG_S = 0.4
"""Seconds for which the prompts that have yet to pass a link may occupy it: a link
carries one transfer at a time, and one that waits longer misses its goal."""

NO_KV_FILL = 10.0
"""Fill assumed for an engine without any KV memory."""


class Load(t.NamedTuple):
    """The load on one engine.

    ``running``: requests; ``heads``: requests that begin there;
    ``token_layers``: KV memory in use. For a link between data centres, ``running``:
    requests whose prompt has yet to pass it; ``token_layers``: tokens of the prompts.
    """

    running: int
    heads: int
    token_layers: float


NO_LOAD = Load(0, 0, 0.0)


class LoadSource(t.NamedTuple):
    """The origin of a load report: a host, or a data centre for all its hosts."""

    name: str
    is_centre: bool = False


@dataclasses.dataclass(slots=True)
class EngineUse:
    """What requests of this host hold on an engine, and its observed health.

    ``key``: identifies one incarnation of the engine in messages between hosts;
    ``token_layers``: KV memory in use; ``running``: requests; ``heads``: requests
    that begin there; ``suspect_until``: the engine failed or stalled and is
    avoided until then; ``slowness``: factor on the engine's expected time.
    """

    key: int
    token_layers: float = 0.0
    running: int = 0
    heads: int = 0
    suspect_until: float = 0.0
    slowness: float = 1.0


def engine_key(replica: Replica) -> int:
    """Return the key of one incarnation of an engine."""
    return zlib.crc32(f"{replica.name}/{replica.incarnation}".encode())


@functools.cache
def link_key(link: Link) -> int:
    """Return the key of a link in the loads that hosts report."""
    return zlib.crc32(f"link {link[0]} {link[1]}".encode())


def kv_capacity(model: ModelSpec, replica: Replica) -> float:
    """Return the token-layers that fit into an engine's memory beside its weights."""
    accelerator = model.accelerator_by_name.get(replica.accelerator)
    if accelerator is None or replica.layers is None:
        return 0.0
    held = replica.layers[1] - replica.layers[0]
    free_mb = accelerator.memory_mb - held * model.layer_weights_mb
    return max(0.0, free_mb * 1e6 / (model.kv_bytes / model.layers))


class Pipelines:
    """Tracks the load on the engines of one service and chooses pipelines.

    :param data_centre: data centre of this host, where pipelines begin if possible.
    """

    __slots__ = (
        "_data_centre",
        "_load_by_link",
        "_loads_by_source",
        "_peer_load_by_key",
        "_rng",
        "use_by_identity",
    )

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._load_by_link: dict[Link, Load] = {}
        self._loads_by_source: dict[LoadSource, dict[int, Load]] = {}
        # The sum of the loads of all sources.
        self._peer_load_by_key: dict[int, Load] = {}
        self.use_by_identity: dict[tuple[str, int], EngineUse] = {}

    def use(self, replica: Replica) -> EngineUse:
        """Return the use of an engine; create it on first access."""
        use = self.use_by_identity.get(replica.identity)
        if use is None:
            use = EngineUse(engine_key(replica))
            self.use_by_identity[replica.identity] = use
        return use

    def reserve_tokens(self, path: Path, tokens: float) -> None:
        """Add a request's tokens to the load of each engine of its path."""
        for hop in path:
            use = self.use(hop.replica)
            use.running += 1
            use.heads += hop is path[0]
            use.token_layers += tokens * (hop.last - hop.first)

    def release_tokens(self, path: Path, tokens: float) -> None:
        """Undo :meth:`reserve_tokens`."""
        for hop in path:
            use = self.use(hop.replica)
            use.running -= 1
            use.heads -= hop is path[0]
            use.token_layers -= tokens * (hop.last - hop.first)

    def reserve_links(self, path: Path, prompt: float) -> None:
        """Add a prompt to the load of each link that it has yet to pass."""
        for link in crossed_links(path):
            held = self._load_by_link.get(link, NO_LOAD)
            self._load_by_link[link] = _sum_loads(held, Load(1, 0, prompt))

    def release_links(self, path: Path, prompt: float) -> None:
        """Undo :meth:`reserve_links`."""
        for link in crossed_links(path):
            held = _sum_loads(self._load_by_link[link], Load(-1, 0, -prompt))
            if held.running > 0:
                self._load_by_link[link] = held
                continue
            del self._load_by_link[link]

    def set_peer_loads(self, source: LoadSource, loads: dict[int, Load]) -> None:
        """Replace the loads that a source reported before."""
        self.drop_peer_loads(source)
        self._loads_by_source[source] = loads
        for key, load in loads.items():
            sum_before = self._peer_load_by_key.get(key, NO_LOAD)
            self._peer_load_by_key[key] = _sum_loads(sum_before, load)

    def drop_peer_loads(self, source: LoadSource) -> None:
        """Drop the loads that a source reported."""
        for key, load in self._loads_by_source.pop(source, {}).items():
            sum_before = self._peer_load_by_key[key]
            remaining = Load(
                sum_before.running - load.running,
                sum_before.heads - load.heads,
                sum_before.token_layers - load.token_layers,
            )
            if remaining.running > 0:
                self._peer_load_by_key[key] = remaining
                continue
            del self._peer_load_by_key[key]

    def own_loads(self) -> dict[int, Load]:
        """Return the loads of this host's requests by key of an engine or link."""
        loads = {}
        for use in self.use_by_identity.values():
            if use.running > 0:
                held = max(0.0, use.token_layers)
                loads[use.key] = Load(use.running, max(0, use.heads), held)
        for link, load in self._load_by_link.items():
            loads[link_key(link)] = load
        return loads

    def data_centre_loads(self) -> dict[int, Load]:
        """Return the loads of all requests of this data centre, by key."""
        sums = self.own_loads()
        for source, loads in self._loads_by_source.items():
            if source.is_centre:
                continue
            for key, load in loads.items():
                sums[key] = _sum_loads(sums.get(key, NO_LOAD), load)
        return sums

    def total(self, replica: Replica) -> Load:
        """Return the load of the requests of all hosts on an engine."""
        use = self.use(replica)
        peers = self._peer_load_by_key.get(use.key, NO_LOAD)
        return Load(
            max(0, use.running) + peers.running,
            max(0, use.heads) + peers.heads,
            max(0.0, use.token_layers) + peers.token_layers,
        )

    def has_room(self, model: ModelSpec, path: Path, tokens: float, rank: int) -> bool:
        """Return whether all engines of a path have room for a request's tokens.

        Less urgent requests may fill less of an engine's memory.
        """
        share = ROOM_SHARE_BY_RANK[min(rank, len(ROOM_SHARE_BY_RANK) - 1)]
        first = path[0].replica
        if self.total(first).heads >= min(1.0, share) * first.slots:
            return False
        for hop in path:
            held = self.total(hop.replica).token_layers
            needed = held + tokens * (hop.last - hop.first)
            if needed > share * kv_capacity(model, hop.replica):
                return False
        return self.has_link_room(model, path, tokens)

    def has_link_room(self, model: ModelSpec, path: Path, tokens: float) -> bool:
        """Return whether a request's tokens may pass the links of a path now."""
        for link in crossed_links(path):
            if self._link_fill(model, link, tokens) > 1.0:
                return False
        return True

    def _link_fill(self, model: ModelSpec, link: Link, tokens: float) -> float:
        """Return the share of a link's largest backlog with some more tokens.

        An idle link takes a request of any size.
        """
        own = self._load_by_link.get(link, NO_LOAD).token_layers
        peers = self._peer_load_by_key.get(link_key(link), NO_LOAD).token_layers
        if own + peers <= 0:
            return 0.0
        return transfer_s(model, own + peers + tokens) / LINK_BACKLOG_S

    def _link_costs(
        self, model: ModelSpec, engines: list[Candidate], prompt: float
    ) -> dict[Link, float]:
        """Return what the load on the links between some engines costs a request."""
        centres = {engine.replica.data_centre for engine in engines}
        costs = {}
        for link in itertools.combinations(sorted(centres), 2):
            if self._link_fill(model, link, prompt) > 1.0:
                costs[link] = NO_ROOM_COST_S
        return costs

    def suspect(self, replica: Replica, until: float) -> None:
        """Avoid an engine until the given time."""
        use = self.use(replica)
        use.suspect_until = max(use.suspect_until, until)

    def drop_gone(self, live: t.Container[tuple[str, int]]) -> None:
        """Drop the engines that are not live and run no request of this host."""
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
    ) -> Path | None:
        """Return the cheapest pipeline for a request, ``None`` if there is none.

        :param prompt: tokens to read.
        :param answer: expected tokens of the answer.
        :param avoid: engines that cost more because an earlier attempt used them.
        """
        engines = self._candidates(model, replicas, prompt, answer, now, avoid)
        link_s = self._link_costs(model, engines, prompt)
        entry = Entry(0, self._data_centre, link_s=link_s)
        return cheapest_path(model, engines, entry, prompt, answer)

    def replace(
        self,
        model: ModelSpec,
        replicas: t.Iterable[Replica],
        prompt: float,
        answer: float,
        now: float,
        path: Path,
        lost: Replica,
        avoid: t.Container[tuple[str, int]] = (),
    ) -> Path | None:
        """Return a running request's pipeline without an engine, ``None`` for none.

        The first engine stays, and so do the others unless they are suspected or no
        longer hold their layers: a new engine has to read all tokens of the request.

        :param path: the pipeline that runs the request.
        :param lost: one of its engines, not the first.
        """
        usable = list(replicas)
        engines = []
        for engine in self._candidates(model, usable, prompt, answer, now, avoid):
            if engine.replica.identity != path[0].replica.identity:
                engines.append(engine)
        link_s = self._link_costs(model, engines, prompt)
        hops = [path[0]]
        for following in (*self._staying_hops(path, lost, usable, now), None):
            end = model.layers if following is None else following.first
            if hops[-1].last < end:
                centre = hops[-1].replica.data_centre
                entry = Entry(hops[-1].last, centre, is_begun=True, link_s=link_s)
                part = cheapest_path(model, engines, entry, prompt, answer, end)
                if part is None:
                    return None
                hops.extend(part)
            if following is not None:
                hops.append(following)
        return merge_hops(hops)

    def _staying_hops(
        self, path: Path, lost: Replica, usable: list[Replica], now: float
    ) -> list[Hop]:
        """Return the hops after the first whose engines can stay in a path."""
        usable_by_identity = {replica.identity: replica for replica in usable}
        staying = []
        for hop in path[1:]:
            replica = usable_by_identity.get(hop.replica.identity)
            if replica is None or replica.identity == lost.identity:
                continue
            if self.use(replica).suspect_until > now:
                continue
            if replica.holds(hop.first, hop.last):
                staying.append(hop)
        return staying

    def _candidates(
        self,
        model: ModelSpec,
        replicas: t.Iterable[Replica],
        prompt: float,
        answer: float,
        now: float,
        avoid: t.Container[tuple[str, int]],
    ) -> list[Candidate]:
        """Return the engines that hold layers, with their costs for a request."""
        engines = []
        for replica in replicas:
            if replica.layers is None:
                continue
            if replica.accelerator not in model.accelerator_by_name:
                continue
            load = self.total(replica)
            layer_s, hop_s = self._layer_and_hop_s(model, replica, load, prompt, answer)
            if self.use(replica).suspect_until > now:
                hop_s += SUSPECT_COST_S
            if replica.identity in avoid:
                hop_s += AVOIDED_COST_S
            engines.append(Candidate(replica, layer_s, hop_s, _head_s(replica, load)))
        return engines

    def _layer_and_hop_s(
        self,
        model: ModelSpec,
        replica: Replica,
        load: Load,
        prompt: float,
        answer: float,
    ) -> tuple[float, float]:
        """Return an engine's cost in seconds for each layer and for the hop."""
        kind = model.accelerator_by_name[replica.accelerator]
        use = self.use(replica)
        step = (model.step_s + model.sequence_s * load.running) * kind.step_factor
        read = kind.prefill_factor / model.prefill_tokens_per_s
        layer_s = (answer * step + prompt * read) * use.slowness / model.layers
        layer_s *= 1 + COST_JITTER_SHARE * self._rng.random()
        capacity = kv_capacity(model, replica)
        assert replica.layers is not None
        needed = (prompt + answer) * (replica.layers[1] - replica.layers[0])
        fill = (load.token_layers + needed) / capacity if capacity > 0 else NO_KV_FILL
        hop_s = answer * HOP_QUEUEING_S
        if fill > 1.0:
            hop_s += NO_ROOM_COST_S
        elif fill > KV_SOFT_SHARE:
            hop_s += KV_FILL_COST_S * (fill - KV_SOFT_SHARE)
        return layer_s, hop_s


def _head_s(replica: Replica, load: Load) -> float:
    """Return the seconds that an engine costs as a head, on top of its hop."""
    fill = (load.heads + 1) / max(1, replica.slots)
    if fill > 1.0:
        return NO_ROOM_COST_S
    return KV_FILL_COST_S * max(0.0, fill - HEADS_SOFT_SHARE)


def _sum_loads(one: Load, other: Load) -> Load:
    return Load(
        one.running + other.running,
        one.heads + other.heads,
        one.token_layers + other.token_layers,
    )
