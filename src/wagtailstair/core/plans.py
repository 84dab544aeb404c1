"""Plans and accounts, the rows of the two lists."""

import dataclasses
import math
import re
import typing as t

import msgspec

from ..exceptions import ListsError
from .engine import PRIORITY_BY_NAME
from .engine import Priority
from .rows import Value

PLANS = "plans"
ACCOUNTS = "accounts"

MAX_KEYS = 4
SALT_BYTES = 16
DIGEST_BYTES = 32

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_-]{0,63}")
_METHOD = re.compile(r"[A-Z]{1,16}")
_PATH = re.compile(r" - at `\$\.?(.*?)`$")

_Positive = t.Annotated[float, msgspec.Meta(gt=0)]
_Text = t.Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


@dataclasses.dataclass(slots=True, frozen=True)
class ServiceUse:
    """What a plan allows at a plain service.

    ``repeatable``: methods that need no idempotency key.
    """

    repeatable: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, frozen=True)
class Plan:
    """What an account of a plan may use.

    ``priorities``: most urgent first; ``weight``: share among the accounts of
    a priority; ``work_per_s``: rate limit in work units; ``burst_s``: burst, in
    seconds of the rate; ``max_concurrent``: open requests of one account over
    all hosts.
    """

    name: str
    priorities: tuple[Priority, ...]
    weight: float
    work_per_s: float
    burst_s: float
    max_concurrent: int
    models: tuple[str, ...] = ()
    service_by_name: t.Mapping[str, ServiceUse] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True, frozen=True)
class Key:
    """The salted hash of a bearer key's secret."""

    salt: bytes
    digest: bytes


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """An account with its plan and the keys that authenticate it."""

    name: str
    plan: str
    keys: tuple[Key, ...] = ()


class _Raw(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Base of the shapes of rows in JSON and TOML."""


class _RawService(_Raw, frozen=True):
    repeatable: list[str] = []


class _RawPlan(_Raw, frozen=True):
    priorities: t.Annotated[list[str], msgspec.Meta(min_length=1)]
    work_per_s: _Positive
    max_concurrent: t.Annotated[int, msgspec.Meta(ge=1)]
    weight: _Positive = 1.0
    burst_s: _Positive = 10.0
    models: list[_Text] = []
    services: dict[str, _RawService] = {}


class _RawKey(_Raw, frozen=True):
    salt: str
    digest: str


class _RawAccount(_Raw, frozen=True):
    plan: str
    keys: t.Annotated[list[_RawKey], msgspec.Meta(max_length=MAX_KEYS)] = []


_RawT = t.TypeVar("_RawT", bound=_Raw)


def _convert(value: object, shape: type[_RawT], where: str) -> _RawT:
    try:
        return msgspec.convert(value, shape)
    except msgspec.ValidationError as error:
        message = str(error)
        match = _PATH.search(message)
        if match is None:
            raise ListsError(message, where=where) from None
        path = f"{where}.{match[1]}"
        raise ListsError(message[: match.start()], where=path) from None


def _check_name(name: str, where: str) -> None:
    if _NAME.fullmatch(name) is None:
        raise ListsError(
            "expected a name of 1 to 64 letters, digits, '-' and '_'", where=where
        )


def _parse_priorities(names: list[str], where: str) -> tuple[Priority, ...]:
    priorities = set()
    for name in names:
        priority = PRIORITY_BY_NAME.get(name)
        if priority is None:
            known = ", ".join(PRIORITY_BY_NAME)
            raise ListsError(f"expected one of {known}, got {name!r}", where=where)
        if priority in priorities:
            raise ListsError(f"{name!r} is given twice", where=where)
        priorities.add(priority)
    return tuple(sorted(priorities))


def _parse_services(
    raw_by_name: dict[str, _RawService], where: str
) -> dict[str, ServiceUse]:
    service_by_name = {}
    for name, raw in raw_by_name.items():
        _check_name(name, f"{where}.{name}")
        for method in raw.repeatable:
            if _METHOD.fullmatch(method) is None:
                raise ListsError(
                    f"expected an HTTP method in capitals, got {method!r}",
                    where=f"{where}.{name}.repeatable",
                )
        service_by_name[name] = ServiceUse(frozenset(raw.repeatable))
    return service_by_name


def parse_plan(name: str, value: object) -> Plan:
    """Parse the value of one plan.

    :raises ListsError: with the path of the invalid part in ``where``.
    """
    where = f"{PLANS}.{name}"
    _check_name(name, where)
    raw = _convert(value, _RawPlan, where)
    for field in ("weight", "work_per_s", "burst_s"):
        if not math.isfinite(getattr(raw, field)):
            raise ListsError("expected a finite number", where=f"{where}.{field}")
    return Plan(
        name=name,
        priorities=_parse_priorities(raw.priorities, f"{where}.priorities"),
        weight=raw.weight,
        work_per_s=raw.work_per_s,
        burst_s=raw.burst_s,
        max_concurrent=raw.max_concurrent,
        models=tuple(raw.models),
        service_by_name=_parse_services(raw.services, f"{where}.services"),
    )


def _parse_hex(text: str, size: int, where: str) -> bytes:
    try:
        data = bytes.fromhex(text)
    except ValueError:
        data = b""
    if len(data) != size:
        raise ListsError(f"expected {size} bytes in hex", where=where)
    return data


def parse_account(name: str, value: object) -> Account:
    """Parse the value of one account; its plan is checked by `validate`.

    :raises ListsError: with the path of the invalid part in ``where``.
    """
    where = f"{ACCOUNTS}.{name}"
    _check_name(name, where)
    raw = _convert(value, _RawAccount, where)
    keys = []
    for index, raw_key in enumerate(raw.keys):
        key_path = f"{where}.keys[{index}]"
        salt = _parse_hex(raw_key.salt, SALT_BYTES, f"{key_path}.salt")
        digest = _parse_hex(raw_key.digest, DIGEST_BYTES, f"{key_path}.digest")
        keys.append(Key(salt, digest))
    return Account(name, raw.plan, tuple(keys))


def plan_value(plan: Plan) -> Value:
    """Return the JSON value of a plan."""
    services = {}
    for name, use in sorted(plan.service_by_name.items()):
        services[name] = {"repeatable": sorted(use.repeatable)}
    return {
        "priorities": [priority.name.lower() for priority in plan.priorities],
        "weight": plan.weight,
        "work_per_s": plan.work_per_s,
        "burst_s": plan.burst_s,
        "max_concurrent": plan.max_concurrent,
        "models": list(plan.models),
        "services": services,
    }


def account_value(account: Account) -> Value:
    """Return the JSON value of an account."""
    keys = [
        {"salt": key.salt.hex(), "digest": key.digest.hex()} for key in account.keys
    ]
    return {"plan": account.plan, "keys": keys}
