"""Run a set of stand-ins in one process: ``python -m standins --config FILE``."""

import argparse
import asyncio
import gc
import json
import pathlib
import signal
import tomllib

from .standin_set import StandinSet


async def _run(config_file: pathlib.Path) -> None:
    standins = StandinSet(tomllib.loads(config_file.read_text(encoding="utf-8")))
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await standins.start()
    gc.freeze()
    ready = {
        "ready": True,
        "control": standins.control,
        "addresses": standins.addresses,
    }
    print(json.dumps(ready), flush=True)
    await stop.wait()
    await standins.stop()


def main() -> None:
    """Run the configured stand-ins until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="standins")
    parser.add_argument("--config", type=pathlib.Path, required=True)
    asyncio.run(_run(parser.parse_args().config))


if __name__ == "__main__":
    main()
