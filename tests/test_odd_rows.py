"""A row of another writer among those of the upstreams.

It may be nested very deeply, have numbers beyond any field, or an address that no
connection can be opened to. It names no upstream; a host that reads it goes on, and
goes on following the table.
"""

import json

import pytest

from tests.gateway_data import make_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_request
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement
from wagtailstair.exceptions import UpstreamError
from wagtailstair.platform.replicas import decode_replica

ROW = {
    "service": "engines",
    "address": "127.0.0.1:9",
    "zone": "a",
    "slots": 96,
    "state": "ready",
    "born": 1000,
    "kind": "a100",
    "layers": {"from": 0, "target": 80},
}
HUGE = 10**400
DEPTH = 100_000


def row(**changes):
    return json.dumps({**ROW, **changes}).encode()


def nested(depth):
    return b'{"service":' + b"[" * depth + b"]" * depth + b"}"


ODD_ROWS = {
    "nested": nested(DEPTH),
    "nested in an unknown field": row()[:-1] + b',"x":' + nested(DEPTH) + b"}",
    "not closed": b"[" * DEPTH,
    "huge start": row(born=HUGE),
    "start beyond 64 bits": row(born=1 << 64),
    "negative start": row(born=-1),
    "huge slots": row(slots=HUGE),
    "negative slots": row(slots=-1),
    "port of zero": row(address="127.0.0.1:0"),
    "port out of range": row(address="127.0.0.1:65536"),
    "port with a huge number": row(address="127.0.0.1:" + "9" * 5000),
    "no address": row(address="here:80"),
    "name with a line feed": row(address="127.0.0.1\r\n:80"),
    "layers backwards": row(layers={"from": 9, "target": 3}),
    "layers below zero": row(layers={"from": -4, "target": 3}),
    "layers without end": row(layers={"from": 0, "target": 1 << 40}),
    "huge layers": row(layers={"from": 0, "target": HUGE}),
    "not text": b"\xff\xfe\x00",
    "empty": b"",
}


@pytest.mark.parametrize("value", ODD_ROWS.values(), ids=ODD_ROWS.keys())
class TestOddRow:
    def test_decoder_rejects_it(self, value):
        with pytest.raises(UpstreamError):
            decode_replica("i-odd", value)

    def test_host_goes_on_serving_and_following(self, value):
        deployment = Deployment()
        config = make_config()
        config["routes"][2].update(service="desk", split=None)
        deployment.store.put("op", "config", config)
        engines = [deployment.add_engine(f"i-e{n}") for n in range(4)]
        deployment.store.version += 1
        deployment.store.row_by_key["servers", "i-a-odd"] = (
            value,
            deployment.store.version,
        )
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        deployment.add_service("i-desk")
        deployment.run(lambda: "i-desk" in host.replicas.by_name)
        stream = deployment.send_and_wait(host, make_stream("a1"))
        call = deployment.send_and_wait(host, make_request("/lookup/1", "a2"))
        assert (stream.body, call.status) == (EVENTS, 200)
