"""The settings of a gateway: a TOML file, validated before anything starts."""

import ipaddress
import pathlib
import typing as t

import msgspec

from ..core.admission.client_limits import DEFAULT_LIMITS
from ..core.admission.client_limits import ClientLimits
from ..exceptions import SettingsError
from ..settings import parse_checked
from ..settings import read_text

Seconds = t.Annotated[float, msgspec.Meta(gt=0)]
Fraction = t.Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = t.Annotated[int, msgspec.Meta(ge=0)]
MAX_PORT = 65535


class _Section(msgspec.Struct, forbid_unknown_fields=True, kw_only=True, frozen=True):
    """The base class of all tables of the file."""


class HostSection(_Section, frozen=True):
    """The name, data centre and addresses of this host.

    ``callers``, ``readiness``: ``ip:port`` to listen on; ``peer_ports``: first and
    last port for traffic between hosts; ``metrics_port``: 0 for none; ``memory_mb``,
    ``descriptors``: what the host has, 0 for no bound on its clients.
    """

    name: str
    data_centre: str
    address: str
    callers: str
    readiness: str
    peer_ports: tuple[int, int]
    metrics_port: int = 0
    memory_mb: Count = 0
    descriptors: Count = 0


class StoreSection(_Section, frozen=True):
    """The address of the platform's store and the rate limits for all hosts.

    ``lapse_s``: seconds after the store has recovered in which the rows of live
    upstreams may still be missing. These rows are back after about 2 s. The value is
    lower because an upstream that left must get no requests from 2 s after its
    removal on. ``rewrite_s``: seconds after the store has come back from an older copy
    in which a row of that copy may still be there though its upstream has left; rows
    expire after three intervals of 1.2 s without a report.
    """

    address: str
    reads_per_s: float
    writes_per_s: float
    lapse_s: Seconds = 1.6
    rewrite_s: Seconds = 4.0


class RetriesSection(_Section, frozen=True):
    """The retry budget that all hosts share, per service.

    ``ratio``: retries per request within ``window_s``; ``slack``: retries that are
    allowed in addition.
    """

    ratio: Fraction
    slack: t.Annotated[float, msgspec.Meta(ge=0)]
    window_s: Seconds


class ShutdownSection(_Section, frozen=True):
    """``grace_s``: seconds from the signal until the process is killed."""

    grace_s: Seconds


class AdmissionSection(_Section, frozen=True):
    """Which streams start first.

    ``shared_order``: whether the hosts of a data centre start their queued streams in
    one order; ``False``: each host decides on its own queue alone.
    """

    shared_order: bool = True


class LogSection(_Section, frozen=True):
    """The log level; ``lines_per_s``: maximum mean rate of the lines of one event."""

    lines_per_s: Seconds = 50.0
    level: t.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class GatewaySettings(_Section, frozen=True):
    """All settings of a gateway."""

    host: HostSection
    store: StoreSection
    retries: RetriesSection
    shutdown: ShutdownSection
    admission: AdmissionSection = msgspec.field(default_factory=AdmissionSection)
    clients: ClientLimits = DEFAULT_LIMITS
    log: LogSection = msgspec.field(default_factory=LogSection)


def parse_address(text: str, where: str) -> tuple[str, int]:
    """Return the IP address and port of ``ip:port``.

    :raises SettingsError: naming the setting and the value.
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
    """Parse and validate settings from TOML text.

    :raises SettingsError: naming the file, the key and what was expected.
    """
    return parse_checked(text, source, GatewaySettings, (_check,))


HOST_VARIABLES = {
    "memory_mb": "WAGTAILSTAIR_MEMORY_MB",
    "descriptors": "WAGTAILSTAIR_DESCRIPTORS",
}
"""Environment variables with the host's limits, as a deployment may know these where
the settings file is not made; the file goes first."""


def apply_environment(
    settings: GatewaySettings, environment: t.Mapping[str, str]
) -> GatewaySettings:
    """Return the settings with limits of the host that only the environment has.

    :raises SettingsError: naming the variable and its value.
    """
    changes: dict[str, int] = {}
    for field, variable in HOST_VARIABLES.items():
        text = environment.get(variable, "")
        if not text or getattr(settings.host, field):
            continue
        # Digits that int() accepts, but no sign, space or underscore.
        if not (text.isascii() and text.isdigit()):
            raise SettingsError(
                f"expected a whole number, got {text!r}", where=variable
            )
        changes[field] = int(text)
    host = msgspec.structs.replace(settings.host, **changes)
    return msgspec.structs.replace(settings, host=host)


def load_settings(path: pathlib.Path) -> GatewaySettings:
    """Read and validate a settings file.

    :raises SettingsError: if it can't be read or is not valid.
    """
    return parse_settings(read_text(path), str(path))
