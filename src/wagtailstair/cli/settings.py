"""The command that validates the settings file of a daemon."""

import pathlib

import click

from ..settings import load_settings
from .options import command
from .output import print_json


@click.group("settings")
def settings_group() -> None:
    """Check the settings of a daemon."""


def print_valid(file: pathlib.Path, host: str, as_json: bool) -> None:
    """Print that a settings file is valid and the host it is for."""
    if as_json:
        print_json({"host": host, "valid": True})
        return
    click.echo(f"{file}: valid, for host {host}")


@command(settings_group, "check")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path, as_json: bool) -> None:
    """Validate a settings file, as the daemon does when it starts."""
    print_valid(file, load_settings(file).host.name, as_json)
