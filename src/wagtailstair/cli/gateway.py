"""The command that checks the settings of a gateway."""

import pathlib

import click

from ..gateway.settings import load_settings
from .options import command
from .output import print_json


@click.group("gateway")
def gateway_group() -> None:
    """Look at a gateway's files."""


@command(gateway_group, "check")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path, as_json: bool) -> None:
    """Check a settings file, as the gateway does at its start."""
    settings = load_settings(file)
    if as_json:
        print_json({"host": settings.host.name, "valid": True})
        return
    click.echo(f"{file}: valid, for host {settings.host.name}")
