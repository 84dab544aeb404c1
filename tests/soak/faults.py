"""The faults that the soak injects; they may overlap."""

import random
import signal
import typing as t

from tests.gateway_data import make_config
from tests.soak.callers import LEAST_URGENT
from tests.soak.callers import STREAM_PATHS
from tests.soak.callers import SoakCaller
from tests.soak.checker import STORE
from tests.soak.checker import UPSTREAMS
from tests.soak.checker import InvariantChecker
from tests.soak.checker import Key
from tests.soak.hosts import HostProcess
from tests.soak.misuse import BODY_BYTES
from tests.soak.proxy import LinkMode
from tests.soak.upstreams import SoakEngine
from tests.soak.upstreams import SoakService
from tests.soak.upstreams import SoakStore
from wagtailstair.gateway.loop import Loop

FAULT_DURATION_S = (0.3, 4.0)
DOWNTIME_S = (0.2, 2.0)
MAX_LINK_DELAY_S = 0.15
CLOCK_SKEWS_S = (-3600.0, -2.0, 0.0, 2.0, 3600.0)
LEAVING_S = 4.0
"""Seconds that a leaving upstream keeps serving; longer than the bound DRAIN_S."""

SHUTDOWN_GRACE_S = 8.0
"""The setting shutdown.grace_s of the hosts."""

RETURN_AWAY_S = (0.0, 2.0)
REWRITE_S = (0.05, 1.5)
"""Bounds of the times for which the store is away before it comes back from a copy,
and after which its writers write again."""

MAX_CALLER_KEYS = 6
STATIC_KEYS = (Key("key-press", "press", 1), Key("key-guild", "guild", 1))
"""Keys of two more accounts, which are not rotated."""

FLOOD_CALLERS = 30
"""Callers of a flood; the engines of all data centres take 24 streams."""

URGENT_CALLERS = 4
FLOOD_DURATION_S = (4.0, 6.0)


class SoakDeployment:
    """The parts of a deployment on which faults act."""

    def __init__(
        self, loop: Loop, checker: InvariantChecker, rng: random.Random
    ) -> None:
        self.loop = loop
        self.checker = checker
        self.rng = rng
        self.store = SoakStore(loop)
        # The lists that the operator wrote last.
        self.lists: dict[str, t.Any] = {}
        self.hosts: list[HostProcess] = []
        self.services: list[SoakService] = []
        self.engines: list[SoakEngine] = []
        self.keys = [Key("key-1", "maker", 1), Key("key-2", "judge", 1)]
        self.fault_log: list[str] = []
        self.faults_ended = False

    def caller_keys(self) -> list[Key]:
        """Return the keys for callers; during faults, also recently revoked ones."""
        if self.faults_ended:
            return [key for key in self.keys if key.removed is None]
        return self.keys[-MAX_CALLER_KEYS:]

    def write_lists(self) -> None:
        """Write the current lists to the store under a new version."""
        version = self.checker.version + self.rng.randint(1, 5)
        by_account: dict[str, list[str]] = {"maker": [], "judge": []}
        for key in (*STATIC_KEYS, *self.keys):
            if key.removed is None:
                by_account.setdefault(key.account, []).append(key.text)
        tenants = [
            {"name": name, "api_keys": texts} for name, texts in by_account.items()
        ]
        config = make_config(version, tenants=tenants)
        draft = config["routes"][0]
        for rank, aim_ms in ((1, 750), (2, 1000)):
            path = STREAM_PATHS[rank]
            changes = {"name": path.split("/")[1], "prefix": path[:-1]}
            route = {**draft, **changes, "aim_ms": aim_ms, "priority": rank}
            config["routes"].append(route)
        config["limits"]["max_body_bytes"] = BODY_BYTES
        for route in config["routes"]:
            route["anonymous"] = False
        # There is only one service, so the split between two is removed.
        config["routes"][2].pop("split")
        config["routes"][2]["service"] = "desk"
        self.lists = config
        self.store.put("op", "config", config)
        self.checker.record_version(version, self.loop.now)

    def duration_s(self, bounds: tuple[float, float] = FAULT_DURATION_S) -> float:
        """Draw the duration of a fault."""
        return self.rng.uniform(*bounds)

    def disturb(self, part: str, duration_s: float, undo: t.Callable[[], None]) -> None:
        """Record a part as disturbed for a duration, then undo the fault."""
        self.checker.disturbances.begin(part)

        def end_fault() -> None:
            undo()
            self.checker.disturbances.end(part, self.loop.now)

        self.loop.call_later(duration_s, end_fault)


def flood_streams(deployment: SoakDeployment, rng: random.Random) -> None:
    """Flood the hosts of one data centre with streams of the least urgent rank.

    A few more callers send urgent ones there, so that these are hardly ever absent.
    """
    centre = rng.choice(deployment.hosts).data_centre
    hosts = [host for host in deployment.hosts if host.data_centre == centre]
    key = rng.choice(STATIC_KEYS)
    deployment.fault_log.append(f"{deployment.loop.now:.2f} {flood_streams.__name__}")
    callers = []
    for rank in [0] * URGENT_CALLERS + [LEAST_URGENT] * FLOOD_CALLERS:
        keys = [key if rank else STATIC_KEYS[0]]
        own = random.Random(rng.random())
        loop, checker = deployment.loop, deployment.checker
        caller = SoakCaller(loop, checker, hosts, keys.copy, own, own, rank=rank)
        caller.start()
        callers.append(caller)

    def end_flood() -> None:
        for caller in callers:
            caller.is_stopped = True

    deployment.loop.call_later(rng.uniform(*FLOOD_DURATION_S), end_flood)


def return_store(deployment: SoakDeployment, rng: random.Random) -> None:
    """Let the store come back from an older copy; its writers then write again."""
    deployment.fault_log.append(f"{deployment.loop.now:.2f} {return_store.__name__}")
    store, loop = deployment.store, deployment.loop
    copy = rng.choice(store.copies)
    store.mode = rng.choice(["silent", "busy", "lost"])
    deployment.checker.disturbances.begin(STORE)

    def come_back() -> None:
        store.come_back(copy)
        store.mode = "ok"
        for upstream in (*deployment.services, *deployment.engines):
            loop.call_later(rng.uniform(*REWRITE_S), lambda u=upstream: rewrite_row(u))
        loop.call_later(rng.uniform(*REWRITE_S), write_lists_again)
        loop.call_later(max(REWRITE_S), end_fault)

    def rewrite_row(upstream: SoakService | SoakEngine) -> None:
        if not upstream.has_left and not upstream.is_down:
            upstream.write_row()

    def write_lists_again() -> None:
        store.put("op", "config", deployment.lists)

    def end_fault() -> None:
        present = [*deployment.services, *deployment.engines]
        names = {upstream.name for upstream in present if not upstream.has_left}
        for (table, key), (value, _) in list(store.row_by_key.items()):
            if table == "servers" and value is not None and key not in names:
                store.put(table, key, None)
        deployment.checker.disturbances.end(STORE, loop.now)

    loop.call_later(rng.uniform(*RETURN_AWAY_S), come_back)


def kill_hosts(deployment: SoakDeployment) -> None:
    """Kill one host or all of them, and restart them later."""
    count = len(deployment.hosts) if deployment.rng.random() < 0.2 else 1
    for host in deployment.rng.sample(deployment.hosts, count):
        host.signal(signal.SIGKILL, -signal.SIGKILL)
        deployment.disturb(
            host.name,
            deployment.duration_s(DOWNTIME_S),
            lambda h=host: ensure_started(h),
        )


def ensure_started(host: HostProcess) -> None:
    """Start a host unless it is running."""
    if not host.is_running:
        host.start()


def terminate_host(deployment: SoakDeployment) -> None:
    """Shut a host down with SIGTERM and restart it after its exit."""
    host = deployment.rng.choice(deployment.hosts)
    if not host.is_running or host.is_paused or host.shutdown_at is not None:
        return
    host.shutdown_at = deployment.loop.now
    host.signal(signal.SIGTERM, 0)
    deadline = deployment.loop.now + SHUTDOWN_GRACE_S + 1

    def check() -> None:
        if host.is_running and not host.is_paused and deployment.loop.now > deadline:
            text = f"shutdown: {host.incarnation} still runs after the grace period"
            deployment.checker.violations.append(text)
            host.signal(signal.SIGKILL, -signal.SIGKILL)
        if host.is_running:
            deployment.loop.call_later(0.1, check)
            return
        deployment.checker.disturbances.record(host.name, deployment.loop.now)
        if host.expected_exits:
            ensure_started(host)

    check()


def pause_host(deployment: SoakDeployment) -> None:
    """Suspend a host's process for the duration of the fault."""
    host = deployment.rng.choice(deployment.hosts)
    if not host.is_running or host.is_paused:
        return
    host.is_paused = True
    host.signal(signal.SIGSTOP)

    def resume() -> None:
        host.is_paused = False
        host.signal(signal.SIGCONT)

    deployment.disturb(host.name, deployment.duration_s(), resume)


def reload_settings(deployment: SoakDeployment) -> None:
    """Change a host's settings file; half of the time, send SIGHUP as well."""
    host = deployment.rng.choice(deployment.hosts)
    host.retries_slack = deployment.rng.randint(100, 300)
    host.write_settings()
    if deployment.rng.random() < 0.5:
        host.signal(signal.SIGHUP)


def skew_clock(deployment: SoakDeployment) -> None:
    """Kill a host and restart it with a skewed wall clock."""
    host = deployment.rng.choice(deployment.hosts)
    host.skew_s = deployment.rng.choice(CLOCK_SKEWS_S)
    host.signal(signal.SIGKILL, -signal.SIGKILL)
    deployment.disturb(
        host.name, deployment.duration_s(DOWNTIME_S), lambda: ensure_started(host)
    )


def impair_store_link(deployment: SoakDeployment) -> None:
    """Impair the link between one host and the store."""
    host = deployment.rng.choice(deployment.hosts)
    _impair_link(deployment, host.name, host.store_proxy.set_mode)


def impair_caller_link(deployment: SoakDeployment) -> None:
    """Impair the link between callers and one host."""
    host = deployment.rng.choice(deployment.hosts)
    _impair_link(deployment, host.name, host.caller_proxy.set_mode)


def _impair_link(
    deployment: SoakDeployment, part: str, set_mode: t.Callable[[LinkMode, float], None]
) -> None:
    modes = [mode for mode in LinkMode if mode is not LinkMode.OK]
    set_mode(
        deployment.rng.choice(modes), deployment.rng.uniform(0.01, MAX_LINK_DELAY_S)
    )
    deployment.disturb(
        part, deployment.duration_s(), lambda: set_mode(LinkMode.OK, 0.0)
    )


def stall_store_connections(deployment: SoakDeployment) -> None:
    """Stall a host's open connections to the store permanently."""
    host = deployment.rng.choice(deployment.hosts)
    host.store_proxy.stall_open_links()
    deployment.checker.disturbances.record(host.name, deployment.loop.now)


def make_store_unavailable(deployment: SoakDeployment) -> None:
    """Make the store refuse, not answer, or lose its answers, for all hosts."""
    deployment.store.mode = deployment.rng.choice(["busy", "silent", "lost"])

    def recover() -> None:
        deployment.store.mode = "ok"

    deployment.disturb(STORE, deployment.duration_s(), recover)


def drop_store_history(deployment: SoakDeployment) -> None:
    """Make the store drop its history of changes."""
    deployment.store.drop_history()
    deployment.checker.disturbances.record(STORE, deployment.loop.now)


def rotate_keys(deployment: SoakDeployment) -> None:
    """Add a key, and revoke another one if more than two are valid."""
    version = deployment.checker.version + 1
    account = deployment.rng.choice(["maker", "judge"])
    valid = [key for key in deployment.keys if key.removed is None]
    if len(valid) > 2:
        deployment.rng.choice(valid).removed = version
    deployment.keys.append(Key(f"key-{len(deployment.keys) + 1}", account, version))
    deployment.write_lists()


def crash_upstream(deployment: SoakDeployment) -> None:
    """Crash an upstream, which restarts later under its name without state."""
    upstream = deployment.rng.choice([*deployment.services, *deployment.engines])
    if upstream.is_down or upstream.has_left:
        return
    upstream.is_down = True
    for caller in list(upstream.callers):
        caller.close()

    def recover() -> None:
        upstream.is_down = False
        upstream.orders = []
        upstream.write_row(born=upstream.row["born"] + 1)
        if isinstance(upstream, SoakEngine):
            upstream.write_row(layers=None)

    deployment.disturb(UPSTREAMS, deployment.duration_s(), recover)


def replace_upstream(deployment: SoakDeployment) -> None:
    """Drain and stop an upstream; later a new one starts under another name."""
    upstream = deployment.rng.choice([*deployment.services, *deployment.engines])
    if upstream.is_down or upstream.has_left:
        return
    upstream.write_row(state="draining")
    deployment.checker.record_leaving(upstream.name, deployment.loop.now)
    deployment.loop.call_later(LEAVING_S, lambda: _stop_upstream(deployment, upstream))


def _stop_upstream(deployment: SoakDeployment, upstream: t.Any) -> None:
    upstream.has_left = True
    deployment.store.put("servers", upstream.name, None)

    def recover() -> None:
        upstream.has_left = False
        upstream.name += "+"
        upstream.orders = []
        upstream.row.update(state="ready", born=upstream.row["born"] + 1)
        if isinstance(upstream, SoakEngine):
            upstream.row["layers"] = None
        upstream.write_row()

    deployment.disturb(UPSTREAMS, deployment.duration_s(), recover)


FAULTS: tuple[t.Callable[[SoakDeployment], None], ...] = (
    kill_hosts,
    terminate_host,
    terminate_host,
    pause_host,
    reload_settings,
    skew_clock,
    impair_store_link,
    impair_caller_link,
    stall_store_connections,
    make_store_unavailable,
    drop_store_history,
    rotate_keys,
    rotate_keys,
    crash_upstream,
    replace_upstream,
)
"""Repeated faults are drawn more often; a seed's faults depend on the order."""
