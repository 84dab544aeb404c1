"""Connects all parts of a gateway; handles readiness, reload and shutdown."""

import pathlib
import random
import signal
import socket
import typing as t

import msgspec

from ..clock import Clock
from ..core.admission.client_memory import ClientMemory
from ..core.admission.client_memory import Group
from ..core.directory import CallerLimits
from ..core.directory import Denial
from ..core.directory import Directory
from ..core.directory import Grant
from ..core.directory import Service
from ..core.engine_costs import Load
from ..core.engine_failures import EngineFailures
from ..core.hosts import Host
from ..core.messages import EngineFailed
from ..core.messages import EngineLost
from ..core.messages import EngineUses
from ..core.messages import QueueCounts
from ..core.pauses import Pauses
from ..core.pipelines import LoadSource
from ..core.pipelines import Pipelines
from ..core.quarantine import CrashSuspects
from ..core.rate_limits import RateLimits
from ..core.replicas import Replica
from ..core.resend_budget import Counts
from ..core.resend_budget import ResendBudget
from ..core.resend_budget import counts_key
from ..core.store import StoreVersion
from ..core.upstream_balancer import UpstreamBalancer
from ..exceptions import SettingsError
from ..logs import log_event
from ..platform import headers as wire_headers
from ..platform import replicas as wire_replicas
from ..settings import read_text
from . import engine_uses
from .answer_server import AnswerServer
from .caller import ActiveRequest
from .caller import Caller
from .clients import Clients
from .connection import listen
from .crash_reports import CrashReports
from .exchange import Exchange
from .exchange import ResendRefusal
from .heads import find_header
from .loop import Loop
from .loop import Timer
from .peers import Peers
from .placer import Placer
from .plain_exchange import PlainExchange
from .requests import Header
from .requests import Request
from .settings import GatewaySettings
from .settings import parse_address
from .settings import parse_settings
from .stall_detector import SUSPECT_S
from .stall_detector import StallDetector
from .store_eras import StoreEras
from .stream_exchange import StreamExchange
from .table_sync import TableSync
from .telemetry import Telemetry
from .upstream_pool import Upstream
from .upstream_pool import UpstreamPool
from .waiting_streams import WaitingStreams

METRICS_PATH = "/metrics"

SETTINGS_CHECK_INTERVAL_S = 1.0
"""Seconds between two checks of the settings file: it may change without a SIGHUP."""

ACCEPT_AFTER_SIGNAL_S = 2.6
"""Seconds after the signal in which new requests are still accepted. By then the
balancer, which checks once a second, has seen two failed readiness checks and sends
no new connections."""

EXIT_DELAY_S = 0.2
"""Seconds before the loop stops, so that the last bytes are sent."""

EXIT_MARGIN_S = 0.4
"""Seconds by which the closing of open connections precedes the kill of the process."""

NOT_FOUND = 404
UNAUTHORIZED = 401
UNAVAILABLE = 503
RETRY_AFTER = b"0.5"
"""Seconds after which a retry may succeed on this host or another one."""

RETURN_SPREAD_SHARE = 0.25
"""Share of a pause over which the callers that it refuses are spread."""

OK = 200


class Gateway:
    """One gateway with all its parts."""

    def __init__(
        self, settings: GatewaySettings, clock: Clock, loop: Loop | None = None
    ) -> None:
        self.settings = settings
        self.loop = Loop(clock) if loop is None else loop
        self.names = wire_headers.HEADER_NAMES
        self.pool = UpstreamPool(self.loop, self._on_upstream_head)
        self.telemetry = Telemetry(settings.host.name)
        self.clients = Clients(
            self.loop,
            ClientMemory(
                settings.host.memory_mb, settings.host.descriptors, settings.clients
            ),
            self.telemetry.count_client_given_up,
        )
        self.pool.on_buffered = self.clients.count_buffered
        self._rng = random.Random()
        centre = settings.host.data_centre
        store = Upstream(settings.store.address, "store")
        self.store_eras = StoreEras()
        self.table_sync = TableSync(
            self.loop,
            self.pool,
            store,
            settings.store,
            self._rng,
            self.store_eras,
            on_change=self._on_table_changed,
            on_relay_ended=self.telemetry.count_relay,
            should_follow_store=lambda: self.peers.is_delegate(),
        )
        self.replicas = self.table_sync.replicas
        self.rate_limits = RateLimits(settings.host.name, self._rng)
        self.pauses = Pauses(self._rng)
        self._incarnation = int(clock.utcnow().timestamp() * 1000)
        self.peers = Peers(
            self.loop,
            self.pool,
            store,
            self._own_host(),
            self,
            self._rng,
            self.store_eras,
        )
        self.crash_reports = CrashReports(
            self.loop,
            self.pool,
            self.telemetry.count_engine_crash,
            self._end_quarantined_streams,
            self.peers.broadcast_suspects,
            settings.host.name,
            self.peers.live_names,
            self._rng,
        )
        self._engine_failures = EngineFailures()
        self.services = UpstreamBalancer(self.replicas, centre, self._rng)
        retries = settings.retries
        self.resend_budget = ResendBudget(
            retries.ratio, retries.slack, retries.window_s
        )
        self.is_draining = False
        self._refuses_requests = False
        self._waiting = WaitingStreams(
            self.loop,
            self._rng,
            self.telemetry.count_held_back,
            is_shared=settings.admission.shared_order,
        )
        self._settings_path: pathlib.Path | None = None
        self._settings_text = ""
        self._pipelines_by_service: dict[str, Pipelines] = {}
        self._callers: set[Caller] = set()
        # Connections that take no more requests, and whose last answer is sent.
        self._finishing: set[Caller] = set()
        self._exit_timer: Timer | None = None
        self._streams: set[StreamExchange] = set()
        self._stall_detector = StallDetector(self)
        holder = f"{settings.host.name}/{self._incarnation}"
        self._placer = Placer(
            self.loop,
            self.pool,
            store,
            holder,
            self.replicas,
            lambda: self.table_sync.directory,
            self.peers.is_first_delegate,
            self._rng,
            self.store_eras,
        )

    # Interface for exchanges.

    def closed_upstreams(self) -> frozenset[tuple[str, int]]:
        """Return the upstreams to which this host may send no request now."""
        now = self.loop.now
        limited = self.rate_limits.exhausted(self.peers.live_names(), now)
        return limited | self.pauses.closed(now)

    def pause_s(self, service: Service) -> float:
        """Return when an upstream takes requests again if all have asked for a pause.

        :returns: seconds, spread so that callers don't all return at once; 0 if an
            upstream is not in a pause, or there are none.
        """
        soonest = 0.0
        if self.pauses.is_empty:
            return soonest
        for replica in self.replicas.usable(service.name):
            if service.model is not None and not replica.holds(0, 1):
                continue
            remaining_s = self.pauses.remaining_s(replica.identity, self.loop.now)
            if not remaining_s:
                return 0.0
            soonest = min(soonest, remaining_s) if soonest else remaining_s
        return soonest * (1 + RETURN_SPREAD_SHARE * self._rng.random())

    def count_upstream_request(self, replica: Replica) -> None:
        """Count a request that is sent to an upstream."""
        self.rate_limits.take(replica.identity, self.loop.now)
        self.pauses.take(replica.identity, self.loop.now)

    def may_repeat(self, service: str, share: float) -> bool:
        """Use a repeat at a service if the budget of all hosts allows it."""
        load = self.pipelines(service).peer_load(counts_key(service))
        return self.resend_budget.take(
            service,
            self.peers.count(),
            self.loop.now,
            share,
            Counts(load.running, load.heads, int(load.token_layers)),
        )

    def record_resend_refusal(self, exchange: Exchange, reason: ResendRefusal) -> None:
        """Record a request that may not be sent again."""
        self.telemetry.count_resend_refused(reason.value)
        fields: dict[str, object] = {}
        if reason is ResendRefusal.BUDGET:
            service, now = exchange.service.name, self.loop.now
            fields["used"] = self.resend_budget.counts(service, now).repeats
            own_part = self.resend_budget.own_part(service, self.peers.count(), now)
            fields["own"] = own_part
        exchange.log(
            "resend_refused",
            level="INFO",
            sends=exchange.sends,
            reason=reason.value,
            **fields,
        )

    def observe_queued(self, rank: int, seconds: float) -> None:
        """Record how long a stream was queued before it started."""
        self.telemetry.observe_queued(rank, seconds)

    def local_host_count(self) -> int:
        """Return the number of live hosts in this data centre, with this one."""
        return len(self.peers.membership.live_local_hosts()) + 1

    def pipelines(self, service: str) -> Pipelines:
        """Return the engines of a service."""
        pipelines = self._pipelines_by_service.get(service)
        if pipelines is None:
            pipelines = Pipelines(self.settings.host.data_centre, self._rng)
            self._pipelines_by_service[service] = pipelines
        return pipelines

    def streams(self) -> list[StreamExchange]:
        """Return the streams in progress."""
        return list(self._streams)

    def find_stalled_engine(self, first: Replica, service: str) -> None:
        """Find the engine that stalls the requests of a pipeline's first engine."""
        self._stall_detector.find_stalled_engine(first, service)

    def waiting_streams(self) -> WaitingStreams:
        """Return the streams that wait for room on engines."""
        return self._waiting

    def count_path_change(self, outcome: str) -> None:
        """Count an order that moves a running request to a new path."""
        self.telemetry.count_path_change(outcome)

    def count_successor(self, reason: str) -> None:
        """Count an attempt that was sent beside the current one."""
        self.telemetry.count_successor(reason)

    def count_attempt_lost(self, *, has_begun: bool, has_events: bool) -> None:
        """Count a stream's attempt that ended without a complete response."""
        self.telemetry.count_attempt_lost(has_begun=has_begun, has_events=has_events)

    def record_request_end(self, exchange: Exchange, outcome: str) -> None:
        """Record the end of a request."""
        kind = exchange.grant.route.kind.value
        if isinstance(exchange, StreamExchange):
            self._streams.discard(exchange)
            if exchange.first_event_s is not None:
                self.telemetry.observe_first_event(exchange.first_event_s)
        took_s = self.loop.now - exchange.request.received_at
        self.telemetry.count_request(kind, exchange.grant.rank, outcome, took_s)
        self.telemetry.count_sends(kind, exchange.sends)
        fields = {
            "outcome": outcome,
            "sends": exchange.sends,
            "took": took_s,
            "account": exchange.account_name,
            "rank": exchange.grant.rank,
        }
        exchange.log("request_ended", level="INFO", **fields, **exchange.end_fields())

    def _on_upstream_head(
        self, upstream: Upstream, status: int, headers: list[Header]
    ) -> None:
        """Apply what the head of an answer says about the upstream that sent it."""
        identity = upstream.identity
        if not isinstance(identity, tuple):
            return
        notice = wire_headers.parse_notice(status, headers)
        if notice.is_leaving and self.replicas.mark_leaving(identity):
            log_event("upstream_leaves", replica=identity[0], incarnation=identity[1])
            self.telemetry.count_notice("leaving")
            # Deferred, as the answer is still being read.
            self.loop.call_later(0.0, self._on_replicas_changed)
        if notice.pause_s:
            seconds = self.pauses.begin(identity, notice.pause_s, self.loop.now)
            log_event("upstream_paused", replica=identity[0], seconds=seconds)
            self.telemetry.count_notice("pause")
        # Answers to calls of the gateway itself need not name the limit.
        is_for_caller = find_header(headers, self.names.attempt) is not None
        if notice.rate_limit is None and not is_for_caller:
            return
        hosts = self.peers.live_names()
        if self.rate_limits.set_limit(
            identity, notice.rate_limit, hosts, self.loop.now
        ):
            log_event("upstream_limited", replica=identity[0], per_s=notice.rate_limit)

    # Interface for peers.

    def _own_host(self) -> Host:
        host = self.settings.host
        port = host.peer_ports[0]
        address = f"{host.address}:{port}"
        return Host(host.name, host.data_centre, address, address, self._incarnation)

    def lists_version(self) -> int:
        """Return the version of the lists in force here."""
        return self.table_sync.lists_version()

    def upstreams_version(self) -> StoreVersion:
        """Return the version of the newest change of upstreams received here."""
        return self.table_sync.upstreams_version()

    def is_store_unreachable(self) -> bool:
        """Return whether this host's last call to the store failed."""
        return self.table_sync.is_store_unreachable

    def own_uses(self) -> EngineUses:
        """Return the load that the requests of this host put on engines."""
        services = self._pipelines_with_counts()
        return engine_uses.own_uses(self.settings.host.name, services)

    def centre_uses(self) -> EngineUses:
        """Return the load that the requests of this data centre put on engines."""
        services = self._pipelines_with_counts()
        return engine_uses.centre_uses(self.settings.host.data_centre, services)

    def _pipelines_with_counts(self) -> t.Iterable[Pipelines]:
        """Return the engines of all services, with the counts of their repeats."""
        for service, pipelines in self._pipelines_by_service.items():
            counts = self.resend_budget.counts(service, self.loop.now)
            loads = {}
            if counts.requests:
                loads[counts_key(service)] = Load(*counts)
            pipelines.set_extra_loads(loads)
        return self._pipelines_by_service.values()

    def on_engine_uses(self, message: EngineUses) -> None:
        """Apply the load that the requests of another source put on engines."""
        engine_uses.apply_uses(message, self._pipelines_by_service.values())

    def queue_counts(self) -> QueueCounts | None:
        """Return what this host has queued and started, ``None`` to send nothing."""
        return self._waiting.queue.message(self.loop.now)

    def on_queue_counts(self, source: str, message: QueueCounts) -> None:
        """Apply what a live host of this data centre has queued and started."""
        self._waiting.queue.shared.receive(source, message, self.loop.now)

    def on_engine_lost(self, host: Host, lost: EngineLost) -> None:
        """Suspect an engine that a peer suspects."""
        replica = self.replicas.by_name.get(lost.name)
        if replica is None or str(replica.incarnation) != lost.incarnation:
            return
        self._stall_detector.suspect(
            replica, replica.service, f"suspected by {host.name}"
        )

    def on_engine_failed(self, host: Host, failed: EngineFailed) -> None:
        """Avoid an engine that takes no connections of several hosts."""
        replica = self.replicas.by_name.get(failed.name)
        if replica is not None and str(replica.incarnation) == failed.incarnation:
            self._record_engine_failure(replica, host.name)

    def report_engine_failure(self, replica: Replica) -> None:
        """Tell the other hosts of an engine that takes no connections."""
        self._record_engine_failure(replica, self.settings.host.name)
        if self._engine_failures.take_report(replica.identity, self.loop.now):
            failed = EngineFailed(replica.name, str(replica.incarnation))
            self.peers.broadcast_engine_failed(failed)

    def _record_engine_failure(self, replica: Replica, host: str) -> None:
        now = self.loop.now
        if not self._engine_failures.record(replica.identity, host, now):
            return
        pipelines = self.pipelines(replica.service)
        if pipelines.use(replica).suspect_until <= now:
            self.telemetry.count_suspicion("unreachable for several hosts")
            log_event(
                "engine_suspected",
                replica=replica.name,
                reason="unreachable for several hosts",
                streams=0,
                stalled=0,
            )
        pipelines.suspect(replica, now + SUSPECT_S)

    def crash_suspects(self) -> CrashSuspects | None:
        """Return what the other hosts should know of crashes, ``None`` for nothing."""
        return self.crash_reports.message()

    def on_crash_suspects(self, message: CrashSuspects) -> CrashSuspects | None:
        """Apply what a peer knows of crashes; return a reply, if there is one."""
        return self.crash_reports.on_message(message)

    def _end_quarantined_streams(self) -> None:
        for stream in self.streams():
            stream.end_quarantined()

    def on_table_versions(
        self, host: Host, lists: int, upstreams: StoreVersion
    ) -> None:
        """Apply the versions of the tables that a peer's heartbeat announces."""
        self.table_sync.on_versions(host, lists, upstreams)

    def on_peers_discovered(self) -> None:
        """Choose whether to follow the store, now that peers could answer."""
        self.table_sync.choose_source()

    def on_source_gone(self, source: str, *, is_centre: bool) -> None:
        """Drop the load reported by a peer or data centre that is gone."""
        for pipelines in self._pipelines_by_service.values():
            pipelines.drop_peer_loads(LoadSource(source, is_centre))
        if not is_centre:
            self._waiting.queue.shared.drop(source)

    def broadcast_engine_lost(self, replica: Replica) -> None:
        """Report a suspected engine to the hosts of this data centre."""
        self.peers.broadcast_engine_lost(
            EngineLost(replica.name, str(replica.incarnation))
        )

    # Interface for callers' connections.

    def caller_limits(self) -> CallerLimits:
        """Return the limits in force."""
        directory = self.table_sync.directory
        return CallerLimits() if directory is None else directory.limits

    def start(self, caller: Caller, request: Request) -> ActiveRequest | None:
        """Start a request, or answer it at once if it can't be served."""
        directory = self.table_sync.directory
        if directory is None or self._refuses_requests:
            reason = "no lists" if directory is None else "shutting down"
            self._refuse(caller, request, reason)
            return None
        grant = self._authorize(directory, request)
        if isinstance(grant, Denial):
            self._deny(caller, request, grant)
            return None
        if request.is_body_dropped:
            # The lists in force while it arrived did not allow it.
            self._refuse(caller, request, "lists changed")
            return None
        name = self._pick_service(grant.route.targets)
        service = directory.service_by_name.get(name)
        if service is None:
            self._refuse(caller, request, f"no service {name}")
            return None
        if service.model is None:
            call = PlainExchange(self, caller, request, grant, service)
            call.begin()
            return call
        stream = StreamExchange(self, caller, request, grant, service)
        self._streams.add(stream)
        stream.begin()
        return stream

    def _deny(self, caller: Caller, request: Request, denial: Denial) -> None:
        """Answer a request that the lists in force deny."""
        version = self.lists_version()
        announced = self.table_sync.announced_lists_version()
        if announced > version:
            # The lists are known to be old, and newer ones may allow the request.
            self._refuse(caller, request, "newer lists announced")
            return
        self.telemetry.count_denied(denial.value)
        log_event(
            "request_denied",
            request=request.header(self.names.attempt).decode("latin-1"),
            reason=denial.value,
            version=version,
            age=self.table_sync.lists_age_s,
            announced=announced,
        )
        status = NOT_FOUND if denial is Denial.NO_ROUTE else UNAUTHORIZED
        caller.answer(status, b"", (), b"")

    def _refuse(self, caller: Caller, request: Request, reason: str) -> None:
        log_event(
            "request_refused",
            request=request.header(self.names.attempt).decode("latin-1"),
            reason=reason,
            version=self.lists_version(),
            announced=self.table_sync.announced_lists_version(),
        )
        caller.answer(UNAVAILABLE, b"", ((b"Retry-After", RETRY_AFTER),), b"")

    def on_caller_closed(self, caller: Caller) -> None:
        """Remove a connection that takes no more requests."""
        self._callers.discard(caller)
        if caller.is_finishing:
            self._finishing.add(caller)
        self._exit_if_done()

    def on_caller_finished(self, caller: Caller) -> None:
        """Remove a connection whose descriptor is closed."""
        self._finishing.discard(caller)

    def _pick_service(self, targets: tuple[tuple[str, float], ...]) -> str:
        if len(targets) == 1:
            return targets[0][0]
        if not targets:
            return ""
        names = [name for name, _ in targets]
        return self._rng.choices(names, [weight for _, weight in targets])[0]

    def _on_table_changed(self, table: str) -> None:
        if table == wire_replicas.TABLE:
            self._on_replicas_changed()
        if self.table_sync.is_following:
            self.peers.announce()

    def _on_replicas_changed(self) -> None:
        self._leave_unusable_engines()
        live = {replica.identity for replica in self.replicas.by_name.values()}
        self.services.drop_gone(live)
        self.rate_limits.drop_gone(live)
        self.pauses.drop_gone(live)
        for pipelines in self._pipelines_by_service.values():
            pipelines.drop_gone(live)

    def _leave_unusable_engines(self) -> None:
        """Move streams off engines that are leaving or have lost the path's layers."""
        for stream in self.streams():
            for hop in stream.path:
                replica = self.replicas.by_name.get(hop.replica.name)
                if replica is None or replica.incarnation != hop.replica.incarnation:
                    continue
                if replica.is_leaving or not replica.holds(hop.first, hop.last):
                    stream.move_off_engine(hop.replica, "leaving")

    # Readiness, start and shutdown.

    def is_ready(self) -> bool:
        """Return whether the balancer may send new connections."""
        return self.table_sync.is_complete and not self.is_draining

    def start_serving(self) -> None:
        """Listen, and start the exchange with the store and the peers."""
        host = self.settings.host
        listen(
            self.loop,
            parse_address(host.callers, "callers"),
            self._on_caller_connection,
            self.clients.limits,
        )
        listen(
            self.loop,
            parse_address(host.readiness, "readiness"),
            self._on_readiness_connection,
            self.clients.limits,
        )
        own = self._own_host()
        listen(
            self.loop,
            parse_address(own.address, "peer_ports"),
            self._on_peer_connection,
            self.clients.limits,
        )
        if host.metrics_port:
            address = (host.address, host.metrics_port)
            listen(
                self.loop,
                address,
                self._on_metrics_connection,
                self.clients.limits,
            )
        self.table_sync.start()
        self.peers.start()
        self._placer.start()
        log_event("started", address=host.callers)

    def run(self) -> None:
        """Serve until a signal ends it."""
        self.start_serving()
        self.loop.call_on_signal(signal.SIGTERM, self.drain)
        self.loop.call_on_signal(signal.SIGHUP, self.reload)
        self.loop.run()
        log_event("stopped")

    def _on_caller_connection(self, sock: socket.socket) -> None:
        if not self.clients.make_place(Group.CALLERS):
            sock.close()
            return
        caller = Caller(self, sock, self.clients, Group.CALLERS, self._account_of)
        self._callers.add(caller)

    def _account_of(self, request: Request) -> str | None:
        """Return the account of a request, ``None`` if it may not be forwarded.

        :returns: an empty name where the route needs no account.
        """
        directory = self.table_sync.directory
        if directory is None or self._refuses_requests:
            return None
        grant = self._authorize(directory, request)
        if isinstance(grant, Denial):
            return None
        return "" if grant.account is None else grant.account.name

    def _authorize(self, directory: Directory, request: Request) -> Grant | Denial:
        key = wire_headers.parse_api_key(request.header(self.names.authorization))
        return directory.authorize(request.host, request.path, key)

    def _on_readiness_connection(self, sock: socket.socket) -> None:
        AnswerServer(self.loop, self._answer_readiness).accept(sock, self.clients)

    def _answer_readiness(self, _request: Request) -> tuple[int, bytes]:
        return (OK if self.is_ready() else UNAVAILABLE), b""

    def _on_metrics_connection(self, sock: socket.socket) -> None:
        AnswerServer(self.loop, self._answer_metrics).accept(sock, self.clients)

    def _answer_metrics(self, request: Request) -> tuple[int, bytes]:
        if request.path != METRICS_PATH:
            return NOT_FOUND, b""
        return OK, self.telemetry.render(self)

    def _on_peer_connection(self, sock: socket.socket) -> None:
        AnswerServer(self.loop, self._answer_peer).accept(sock, self.clients)

    def _answer_peer(self, request: Request) -> tuple[int, bytes]:
        body = self.table_sync.encode_relay(request.target.decode("latin-1"))
        if body is None:
            return NOT_FOUND, b""
        self.telemetry.count_relayed_bytes(len(body))
        return OK, body

    def follow_settings(self, path: pathlib.Path) -> None:
        """Start to check the settings file regularly, and apply its changes."""
        self._settings_path = path
        self._settings_text = read_text(path)
        self.loop.call_later(SETTINGS_CHECK_INTERVAL_S, self._check_settings)

    def _check_settings(self) -> None:
        self.loop.call_later(SETTINGS_CHECK_INTERVAL_S, self._check_settings)
        self.reload()

    def reload(self) -> None:
        """Apply the settings file, if it has changed and is valid.

        The ``[host]`` section keeps its values from the start.
        """
        path = self._settings_path
        if path is None:
            return
        try:
            text = read_text(path)
            if text == self._settings_text:
                return
            self._settings_text = text
            settings = parse_settings(text, str(path))
        except SettingsError as error:
            log_event("reload", level="ERROR", outcome="kept", reason=error)
            return
        self.settings = msgspec.structs.replace(settings, host=self.settings.host)
        retries = settings.retries
        self.resend_budget.change(retries.ratio, retries.slack, retries.window_s)
        is_shared = settings.admission.shared_order
        self._waiting.queue.shared.set_enabled(is_enabled=is_shared)
        self.clients.set_limits(settings.clients)
        log_event("reload", outcome="taken")

    def drain(self) -> None:
        """Stop accepting requests, finish those in progress, then exit."""
        if self.is_draining:
            return
        self.is_draining = True
        log_event("draining", connections=len(self._callers))
        self._placer.release()
        self.peers.leave()
        self._close_idle()
        self.loop.call_later(ACCEPT_AFTER_SIGNAL_S, self._stop_accepting)
        grace_s = self.settings.shutdown.grace_s - EXIT_MARGIN_S
        self.loop.call_later(grace_s, self._close_remaining)

    def _close_idle(self) -> None:
        for caller in list(self._callers):
            caller.close_if_idle()

    def _stop_accepting(self) -> None:
        self._refuses_requests = True
        self._close_idle()
        self.loop.call_later(EXIT_DELAY_S, self._exit_if_done)

    def _exit_if_done(self) -> None:
        """Exit soon if all callers have acknowledged their answers."""
        if not self._refuses_requests or self._callers or self._exit_timer is not None:
            return
        self._exit_timer = self.loop.call_later(EXIT_DELAY_S, self._exit_if_read)

    def _exit_if_read(self) -> None:
        self._exit_timer = None
        if any(caller.has_unread_answer for caller in self._finishing):
            self._exit_if_done()
            return
        self._exit()

    def _close_remaining(self) -> None:
        for caller in list(self._callers):
            if isinstance(caller.active_request, Exchange):
                caller.active_request.on_shutdown()
        for caller in list(self._callers):
            caller.close()
        for caller in list(self._finishing):
            # What the system has queued is still sent.
            caller.close_unused()
        self.loop.call_later(EXIT_DELAY_S, self._exit)

    def _exit(self) -> None:
        self.loop.stop()
