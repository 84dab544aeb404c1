"""Admission of a request: who asks, what the plan allows, within its limits."""

import concurrent.futures
import dataclasses
import typing as t

from .core.engine import PRIORITY_BY_NAME
from .core.engine import Priority
from .core.keys import verify
from .core.lists import Account
from .core.lists import Lists
from .core.lists import Plan
from .core.quota import Allowed
from .core.quota import Limited
from .core.quota import QuotaLimits
from .exceptions import InvalidRequestError
from .exceptions import LimitExceededError
from .exceptions import NotAuthenticatedError
from .exceptions import NotEntitledError
from .exceptions import QueueFullError

BEARER = "Bearer "
QUOTA_ANSWER_TIMEOUT_S = 5.0


class QuotaGate(t.Protocol):
    """Where the limits of accounts are kept, over all hosts."""

    def charge(
        self, account: str, request: str, work: float, limits: QuotaLimits
    ) -> "concurrent.futures.Future[Allowed | Limited]":
        """Open a request and charge its expected work."""
        ...

    def settle(self, account: str, request: str, work: float) -> None:
        """Close a request at what it really cost."""
        ...


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """An account and its plan, under one version of the lists."""

    account: Account
    plan: Plan
    lists_version: int


def authenticate(lists: Lists, authorization: str) -> Identity:
    """Return the account that an Authorization header names.

    :raises NotAuthenticatedError: if it names none.
    """
    if not authorization.startswith(BEARER):
        raise NotAuthenticatedError("expected a bearer key", where="Authorization")
    account = verify(lists, authorization[len(BEARER) :].strip())
    if account is None:
        raise NotAuthenticatedError("the bearer key names no account")
    return Identity(account, lists.plan_of(account), lists.version)


def choose_priority(plan: Plan, asked: str) -> Priority:
    """Return the priority of a request, bounded by the plan.

    Without a header it is standard, or the nearest that the plan has.

    :raises InvalidRequestError: if the header names no priority.
    """
    wanted = Priority.STANDARD
    if asked:
        if asked not in PRIORITY_BY_NAME:
            known = ", ".join(PRIORITY_BY_NAME)
            raise InvalidRequestError(f"expected one of {known}", where="X-Priority")
        wanted = PRIORITY_BY_NAME[asked]
    for priority in sorted(plan.priorities):
        if priority >= wanted:
            return priority
    return max(plan.priorities)


def check_model(plan: Plan, model: str) -> None:
    """Check that a plan includes a model.

    :raises NotEntitledError: if it does not.
    """
    if model not in plan.models:
        raise NotEntitledError("the plan does not include this model", where=model)


class Charge:
    """An open request of an account; closed once, at its real cost."""

    def __init__(self, gate: QuotaGate, account: str, request: str) -> None:
        self._gate = gate
        self._account = account
        self._request = request
        self._open = True

    def settle(self, work: float) -> None:
        """Close the request."""
        if self._open:
            self._open = False
            self._gate.settle(self._account, self._request, work)


def charge(gate: QuotaGate, identity: Identity, request: str, work: float) -> Charge:
    """Open a request under the limits of its account.

    :raises LimitExceededError: if the account is over a limit.
    :raises QueueFullError: if that can't be told in time.
    """
    plan = identity.plan
    limits = QuotaLimits(plan.work_per_s, plan.burst_s, plan.max_concurrent)
    name = identity.account.name
    future = gate.charge(name, request, work, limits)
    try:
        answer = future.result(QUOTA_ANSWER_TIMEOUT_S)
    except concurrent.futures.TimeoutError:
        gate.settle(name, request, 0.0)
        message = "no answer on the account's limits"
        raise QueueFullError(message, retry_after_s=1.0) from None
    if isinstance(answer, Limited):
        raise LimitExceededError(
            f"the account is over its limit of {answer.limit}",
            retry_after_s=answer.retry_after_s,
        )
    return Charge(gate, name, request)
