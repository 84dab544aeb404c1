"""Faults from outside, drawn by seed, which come in series and overlap."""

import random
import signal
import typing as t

from tests.gateway_data import make_config
from tests.soak.checker import STORE
from tests.soak.checker import UPSTREAMS
from tests.soak.checker import Key
from tests.soak.checker import Ledger
from tests.soak.hosts import HostProcess
from tests.soak.proxy import LinkMode
from tests.soak.upstreams import SoakEngine
from tests.soak.upstreams import SoakService
from tests.soak.upstreams import SoakStore
from wagtailstair.gateway.loop import Loop

SPAN_S = (0.3, 4.0)
DOWN_S = (0.2, 2.0)
DELAY_S = 0.15
SKEWS_S = (-3600.0, -2.0, 0.0, 2.0, 3600.0)
LINGER_S = 4.0
"""Seconds that a leaving upstream goes on serving: over what the pages bound."""

GRACE_S = 8.0
KEYS_MAX = 6


class Stage:
    """What faults act on."""

    def __init__(self, loop: Loop, ledger: Ledger, rng: random.Random) -> None:
        self.loop = loop
        self.ledger = ledger
        self.rng = rng
        self.store = SoakStore(loop)
        self.hosts: list[HostProcess] = []
        self.services: list[SoakService] = []
        self.engines: list[SoakEngine] = []
        self.keys = [Key("key-1", "maker", 1), Key("key-2", "judge", 1)]
        self.log: list[str] = []
        self.is_over = False

    def live_keys(self) -> list[Key]:
        """Return the keys that callers use: those revoked lately with them."""
        if self.is_over:
            return [key for key in self.keys if key.removed is None]
        return self.keys[-KEYS_MAX:]

    def write_lists(self) -> None:
        """Write the lists as they should be now, under a new version."""
        version = self.ledger.version + self.rng.randint(1, 5)
        by_account: dict[str, list[str]] = {"maker": [], "judge": []}
        for key in self.keys:
            if key.removed is None:
                by_account[key.account].append(key.text)
        tenants = [{"name": n, "api_keys": texts} for n, texts in by_account.items()]
        config = make_config(version, tenants=tenants)
        for route in config["routes"]:
            route["anonymous"] = False
        # Both targets of the split are the same upstreams here.
        config["routes"][2].pop("split")
        config["routes"][2]["service"] = "desk"
        self.store.put("op", "config", config)
        self.ledger.accept_version(version, self.loop.now)

    def span_s(self, bounds: tuple[float, float] = SPAN_S) -> float:
        """Return the length of a fault."""
        return self.rng.uniform(*bounds)

    def spell(self, part: str, span_s: float, end: t.Callable[[], None]) -> None:
        """Count a part as disturbed for a while, then undo what was done to it."""
        self.ledger.touch.begin(part)

        def on_end() -> None:
            end()
            self.ledger.touch.end(part, self.loop.now)

        self.loop.call_later(span_s, on_end)


def kill(stage: Stage) -> None:
    """Kill a host, or many at once, and start it again."""
    count = len(stage.hosts) if stage.rng.random() < 0.2 else 1
    for host in stage.rng.sample(stage.hosts, count):
        host.signal(signal.SIGKILL, -signal.SIGKILL)
        stage.spell(host.name, stage.span_s(DOWN_S), lambda h=host: restart(h))


def restart(host: HostProcess) -> None:
    """Start a host unless it runs."""
    if not host.is_running:
        host.start()


def terminate(stage: Stage) -> None:
    """Shut a host down and start it once it has ended."""
    host = stage.rng.choice(stage.hosts)
    if not host.is_running or host.is_paused or host.drained_at is not None:
        return
    host.drained_at = stage.loop.now
    host.signal(signal.SIGTERM, 0)
    deadline = stage.loop.now + GRACE_S + 1

    def look() -> None:
        if host.is_running and not host.is_paused and stage.loop.now > deadline:
            text = f"shutdown: {host.incarnation} still runs after the grace"
            stage.ledger.broken.append(text)
            host.signal(signal.SIGKILL, -signal.SIGKILL)
        if host.is_running:
            stage.loop.call_later(0.1, look)
            return
        stage.ledger.touch.note(host.name, stage.loop.now)
        if host.expected_exits:
            restart(host)

    look()


def pause(stage: Stage) -> None:
    """Freeze a host's process for a while."""
    host = stage.rng.choice(stage.hosts)
    if not host.is_running or host.is_paused:
        return
    host.is_paused = True
    host.signal(signal.SIGSTOP)

    def wake() -> None:
        host.is_paused = False
        host.signal(signal.SIGCONT)

    stage.spell(host.name, stage.span_s(), wake)


def reload(stage: Stage) -> None:
    """Change a host's settings file, with a signal or without one."""
    host = stage.rng.choice(stage.hosts)
    host.retries_slack = stage.rng.randint(100, 300)
    host.write_settings()
    if stage.rng.random() < 0.5:
        host.signal(signal.SIGHUP)


def skew_clock(stage: Stage) -> None:
    """Set a host's time of day off, from its next start on, and kill it."""
    host = stage.rng.choice(stage.hosts)
    host.skew_s = stage.rng.choice(SKEWS_S)
    host.signal(signal.SIGKILL, -signal.SIGKILL)
    stage.spell(host.name, stage.span_s(DOWN_S), lambda: restart(host))


def cut_store_link(stage: Stage) -> None:
    """Harm the link between one host and the store."""
    host = stage.rng.choice(stage.hosts)
    _harm(stage, host.name, host.store.set_mode)


def cut_front_link(stage: Stage) -> None:
    """Harm the link between callers and one host."""
    host = stage.rng.choice(stage.hosts)
    _harm(stage, host.name, host.front.set_mode)


def _harm(
    stage: Stage, part: str, set_mode: t.Callable[[LinkMode, float], None]
) -> None:
    modes = [mode for mode in LinkMode if mode is not LinkMode.OK]
    set_mode(stage.rng.choice(modes), stage.rng.uniform(0.01, DELAY_S))
    stage.spell(part, stage.span_s(), lambda: set_mode(LinkMode.OK, 0.0))


def stall_connections(stage: Stage) -> None:
    """Silence a host's open connections to the store for good."""
    host = stage.rng.choice(stage.hosts)
    host.store.stall_open()
    stage.ledger.touch.note(host.name, stage.loop.now)


def store_away(stage: Stage) -> None:
    """Make the store refuse, be silent, or lose its answers for all."""
    stage.store.mode = stage.rng.choice(["busy", "silent", "lost"])

    def back() -> None:
        stage.store.mode = "ok"

    stage.spell(STORE, stage.span_s(), back)


def forget_history(stage: Stage) -> None:
    """Make the store forget its history while an upstream's row changes."""
    stage.store.forget_history()
    stage.ledger.touch.note(STORE, stage.loop.now)


def rotate_keys(stage: Stage) -> None:
    """Add a key and revoke another one."""
    version = stage.ledger.version + 1
    account = stage.rng.choice(["maker", "judge"])
    live = [key for key in stage.keys if key.removed is None]
    if len(live) > 2:
        stage.rng.choice(live).removed = version
    stage.keys.append(Key(f"key-{len(stage.keys) + 1}", account, version))
    stage.write_lists()


def crash_upstream(stage: Stage) -> None:
    """Crash an upstream, which starts again under its name, empty."""
    upstream = stage.rng.choice([*stage.services, *stage.engines])
    if upstream.is_down or upstream.is_closed:
        return
    upstream.is_down = True
    for caller in list(upstream.callers):
        caller.close()

    def back() -> None:
        upstream.is_down = False
        upstream.orders = []
        upstream.write_row(born=upstream.row["born"] + 1)
        if isinstance(upstream, SoakEngine):
            upstream.write_row(layers=None)

    stage.spell(UPSTREAMS, stage.span_s(), back)


def replace_upstream(stage: Stage) -> None:
    """Let an upstream leave as planned; another start of it comes later."""
    upstream = stage.rng.choice([*stage.services, *stage.engines])
    if upstream.is_down or upstream.is_closed:
        return
    upstream.write_row(state="draining")
    stage.ledger.leave(upstream.name, stage.loop.now)
    stage.loop.call_later(LINGER_S, lambda: _end_upstream(stage, upstream))


def _end_upstream(stage: Stage, upstream: t.Any) -> None:
    upstream.is_closed = True
    stage.store.put("servers", upstream.name, None)

    def back() -> None:
        upstream.is_closed = False
        upstream.name += "+"
        upstream.orders = []
        upstream.row.update(state="ready", born=upstream.row["born"] + 1)
        if isinstance(upstream, SoakEngine):
            upstream.row["layers"] = None
        upstream.write_row()

    stage.spell(UPSTREAMS, stage.span_s(), back)


FAULTS: tuple[t.Callable[[Stage], None], ...] = (
    kill,
    terminate,
    terminate,
    pause,
    reload,
    skew_clock,
    cut_store_link,
    cut_front_link,
    stall_connections,
    store_away,
    forget_history,
    rotate_keys,
    rotate_keys,
    crash_upstream,
    replace_upstream,
)
