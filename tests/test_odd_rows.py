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
from wagtailstair.core.replicas import ReplicaSet
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


BEYOND_THE_MODEL = {
    "one layer too many": (0, 81),
    "many layers too many": (0, 4000),
    "a part beyond": (70, 120),
    "all beyond": (90, 120),
    "the layer after the last": (80, 81),
    "an empty range": (80, 80),
    "an empty range beyond": (300, 300),
}


@pytest.mark.parametrize(
    "layers", BEYOND_THE_MODEL.values(), ids=BEYOND_THE_MODEL.keys()
)
class TestLayersThatTheModelDoesNotHave:
    """The row is well formed and names layers beyond those of the service's model.

    It must not end the placement of layers for the service, and no request may be
    sent to it.
    """

    def test_engines_get_layers_and_requests_are_served(self, layers):
        first, target = layers
        deployment = Deployment()
        deployment.store.put("op", "config", make_config())
        odd = {**ROW, "layers": {"from": first, "target": target}}
        deployment.store.put("servers", "i-a-odd", odd)
        engines = [deployment.add_engine(f"i-e{n}") for n in range(4)]
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        for number in range(8):
            answered = deployment.send_and_wait(host, make_stream(f"a{number}"))
            assert answered.body == EVENTS
        replica = host.replicas.by_name["i-a-odd"]
        assert replica.layers is None or replica not in host.replicas.usable("engines")


class TestFaultInOneService:
    def test_other_services_are_placed(self, monkeypatch):
        deployment = Deployment()
        config = make_config()
        broken = {**config["services"][2], "name": "broken"}
        config["services"].insert(0, broken)
        deployment.store.put("op", "config", config)
        usable = ReplicaSet.usable

        def usable_or_fail(replicas, service):
            if service == "broken":
                raise IndexError(service)
            return usable(replicas, service)

        monkeypatch.setattr(ReplicaSet, "usable", usable_or_fail)
        engines = [deployment.add_engine(f"i-e{n}") for n in range(4)]
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        assert deployment.send_and_wait(host, make_stream("a1")).body == EVENTS
