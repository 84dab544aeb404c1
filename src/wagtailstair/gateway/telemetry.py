"""What a gateway tells of itself in numbers, rendered by aioprometheus."""

import typing as t

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

if t.TYPE_CHECKING:
    from .gateway import Gateway

SECONDS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 20.0]
"""Bounds of the histograms, around the response-time goals of the routes."""


class Telemetry:
    """Counters and histograms of one gateway; gauges are read when asked for."""

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
                full, text, const_labels=const, registry=registry, buckets=SECONDS
            )

        def gauge(name: str, text: str) -> Gauge:
            full = f"wagtailstair_{name}"
            return Gauge(full, text, const_labels=const, registry=registry)

        self._requests = counter("requests", "Requests ended, by outcome.")
        self._denied = counter("requests_denied", "Requests that the lists deny.")
        self._sends = counter("sends", "Sends to upstreams, by kind of route.")
        self._took = histogram("request", "From the first byte to the end.")
        self._first = histogram("first_event", "From the first byte to an event.")
        self._running = gauge("streams_running", "Streams in work.")
        self._version = gauge("lists_version", "Version of the lists in force.")
        self._peers = gauge("peers_live", "Other hosts that are live.")
        self._upstreams = gauge("upstreams", "Upstreams that may get new work.")
        self._away = gauge("store_away", "1 while the store can't be reached.")

    def ended(self, kind: str, rank: int, outcome: str, took_s: float) -> None:
        """Count a request's end."""
        labels = {"kind": kind, "rank": str(rank), "outcome": _short(outcome)}
        self._requests.add(labels, 1)
        self._took.observe({"kind": kind}, took_s)

    def denied(self, reason: str) -> None:
        """Count a request that the lists deny."""
        self._denied.add({"reason": reason}, 1)

    def sent(self, kind: str, sends: int) -> None:
        """Count the sends of a request."""
        self._sends.add({"kind": kind}, sends)

    def first_event(self, seconds: float) -> None:
        """Count the wait for a stream's first event."""
        self._first.observe({}, seconds)

    def render(self, gateway: "Gateway") -> bytes:
        """Return the text exposition; what is not known is left out."""
        self._running.set({}, len(gateway.streams()))
        self._peers.set({}, len(gateway.peers.live_hosts()))
        self._upstreams.set({}, _count_usable(gateway))
        self._away.set({}, int(gateway.table_sync.is_store_unreachable))
        if gateway.lists_version():
            self._version.set({}, gateway.lists_version())
        body, _ = render(self._registry, ["text/plain"])
        return bytes(body)


def _short(outcome: str) -> str:
    """Return an outcome without the details that would make labels endless."""
    return outcome.partition(":")[0].replace(" ", "_")


def _count_usable(gateway: "Gateway") -> int:
    usable = 0
    for replica in gateway.replicas.by_name.values():
        if not replica.is_leaving:
            usable += 1
    return usable
