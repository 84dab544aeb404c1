"""A server on the loop whose answers are ready at once."""

import typing as t

from ..core.directory import CallerLimits
from .caller import ActiveRequest
from .caller import Caller
from .loop import Loop
from .requests import Request


class AnswerServer:
    """Answers requests with a function: the balancer's, peers', operators'."""

    is_draining = False

    def __init__(
        self, loop: Loop, answer: t.Callable[[Request], tuple[int, bytes]]
    ) -> None:
        self.loop = loop
        self._answer = answer

    def caller_limits(self) -> CallerLimits:
        """Return the limits of this side."""
        return CallerLimits()

    def start(self, caller: Caller, request: Request) -> ActiveRequest | None:
        """Answer at once."""
        status, body = self._answer(request)
        caller.answer(status, b"", (), body)
        return None

    def on_caller_closed(self, caller: Caller) -> None:
        """Nothing is kept of these connections."""
