"""Completion jobs and their results, and the interfaces that a relay uses."""

import concurrent.futures
import dataclasses
import typing as t

from .core.engine import Priority
from .core.grants import Grant
from .core.grants import GrantOutcome
from .core.grants import Refusal
from .core.grants import RouteRequest


class RouteDispatcher(t.Protocol):
    """Grants routes to relays."""

    def submit(
        self, model: str, data_centre: str, route_request: RouteRequest
    ) -> "concurrent.futures.Future[Grant | Refusal]":
        """Request a route; the future is always resolved eventually."""
        ...

    def done(self, model: str, data_centre: str, outcome: GrantOutcome) -> None:
        """Report the end of a grant, with its actual cost."""
        ...

    def cancel(self, model: str, data_centre: str, request: str, epoch: int) -> None:
        """Withdraw a request for a route, or a grant that is in transit."""
        ...


class TokenSink(t.Protocol):
    """Receives the tokens of an answer; called in the loop's thread."""

    def write_token(self, text: str) -> None:
        """Accept the next token."""
        ...

    def is_full(self) -> bool:
        """Return whether tokens must wait because the caller reads too slowly."""
        ...


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """One requested completion.

    ``work``: expected cost in work units; ``deadline``: time on the monotonic
    clock; ``data_centres``: those with engines of the model, in order of
    preference; ``prefixes``: hashes of the prompt's prefix blocks, shortest first.
    """

    request: str
    account: str
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: Priority
    weight: float
    entitled: bool
    prompt_tokens: int
    work: float
    deadline: float
    data_centres: tuple[str, ...]
    prefixes: tuple[int, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class CompletionResult:
    """The result of a complete answer; ``reason``: why the engine ended it."""

    reason: str
    text: str
    prompt_tokens: int
    output_tokens: int
