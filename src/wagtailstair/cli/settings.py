"""The command that checks a settings file."""

import pathlib

import click

from ..settings import load_settings
from .options import command
from .output import print_json


@click.group("settings")
def settings_group() -> None:
    """Check the settings of a daemon."""


def tell_valid(file: pathlib.Path, host: str, as_json: bool) -> None:
    """Print that a settings file is valid, and for which host."""
    if as_json:
        print_json({"host": host, "valid": True})
        return
    click.echo(f"{file}: valid, for host {host}")


@command(settings_group, "check")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path, as_json: bool) -> None:
    """Check a settings file, as the daemon does at its start."""
    tell_valid(file, load_settings(file).host.name, as_json)
