"""Engine states and route requests for the tests of the dispatching policy."""

from wagtailstair.core.engine import EngineState
from wagtailstair.core.engine import Priority
from wagtailstair.core.grants import RouteRequest

LAYERS = 8


def engine(name, first=0, last=LAYERS, **changes):
    values = {
        "name": name,
        "incarnation": "1",
        "address": f"127.0.0.1:{len(name)}",
        "data_centre": "a",
        "model": "draft",
        "version": "1",
        "role": "any",
        "accelerator": "x",
        "first": first,
        "last": last,
        "layers": LAYERS,
        "slots": 2,
        "running": 0,
        "waiting": 0,
        "kv_tokens": 10_000,
        "kv_used": 0,
        "step_s": 0.01,
        "prefill_tokens_per_s": 10_000.0,
        "leaving": False,
        "fencing_checked": True,
        "order": 0,
        "as_of": 0.0,
    }
    return EngineState(**{**values, **changes})


def make_route_request(request, account="small", priority=Priority.STANDARD, **changes):
    values = {
        "request": request,
        "epoch": 0,
        "host": "h1",
        "account": account,
        "priority": priority,
        "weight": 1.0,
        "work": 10.0,
        "prompt_tokens": 16,
        "max_tokens": 32,
        "deadline": 1_000.0,
    }
    return RouteRequest(**{**values, **changes})
