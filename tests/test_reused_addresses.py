"""Orders to engines whose address another engine has meanwhile.

The order for the engine that is gone would be carried out by the other one, which may
have less memory and crash.
"""

from tests.gateway_data import make_config
from tests.gateway_data import make_config_of_whole_engines
from tests.gateway_deployment import Deployment
from tests.gateway_deployment import make_stream
from tests.test_gateway import wait_for_placement


class TestOrders:
    def test_order_for_an_engine_that_is_gone_is_not_carried_out(self):
        deployment = Deployment()
        deployment.store.put("op", "config", make_config_of_whole_engines())
        engines = [deployment.add_engine(f"i-e{n}") for n in range(2)]
        # The row of an engine that has ended stays for some time; another service,
        # which the lists don't have yet, got its address.
        other = deployment.add_engine("i-other")
        other.write_row(service="others")
        gone = dict(other.row, service="engines", layers=None)
        deployment.store.put("servers", "i-gone", gone)
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, engines)
        deployment.run(lambda: any(r.path == "/order" for r in other.seen))
        deployment.run_for(0.5)
        assert other.row["layers"] is None
        assert other.orders == []

    def test_new_path_names_the_first_engine(self):
        deployment = Deployment()
        deployment.store.put("op", "config", make_config())
        engine_by_name = {}
        halves = {"i-a": (0, 40), "i-b": (40, 80), "i-c": (40, 80)}
        for name, (first, last) in halves.items():
            engine = engine_by_name[name] = deployment.add_engine(name)
            engine.write_row(layers={"from": first, "target": last, "version": 1})
        host = deployment.add_host()
        deployment.run(host.is_ready)
        wait_for_placement(deployment, list(engine_by_name.values()))
        begins = engine_by_name["i-a"]
        begins.events, begins.pause_s = 60, 0.03
        answered = deployment.send(host, make_stream("a1"))
        deployment.run(lambda: b"id: 3\n" in answered.data)
        (stream,) = host.streams()
        engine_by_name[stream.path[1].replica.name].write_row(state="draining")
        deployment.run(lambda: len(begins.orders) > 0)
        orders = [request for request in begins.seen if request.path == "/order"]
        assert {r.header(b"x-target-replica") for r in orders} == {b"i-a"}
