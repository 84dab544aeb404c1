"""Keeps the lists up to date from the platform and from peers."""

import concurrent.futures
import threading
import typing as t

from .clock import Clock
from .core.lists import Lists
from .core.lists import ListsHolder
from .core.lists_refresh import Action
from .core.lists_refresh import FetchLists
from .core.lists_refresh import ListsRefresh
from .core.lists_refresh import PeerVersions
from .core.lists_refresh import ReadLists
from .core.lists_refresh import ReadVersion
from .exceptions import ListsError
from .exceptions import PeerError
from .exceptions import PlatformError
from .logs import log_event

TICK_S = 0.1
WORKERS = 2  # one for the platform, one for a peer
FRESHNESS_POLL_S = 0.02

Submit = t.Callable[[t.Callable[[], None]], object]


class Follower:
    """Keeps the lists of one daemon at the highest version available to it.

    :param refresh: decides which reads are due.
    :param read_head: reads the version of the lists from the platform.
    :param read_since: reads the current lists from the platform, given older ones.
    :param fetch: fetches the lists from a peer, given older ones.
    :param find_peers: returns the versions that the peers have reported.
    :param find_rank: returns this host's rank among those of its data centre.
    :param on_lists_replaced: called with the old and the new lists after a replacement.
    :param submit: runs a blocking call in another thread.
    """

    def __init__(
        self,
        holder: ListsHolder,
        clock: Clock,
        refresh: ListsRefresh,
        *,
        read_head: t.Callable[[], int],
        read_since: t.Callable[[Lists], Lists],
        fetch: t.Callable[[str, Lists], Lists],
        find_peers: t.Callable[[], PeerVersions],
        find_rank: t.Callable[[], int],
        on_lists_replaced: t.Callable[[Lists, Lists], None] = lambda old, new: None,
        submit: Submit | None = None,
    ) -> None:
        self._holder = holder
        self._clock = clock
        self._refresh = refresh
        self._read_head = read_head
        self._read_since = read_since
        self._fetch = fetch
        self._find_peers = find_peers
        self._find_rank = find_rank
        self._on_lists_replaced = on_lists_replaced
        self._lock = threading.Lock()
        self._pool: concurrent.futures.ThreadPoolExecutor | None = None
        if submit is None:
            self._pool = concurrent.futures.ThreadPoolExecutor(
                WORKERS, thread_name_prefix="lists"
            )
            submit = self._pool.submit
        self._submit = submit
        self._tick_requested = threading.Event()
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="follower", daemon=True)

    def start(self) -> None:
        """Start the thread that refreshes the lists."""
        self._thread.start()

    def stop(self) -> None:
        """Stop, without waiting for a read in progress."""
        self._stopping = True
        self._tick_requested.set()
        self._thread.join()
        if self._pool is not None:
            self._pool.shutdown(wait=False, cancel_futures=True)

    def request_tick(self) -> None:
        """Run the next tick at once; called when a peer reports a version."""
        self._tick_requested.set()

    @property
    def is_ready(self) -> bool:
        """Whether the lists are current enough to start serving."""
        with self._lock:
            return self._refresh.is_ready

    def highest_known_version(self) -> int:
        """Return the highest version that this host holds or was reported to it."""
        with self._lock:
            return self._refresh.known

    def wait_until_fresh(self, deadline: float) -> bool:
        """Wait until the lists are fresh, after a pause of the process.

        The wait ends after one attempt to refresh, or after about a second.

        :param deadline: time on the monotonic clock.
        :returns: whether the lists may be used; False only at the deadline.
        """
        while True:
            now = self._clock.monotonic()
            with self._lock:
                if self._refresh.is_fresh(now):
                    return True
            if now >= deadline:
                return False
            self._tick_requested.set()
            threading.Event().wait(FRESHNESS_POLL_S)

    def tick(self) -> None:
        """Submit the reads and fetches that are due."""
        peers = self._find_peers()
        rank = self._find_rank()
        with self._lock:
            now = self._clock.monotonic()
            actions = self._refresh.tick(now, rank, peers)
        for action in actions:
            self._submit(self._make_call(action))

    def _run(self) -> None:
        while not self._stopping:
            try:
                self.tick()
            except Exception as error:
                # If this thread ended, the host would never refresh its lists.
                name = type(error).__name__
                log_event("follower_tick_failed", level="ERROR", error=name)
            self._tick_requested.wait(TICK_S)
            self._tick_requested.clear()

    def _make_call(self, action: Action) -> t.Callable[[], None]:
        def run() -> None:
            try:
                self._perform(action)
            except (PlatformError, PeerError, ListsError) as error:
                self._record_failure(action, error)
            except Exception as error:
                self._record_failure(action, error)
                # The future's exception is never read, so it is logged first.
                raise
            finally:
                self._tick_requested.set()

        return run

    def _perform(self, action: Action) -> None:
        if isinstance(action, ReadVersion):
            version = self._read_head()
            with self._lock:
                self._refresh.record_version(action, version, self._clock.monotonic())
            return
        if isinstance(action, ReadLists):
            lists = self._read_since(self._holder.current)
            self._apply(lists, "platform")
            with self._lock:
                now = self._clock.monotonic()
                self._refresh.record_version(action, lists.version, now)
            return
        self._apply(self._fetch(action.peer, self._holder.current), action.peer)
        with self._lock:
            self._refresh.record_fetch(action, self._clock.monotonic())

    def _apply(self, lists: Lists, source: str) -> None:
        old = self._holder.current
        if not self._holder.replace_if_newer(lists):
            return
        with self._lock:
            self._refresh.record_applied(lists.version)
        log_event("lists_taken", version=lists.version, source=source)
        self._on_lists_replaced(old, lists)

    def _record_failure(self, action: Action, error: Exception) -> None:
        with self._lock:
            self._refresh.record_failure(action, self._clock.monotonic())
        source = "platform"
        if isinstance(action, FetchLists):
            source = action.peer
        log_event(
            "lists_not_read",
            level="WARNING",
            source=source,
            error=type(error).__name__,
        )
