"""A server on the event loop whose responses need no waiting."""

import socket
import typing as t

from ..core.admission.client_memory import Group
from ..core.directory import CallerLimits
from .caller import ActiveRequest
from .caller import Caller
from .clients import Clients
from .loop import Loop
from .requests import Request


class AnswerServer:
    """Serves requests of load balancers, peers and operators with a function."""

    is_draining = False

    def __init__(
        self, loop: Loop, answer: t.Callable[[Request], tuple[int, bytes]]
    ) -> None:
        self.loop = loop
        self._answer = answer

    def accept(self, sock: socket.socket, clients: Clients) -> None:
        """Serve an accepted connection if it has a place; close it otherwise."""
        if not clients.make_place(Group.INTERNAL):
            sock.close()
            return
        # The answers do not depend on bodies.
        Caller(self, sock, clients, Group.INTERNAL, lambda _request: None)

    def caller_limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()

    def start(self, caller: Caller, request: Request) -> ActiveRequest | None:
        """Send the response at once."""
        status, body = self._answer(request)
        caller.answer(status, b"", (), body)
        return None

    def on_caller_closed(self, caller: Caller) -> None:
        """Do nothing: these connections are not tracked."""

    def on_caller_finished(self, caller: Caller) -> None:
        """Do nothing: these connections are not tracked."""
