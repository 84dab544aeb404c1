"""The command that checks the settings of a gateway."""

import pathlib

import click

from ..gateway.settings import load_settings
from .options import command
from .settings import tell_valid


@click.group("gateway")
def gateway_group() -> None:
    """Look at a gateway's files."""


@command(gateway_group, "check")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path, as_json: bool) -> None:
    """Check a settings file, as the gateway does at its start."""
    tell_valid(file, load_settings(file).host.name, as_json)
