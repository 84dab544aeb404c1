"""Completions as asked for and as finished, and what a relay needs around it."""

import concurrent.futures
import dataclasses
import typing as t

from .core.engine import Priority
from .core.grants import Grant
from .core.grants import GrantOutcome
from .core.grants import Refusal
from .core.grants import RouteRequest


class Dispatch(t.Protocol):
    """What a relay needs of the dispatcher of a pool."""

    def submit(
        self, model: str, data_centre: str, want: RouteRequest
    ) -> "concurrent.futures.Future[Grant | Refusal]":
        """Ask for a route; the future never stays open for good."""
        ...

    def done(self, model: str, data_centre: str, done: GrantOutcome) -> None:
        """Give a grant back."""
        ...

    def cancel(self, model: str, data_centre: str, request: str, epoch: int) -> None:
        """Take a want back, or a grant that is on its way."""
        ...


class Sink(t.Protocol):
    """Where the tokens of an answer go; called in the loop's thread."""

    def token(self, text: str) -> None:
        """Take the next token."""
        ...

    def is_full(self) -> bool:
        """Tell whether the caller can't take more at present."""
        ...


@dataclasses.dataclass(slots=True, frozen=True)
class Job:
    """One completion as asked for; ``deadline`` is a monotonic instant.

    ``data_centres``: where the model has engines, the nearest first.
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
class Finished:
    """The whole answer."""

    reason: str
    text: str
    prompt_tokens: int
    output_tokens: int
