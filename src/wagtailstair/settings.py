"""The settings of a daemon: TOML, checked as a whole before anything starts."""

import ipaddress
import pathlib
import tomllib
import typing as t

import msgspec

from .exceptions import SettingsError

LEASE_MARGIN_S = 1.0

Seconds = t.Annotated[float, msgspec.Meta(gt=0)]
Count = t.Annotated[int, msgspec.Meta(ge=1)]
Fraction = t.Annotated[float, msgspec.Meta(ge=0, le=1)]
MAX_PORT = 65535

Port = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]


class _Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The base of every table of the file."""


class HostSection(_Section, frozen=True):
    """Who and where this daemon is."""

    name: str
    data_centre: str
    address: str
    http_port: Port
    peer_port: Port


class PlatformSection(_Section, frozen=True):
    """Where the platform's services are."""

    table: str
    hosts: str
    objects: str = ""
    weights: str = ""
    timeout_s: Seconds = 2.0
    connect_timeout_s: Seconds = 0.5
    hosts_interval_s: Seconds = 1.0
    lists_interval_s: Seconds = 1.0


class PeersSection(_Section, frozen=True):
    """The protocol between daemons.

    ``seeds``: ``ip:port`` of peers to ask first; ``key_file``: a file with the
    secret that signs datagrams; empty means that peers are not checked.
    """

    seeds: tuple[str, ...] = ()
    key_file: str = ""
    heartbeat_s: Seconds = 0.5
    dead_after_s: Seconds = 2.5


class LimitsSection(_Section, frozen=True):
    """Bounds on what the daemon takes in and holds."""

    body_bytes: Count = 1 << 20
    header_bytes: Count = 16 << 10
    open_requests: Count = 1024
    queue_length: Count = 4096
    caller_buffer_bytes: Count = 64 << 10
    response_bytes: Count = 4 << 20
    timeout_s: Seconds = 120.0
    max_timeout_s: Seconds = 3600.0
    max_tokens: Count = 4096


class RoutingSection(_Section, frozen=True):
    """Choice of upstreams, retries and ejection.

    ``retry_share``: retries over all attempts, at most; ``minimum_shares``:
    what urgent, standard and batch work keep in a flood of another.
    """

    retry_share: Fraction = 0.1
    connect_timeout_s: Seconds = 0.5
    first_token_timeout_s: Seconds = 5.0
    stall_timeout_s: Seconds = 1.5
    eject_after: Count = 3
    eject_s: Seconds = 5.0
    eject_share: Fraction = 0.5
    minimum_shares: tuple[Fraction, Fraction, Fraction] = (0.5, 0.2, 0.05)


class PlacementSection(_Section, frozen=True):
    """Orders to the engines of the data centre.

    ``hold_s``: how long a layer range has to be short of engines before an
    engine that serves another is moved; ``weights_bytes_per_s``: the rate at
    which the weight store may be asked for weights.
    """

    enabled: bool = True
    lease_s: Seconds = 10.0
    hold_s: Seconds = 30.0
    order_timeout_s: Seconds = 2.0
    weights_bytes_per_s: Seconds = 1e9


class ShutdownSection(_Section, frozen=True):
    """The steps of a graceful shutdown."""

    balancer_lag_s: t.Annotated[float, msgspec.Meta(ge=0)] = 3.0
    drain_s: Seconds = 300.0


class LogSection(_Section, frozen=True):
    """Where events go."""

    level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class Settings(_Section, frozen=True):
    """All settings of a daemon."""

    host: HostSection
    platform: PlatformSection
    peers: PeersSection = msgspec.field(default_factory=PeersSection)
    limits: LimitsSection = msgspec.field(default_factory=LimitsSection)
    routing: RoutingSection = msgspec.field(default_factory=RoutingSection)
    placement: PlacementSection = msgspec.field(default_factory=PlacementSection)
    shutdown: ShutdownSection = msgspec.field(default_factory=ShutdownSection)
    log: LogSection = msgspec.field(default_factory=LogSection)


def _check_address(settings: Settings) -> None:
    try:
        ipaddress.ip_address(settings.host.address)
    except ValueError:
        raise SettingsError(
            f"expected an IP address, got {settings.host.address!r}",
            where="host.address",
        ) from None


def _check_peers(settings: Settings) -> None:
    if settings.peers.dead_after_s <= 2 * settings.peers.heartbeat_s:
        raise SettingsError(
            "expected more than twice peers.heartbeat_s,"
            f" got {settings.peers.dead_after_s}",
            where="peers.dead_after_s",
        )


def _check_seeds(settings: Settings) -> None:
    for index, seed in enumerate(settings.peers.seeds):
        ip, _, port = seed.rpartition(":")
        try:
            ipaddress.ip_address(ip.strip("[]"))
        except ValueError:
            ip = ""
        if ip and port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT:
            continue
        raise SettingsError(
            f"expected ip:port, got {seed!r}", where=f"peers.seeds[{index}]"
        )


def _check_shares(settings: Settings) -> None:
    total = sum(settings.routing.minimum_shares)
    if total > 1:
        raise SettingsError(
            f"expected shares that add up to 1 or less, got {total:g}",
            where="routing.minimum_shares",
        )


def _check_timeouts(settings: Settings) -> None:
    if settings.limits.timeout_s > settings.limits.max_timeout_s:
        raise SettingsError(
            "expected no more than limits.max_timeout_s,"
            f" got {settings.limits.timeout_s}",
            where="limits.timeout_s",
        )


def _check_lease(settings: Settings) -> None:
    least_s = 2 * settings.placement.order_timeout_s + LEASE_MARGIN_S
    if settings.placement.lease_s < least_s:
        raise SettingsError(
            f"expected {least_s:g} or more, for an order to fit inside,"
            f" got {settings.placement.lease_s:g}",
            where="placement.lease_s",
        )


CHECKS: tuple[t.Callable[[Settings], None], ...] = (
    _check_address,
    _check_peers,
    _check_seeds,
    _check_shares,
    _check_timeouts,
    _check_lease,
)


_SettingsT = t.TypeVar("_SettingsT")


def parse_checked(
    text: str,
    source: str,
    shape: type[_SettingsT],
    checks: t.Iterable[t.Callable[[_SettingsT], None]],
) -> _SettingsT:
    """Return settings of a shape from TOML text, checked as a whole.

    :param source: the file's name, for messages.
    :raises SettingsError: naming the file, the key and what was expected.
    """
    try:
        settings = msgspec.convert(tomllib.loads(text), shape)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"not valid TOML: {error}", where=source) from error
    except msgspec.ValidationError as error:
        raise SettingsError(str(error), where=source) from error
    for check in checks:
        try:
            check(settings)
        except SettingsError as error:
            where = f"{source}: {error.where}"
            raise SettingsError(error.message, where=where) from error
    return settings


def read_text(path: pathlib.Path) -> str:
    """Return the text of a settings file.

    :raises SettingsError: if it can't be read.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't be read: {error}", where=str(path)) from error


def parse_settings(text: str, source: str = "<settings>") -> Settings:
    """Check settings from TOML text.

    :param source: the file's name, for messages.
    :raises SettingsError: naming the file, the key and what was expected.
    """
    return parse_checked(text, source, Settings, CHECKS)


def load_settings(path: pathlib.Path) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: if it can't be read or is not valid.
    """
    return parse_settings(read_text(path), str(path))
