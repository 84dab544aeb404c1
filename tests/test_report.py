from tests.test_shapes import engine
from wagtailstair.core.messages import PoolKey
from wagtailstair.core.pool import Pool
from wagtailstair.core.upstreams import Upstream
from wagtailstair.core.upstreams import UpstreamKind
from wagtailstair.core.upstreams import Upstreams
from wagtailstair.metrics import Metrics
from wagtailstair.peers.transport import Traffic
from wagtailstair.report import describe_pools
from wagtailstair.report import describe_upstreams
from wagtailstair.report import publish_pools
from wagtailstair.report import publish_traffic


def make_stats():
    pool = Pool("draft", "a")
    pool.observe(engine("e1", 0, 8), 0.0)
    return {PoolKey("draft", "a"): pool.stats()}


class TestStatus:
    def test_describe_pools(self):
        [entry] = describe_pools(make_stats())
        assert (entry["model"], entry["engines"], entry["open"]) == ("draft", 1, 0)
        assert entry["waiting"] == {"urgent": 0, "standard": 0, "batch": 0}

    def test_describe_upstreams(self):
        upstreams = Upstreams()
        one = Upstream("e1", UpstreamKind.ENGINE, "", "a", "ip:1", "1")
        two = Upstream("s1", UpstreamKind.SERVICE, "desk", "a", "ip:2", "1")
        upstreams.replace([(two, True), (one, False)])
        states = [
            (e["name"], e["kind"], e["state"]) for e in describe_upstreams(upstreams)
        ]
        assert states == [("e1", "engine", "live"), ("s1", "service", "leaving")]


class TestGauges:
    def test_gauges_are_rendered_with_labels(self):
        metrics = Metrics("host-1")
        publish_pools(metrics, make_stats())
        traffic = Traffic()
        traffic.sent_bytes = 120
        publish_traffic(metrics, traffic)
        text = metrics.render()[0].decode()
        assert 'pool_engines{data_centre="a",host="host-1",model="draft"} 1' in text
        assert 'peer_bytes_sent{host="host-1"} 120' in text
