"""The top of the command-line tool."""

import click

from .. import __version__
from . import audit
from . import fleet
from . import rows as rows
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
audit.register(main)
fleet.register(main)
