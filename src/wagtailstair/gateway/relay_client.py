"""Requests for the changes of a table to other hosts."""

import dataclasses
import typing as t

from ..core.hosts import Host
from ..core.relay_rows import encode_request
from ..core.store import Call
from ..logs import log_event
from .fetch import Answer
from .fetch import Fetch
from .loop import Loop
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool

RELAY_TIMEOUT_S = 1.0
"""Seconds within which a relay must begin, and within which each further part of it
must arrive: it may wait on the peer's link behind those to other hosts."""

RELAYS_MAX = 2
"""Requests for one table at once, each to another host."""

SECOND_RELAY_AFTER_S = 0.5
"""Seconds after which a second peer is asked too: the first may be slow or silent."""

PEER_RETRY_S = 2.0
"""Seconds for which a peer that did not deliver is not asked again: another one that
announces the version follows within a heartbeat interval."""

OK = 200


@dataclasses.dataclass(slots=True, eq=False)
class PendingRelay:
    """A request to a peer whose answer has not arrived."""

    host: Host
    started_at: float
    fetch: Fetch | None = None


class RelayClient:
    """Requests tables from peers that announce newer versions.

    :param on_answer: called with the table, the peer and its complete answer.
    :param on_ended: called with the table, the outcome of a request and the seconds
        that it took.
    """

    def __init__(
        self,
        loop: Loop,
        pool: UpstreamPool,
        on_answer: t.Callable[[str, Host, Answer], None],
        on_ended: t.Callable[[str, str, float], None],
    ) -> None:
        self._loop = loop
        self._pool = pool
        self._on_answer = on_answer
        self._on_ended = on_ended
        # Only tables with a pending request have an entry.
        self.pending_by_table: dict[str, list[PendingRelay]] = {}
        # By table and by name and incarnation of a peer: when it may be asked again.
        self._avoided_until: dict[tuple[str, str, int], float] = {}

    def request(
        self,
        table: str,
        host: Host,
        after: int,
        announced: object,
        *,
        accepts_deflate: bool,
    ) -> None:
        """Request a table's changes from a peer, unless others should deliver them.

        :param after: number of the version after which changes are wanted.
        :param announced: the version that the peer has announced, for the log.
        """
        if not self._is_due(table, host):
            return
        relay = PendingRelay(host, self._loop.now)
        self.pending_by_table.setdefault(table, []).append(relay)

        def on_answer(answer: Answer) -> None:
            self._remove(table, relay)
            if answer.status == OK:
                self._on_ended(table, "taken", answer.took_s)
                self._cancel_others(table)
                self._on_answer(table, host, answer)
                return
            self._on_failure(table, host)
            outcome = answer.reason or f"status {answer.status}"
            self._on_ended(table, outcome, answer.took_s)
            log_event(
                "relay_unanswered",
                table=table,
                peer=host.name,
                status=answer.status,
                reason=answer.reason,
                after=after,
                announced=announced,
                received=answer.received,
                took=answer.took_s,
            )

        target = encode_request(table, after, accepts_deflate=accepts_deflate)
        relay.fetch = Fetch(
            self._loop,
            self._pool,
            Upstream(host.address, ("peer", host.incarnation)),
            Call("GET", target),
            RELAY_TIMEOUT_S,
            on_answer,
            stall_s=RELAY_TIMEOUT_S,
        )

    def _is_due(self, table: str, host: Host) -> bool:
        now = self._loop.now
        peer = table, host.name, host.incarnation
        if self._avoided_until.get(peer, now) > now:
            return False
        pending = self.pending_by_table.get(table, [])
        if not pending:
            return True
        if len(pending) >= RELAYS_MAX:
            return False
        is_slow = now - pending[0].started_at >= SECOND_RELAY_AFTER_S
        return is_slow and pending[0].host.name != host.name

    def _on_failure(self, table: str, host: Host) -> None:
        now = self._loop.now
        for peer, until in list(self._avoided_until.items()):
            if until <= now:
                del self._avoided_until[peer]
        self._avoided_until[table, host.name, host.incarnation] = now + PEER_RETRY_S

    def _remove(self, table: str, relay: PendingRelay) -> None:
        pending = self.pending_by_table[table]
        pending.remove(relay)
        if not pending:
            del self.pending_by_table[table]

    def _cancel_others(self, table: str) -> None:
        """Cancel the requests that a complete answer makes superfluous."""
        for relay in self.pending_by_table.pop(table, []):
            self._on_ended(table, "superseded", self._loop.now - relay.started_at)
            if relay.fetch is not None:
                relay.fetch.cancel()
