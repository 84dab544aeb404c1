"""Admission of requests: authentication, entitlement, priority and quota."""

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
QUOTA_VERDICT_TIMEOUT_S = 5.0


class QuotaGate(t.Protocol):
    """Applies the limits of accounts across all hosts."""

    def charge(
        self, account: str, request: str, work: float, limits: QuotaLimits
    ) -> "concurrent.futures.Future[Allowed | Limited]":
        """Charge a request's expected work to its account."""
        ...

    def settle(self, account: str, request: str, work: float) -> None:
        """Settle a charge at the actual work of the request."""
        ...


@dataclasses.dataclass(slots=True, frozen=True)
class Identity:
    """An account and its plan, as in one version of the lists."""

    account: Account
    plan: Plan
    lists_version: int


def authenticate(lists: Lists, authorization: str) -> Identity:
    """Return the account that an Authorization header authenticates.

    :raises NotAuthenticatedError: if the key is missing or not valid.
    """
    if not authorization.startswith(BEARER):
        raise NotAuthenticatedError("expected a bearer key", where="Authorization")
    account = verify(lists, authorization[len(BEARER) :].strip())
    if account is None:
        raise NotAuthenticatedError("the bearer key is not valid for any account")
    return Identity(account, lists.plan_of(account), lists.version)


def choose_priority(plan: Plan, requested_name: str) -> Priority:
    """Return the requested priority, or the nearest that the plan allows.

    The default is the standard priority. If the plan does not allow the requested
    priority, the next lower one is preferred to a higher one.

    :raises InvalidRequestError: if the header names an unknown priority.
    """
    requested = Priority.STANDARD
    if requested_name:
        if requested_name not in PRIORITY_BY_NAME:
            known = ", ".join(PRIORITY_BY_NAME)
            raise InvalidRequestError(f"expected one of {known}", where="X-Priority")
        requested = PRIORITY_BY_NAME[requested_name]
    for priority in sorted(plan.priorities):
        if priority >= requested:
            return priority
    return max(plan.priorities)


def check_model(plan: Plan, model: str) -> None:
    """Check that a plan includes a model.

    :raises NotEntitledError: if it does not.
    """
    if model not in plan.models:
        raise NotEntitledError("the plan does not include this model", where=model)


class RequestCharge:
    """The charge of an open request; settled at most once, at its actual cost."""

    def __init__(self, gate: QuotaGate, account: str, request: str) -> None:
        self._gate = gate
        self._account = account
        self._request = request
        self._is_open = True

    def settle(self, work: float) -> None:
        """Settle the charge; later calls have no effect."""
        if self._is_open:
            self._is_open = False
            self._gate.settle(self._account, self._request, work)


def charge(
    gate: QuotaGate, identity: Identity, request: str, work: float
) -> RequestCharge:
    """Charge a request under the limits of its account.

    :raises LimitExceededError: if the account is over a limit.
    :raises QueueFullError: if no verdict arrives in time.
    """
    plan = identity.plan
    limits = QuotaLimits(plan.work_per_s, plan.burst_s, plan.max_concurrent)
    account = identity.account.name
    future = gate.charge(account, request, work, limits)
    try:
        verdict = future.result(QUOTA_VERDICT_TIMEOUT_S)
    except concurrent.futures.TimeoutError:
        gate.settle(account, request, 0.0)
        message = "no verdict on the account's limits arrived in time"
        raise QueueFullError(message, retry_after_s=1.0) from None
    if isinstance(verdict, Limited):
        raise LimitExceededError(
            f"the account is over its limit of {verdict.limit}",
            retry_after_s=verdict.retry_after_s,
        )
    return RequestCharge(gate, account, request)
