"""The routes, services, accounts and limits of one version of the lists."""

import dataclasses
import enum
import typing as t


class RouteKind(enum.Enum):
    """The kind of a route, which decides whether its requests may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(slots=True, frozen=True)
class Accelerator:
    """A type of accelerator.

    ``step_factor`` and ``prefill_factor`` scale the model's times for decoding
    and for prefill.
    """

    name: str
    memory_mb: float
    step_factor: float
    prefill_factor: float


@dataclasses.dataclass(slots=True, frozen=True)
class ModelSpec:
    """The model that a service's engines run, with times for the whole model.

    ``kv_bytes``: KV cache of one token in all layers; ``hidden_bytes``: hidden
    state of one token sent between two engines; ``step_s`` and ``sequence_s``:
    decode step, fixed and per running sequence; ``prefill_tokens_per_s``: prefill
    rate; ``typical_output_tokens``: output tokens of a typical request;
    ``link_bytes_per_s``: bandwidth between two data centres; ``load_s``: seconds to
    load all weights; ``loads_at_once``: loads beyond which each takes longer, 0 for
    no such limit.
    """

    layers: int
    layer_weights_mb: float
    kv_bytes: float
    hidden_bytes: float
    step_s: float
    sequence_s: float
    prefill_tokens_per_s: float
    typical_output_tokens: float
    link_bytes_per_s: float
    delay_s_by_centres: dict[tuple[str, str], float]
    accelerator_by_name: dict[str, Accelerator]
    load_s: float = 0.0
    loads_at_once: int = 0


@dataclasses.dataclass(slots=True, frozen=True)
class Service:
    """A group of upstreams; ``model`` is set if they are model engines.

    ``urgent_rank``: the most urgent rank of its routes, ``None`` if all have the same.
    """

    name: str
    model: ModelSpec | None
    urgent_rank: int | None = None


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """The routing of requests for one host and path prefix.

    ``goal_s``: target response time; ``rank``: 0 is the most urgent;
    ``targets``: services with their weights; ``gap_s``: target for the longest
    pause between events of a stream, 0 for none.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    goal_s: float
    attempts: int
    rank: int
    targets: tuple[tuple[str, float], ...]
    is_anonymous: bool = False
    is_resumable: bool = False
    gap_s: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """A customer; ``rank``, if set, takes precedence over that of the route."""

    name: str
    rank: int | None


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the size of a request and on pauses of the caller.

    ``header_s``: longest time for a head, and longest pause within a body;
    ``idle_s``: longest pause between two requests.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_s: float = 3.0
    idle_s: float = 15.0


class Denial(enum.Enum):
    """Why a request is not allowed."""

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """The route and account of an allowed request, by one version of the lists."""

    route: Route
    account: Account | None
    version: int

    @property
    def rank(self) -> int:
        """Return the rank of the request; 0 is the most urgent."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank


class Directory:
    """Lookup of routes, services and accounts in one version of the lists."""

    __slots__ = (
        "_prefixes_by_host",
        "account_by_key",
        "limits",
        "needs_keys",
        "service_by_name",
        "version",
    )

    def __init__(
        self,
        version: int,
        routes: t.Iterable[Route],
        services: t.Iterable[Service],
        account_by_key: dict[str, Account],
        limits: CallerLimits,
        *,
        needs_keys: bool,
    ) -> None:
        self.version = version
        self.limits = limits
        self.account_by_key = account_by_key
        self.needs_keys = needs_keys
        self.service_by_name = {service.name: service for service in services}
        self._prefixes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._prefixes_by_host.setdefault(route.host, {})[route.prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, if there is one."""
        by_prefix = self._prefixes_by_host.get(host)
        if by_prefix is None:
            return None
        # Prefixes start and end with a slash: try those of the path, longest first.
        end = path.rfind("/")
        while end >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def authorize(self, host: str, path: str, key: str | None) -> Grant | Denial:
        """Return the route and account of a request, or why it is denied.

        :param path: the path without the query.
        """
        route = self.find_route(host, path)
        if route is None:
            return Denial.NO_ROUTE
        account = self.account_by_key.get(key) if key is not None else None
        if account is None and self.needs_keys and not route.is_anonymous:
            return Denial.UNKNOWN_KEY
        return Grant(route, account, self.version)
