"""The settings of a daemon: read from TOML and validated before the start."""

import ipaddress
import pathlib
import tomllib
import typing as t

import msgspec

from .exceptions import SettingsError

# Subtracted from the end of a lease, since clocks run at different rates.
LEASE_MARGIN_S = 1.0

Seconds = t.Annotated[float, msgspec.Meta(gt=0)]
Count = t.Annotated[int, msgspec.Meta(ge=1)]
Fraction = t.Annotated[float, msgspec.Meta(ge=0, le=1)]
MAX_PORT = 65535

Port = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]


class _Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The base class of all sections of the settings file."""


class HostSection(_Section, frozen=True):
    """The name, data centre, address and ports of this daemon."""

    name: str
    data_centre: str
    address: str
    http_port: Port
    peer_port: Port


class PlatformSection(_Section, frozen=True):
    """URLs of the platform's services, with their timeouts and read intervals."""

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

    ``seeds``: ``ip:port`` of the peers to contact first; ``key_file``: a file with
    the secret that signs datagrams; if empty, peers are not authenticated.
    """

    seeds: tuple[str, ...] = ()
    key_file: str = ""
    heartbeat_s: Seconds = 0.5
    dead_after_s: Seconds = 2.5


class LimitsSection(_Section, frozen=True):
    """Limits on the sizes, numbers and timeouts of requests."""

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

    ``retry_share``: maximum ratio of retries to first attempts;
    ``minimum_shares``: shares of the capacity that are kept for urgent, standard
    and batch requests when another priority overloads the pool.
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
    """Placement of model layers on the engines of the data centre.

    ``hold_s``: how long a layer range must lack engines before an engine that
    serves another range is moved to it; ``weights_bytes_per_s``: the maximum rate
    of reads from the weight store.
    """

    enabled: bool = True
    lease_s: Seconds = 10.0
    hold_s: Seconds = 30.0
    order_timeout_s: Seconds = 2.0
    weights_bytes_per_s: Seconds = 1e9


class ShutdownSection(_Section, frozen=True):
    """Graceful shutdown.

    ``balancer_lag_s``: time until the load balancer stops sending new requests;
    ``drain_s``: time for open requests to end.
    """

    balancer_lag_s: t.Annotated[float, msgspec.Meta(ge=0)] = 3.0
    drain_s: Seconds = 300.0


class LogSection(_Section, frozen=True):
    """Logging."""

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


def _check_dead_after(settings: Settings) -> None:
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


def _check_minimum_shares(settings: Settings) -> None:
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
    minimum_s = 2 * settings.placement.order_timeout_s + LEASE_MARGIN_S
    if settings.placement.lease_s < minimum_s:
        raise SettingsError(
            f"expected {minimum_s:g} or more, so that an order fits into the lease,"
            f" got {settings.placement.lease_s:g}",
            where="placement.lease_s",
        )


CHECKS: tuple[t.Callable[[Settings], None], ...] = (
    _check_address,
    _check_dead_after,
    _check_seeds,
    _check_minimum_shares,
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
    """Return settings of type ``shape`` from TOML text, validated.

    :param source: the file's name, for error messages.
    :param checks: raise SettingsError if values do not fit together.
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
    """Return the daemon's settings from TOML text, validated.

    :param source: the file's name, for error messages.
    :raises SettingsError: naming the file, the key and what was expected.
    """
    return parse_checked(text, source, Settings, CHECKS)


def load_settings(path: pathlib.Path) -> Settings:
    """Return the daemon's settings from a file, validated.

    :raises SettingsError: if it can't be read or is not valid.
    """
    return parse_settings(read_text(path), str(path))
