"""The program wagtailstair-gateway, started after its signal handlers are set."""

import os
import pathlib
import sys
import typing as t

from ..clock import Clock
from ..exceptions import SettingsError
from ..logs import configure_bounded_logs
from .gateway import Gateway
from .settings import apply_environment
from .settings import load_settings

SETTINGS_VARIABLE = "WAGTAILSTAIR_NODE_FILE"
SETTINGS_EXIT_CODE = 2


def run(argv: t.Sequence[str] | None, clock: Clock) -> int:
    """Run the gateway with the given settings file; return the exit code."""
    arguments = sys.argv[1:] if argv is None else list(argv)
    path = arguments[0] if arguments else os.environ.get(SETTINGS_VARIABLE, "")
    try:
        settings = load_settings(pathlib.Path(path))
        settings = apply_environment(settings, os.environ)
    except SettingsError as error:
        print(f"wagtailstair: {error}", file=sys.stderr)
        return SETTINGS_EXIT_CODE
    configure_bounded_logs(
        settings.log.level, settings.host.name, settings.log.lines_per_s, clock
    )
    gateway = Gateway(settings, clock)
    gateway.follow_settings(pathlib.Path(path))
    gateway.run()
    return 0
