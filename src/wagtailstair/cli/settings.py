"""The command that checks a settings file."""

import pathlib

import click

from ..settings import load_settings
from .options import command
from .output import print_json


@click.group("settings")
def settings_group() -> None:
    """Check the settings of a daemon."""


@command(settings_group, "check")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path, as_json: bool) -> None:
    """Check a settings file, as the daemon does at its start."""
    settings = load_settings(file)
    if as_json:
        print_json({"host": settings.host.name, "valid": True})
        return
    click.echo(f"{file}: valid, for host {settings.host.name}")
