"""The gateway's daemon: wiring, readiness, shutdown."""

import os
import pathlib
import random
import signal
import socket
import sys
import typing as t

from ..clock import Clock
from ..clock import SystemClock
from ..core.allowance import Allowance
from ..core.balance import Balance
from ..core.directory import CallerLimits
from ..core.directory import Denial
from ..core.directory import Directory
from ..core.pipelines import Pipelines
from ..core.replicas import Replica
from ..core.replicas import ReplicaSet
from ..core.store import StoreRow
from ..exceptions import ListsError
from ..exceptions import SettingsError
from ..exceptions import UpstreamError
from ..logs import configure_logs
from ..logs import log_event
from ..platform import headers as wire_headers
from ..platform import lists as wire_lists
from ..platform import replicas as wire_replicas
from .call import PlainExchange
from .caller import Caller
from .caller import Running
from .connection import listen
from .exchange import Exchange
from .follower import TableFollower
from .loop import Loop
from .placer import Placer
from .requests import Request
from .settings import GatewaySettings
from .settings import load_settings
from .settings import parse_address
from .stream import LEAVING
from .stream import StreamExchange
from .suspicion import Suspicion
from .transfer import Upstream
from .transfer import UpstreamPool

SETTLE_TICK_S = 0.25

IDLE_CLOSE_S = 3.2
"""Seconds after the signal at which idle connections are closed: by then the
balancer has missed readiness twice and sends no new ones."""

EXIT_MARGIN_S = 0.4
"""Seconds before the end by force at which what is left is cut."""

NOT_FOUND = 404
UNAUTHORIZED = 401
BAD_REQUEST = 400
UNAVAILABLE = 503
OK = 200


class Gateway:
    """All that one daemon holds."""

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        self.settings = settings
        self.loop = Loop(clock)
        self.names = wire_headers.HEADER_NAMES
        self.pool = UpstreamPool(self.loop)
        self.replicas = ReplicaSet(settings.store.lapse_s)
        self._rng = random.Random()
        centre = settings.host.data_centre
        self.services = Balance(self.replicas, centre, self._rng)
        retries = settings.retries
        self.allowance = Allowance(retries.ratio, retries.slack, retries.window_s)
        self.is_draining = False
        self.directory: Directory | None = None
        self._pipelines_by_service: dict[str, Pipelines] = {}
        self._callers: set[Caller] = set()
        self._streams: set[StreamExchange] = set()
        self._suspicion = Suspicion(self)
        store = Upstream(settings.store.address, "store")
        self._lists = TableFollower(
            self.loop, self.pool, store, wire_lists.TABLE, self._on_lists, self._rng
        )
        self._upstreams = TableFollower(
            self.loop,
            self.pool,
            store,
            wire_replicas.TABLE,
            self._on_replicas,
            self._rng,
        )
        holder = f"{settings.host.name}/{clock.utcnow().timestamp():.3f}"
        self._placer = Placer(
            self.loop,
            self.pool,
            store,
            holder,
            self.replicas,
            lambda: self.directory,
            self._rng,
        )

    # What exchanges need.

    def hosts(self) -> int:
        """Return how many hosts share the budgets."""
        return 8

    def pipelines(self, service: str) -> Pipelines:
        """Return the engines of a service."""
        pipelines = self._pipelines_by_service.get(service)
        if pipelines is None:
            pipelines = Pipelines(self.settings.host.data_centre, self._rng)
            pipelines.hosts = self.hosts()
            self._pipelines_by_service[service] = pipelines
        return pipelines

    def streams(self) -> list[StreamExchange]:
        """Return the streams in work."""
        return list(self._streams)

    def investigate(self, first: Replica, service: str) -> None:
        """Find out which engine the requests of a first engine wait for."""
        self._suspicion.investigate(first, service)

    def finished(self, exchange: Exchange, outcome: str) -> None:
        """Take note of a request's end."""
        if isinstance(exchange, StreamExchange):
            self._streams.discard(exchange)
        exchange.log(
            "request_ended",
            outcome=outcome,
            sends=exchange.sends,
            took=self.loop.now - exchange.request.received_at,
        )

    # What callers' connections need.

    def caller_limits(self) -> CallerLimits:
        """Return the limits in force."""
        return CallerLimits() if self.directory is None else self.directory.limits

    def start(self, caller: Caller, request: Request) -> Running | None:
        """Begin a request."""
        directory = self.directory
        if directory is None:
            caller.answer(UNAVAILABLE, b"", ((b"Retry-After", b"0.5"),), b"")
            return None
        key = wire_headers.read_key(request.header(self.names.authorization))
        grant = directory.judge(request.host, request.path, key)
        if isinstance(grant, Denial):
            status = NOT_FOUND if grant is Denial.NO_ROUTE else UNAUTHORIZED
            log_event(
                "request_denied",
                request=request.header(self.names.attempt).decode("latin-1"),
                reason=grant.value,
                version=directory.version,
            )
            caller.answer(status, b"", (), b"")
            return None
        name = self._pick_service(grant.route.targets)
        service = directory.service_by_name.get(name)
        if service is None:
            caller.answer(UNAVAILABLE, b"", ((b"Retry-After", b"0.5"),), b"")
            return None
        if service.model is None:
            call = PlainExchange(self, caller, request, grant, service)
            call.begin()
            return call
        stream = StreamExchange(self, caller, request, grant, service)
        self._streams.add(stream)
        stream.begin()
        return stream

    def on_caller_closed(self, caller: Caller) -> None:
        """Forget a connection."""
        self._callers.discard(caller)
        self._exit_if_done()

    def _pick_service(self, targets: tuple[tuple[str, float], ...]) -> str:
        if len(targets) == 1:
            return targets[0][0]
        if not targets:
            return ""
        names = [name for name, _ in targets]
        return self._rng.choices(names, [weight for _, weight in targets])[0]

    # What the store tells.

    def _on_lists(self, rows: tuple[StoreRow, ...], _is_all: bool) -> None:
        for row in rows:
            if not wire_lists.is_directory_row(row.table, row.key):
                continue
            if row.value is None:
                continue
            self._take_lists(row.value)

    def _take_lists(self, value: bytes) -> None:
        try:
            directory = wire_lists.decode_directory(value)
        except ListsError as error:
            log_event("lists_unreadable", level="ERROR", reason=error)
            return
        if self.directory is not None and directory.version <= self.directory.version:
            return
        old = self.directory.version if self.directory is not None else 0
        self.directory = directory
        log_event("lists_taken", version=directory.version, before=old)

    def _on_replicas(self, rows: tuple[StoreRow, ...], is_all: bool) -> None:
        now = self.loop.now
        found = []
        for row in rows:
            if row.value is None:
                self.replicas.remove(row.key, now, is_store_unsure=self._is_unsure())
                log_event("upstream_gone", replica=row.key, version=row.version)
                continue
            replica = self._decode_replica(row)
            if replica is None:
                continue
            found.append(replica)
            if not is_all and self.replicas.put(replica):
                log_event(
                    "upstream_changed",
                    replica=replica.name,
                    leaving=replica.is_leaving,
                    layers=replica.layers,
                    version=row.version,
                )
        self._leave_draining()
        if is_all:
            self.replicas.replace(found, now, is_store_unsure=self._is_unsure())
            log_event("upstreams_read", count=len(found))
        self._forget_gone()

    def _decode_replica(self, row: StoreRow) -> Replica | None:
        assert row.value is not None
        try:
            return wire_replicas.decode_replica(row.key, row.value)
        except UpstreamError as error:
            log_event("upstream_unreadable", level="WARNING", reason=error)
            return None

    def _is_unsure(self) -> bool:
        followers = (self._lists, self._upstreams)
        failed_at = max(follower.failed_at for follower in followers)
        return self.loop.now - failed_at < self.settings.store.lapse_s

    def _settle(self) -> None:
        self.loop.call_later(SETTLE_TICK_S, self._settle)
        is_away = self._upstreams.is_away
        for name in self.replicas.settle(self.loop.now, is_store_away=is_away):
            log_event("upstream_gone", replica=name, reason="lapsed")
            self._forget_gone()

    def _leave_draining(self) -> None:
        """Take running streams off the engines that will end, before they do."""
        for replica in list(self.replicas.by_name.values()):
            if not replica.is_leaving or replica.layers is None:
                continue
            for stream in self.streams():
                if stream.uses(replica.identity):
                    stream.leave_engine(replica, LEAVING)

    def _forget_gone(self) -> None:
        live = {replica.identity for replica in self.replicas.by_name.values()}
        self.services.forget(live)
        for pipelines in self._pipelines_by_service.values():
            pipelines.forget(live)

    # Readiness and life.

    def is_ready(self) -> bool:
        """Tell whether the balancer may send new connections."""
        if self.is_draining or self.directory is None:
            return False
        return self._upstreams.version is not None

    def run(self) -> None:
        """Serve until a signal ends it."""
        host = self.settings.host
        listen(self.loop, parse_address(host.callers, "callers"), self._on_accept)
        listen(self.loop, parse_address(host.readiness, "readiness"), self._on_operator)
        self.loop.call_on_signal(signal.SIGTERM, self._drain)
        self.loop.call_on_signal(signal.SIGHUP, self._reload)
        self._lists.start()
        self._upstreams.start()
        self._placer.start()
        self.loop.call_later(SETTLE_TICK_S, self._settle)
        log_event("started", address=host.callers)
        self.loop.run()
        log_event("stopped")

    def _on_accept(self, sock: socket.socket) -> None:
        self._callers.add(Caller(self, sock))

    def _on_operator(self, sock: socket.socket) -> None:
        Caller(_Readiness(self), sock)

    def _reload(self) -> None:
        log_event("reload")

    def _drain(self) -> None:
        if self.is_draining:
            return
        self.is_draining = True
        log_event("draining", connections=len(self._callers))
        self._placer.release()
        self.loop.call_later(IDLE_CLOSE_S, self._close_idle)
        grace_s = self.settings.shutdown.grace_s - EXIT_MARGIN_S
        self.loop.call_later(grace_s, self._cut_rest)

    def _close_idle(self) -> None:
        for caller in list(self._callers):
            caller.close_if_idle()
        self._may_exit = True
        self.loop.call_later(0.2, self._exit_if_done)

    _may_exit = False

    def _exit_if_done(self) -> None:
        if self._may_exit and not self._callers:
            # Later, so that the last bytes leave.
            self.loop.call_later(0.2, self.loop.stop)

    def _cut_rest(self) -> None:
        for caller in list(self._callers):
            caller.close()
        self.loop.stop()


class _Readiness:
    """Answers the balancer's question whether this host is ready."""

    is_draining = False

    def __init__(self, gateway: Gateway) -> None:
        self._gateway = gateway
        self.loop = gateway.loop

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the operators' side."""
        return CallerLimits()

    def start(self, caller: Caller, _request: Request) -> Running | None:
        """Answer at once."""
        status = OK if self._gateway.is_ready() else UNAVAILABLE
        caller.answer(status, b"", (), b"")
        return None

    def on_caller_closed(self, caller: Caller) -> None:
        """Nothing is kept of these connections."""


def main(argv: t.Sequence[str] | None = None) -> int:
    """Run the gateway with the settings file that is named; return the exit code."""
    arguments = sys.argv[1:] if argv is None else list(argv)
    path = arguments[0] if arguments else os.environ.get("WAGTAILSTAIR_NODE_FILE", "")
    try:
        settings = load_settings(pathlib.Path(path))
    except SettingsError as error:
        print(f"wagtailstair: {error}", file=sys.stderr)
        return 2
    configure_logs(settings.log.level, settings.host.name)
    Gateway(settings, SystemClock()).run()
    return 0
