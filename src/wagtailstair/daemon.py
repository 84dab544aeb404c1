"""The daemon of an entry host: components, start and graceful shutdown."""

import dataclasses
import os
import pathlib
import random
import signal
import sys
import threading
import typing as t

import click

from .claims import Claims
from .clock import Clock
from .clock import SystemClock
from .cluster import Cluster
from .core.ejection import Ejection
from .core.ejection import EjectionLimits
from .core.engine import EngineState
from .core.leases import LeaseLimits
from .core.messages import PoolKey
from .core.placement import PlacementLimits
from .core.pool import Pool
from .core.pool import PoolLimits
from .core.shapes import ModelShapes
from .core.shapes import has_route
from .core.upstreams import Upstream
from .core.upstreams import Upstreams
from .exceptions import SettingsError
from .http.app import App
from .http.context import Context
from .http.context import OpenRequests
from .http.server import Server
from .logs import configure_logs
from .logs import log_event
from .metrics import Metrics
from .placement import LeaseManager
from .placement import Placer
from .relay import Relays
from .report import describe_pools
from .report import describe_upstreams
from .report import publish_pools
from .report import publish_traffic
from .services import Services
from .settings import LEASE_MARGIN_S
from .settings import Settings
from .settings import load_settings
from .shared_retry_budget import SharedRetryBudget
from .stores.http import Timeouts
from .stores.objects import ObjectClient
from .stores.table import TableClient
from .sweep import Sweeper
from .upstreams.loop import Loop
from .upstreams.orders import EngineOrders
from .upstreams.watch import EngineWatch
from .upstreams.watch import HostListWatch

READINESS_POLL_INTERVAL_S = 0.05
ENGINE_REPORTS_TIMEOUT_S = 3.0
PUBLISH_INTERVAL_S = 1.0
SWEEP_ROLE = "claims/sweep"
EXIT_FAILED = 1
SIGNAL_POLL_INTERVAL_S = 0.25
EXIT_SETTINGS = 2


class Daemon:
    """Creates the components of one daemon, and starts and stops them."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = random.Random()
        # Milliseconds of wall-clock time: increases with each start, also on a
        # host without persistent storage.
        self._incarnation = int(clock.utcnow().timestamp() * 1000)
        self._stopping = threading.Event()
        self._is_serving = False
        self._is_leaving = False
        self._started_at = clock.monotonic()
        self._metrics = Metrics(settings.host.name)
        self._upstreams = Upstreams()
        self._loop = Loop(clock)
        self._retry_budget = SharedRetryBudget(settings.routing.retry_share)
        self._pool_limits = _pool_limits(settings)
        self._server = Server(
            settings.host.address,
            settings.host.http_port,
            settings.limits.open_requests,
        )
        platform = settings.platform
        timeouts = Timeouts(platform.timeout_s, platform.connect_timeout_s)
        table = TableClient(platform.table, timeouts)
        self._cluster = Cluster(
            settings,
            clock,
            self._incarnation,
            self._server.server_port,
            table,
            self._make_pool,
            self._rng,
        )
        self._dispatcher = self._cluster.dispatcher
        self._claims = Claims(
            table,
            ObjectClient(platform.objects, timeouts),
            clock,
            settings.host.name,
            str(self._incarnation),
            is_dead=self._cluster.is_host_dead,
        )
        self._sweeper = Sweeper(
            self._claims, table.scan, lambda: self._cluster.owns_role(SWEEP_ROLE)
        )
        self._open_requests = OpenRequests(settings.limits.open_requests, self._metrics)
        self._placer = self._make_placer(table)
        self._relays = self._make_relays()
        self._server.app = App(self._make_context())

    @property
    def http_port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Start all components."""
        self._loop.start()
        self._cluster.start()
        self._relays.start()
        self._start_upstream_watches()
        self._loop.call(self._check_readiness)
        self._loop.call(self._publish_metrics)
        if self._settings.placement.enabled:
            self._placer.start()
        self._sweeper.start()
        self._server.start()
        log_event(
            "daemon_started",
            incarnation=self._incarnation,
            data_centre=self._settings.host.data_centre,
            address=f"{self._settings.host.address}:{self.http_port}",
        )

    def request_stop(self) -> None:
        """Request a graceful shutdown."""
        self._stopping.set()

    def run(self) -> bool:
        """Serve until a stop is requested; return whether all work was completed."""
        # The system may deliver the signal to another thread. Its handler runs in
        # the main thread, which must therefore wake up regularly.
        while not self._stopping.wait(SIGNAL_POLL_INTERVAL_S):
            continue
        return self._shut_down_gracefully()

    def _shut_down_gracefully(self) -> bool:
        shutdown = self._settings.shutdown
        # The load balancer notices the lost readiness only after a delay. Until
        # then it sends new requests, which are served as usual.
        self._is_leaving = True
        self._cluster.announce_leaving()
        self._placer.close()
        self._sweeper.stop()
        log_event("shutdown_began", open_requests=self._open_requests.count)
        threading.Event().wait(shutdown.balancer_lag_s)
        self._server.close()
        log_event("listener_closed", open_requests=self._open_requests.count)
        drained = self._server.wait_idle(shutdown.drain_s)
        unsettled = self._claims.close(shutdown.drain_s)
        self._cluster.stop()
        self._loop.stop()
        log_event("daemon_stopped", drained=drained, unsettled=unsettled)
        return drained and not unsettled

    def _make_relays(self) -> Relays:
        return Relays(
            self._loop,
            self._dispatcher,
            self._clock,
            self._settings.routing,
            self._settings.host.name,
            self._settings.host.data_centre,
            self._retry_budget,
            self._rng,
            on_attempt_failed=lambda engine: self._metrics.count(
                "attempts_failed", engine=engine
            ),
        )

    def _make_context(self) -> Context:
        services = Services(
            self._loop,
            self._clock,
            self._settings,
            self._upstreams,
            self._claims,
            Ejection(self._pool_limits.ejection),
            self._retry_budget,
            self._rng,
        )
        return Context(
            settings=self._settings,
            clock=self._clock,
            metrics=self._metrics,
            open_requests=self._open_requests,
            lists=self._cluster.fresh_lists,
            is_ready=self._is_ready,
            status=self._status,
            data_centres_of=self._data_centres_of,
            relays=self._relays,
            services=services,
            quota=self._dispatcher,
            peer_lists=self._cluster.serve_lists,
        )

    def _make_placer(self, table: TableClient) -> Placer:
        placement = self._settings.placement
        data_centre = self._settings.host.data_centre
        shapes = ModelShapes()
        lease_manager = LeaseManager(
            table,
            self._clock,
            f"placement/{data_centre}",
            f"{self._settings.host.name}/{self._incarnation}",
            LeaseLimits(
                duration_s=placement.lease_s,
                renew_s=placement.lease_s / 3,
                margin_s=LEASE_MARGIN_S,
            ),
        )
        return Placer(
            lease_manager,
            EngineOrders(self._loop, self._clock, self._upstreams),
            self._clock,
            self._local_engines,
            lambda states: shapes.derive(self._cluster.lists_holder.current, states),
            PlacementLimits(
                hold_s=placement.hold_s,
                weights_bytes_per_s=placement.weights_bytes_per_s,
            ),
            placement.order_timeout_s,
        )

    def _local_engines(self) -> list[EngineState]:
        data_centre = self._settings.host.data_centre
        states = []
        for state in self._dispatcher.engine_states():
            if state.data_centre == data_centre:
                states.append(state)
        return states

    def _start_upstream_watches(self) -> None:
        self._host_list = HostListWatch(
            self._loop,
            self._clock,
            self._settings.platform,
            self._upstreams,
            self._cluster.apply_host_list,
            self._remove_engines,
            self._rng,
        )
        self._host_list.start()
        EngineWatch(
            self._loop,
            self._clock,
            self._engines_to_poll,
            self._observe_engine,
            self._dispatcher.remove,
            self._rng,
        ).start()

    def _make_pool(self, key: PoolKey) -> Pool:
        return Pool(key.model, key.data_centre, self._pool_limits)

    def _check_readiness(self) -> None:
        if self._cluster.is_ready and self._has_engine_reports():
            self._is_serving = True
            self._cluster.announce_live()
            log_event(
                "daemon_ready", lists_version=self._cluster.lists_holder.current.version
            )
            return
        self._loop.call_later(READINESS_POLL_INTERVAL_S, self._check_readiness)

    def _has_engine_reports(self) -> bool:
        # A request that arrives before the first load reports would find no route.
        if self._clock.monotonic() - self._started_at > ENGINE_REPORTS_TIMEOUT_S:
            return True
        if not self._host_list.has_host_list:
            return False
        known = {state.name for state in self._dispatcher.engine_states()}
        for engine in self._upstreams.engines(self._settings.host.data_centre):
            if engine.name not in known:
                return False
        return True

    def _is_ready(self) -> bool:
        return self._is_serving and not self._is_leaving

    def _data_centres_of(self, model: str) -> tuple[str, ...]:
        names = self._dispatcher.data_centres_of(model)
        own_data_centre = self._settings.host.data_centre
        if own_data_centre not in names:
            return tuple(names)
        names.remove(own_data_centre)
        if has_route(model, self._local_engines()):
            return (own_data_centre, *names)
        # Without a route here a request would wait in this data centre's pool while
        # another could serve it.
        return (*names, own_data_centre)

    def _engines_to_poll(self) -> list[Upstream]:
        engines = []
        for engine in self._upstreams.engines(self._settings.host.data_centre):
            if self._dispatcher.is_poller_of(engine.name):
                engines.append(engine)
        return engines

    def _observe_engine(self, state: EngineState) -> None:
        if state.leaving:
            self._upstreams.mark_leaving(state.name, state.incarnation)
        elif self._upstreams.is_leaving(state.name):
            state = dataclasses.replace(state, leaving=True)
        self._dispatcher.observe(state)

    def _remove_engines(self, names: list[str]) -> None:
        for name in names:
            self._dispatcher.remove(name)

    def _publish_metrics(self) -> None:
        self._loop.call_later(PUBLISH_INTERVAL_S, self._publish_metrics)
        metrics = self._metrics
        publish_pools(metrics, self._dispatcher.pool_stats())
        publish_traffic(metrics, self._cluster.traffic)
        metrics.gauge("lists_version", self._cluster.lists_holder.current.version)
        metrics.gauge("claims_unsettled", self._claims.unsettled)
        metrics.gauge("ready", self._is_ready())

    def _status(self) -> dict[str, t.Any]:
        return {
            "host": self._settings.host.name,
            "incarnation": self._incarnation,
            "data_centre": self._settings.host.data_centre,
            "ready": self._is_ready(),
            "lists_version": self._cluster.lists_holder.current.version,
            "peers": self._cluster.describe_peers(),
            "upstreams": describe_upstreams(self._upstreams),
            "pools": describe_pools(self._dispatcher.pool_stats()),
        }


def _pool_limits(settings: Settings) -> PoolLimits:
    routing = settings.routing
    ejection = EjectionLimits(
        consecutive_failures=routing.eject_after,
        base_s=routing.eject_s,
        share=routing.eject_share,
    )
    return PoolLimits(
        queue_length=settings.limits.queue_length,
        minimum_shares=routing.minimum_shares,
        ejection=ejection,
    )


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="The TOML file with the settings.",
)
def main(path: pathlib.Path) -> None:
    """Run the daemon of one entry host until SIGTERM."""
    try:
        settings = load_settings(path)
    except SettingsError as error:
        click.echo(f"wagtailstaird: {error}", err=True)
        sys.exit(EXIT_SETTINGS)
    configure_logs(settings.log.level, settings.host.name)
    daemon = Daemon(settings, SystemClock())
    signal.signal(signal.SIGTERM, lambda number, frame: daemon.request_stop())
    signal.signal(signal.SIGINT, lambda number, frame: daemon.request_stop())
    daemon.start()
    if not daemon.run():
        # A normal exit would wait for the threads of requests that did not end
        # within the drain timeout.
        sys.stderr.flush()
        os._exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
