"""The status report and the gauges of a daemon."""

import typing as t

from .core.engine import Priority
from .core.messages import PoolKey
from .core.pool import PoolStats
from .core.upstreams import Upstreams
from .metrics import Metrics
from .peers.transport import Traffic

StatsByPool = t.Mapping[PoolKey, PoolStats]
Entry = dict[str, t.Any]


def describe_upstreams(upstreams: Upstreams) -> list[Entry]:
    """Return the upstreams with their states, sorted by name."""
    entries = []
    for upstream, leaving in upstreams.all():
        entries.append(
            {
                "name": upstream.name,
                "kind": upstream.kind.value,
                "data_centre": upstream.data_centre,
                "state": "leaving" if leaving else "live",
            }
        )
    return entries


def describe_pools(stats_by_pool: StatsByPool) -> list[Entry]:
    """Return the pools that this host dispatches, with their queue lengths."""
    entries = []
    for key in sorted(stats_by_pool, key=str):
        stats = stats_by_pool[key]
        waiting = {}
        for priority in Priority:
            waiting[priority.name.lower()] = stats.waiting[priority]
        entries.append(
            {
                "model": key.model,
                "data_centre": key.data_centre,
                "engines": stats.engines,
                "open": stats.open_grants,
                "waiting": waiting,
                "work_per_s": round(stats.work_per_s, 1),
            }
        )
    return entries


def publish_pools(metrics: Metrics, stats_by_pool: StatsByPool) -> None:
    """Set the gauges of the pools that this host dispatches."""
    for key, stats in stats_by_pool.items():
        labels = {"model": key.model, "data_centre": key.data_centre}
        metrics.gauge("pool_engines", stats.engines, **labels)
        metrics.gauge("pool_open", stats.open_grants, **labels)
        metrics.gauge("pool_work_per_second", stats.work_per_s, **labels)
        for priority in Priority:
            name = priority.name.lower()
            waiting = stats.waiting[priority]
            metrics.gauge("pool_waiting", waiting, priority=name, **labels)


def publish_traffic(metrics: Metrics, traffic: Traffic) -> None:
    """Set the gauges of the datagrams sent to and received from peers."""
    metrics.gauge("peer_datagrams_sent", traffic.sent)
    metrics.gauge("peer_bytes_sent", traffic.sent_bytes)
    metrics.gauge("peer_datagrams_received", traffic.received)
    metrics.gauge("peer_bytes_received", traffic.received_bytes)
    metrics.gauge("peer_datagrams_malformed", traffic.malformed)
    metrics.gauge("peer_datagrams_failed", traffic.failed)
