"""The daemon's metrics, rendered by aioprometheus."""

import typing as t

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render


class Metrics:
    """Counters and gauges of one daemon; may be used from any thread.

    Increments take no lock. Each is a single dictionary update, so a race between
    threads may lose single increments and nothing else.
    """

    def __init__(self, host: str) -> None:
        self._registry = Registry()
        self._const_labels = {"host": host}
        self._counter_by_name: dict[str, Counter] = {}
        self._gauge_by_name: dict[str, Gauge] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counter_by_name.get(name)
        if counter is None:
            counter = self._make_metric(Counter, name)
            self._counter_by_name[name] = counter
        counter.add(labels, amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = self._make_metric(Gauge, name)
            self._gauge_by_name[name] = gauge
        gauge.set(labels, value)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in the Prometheus text format, and the HTTP headers."""
        body, headers = render(self._registry, ["text/plain"])
        return body, headers

    def _make_metric(self, kind: t.Any, name: str) -> t.Any:
        help_text = name.replace("_", " ")
        return kind(
            f"wagtailstair_{name}",
            help_text,
            const_labels=self._const_labels,
            registry=self._registry,
        )
