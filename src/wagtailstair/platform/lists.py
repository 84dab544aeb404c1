"""Decodes the platform's lists of routes, services and accounts into a directory."""

import typing as t

import msgspec

from ..core.directory import Accelerator
from ..core.directory import Account
from ..core.directory import CallerLimits
from ..core.directory import Directory
from ..core.directory import ModelSpec
from ..core.directory import Route
from ..core.directory import RouteKind
from ..core.directory import Service
from ..exceptions import ListsError

TABLE = "op"
KEY = "config"

S_PER_MS = 1e-3
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1e6


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    # The response-time goal.
    aim_ms: float = 0.0
    # Maximum number of upstreams that one request may be sent to.
    attempts: int = 1
    priority: int = 0
    service: str | None = None
    split: list[_Split] | None = None
    anonymous: bool = False
    can_resume: bool = False
    gap_target_ms: float = 0.0


class _Kind(msgspec.Struct):
    name: str
    megabytes: float
    # Multiplies the times of steps. In an engine's report, the same name is the
    # engine's slowness.
    pace: float
    read_factor: float


class _Delay(msgspec.Struct):
    # Names of two data centres; elsewhere, ``from`` and ``target`` are layers.
    origin: str = msgspec.field(name="from")
    target: str
    delay_ms: float


class _Model(msgspec.Struct):
    # Seconds to load the whole model.
    load_s: float = 0.0


class _Usual(msgspec.Struct):
    # Mean number of tokens of an answer.
    answer: float


class _Engine(msgspec.Struct):
    kv_token_bytes: float
    step_ms: float
    per_seq_ms: float
    # Tokens per second, whereas the data sheets have tokens per millisecond.
    read_per_s: float
    layers: int
    layer_mb: float
    activation_bytes: float
    kinds: list[_Kind]
    usual: _Usual
    delays: list[_Delay] = []
    pipe_mbps: float = 0.0
    models: list[_Model] = []
    # Loads of all engines together, beyond which each takes proportionally longer.
    loads_at_once: int = 0


class _Service(msgspec.Struct):
    name: str
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] = []


_DECODER = msgspec.json.Decoder(_Config)


def _bytes_per_s(megabits_per_s: float) -> float:
    return megabits_per_s * BITS_PER_MEGABIT / BITS_PER_BYTE


def _model(engine: _Engine) -> ModelSpec:
    delays: dict[tuple[str, str], float] = {}
    for delay in engine.delays:
        delays[delay.origin, delay.target] = delay.delay_ms * S_PER_MS
        delays[delay.target, delay.origin] = delay.delay_ms * S_PER_MS
    kinds: dict[str, Accelerator] = {}
    for kind in engine.kinds:
        kinds[kind.name] = Accelerator(
            kind.name, kind.megabytes, kind.pace, kind.read_factor
        )
    return ModelSpec(
        layers=engine.layers,
        layer_weights_mb=engine.layer_mb,
        kv_bytes=engine.kv_token_bytes,
        hidden_bytes=engine.activation_bytes,
        step_s=engine.step_ms * S_PER_MS,
        sequence_s=engine.per_seq_ms * S_PER_MS,
        prefill_tokens_per_s=engine.read_per_s,
        typical_output_tokens=engine.usual.answer,
        link_bytes_per_s=_bytes_per_s(engine.pipe_mbps),
        delay_s_by_centres=delays,
        accelerator_by_name=kinds,
        load_s=max((model.load_s for model in engine.models), default=0.0),
        loads_at_once=engine.loads_at_once,
    )


def _route(route: _Route) -> Route:
    targets: tuple[tuple[str, float], ...] = ()
    if route.split:
        targets = tuple((part.service, part.weight) for part in route.split)
    elif route.service is not None:
        targets = ((route.service, 1.0),)
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        kind=RouteKind(route.kind),
        timeout_s=route.timeout_ms * S_PER_MS,
        goal_s=route.aim_ms * S_PER_MS,
        attempts=route.attempts,
        rank=route.priority,
        targets=targets,
        is_anonymous=route.anonymous,
        is_resumable=route.can_resume,
        gap_s=route.gap_target_ms * S_PER_MS,
    )


def _service(service: _Service, routes: list[Route]) -> Service:
    engine = service.engine
    ranks = set()
    for route in routes:
        if any(name == service.name for name, _ in route.targets):
            ranks.add(route.rank)
    return Service(
        service.name,
        _model(engine) if engine is not None else None,
        min(ranks) if len(ranks) > 1 else None,
    )


def decode_directory(value: bytes) -> Directory:
    """Decode the directory from a row's value.

    :raises ListsError: if the value does not hold valid lists.
    """
    try:
        config = _DECODER.decode(value)
        account_by_key: dict[str, Account] = {}
        for tenant in config.tenants:
            account = Account(tenant.name, tenant.priority)
            for key in tenant.api_keys:
                account_by_key[key] = account
        limits = config.limits
        routes = [_route(route) for route in config.routes]
        return Directory(
            config.version,
            routes,
            [_service(service, routes) for service in config.services],
            account_by_key,
            CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_ms * S_PER_MS,
                limits.idle_timeout_ms * S_PER_MS,
            ),
            needs_keys=bool(config.tenants),
        )
    except (
        msgspec.MsgspecError,
        ValueError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise ListsError(f"invalid lists: {error}", where=f"{TABLE}/{KEY}") from error


def is_directory_row(table: str, key: t.Any) -> bool:
    """Return whether a row holds the lists."""
    return table == TABLE and key == KEY
