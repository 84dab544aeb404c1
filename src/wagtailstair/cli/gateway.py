"""The command that validates the settings file of a gateway."""

import pathlib

import click

from ..gateway.settings import load_settings
from .options import command
from .settings import print_valid


@click.group("gateway")
def gateway_group() -> None:
    """Check the settings of a gateway."""


@command(gateway_group, "check")
@click.argument("file", type=click.Path(path_type=pathlib.Path))
def check(file: pathlib.Path, as_json: bool) -> None:
    """Validate a settings file, as the gateway does when it starts."""
    print_valid(file, load_settings(file).host.name, as_json)
