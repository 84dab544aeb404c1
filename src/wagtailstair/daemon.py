"""The daemon of an entry host: its parts, its start and its graceful shutdown."""

import pathlib
import random
import signal
import sys
import threading
import typing as t
import uuid

import click
from werkzeug.wrappers import Response

from .claims import Claims
from .clock import Clock
from .clock import SystemClock
from .core.ejection import Ejection
from .core.ejection import EjectionLimits
from .core.lists import Lists
from .core.lists import ListsHolder
from .core.pool import PoolLimits
from .core.retry import RetryBudget
from .core.upstreams import Upstream
from .core.upstreams import Upstreams
from .exceptions import NotReadyError
from .exceptions import PlatformError
from .exceptions import SettingsError
from .http.app import App
from .http.context import Context
from .http.context import OpenRequests
from .http.server import Server
from .local import LocalDispatch
from .local import LocalQuota
from .logs import configure_logs
from .logs import log_event
from .metrics import Metrics
from .platform.http import Timeouts
from .platform.objects import ObjectClient
from .platform.table import TableClient
from .relay import Relays
from .services import Services
from .settings import Settings
from .settings import load_settings
from .upstreams.loop import Loop
from .upstreams.watch import EngineWatch
from .upstreams.watch import EntryHost
from .upstreams.watch import HostListWatch

EXIT_FAILED = 1
SIGNAL_POLL_S = 0.25
EXIT_SETTINGS = 2


class Daemon:
    """All parts of one running daemon."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = random.Random()
        self._incarnation = uuid.uuid4().hex[:12]
        self._stopping = threading.Event()
        self._is_leaving = False
        self._metrics = Metrics(settings.host.name)
        self._holder = ListsHolder()
        self._upstreams = Upstreams()
        self._loop = Loop(clock)
        self._budget = RetryBudget(settings.routing.retry_share)
        limits = _pool_limits(settings)
        self._dispatch = LocalDispatch(self._loop, clock, limits)
        self._claims = self._make_claims()
        self._open_requests = OpenRequests(settings.limits.open_requests, self._metrics)
        self._relays = self._make_relays()
        self._server = Server(
            settings.host.address,
            settings.host.http_port,
            App(self._make_context(limits)),
            settings.limits.open_requests,
        )

    @property
    def http_port(self) -> int:
        """Return the port that the server listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Begin to serve."""
        self._loop.start()
        self._dispatch.start()
        self._relays.start()
        self._watch_upstreams()
        threading.Thread(target=self._follow, daemon=True).start()
        self._server.start()
        log_event(
            "daemon_started",
            incarnation=self._incarnation,
            data_centre=self._settings.host.data_centre,
            address=f"{self._settings.host.address}:{self.http_port}",
        )

    def request_stop(self) -> None:
        """Ask for a graceful shutdown."""
        self._stopping.set()

    def run(self) -> bool:
        """Serve until a stop is asked for; say whether nothing was cut."""
        # The system may give the signal to another thread; its handler runs
        # only when the main thread wakes.
        while not self._stopping.wait(SIGNAL_POLL_S):
            continue
        return self._shut_down()

    def _shut_down(self) -> bool:
        shutdown = self._settings.shutdown
        # The balancer's view lags: it may send requests for a while after
        # readiness is gone, and those are served like all others.
        self._is_leaving = True
        log_event("shutdown_began", open_requests=self._open_requests.count)
        threading.Event().wait(shutdown.balancer_lag_s)
        self._server.close()
        log_event("listener_closed", open_requests=self._open_requests.count)
        drained = self._server.wait_idle(shutdown.drain_s)
        unsettled = self._claims.close(shutdown.drain_s)
        self._loop.stop()
        log_event("daemon_stopped", drained=drained, unsettled=unsettled)
        return drained and not unsettled

    def _make_claims(self) -> Claims:
        platform = self._settings.platform
        timeouts = Timeouts(platform.connect_timeout_s, platform.timeout_s)
        return Claims(
            TableClient(platform.table, timeouts),
            ObjectClient(platform.objects, timeouts),
            self._clock,
            self._settings.host.name,
            self._incarnation,
        )

    def _make_relays(self) -> Relays:
        return Relays(
            self._loop,
            self._dispatch,
            self._clock,
            self._settings.routing,
            self._settings.host.name,
            may_retry=self._may_retry,
            on_failed=lambda engine: self._metrics.count(
                "attempts_failed", engine=engine
            ),
            on_answered=lambda engine: None,
        )

    def _make_context(self, limits: PoolLimits) -> Context:
        services = Services(
            self._loop,
            self._clock,
            self._settings,
            self._upstreams,
            self._claims,
            Ejection(limits.ejection),
            self._budget,
            self._rng,
        )
        return Context(
            settings=self._settings,
            clock=self._clock,
            metrics=self._metrics,
            open_requests=self._open_requests,
            lists=self._fresh_lists,
            is_ready=self._is_ready,
            status=self._status,
            data_centres_of=self._data_centres_of,
            relays=self._relays,
            services=services,
            quota=LocalQuota(self._clock, self._settings.host.name),
            peer_lists=lambda request: Response(status=404),
        )

    def _watch_upstreams(self) -> None:
        HostListWatch(
            self._loop,
            self._clock,
            self._settings.platform,
            self._upstreams,
            self._on_entry_hosts,
            self._on_gone,
            self._rng,
        ).start()
        EngineWatch(
            self._loop,
            self._clock,
            self._engines_to_poll,
            self._dispatch.observe,
            self._on_silent,
            self._rng,
        ).start()

    def _follow(self) -> None:
        table = TableClient(self._settings.platform.table)
        while not self._stopping.wait(self._settings.platform.lists_interval_s):
            try:
                (head,) = table.read([("lists", "head")])
                version = head.value["version"] if head.value else 0
                if version <= self._holder.current.version:
                    continue
                rows = [*table.scan("plans"), *table.scan("accounts")]
            except PlatformError as error:
                log_event("lists_read_failed", level="WARNING", error=str(error))
                continue
            self._holder.offer(Lists().with_rows(version, rows))

    def _may_retry(self) -> bool:
        return self._budget.take(self._clock.monotonic())

    def _fresh_lists(self) -> Lists:
        lists = self._holder.current
        if lists.version == 0:
            raise NotReadyError("no lists yet", retry_after_s=1.0)
        return lists

    def _is_ready(self) -> bool:
        return self._holder.current.version > 0 and not self._is_leaving

    def _data_centres_of(self, model: str) -> tuple[str, ...]:
        own = self._settings.host.data_centre
        names = self._dispatch.data_centres_of(model)
        return tuple(sorted(names, key=lambda name: (name != own, name)))

    def _engines_to_poll(self) -> list[Upstream]:
        return self._upstreams.engines(self._settings.host.data_centre)

    def _on_entry_hosts(self, entry_hosts: list[EntryHost]) -> None:
        pass

    def _on_gone(self, names: list[str]) -> None:
        for name in names:
            self._dispatch.remove(name)

    def _on_silent(self, engine: str) -> None:
        self._dispatch.remove(engine)

    def _status(self) -> dict[str, t.Any]:
        upstreams = []
        for upstream, leaving in self._upstreams.all():
            upstreams.append(
                {
                    "name": upstream.name,
                    "kind": upstream.kind.value,
                    "data_centre": upstream.data_centre,
                    "state": "leaving" if leaving else "live",
                }
            )
        return {
            "host": self._settings.host.name,
            "incarnation": self._incarnation,
            "data_centre": self._settings.host.data_centre,
            "ready": self._is_ready(),
            "lists_version": self._holder.current.version,
            "peers": [],
            "upstreams": upstreams,
        }


def _pool_limits(settings: Settings) -> PoolLimits:
    routing = settings.routing
    ejection = EjectionLimits(
        after=routing.eject_after,
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
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
