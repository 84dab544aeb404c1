"""The pages of docs/ agree with the program."""

import doctest
import pathlib
import re
import shlex

import click
import msgspec
import pytest
from click.testing import CliRunner

from tests.fake_table import FakeTable
from tests.table_server import serving_table
from wagtailstair import exceptions
from wagtailstair.cli import main
from wagtailstair.cli import options
from wagtailstair.core.admission.client_limits import ClientLimits
from wagtailstair.core.lists_toml import lists_from_toml
from wagtailstair.settings import Settings
from wagtailstair.settings import parse_settings

DOCS = pathlib.Path(__file__).parent.parent / "docs"
NONE = "-"


def page(name):
    return (DOCS / name).read_text(encoding="utf-8")


def blocks(name, language):
    return re.findall(rf"^( *)```{language}\n(.*?)^\1```$", page(name), re.M | re.S)


def rows(name, width):
    """Return the cells of all tables with so many columns."""
    found = []
    for line in page(name).splitlines():
        cells = [cell.strip(" `") for cell in line.strip("|").split("|")]
        is_rule = set(line) <= set("|-")
        if line.startswith("|") and len(cells) == width and not is_rule:
            found.append(tuple(cells))
    return found


def error_classes(base):
    yield base
    for subclass in base.__subclasses__():
        if subclass.__module__ == exceptions.__name__:
            yield from error_classes(subclass)


def leaf_commands(group, prefix=""):
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from leaf_commands(command, f"{prefix}{name} ")
            continue
        yield prefix + name


class TestErrors:
    def test_the_tables_are_the_tree_of_errors(self):
        expected = set()
        for error in error_classes(exceptions.WagtailstairError):
            outcome = getattr(error, "outcome", None)
            text = NONE if outcome is None else outcome.value
            expected.add((error.code, str(error.http_status), text))
        listed = [row[:3] for row in rows("errors.md", 4) if row[0] != "code"]
        assert sorted(listed) == sorted(expected)


class TestSettings:
    def test_the_table_lists_every_key_with_its_default(self):
        expected = []
        for section in msgspec.structs.fields(Settings):
            for field in msgspec.structs.fields(section.type):
                default = "required"
                if not field.required:
                    default = msgspec.json.encode(field.default).decode()
                expected.append((f"{section.name}.{field.name}", default))
        listed = [row[:2] for row in rows("settings.md", 3) if row[0] != "key"]
        assert listed == expected

    def test_the_example_is_valid(self):
        ((_, text),) = blocks("settings.md", "toml")
        assert parse_settings(text).host.name == "entry-1"


class TestGatewaySettings:
    # A limit that operators can't find is as good as a constant.
    def test_the_table_lists_every_limit_on_clients_with_its_default(self):
        meaning_by_key = dict(rows("OPERATIONS.md", 2))
        for field in msgspec.structs.fields(ClientLimits):
            meaning = meaning_by_key[f"clients.{field.name}"]
            assert f"(default {field.default};" in meaning


class TestLists:
    def test_the_example_is_valid(self):
        ((_, text),) = blocks("lists.md", "toml")
        assert set(lists_from_toml(text).plan_by_name) == {"maker", "office"}


class TestCommands:
    def test_the_table_lists_every_command(self):
        listed = {row[0] for row in rows("cli.md", 2) if not row[0].isdigit()}
        commands = set(leaf_commands(main))
        assert listed - {"command", "exit code"} == commands

    def test_the_table_lists_every_exit_code(self):
        listed = {int(row[0]) for row in rows("cli.md", 2) if row[0].isdigit()}
        codes = [getattr(options, name) for name in dir(options) if "EXIT_" in name]
        assert listed == {0, click.UsageError.exit_code, *filter(is_int, codes)}

    @pytest.mark.parametrize(
        "name", ["lists.md", "cli.md", "settings.md", "operators.md"]
    )
    def test_the_examples_print_what_they_show(self, name, tmp_path, monkeypatch):
        monkeypatch.chdir(tmp_path)
        files = {"lists.toml": "lists.md", "daemon.toml": "settings.md"}
        for path, source in files.items():
            pathlib.Path(path).write_text(blocks(source, "toml")[0][1])
        with serving_table(FakeTable()) as server:
            monkeypatch.setenv("WAGTAILSTAIR_TABLE", server.url)
            monkeypatch.setenv("LOGNAME", "ana")
            for indent, text in blocks(name, "console"):
                run_session(re.sub(rf"^{indent}", "", text, flags=re.M))


def is_int(value):
    return isinstance(value, int)


def run_session(text):
    for part in re.split(r"^\$ ", text, flags=re.M)[1:]:
        line, _, expected = part.partition("\n")
        program, *arguments = shlex.split(line)
        assert program == "wagtailstair"
        result = CliRunner().invoke(main, arguments)
        output = result.output
        if result.exit_code != 0:
            output += f"exit code {result.exit_code}\n"
        checker = doctest.OutputChecker()
        assert checker.check_output(expected, output, doctest.ELLIPSIS), output
