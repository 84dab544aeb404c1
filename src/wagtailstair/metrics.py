"""The daemon's metrics, rendered by aioprometheus."""

import typing as t

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render


class Metrics:
    """Counters and gauges of one daemon; safe to use from any thread.

    Increments are single dictionary updates, so a lost one under a race costs
    one count and no more.
    """

    def __init__(self, host: str) -> None:
        self._registry = Registry()
        self._const = {"host": host}
        self._counter_by_name: dict[str, Counter] = {}
        self._gauge_by_name: dict[str, Gauge] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        counter = self._counter_by_name.get(name)
        if counter is None:
            counter = self._make(Counter, name)
            self._counter_by_name[name] = counter
        counter.add(labels, amount)

    def gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge."""
        gauge = self._gauge_by_name.get(name)
        if gauge is None:
            gauge = self._make(Gauge, name)
            self._gauge_by_name[name] = gauge
        gauge.set(labels, value)

    def render(self) -> tuple[bytes, dict[str, str]]:
        """Return the text exposition and its HTTP headers."""
        body, headers = render(self._registry, ["text/plain"])
        return body, headers

    def _make(self, kind: t.Any, name: str) -> t.Any:
        text = name.replace("_", " ")
        return kind(
            f"wagtailstair_{name}",
            text,
            const_labels=self._const,
            registry=self._registry,
        )
