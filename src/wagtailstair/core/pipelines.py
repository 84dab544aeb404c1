"""The load on the engines of a service, and the choice of a request's pipeline.

An engine costs the seconds that it adds to the request, plus penalties for KV
memory that is nearly full. A request compares the cheapest chain of engines in its
own data centre with that in another one, drawn at random (:mod:`.engine_subsets`).
Only where no data centre has room for it, :mod:`.path_search` joins engines of
several. The head of a pipeline is its first engine.
"""

import functools
import itertools
import random
import typing as t
import zlib

from .admission.prompt_backlog import Backlog
from .directory import ModelSpec
from .engine_costs import NO_LOAD
from .engine_costs import NO_ROOM_COST_S
from .engine_costs import Demand
from .engine_costs import EngineCost
from .engine_costs import EngineUse
from .engine_costs import Load
from .engine_costs import RatedEngine
from .engine_costs import engine_key
from .engine_costs import kv_capacity
from .engine_costs import rate_engine
from .engine_costs import read_s
from .engine_costs import request_costs
from .engine_subsets import EngineSubset
from .engine_subsets import cheapest_in_subset
from .engine_subsets import divide_engines
from .path_search import REMOTE_START_COST_S
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

ROOM_SHARE_BY_RANK = (1.5, 1.3, 1.0)
"""Shares of an engine's KV memory that requests of each rank may fill. They may
exceed 1: an answer counts with its full expected length from the start, and most
engines of a path are less full than the fullest one."""

LINK_BACKLOG_S = 0.4
"""Seconds for which the prompts that have yet to pass a link may occupy it: a link
carries one transfer at a time, and one that waits longer misses its goal."""

JOIN_INTERVAL_S = 0.1
"""Shortest interval in seconds between two searches for chains over several data
centres where one of them holds the model: such a search visits all engines."""


class LoadSource(t.NamedTuple):
    """The origin of a load report: a host, or a data centre for all its hosts."""

    name: str
    is_centre: bool = False


class _Fleet(t.NamedTuple):
    """The engines of a service that hold layers, and their subsets.

    ``model`` and ``replicas``: those that were divided, the same objects.
    """

    model: ModelSpec
    replicas: t.Sequence[Replica]
    engines: list[RatedEngine]
    subsets_by_centre: dict[str, list[EngineSubset]]


@functools.cache
def link_key(link: Link) -> int:
    """Return the key of a link in the loads that hosts report."""
    return zlib.crc32(f"link {link[0]} {link[1]}".encode())


class Pipelines:
    """Tracks the load on the engines of one service and chooses pipelines.

    :param data_centre: data centre of this host, where pipelines begin if possible.
    """

    __slots__ = (
        "_data_centre",
        "_extra_loads",
        "_fleet",
        "_joined_at",
        "_load_by_link",
        "_loads_by_source",
        "_peer_load_by_key",
        "_rng",
        "use_by_identity",
    )

    def __init__(self, data_centre: str, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._fleet: _Fleet | None = None
        # Time of the last search for chains over several data centres.
        self._joined_at = float("-inf")
        self._load_by_link: dict[Link, Load] = {}
        self._extra_loads: dict[int, Load] = {}
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

    def reserve_prompt(self, hops: t.Iterable[Hop], prompt: float) -> None:
        """Add a prompt to what the engines of some hops have yet to read."""
        for hop in hops:
            self.use(hop.replica).unread += prompt * (hop.last - hop.first)

    def release_prompt(self, hops: t.Iterable[Hop], prompt: float) -> None:
        """Undo :meth:`reserve_prompt`."""
        for hop in hops:
            self.use(hop.replica).unread -= prompt * (hop.last - hop.first)

    def backlog(self, model: ModelSpec, path: Path) -> Backlog:
        """Return the longest backlogs of unread prompts on a path's engines."""
        total_s = own_s = 0.0
        for hop in path:
            use = self.use(hop.replica)
            token_s = read_s(model, hop.replica) * use.slowness / model.layers
            own_s = max(own_s, use.unread * token_s)
            total_s = max(total_s, self._total(use).unread * token_s)
        return Backlog(total_s, own_s)

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
                sum_before.unread - load.unread,
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
                loads[use.key] = Load(use.running, max(0, use.heads), held, use.unread)
        for link, load in self._load_by_link.items():
            loads[link_key(link)] = load
        loads.update(self._extra_loads)
        return loads

    def set_extra_loads(self, loads: dict[int, Load]) -> None:
        """Set further counts that are reported with the loads of this host."""
        self._extra_loads = loads

    def peer_load(self, key: int) -> Load:
        """Return what all peers have reported under a key."""
        return self._peer_load_by_key.get(key, NO_LOAD)

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
        return self._total(self.use(replica))

    def _total(self, use: EngineUse) -> Load:
        peers = self._peer_load_by_key.get(use.key, NO_LOAD)
        return Load(
            max(0, use.running) + peers.running,
            max(0, use.heads) + peers.heads,
            max(0.0, use.token_layers) + peers.token_layers,
            use.unread + peers.unread,
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
        replicas: t.Sequence[Replica],
        prompt: float,
        answer: float,
        now: float,
        avoid: t.Container[tuple[str, int]] = (),
        stalled_heads: t.Container[tuple[str, int]] = (),
        closed_heads: t.Container[tuple[str, int]] = (),
    ) -> Path | None:
        """Return a cheap pipeline for a request, ``None`` if there is none.

        :param replicas: the usable engines, the same object until they change.
        :param prompt: tokens to read.
        :param answer: expected tokens of the answer.
        :param avoid: engines that cost more because an earlier attempt used them.
        :param stalled_heads: engines that are used only where no others remain.
        :param closed_heads: engines that may get no request now; a path that begins
            at one of them has no room.
        """
        fleet = self._divide(model, replicas)
        demand = Demand(prompt, answer, now, avoid, stalled_heads, closed_heads)
        best_cost, best = self._choose_within_centre(fleet, demand)
        if best is not None:
            if best_cost < NO_ROOM_COST_S or now < self._joined_at + JOIN_INTERVAL_S:
                return best
            self._joined_at = now
        engines = self._candidates(model, fleet.engines, demand)
        link_s = self._link_costs(model, engines, prompt)
        entry = Entry(0, self._data_centre, link_s=link_s)
        return cheapest_path(model, engines, entry, prompt, answer)

    def _divide(self, model: ModelSpec, replicas: t.Sequence[Replica]) -> _Fleet:
        """Return the subsets of the engines, made anew when an engine has changed."""
        fleet = self._fleet
        if fleet is None or fleet.replicas is not replicas or fleet.model is not model:
            engines = []
            for replica in replicas:
                engine = rate_engine(model, replica, self.use(replica))
                if engine is not None:
                    engines.append(engine)
            subsets_by_centre = divide_engines(model.layers, engines, self._rng)
            fleet = self._fleet = _Fleet(model, replicas, engines, subsets_by_centre)
        return fleet

    def _choose_within_centre(
        self, fleet: _Fleet, demand: Demand
    ) -> tuple[float, Path | None]:
        """Return the cheapest pipeline that lies in one data centre, and its cost.

        More than two data centres are compared only while those have no room.
        """
        others = [name for name in fleet.subsets_by_centre if name != self._data_centre]
        self._rng.shuffle(others)
        best_cost, best = float("inf"), None
        for index, centre in enumerate((self._data_centre, *others)):
            if index > 1 and best_cost < NO_ROOM_COST_S:
                break
            subsets = fleet.subsets_by_centre.get(centre)
            if subsets is None:
                continue
            subset = subsets[0] if len(subsets) == 1 else self._rng.choice(subsets)
            costs = self._costs(fleet.model, subset.engines, demand)
            cost, path = cheapest_in_subset(subset, costs)
            if index:
                cost += REMOTE_START_COST_S
            if cost < best_cost:
                best_cost, best = cost, path
        return best_cost, best

    def _costs(
        self, model: ModelSpec, engines: t.Iterable[RatedEngine], demand: Demand
    ) -> list[EngineCost]:
        peers = self._peer_load_by_key
        return request_costs(model, engines, demand, peers, self._rng)

    def replace(
        self,
        model: ModelSpec,
        replicas: t.Sequence[Replica],
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
        fleet = self._divide(model, replicas)
        demand = Demand(prompt, answer, now, avoid)
        engines = []
        for engine in self._candidates(model, fleet.engines, demand):
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
        self, model: ModelSpec, engines: list[RatedEngine], demand: Demand
    ) -> list[Candidate]:
        """Return engines with their costs for a request."""
        costs = self._costs(model, engines, demand)
        candidates = []
        for engine, cost in zip(engines, costs, strict=True):
            candidates.append(Candidate(engine.replica, *cost))
        return candidates


def _sum_loads(one: Load, other: Load) -> Load:
    return Load(
        one.running + other.running,
        one.heads + other.heads,
        one.token_layers + other.token_layers,
        one.unread + other.unread,
    )


def unread_hops(path: Path, unread: Path, following: Path) -> Path:
    """Return the hops of a new path whose engines have yet to read a prompt.

    :param path: the path so far.
    :param unread: the hops of the path so far that have yet to read it.
    """
    remaining = []
    for hop in following:
        for earlier in path:
            is_same = earlier.replica.identity == hop.replica.identity
            covers = earlier.first <= hop.first and hop.last <= earlier.last
            if is_same and covers and earlier not in unread:
                break
        else:
            remaining.append(hop)
    return tuple(remaining)
