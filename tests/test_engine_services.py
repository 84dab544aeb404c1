"""Several services of engines: each has its layers placed.

A host that kept the state of one service in place of another's would never find the
engines of the other one registered, and would order them no layers.
"""

import pytest

from tests.gateway_data import make_config_of_whole_engines
from tests.gateway_data import make_engine_config
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_gateway import EVENTS
from tests.test_gateway import wait_for_placement

OTHER = "others"


def make_lists(version, *, has_other):
    config = make_config_of_whole_engines(version)
    if not has_other:
        return config
    engine = dict(make_engine_config(), layer_mb=100)
    config["services"].append(dict(config["services"][2], name=OTHER, engine=engine))
    route = dict(config["routes"][0], name="sum", prefix="/sum/", service=OTHER)
    config["routes"].append(route)
    return config


class TestPlacement:
    @pytest.mark.parametrize("is_added_later", [False, True])
    def test_engines_of_each_service_get_layers(self, is_added_later):
        deployment = Deployment()
        lists = make_lists(1, has_other=not is_added_later)
        deployment.store.put("op", "config", lists)
        engines = [deployment.add_engine(f"i-e{n}") for n in range(4)]
        host = deployment.add_host()
        deployment.run(host.is_ready)
        others = []
        if is_added_later:
            wait_for_placement(deployment, engines)
            deployment.store.put("op", "config", make_lists(2, has_other=True))
        for number in range(4):
            other = deployment.add_engine(f"i-o{number}")
            other.write_row(service=OTHER)
            others.append(other)
        wait_for_placement(deployment, [*engines, *others])
        for attempt, path in (("a1", b"/draft/1"), ("a2", b"/sum/1")):
            request = make_stream(attempt).replace(b"/draft/1", path)
            assert deployment.send_and_wait(host, request).body == EVENTS
