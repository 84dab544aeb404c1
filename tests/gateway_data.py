"""Models, engines and lists shared by the tests of the gateway."""

import json
import typing as t

from wagtailstair.core.directory import Accelerator
from wagtailstair.core.directory import ModelSpec
from wagtailstair.core.replicas import Replica

LAYERS = 80
ACCELERATORS = (
    ("a100", 72_000.0, 2.4, 3.2),
    ("v100", 14_400.0, 5.3, 7.9),
    ("l4", 21_600.0, 16.0, 8.2),
)
ENGINES_BY_CENTRE = {
    "a": {"a100": 1, "v100": 10, "l4": 4},
    "b": {"a100": 2, "v100": 4, "l4": 4},
    "c": {"a100": 1, "v100": 6, "l4": 6},
}


def make_model(**changes: t.Any) -> ModelSpec:
    kinds = {}
    for name, memory_mb, step, read in ACCELERATORS:
        kinds[name] = Accelerator(name, memory_mb, step, read)
    values: dict[str, t.Any] = {
        "layers": LAYERS,
        "layer_weights_mb": 1750.0,
        "kv_bytes": 1_180_000.0,
        "hidden_bytes": 59_000.0,
        "step_s": 0.00102,
        "sequence_s": 0.00000918,
        "prefill_tokens_per_s": 164_000.0,
        "typical_output_tokens": 216.0,
        "link_bytes_per_s": 1.6e9,
        "delay_s_by_centres": {},
        "accelerator_by_name": kinds,
    }
    values.update(changes)
    return ModelSpec(**values)


def make_engine(
    name: str,
    centre: str = "a",
    accelerator: str = "v100",
    layers: tuple[int, int] | None = None,
    *,
    is_leaving: bool = False,
    incarnation: int = 1,
) -> Replica:
    return Replica(
        name=name,
        service="draft",
        address=f"10.0.0.{abs(hash(name)) % 250}:8080",
        data_centre=centre,
        slots=96,
        is_leaving=is_leaving,
        incarnation=incarnation,
        accelerator=accelerator,
        layers=layers,
    )


def make_fleet() -> list[Replica]:
    """Return the empty engines of three data centres."""
    engines = []
    for centre, count_by_kind in ENGINES_BY_CENTRE.items():
        for kind, count in count_by_kind.items():
            for index in range(count):
                engines.append(make_engine(f"{centre}-{kind}-{index}", centre, kind))
    return engines


def make_config(version: int = 1, **changes: t.Any) -> dict[str, t.Any]:
    """Return lists in the platform's JSON format."""
    config: dict[str, t.Any] = {
        "version": version,
        "routes": [
            {
                "name": "draft",
                "host": "Desk.example",
                "prefix": "/draft/",
                "kind": "streaming",
                "timeout_ms": 20000,
                "aim_ms": 500,
                "priority": 0,
                "service": "engines",
                "attempts": 2,
                "sticky": True,
                "can_resume": True,
                "gap_target_ms": 250,
            },
            {
                "name": "register",
                "host": "desk.example",
                "prefix": "/register/",
                "kind": "non_idempotent",
                "timeout_ms": 1200,
                "aim_ms": 200,
                "priority": 2,
                "service": "desk",
                "attempts": 1,
            },
            {
                "name": "lookup",
                "host": "desk.example",
                "prefix": "/lookup/",
                "kind": "idempotent",
                "timeout_ms": 1200,
                "aim_ms": 200,
                "priority": 2,
                "split": [
                    {"service": "desk", "weight": 90},
                    {"service": "desk2", "weight": 10},
                ],
                "attempts": 2,
                "anonymous": True,
            },
        ],
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_conns": 110},
            {"name": "desk2", "health_path": "/healthz", "max_conns": 110},
            {
                "name": "engines",
                "health_path": "/healthz",
                "max_conns": 1068,
                "engine": make_engine_config(),
            },
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": "maker", "api_keys": ["key-one", "key-two"], "priority": 1},
            {"name": "judge", "api_keys": ["key-three"]},
        ],
    }
    config.update(changes)
    return config


def make_config_of_whole_engines(version: int = 1) -> dict[str, t.Any]:
    """Return lists by which each engine holds all layers, so that any begins paths."""
    config = make_config(version)
    config["services"][2]["engine"]["layer_mb"] = 100
    return config


def make_engine_config() -> dict[str, t.Any]:
    kinds = []
    for name, memory_mb, step, read in ACCELERATORS:
        kinds.append(
            {"name": name, "megabytes": memory_mb, "pace": step, "read_factor": read}
        )
    return {
        "slots": 96,
        "kv_token_bytes": 1180000,
        "link_mbps": 400000.0,
        "stride": 4,
        "models": [{"name": "m", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}],
        "step_ms": 1.02,
        "per_seq_ms": 0.00918,
        "read_per_s": 164000.0,
        "loads_at_once": 6,
        "delays": [{"from": "a", "target": "b", "delay_ms": 0.5}],
        "usual": {"prompt": 775, "answer": 216},
        "layers": LAYERS,
        "layer_mb": 1750.0,
        "activation_bytes": 59000,
        "pipe_mbps": 13000.0,
        "kinds": kinds,
    }


def encode(value: object) -> bytes:
    return json.dumps(value).encode()
