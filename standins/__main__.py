"""Run a set of stand-ins in one process: ``python -m standins --config FILE``."""

import argparse
import asyncio
import gc
import json
import pathlib
import signal
import tomllib

from .standin_set import World


async def _run(config_file: pathlib.Path) -> None:
    world = World(tomllib.loads(config_file.read_text(encoding="utf-8")))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await world.start()
    gc.freeze()
    line = {"ready": True, "control": world.control, "addresses": world.addresses}
    print(json.dumps(line), flush=True)
    await stop.wait()
    await world.stop()


def main() -> None:
    """Run until SIGTERM."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("--config", type=pathlib.Path, required=True)
    asyncio.run(_run(parser.parse_args().config))


if __name__ == "__main__":
    main()
