"""The settings of a gateway: TOML, checked as a whole before anything starts."""

import ipaddress
import pathlib
import typing as t

import msgspec

from ..exceptions import SettingsError
from ..settings import parse_checked
from ..settings import read_text

Seconds = t.Annotated[float, msgspec.Meta(gt=0)]
Fraction = t.Annotated[float, msgspec.Meta(ge=0, le=1)]
MAX_PORT = 65535


class _Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The base of every table of the file."""


class HostSection(_Section, frozen=True):
    """Who and where this host is.

    ``callers`` and ``readiness`` are ``ip:port``; ``peer_ports`` the first and
    last port for hosts among themselves; ``metrics_port`` 0 for none.
    """

    name: str
    data_centre: str
    address: str
    callers: str
    readiness: str
    peer_ports: tuple[int, int]
    metrics_port: int = 0


class StoreSection(_Section, frozen=True):
    """Where the platform's store is and what all hosts may ask of it.

    ``lapse_s``: how long after the store's return the rows of live upstreams
    may still be missing. They are back in about 2 s; an upstream that left may
    get nothing from 2 s after its removal on, so that less is waited.
    """

    address: str
    reads_per_s: float
    writes_per_s: float
    lapse_s: Seconds = 1.6


class RetriesSection(_Section, frozen=True):
    """The budget of repeats that all hosts share, per service.

    ``ratio``: repeats over requests in ``window_s``; ``slack``: beside these.
    """

    ratio: Fraction
    slack: t.Annotated[float, msgspec.Meta(ge=0)]
    window_s: Seconds


class ShutdownSection(_Section, frozen=True):
    """``grace_s``: from the signal to the end of the process by force."""

    grace_s: Seconds


class LogSection(_Section, frozen=True):
    """What is logged; ``lines_per_s``: of one event, in the long run."""

    lines_per_s: Seconds = 50.0
    level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class GatewaySettings(_Section, frozen=True):
    """All settings of a gateway."""

    host: HostSection
    store: StoreSection
    retries: RetriesSection
    shutdown: ShutdownSection
    log: LogSection = msgspec.field(default_factory=LogSection)


def parse_address(text: str, where: str) -> tuple[str, int]:
    """Return the IP address and port of ``ip:port``.

    :raises SettingsError: naming the place and the value.
    """
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip)
        number = int(port)
    except ValueError:
        number = 0
    if not 0 < number <= MAX_PORT:
        raise SettingsError(f"expected ip:port, got {text!r}", where=where)
    return ip, number


def _check(settings: GatewaySettings) -> None:
    parse_address(settings.host.callers, "host.callers")
    parse_address(settings.host.readiness, "host.readiness")
    parse_address(settings.store.address, "store.address")
    first, last = settings.host.peer_ports
    if not 0 < first <= last <= MAX_PORT:
        raise SettingsError(
            f"expected a first and a last port, got {first}, {last}",
            where="host.peer_ports",
        )


def parse_settings(text: str, source: str = "<settings>") -> GatewaySettings:
    """Check settings from TOML text.

    :raises SettingsError: naming the file, the key and what was expected.
    """
    return parse_checked(text, source, GatewaySettings, (_check,))


def load_settings(path: pathlib.Path) -> GatewaySettings:
    """Read and check a settings file.

    :raises SettingsError: if it can't be read or is not valid.
    """
    return parse_settings(read_text(path), str(path))
