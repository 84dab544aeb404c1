"""The top of the command-line tool."""

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
    """Keep the lists of wagtailstair and look at its daemons.

    Exit codes: 0 done; 1 failed or refused; 2 wrong use; 3 conflict with
    another edit; 4 the outcome is not known, run it again with the same change
    id; 5 the platform is unavailable, nothing took effect.
    """


main.add_command(lists_group)
main.add_command(keys_group)
main.add_command(settings_group)
main.add_command(gateway_group)
audit.register(main)
explain.register(main)
fleet.register(main)
