"""The metrics of a gateway, rendered by aioprometheus."""

import typing as t

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

from ..core.engine import Priority

if t.TYPE_CHECKING:
    from .gateway import Gateway

BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0]
"""Bucket bounds of the histograms, around the response-time goals of the routes."""


class Telemetry:
    """The metrics of one gateway; gauges are read when the metrics are rendered."""

    def __init__(self, host: str) -> None:
        registry = Registry()
        const = {"host": host}
        self._registry = registry

        def counter(name: str, text: str) -> Counter:
            full = f"wagtailstair_{name}_total"
            return Counter(full, text, const_labels=const, registry=registry)

        def histogram(name: str, text: str) -> Histogram:
            full = f"wagtailstair_{name}_seconds"
            return Histogram(
                full, text, const_labels=const, registry=registry, buckets=BUCKETS_S
            )

        def gauge(name: str, text: str) -> Gauge:
            full = f"wagtailstair_{name}"
            return Gauge(full, text, const_labels=const, registry=registry)

        self._requests = counter("requests", "Requests ended, by outcome.")
        self._requests_denied = counter(
            "requests_denied", "Requests that the lists deny."
        )
        self._sends = counter("sends", "Sends to upstreams, by kind of route.")
        self._relays = counter(
            "relays", "Requests for a table to other hosts, by outcome."
        )
        self._relayed_bytes = counter(
            "relayed_bytes", "Bytes of tables sent to other hosts."
        )
        self._request_seconds = histogram("request", "From the first byte to the end.")
        self._first_event_seconds = histogram(
            "first_event", "From the first byte to an event."
        )
        self._reports = counter(
            "engine_reports", "Reports of engines asked for, by outcome."
        )
        self._suspicions = counter(
            "engine_suspicions", "Engines newly suspected, by reason."
        )
        self._path_changes = counter(
            "path_changes", "Orders for a new path of a running request, by outcome."
        )
        self._successors = counter(
            "successors", "Attempts sent beside the current one, by reason."
        )
        self._held_back = counter(
            "streams_held_back",
            "Streams queued although the engines have room, by reason.",
        )
        self._attempts_lost = counter(
            "attempts_lost", "Attempts of streams that were lost, by progress."
        )
        self._queue_seconds = histogram(
            "queue", "Time in the queue of streams that started, by rank."
        )
        self._resends_refused = counter(
            "resends_refused", "Requests that could not be sent again, by reason."
        )
        self._streams_waiting = gauge("streams_waiting", "Queued streams, by rank.")
        self._engine_crashes = counter(
            "engine_crashes", "Engines that crashed under requests without an event."
        )
        self._parts_quarantined = gauge(
            "parts_quarantined", "Parts of prompts in quarantine."
        )
        self._candidates_dropped = gauge(
            "crash_candidates_dropped",
            "Candidates of crashes that were dropped, as there were too many.",
        )
        self._notices = counter(
            "upstream_notices", "What upstreams newly say about themselves."
        )
        self._relay_seconds = histogram(
            "relay", "Requests for a table, from the call to its end."
        )
        self._streams_running = gauge("streams_running", "Streams in work.")
        self._streams_stalled = gauge(
            "streams_stalled", "Streams whose next event is overdue."
        )
        self._lists_version = gauge("lists_version", "Version of the lists in force.")
        self._lists_announced = gauge(
            "lists_announced", "Newest version of the lists that a peer announced."
        )
        self._peers_live = gauge("peers_live", "Other hosts that are live.")
        self._upstreams = gauge("upstreams", "Upstreams that may get new work.")
        self._clients = gauge("clients", "Connections of clients.")
        self._client_bytes = gauge("client_bytes", "Bytes held for clients.")
        self._clients_given_up = counter(
            "clients_given_up", "Connections of clients that were ended, by reason."
        )
        self._store_unreachable = gauge(
            "store_away", "1 while the store can't be reached."
        )
        self._store_era = gauge("store_era", "Newest era of the store, 0 for none.")
        self._store_returns = gauge(
            "store_returns", "Returns of the store from an older copy that were seen."
        )
        self._store_eras_odd = gauge(
            "store_eras_odd",
            "Answers of the store whose era was unreadable, too high or in the past.",
        )

    def count_request(self, kind: str, rank: int, outcome: str, took_s: float) -> None:
        """Count a request that has ended."""
        labels = {"kind": kind, "rank": str(rank), "outcome": _outcome_label(outcome)}
        self._requests.add(labels, 1)
        self._request_seconds.observe({"kind": kind}, took_s)

    def count_denied(self, reason: str) -> None:
        """Count a request that the lists deny."""
        self._requests_denied.add({"reason": reason}, 1)

    def count_relay(self, table: str, outcome: str, took_s: float) -> None:
        """Count a request for a table that another host has answered or not."""
        labels = {"table": table, "outcome": _outcome_label(outcome)}
        self._relays.add(labels, 1)
        self._relay_seconds.observe({"table": table}, took_s)

    def count_relayed_bytes(self, size: int) -> None:
        """Count the bytes of a table sent to another host."""
        self._relayed_bytes.add({}, size)

    def count_report(self, outcome: str) -> None:
        """Count a report that was asked of an engine."""
        self._reports.add({"outcome": _outcome_label(outcome)}, 1)

    def count_suspicion(self, reason: str) -> None:
        """Count an engine that is newly suspected."""
        self._suspicions.add({"reason": _reason_label(reason)}, 1)

    def count_path_change(self, outcome: str) -> None:
        """Count an order for a new path that has been answered or not."""
        self._path_changes.add({"outcome": outcome}, 1)

    def count_successor(self, reason: str) -> None:
        """Count an attempt that was sent beside the current one."""
        self._successors.add({"reason": _reason_label(reason)}, 1)

    def observe_queued(self, rank: int, seconds: float) -> None:
        """Record how long a stream was queued before it started."""
        self._queue_seconds.observe({"rank": str(rank)}, seconds)

    def count_resend_refused(self, reason: str) -> None:
        """Count a request that could not be sent again."""
        self._resends_refused.add({"reason": reason}, 1)

    def count_held_back(self, reason: str) -> None:
        """Count a stream that was queued although the engines have room."""
        self._held_back.add({"reason": reason}, 1)

    def count_attempt_lost(self, *, has_begun: bool, has_events: bool) -> None:
        """Count a stream's attempt that ended without a complete response."""
        progress = "none"
        if has_events:
            progress = "events"
        elif has_begun:
            progress = "head"
        self._attempts_lost.add({"progress": progress}, 1)

    def count_notice(self, kind: str) -> None:
        """Count an upstream that newly says something about itself."""
        self._notices.add({"kind": kind}, 1)

    def count_client_given_up(self, reason: str) -> None:
        """Count a client's connection that was ended for lack of memory or place."""
        self._clients_given_up.add({"reason": reason}, 1)

    def count_engine_crash(self) -> None:
        """Count an engine that crashed under requests without an event."""
        self._engine_crashes.add({}, 1)

    def count_sends(self, kind: str, sends: int) -> None:
        """Count the sends of a request."""
        self._sends.add({"kind": kind}, sends)

    def observe_first_event(self, seconds: float) -> None:
        """Record the time until a stream's first event."""
        self._first_event_seconds.observe({}, seconds)

    def render(self, gateway: "Gateway") -> bytes:
        """Return the metrics as text; the lists' version is omitted without lists."""
        streams = gateway.streams()
        now = gateway.loop.now
        self._streams_running.set({}, len(streams))
        self._streams_stalled.set({}, sum(s.is_stalled(now) for s in streams))
        queue = gateway.waiting_streams().queue
        for rank in Priority:
            self._streams_waiting.set({"rank": str(int(rank))}, queue.count(rank))
        self._peers_live.set({}, len(gateway.peers.live_hosts()))
        self._upstreams.set({}, _count_usable(gateway))
        self._clients.set({}, gateway.clients.memory.connections)
        memory = gateway.clients.memory
        self._client_bytes.set({}, memory.total_bytes + memory.buffered_bytes)
        quarantine = gateway.crash_reports.quarantine
        self._parts_quarantined.set({}, len(quarantine.quarantined(now)))
        self._candidates_dropped.set({}, quarantine.dropped)
        self._store_unreachable.set({}, int(gateway.table_sync.is_store_unreachable))
        self._store_era.set({}, gateway.store_eras.current)
        self._store_returns.set({}, gateway.store_eras.returns)
        self._store_eras_odd.set({}, gateway.store_eras.odd)
        if gateway.lists_version():
            self._lists_version.set({}, gateway.lists_version())
            announced = gateway.table_sync.announced_lists_version()
            self._lists_announced.set({}, announced)
        body, _ = render(self._registry, ["text/plain"])
        return bytes(body)


def _outcome_label(outcome: str) -> str:
    """Return an outcome without its details, to bound the number of label values."""
    return outcome.partition(":")[0].replace(" ", "_")


def _reason_label(reason: str) -> str:
    """Return a reason without the name of a host or engine."""
    for prefix in ("stalled at", "suspected by"):
        if reason.startswith(prefix):
            reason = prefix
    return _outcome_label(reason)


def _count_usable(gateway: "Gateway") -> int:
    usable = 0
    for replica in gateway.replicas.by_name.values():
        if not replica.is_leaving:
            usable += 1
    return usable
