"""The top-level group of the command-line tool."""

import click

from .. import __version__
from . import audit
from . import explain
from . import fleet
from . import rows as rows
from .gateway import gateway_group
from .keys import keys_group
from .lists import lists_group
from .settings import settings_group


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Manage the lists of wagtailstair and inspect its daemons.

    Exit codes: 0 success; 1 failed or refused; 2 usage error; 3 conflict with
    another edit; 4 outcome unknown, run the command again with the same change
    id; 5 the platform is unavailable, nothing took effect.
    """


main.add_command(lists_group)
main.add_command(keys_group)
main.add_command(settings_group)
main.add_command(gateway_group)
audit.register(main)
explain.register(main)
fleet.register(main)
