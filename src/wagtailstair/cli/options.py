"""Options shared by the commands, and the exit codes of errors."""

import functools
import getpass
import json
import typing as t

import click

from ..exceptions import EditConflictError
from ..exceptions import PlatformConflictError
from ..exceptions import PlatformUnavailableError
from ..exceptions import PlatformUnknownError
from ..exceptions import WagtailstairError
from ..stores.http import Timeouts
from ..stores.table import TableClient
from .output import print_note

EXIT_FAILED = 1
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNAVAILABLE = 5

TABLE_VARIABLE = "WAGTAILSTAIR_TABLE"
HOSTS_VARIABLE = "WAGTAILSTAIR_HOSTS"
READ_ATTEMPTS = 3
TIMEOUTS = Timeouts(total_s=10.0, connect_s=2.0)

# The first class that matches an error applies.
_EXIT_CODES: tuple[tuple[type[WagtailstairError], int], ...] = (
    (EditConflictError, EXIT_CONFLICT),
    (PlatformConflictError, EXIT_CONFLICT),
    (PlatformUnknownError, EXIT_UNKNOWN),
    (PlatformUnavailableError, EXIT_UNAVAILABLE),
)

_P = t.ParamSpec("_P")
_FunctionT = t.TypeVar("_FunctionT", bound=t.Callable[..., t.Any])


def exit_code_of(error: WagtailstairError) -> int:
    """Return the exit code for an error."""
    for error_class, code in _EXIT_CODES:
        if isinstance(error, error_class):
            return code
    return EXIT_FAILED


def _print_error(error: WagtailstairError, as_json: bool) -> None:
    if not as_json:
        print_note(f"error: {error} [{error.code}]")
        return
    content = {"code": error.code, "message": error.message, "where": error.where}
    print_note(json.dumps({"error": content}))


def command(
    group: click.Group, name: str
) -> t.Callable[[t.Callable[_P, None]], click.Command]:
    """Register a command with ``--json`` that maps its errors to exit codes."""

    def decorate(function: t.Callable[_P, None]) -> click.Command:
        @functools.wraps(function)
        def run(*args: _P.args, **kwargs: _P.kwargs) -> None:
            try:
                function(*args, **kwargs)
            except WagtailstairError as error:
                _print_error(error, bool(kwargs.get("as_json")))
                raise SystemExit(exit_code_of(error)) from error

        as_json = click.option(
            "--json", "as_json", is_flag=True, help="Print JSON, for programs."
        )
        return group.command(name)(as_json(run))

    return decorate


def _make_client(
    _context: click.Context, _parameter: click.Parameter, url: str
) -> TableClient:
    return TableClient(url, TIMEOUTS, read_attempts=READ_ATTEMPTS)


def table_option(function: _FunctionT) -> _FunctionT:
    """Add ``--table``; the command receives a table client."""
    return click.option(
        "--table",
        envvar=TABLE_VARIABLE,
        required=True,
        metavar="URL",
        callback=_make_client,
        help="The platform's table service.",
        show_envvar=True,
    )(function)


def hosts_option(function: _FunctionT) -> _FunctionT:
    """Add ``--hosts``; the command receives the URL."""
    return click.option(
        "--hosts",
        "hosts_url",
        envvar=HOSTS_VARIABLE,
        required=True,
        metavar="URL",
        help="The platform's host list.",
        show_envvar=True,
    )(function)


def _login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        raise click.UsageError("there is no login name; give --author") from None


def edit_options(function: _FunctionT) -> _FunctionT:
    """Add ``--author`` and ``--change-id``."""
    author = click.option(
        "--author",
        default=_login_name,
        show_default="login name",
        help="Who makes the change.",
    )
    change_id = click.option(
        "--change-id",
        help="Of an earlier run, to run it again; a new one by default.",
    )
    return author(change_id(function))
