import pathlib

import msgspec
import pytest

from tests.gateway_deployment import SETTINGS
from wagtailstair.exceptions import SettingsError
from wagtailstair.gateway import settings as gateway_settings
from wagtailstair.settings import load_settings
from wagtailstair.settings import parse_settings

MINIMAL = """
[host]
name = "e1"
data_centre = "north"
address = "127.0.0.1"
http_port = 8080
peer_port = 8081
[platform]
table = "http://127.0.0.1:1"
hosts = "http://127.0.0.1:2"
"""


def settings_error(text):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "daemon.toml")
    assert caught.value.where.startswith("daemon.toml")
    return str(caught.value)


class TestParse:
    def test_omitted_keys_have_defaults(self):
        settings = parse_settings(MINIMAL)
        assert settings.platform.timeout_s == 2.0
        assert settings.peers.seeds == ()

    @pytest.mark.parametrize(
        ("change", "key", "expected"),
        [
            ('name = "e1"', "host", "required field `name`"),
            ("http_port = 8080", "host", "required field `http_port`"),
        ],
    )
    def test_error_names_a_missing_key(self, change, key, expected):
        message = settings_error(MINIMAL.replace(change, ""))
        assert key in message
        assert expected in message

    @pytest.mark.parametrize(
        ("addition", "key", "expected"),
        [
            ("[hots]", "hots", "unknown field"),
            ("[limits]\nbody = 1", "limits", "unknown field `body`"),
            ('[limits]\ntimeout_s = "2 s"', "limits.timeout_s", "`float`"),
            ("[limits]\ntimeout_s = 0", "limits.timeout_s", "> 0"),
            ("[limits]\nbody_bytes = 1.5", "limits.body_bytes", "`int`"),
            ("[limits]\nopen_requests = 0", "limits.open_requests", ">= 1"),
            ("[routing]\nretry_share = 1.1", "routing.retry_share", "<= 1"),
            ("[routing]\nminimum_shares = [0.1]", "routing.minimum_shares", "3"),
            ('[log]\nlevel = "LOUD"', "log.level", "enum"),
            ("[limits]\ntimeout_s = 1e9", "limits.timeout_s", "limits.max_timeout_s"),
            (
                "[peers]\ndead_after_s = 1.0",
                "peers.dead_after_s",
                "twice peers.heartbeat_s",
            ),
            (
                "[routing]\nminimum_shares = [0.5, 0.5, 0.5]",
                "routing.minimum_shares",
                "add up to 1 or less",
            ),
            ('[peers]\nseeds = ["h1:90"]', "peers.seeds[0]", "ip:port"),
            ('[peers]\nseeds = ["127.0.0.1"]', "peers.seeds[0]", "ip:port"),
            ('[peers]\nseeds = ["127.0.0.1:99999"]', "peers.seeds[0]", "ip:port"),
            ("[placement]\nlease_s = 1.0", "placement.lease_s", "or more"),
            ("[", "", "not valid TOML"),
        ],
    )
    def test_error_names_the_file_the_key_and_what_was_expected(
        self, addition, key, expected
    ):
        message = settings_error(f"{MINIMAL}\n{addition}")
        assert key in message
        assert expected in message

    def test_address_must_be_an_ip_address(self):
        message = settings_error(MINIMAL.replace("127.0.0.1", "localhost", 1))
        assert "host.address: expected an IP address, got 'localhost'" in message


class TestLoad:
    def test_error_if_the_file_cannot_be_read(self, tmp_path):
        with pytest.raises(SettingsError, match="can't be read"):
            load_settings(pathlib.Path(tmp_path / "none"))
        path = tmp_path / "binary"
        path.write_bytes(b"\xff")
        with pytest.raises(SettingsError, match="can't be read"):
            load_settings(path)


GATEWAY_TEXT = SETTINGS.format(
    name="entry-1", centre="a", callers=1, readiness=2, peers=3, store="127.0.0.1:4"
)


class TestHostLimits:
    """Limits of the host from the environment, where the file does not have them."""

    def test_environment_fills_in_what_the_file_lacks(self):
        settings = gateway_settings.parse_settings(GATEWAY_TEXT)
        environment = {"WAGTAILSTAIR_MEMORY_MB": "152"}
        host = gateway_settings.apply_environment(settings, environment).host
        assert (host.memory_mb, host.descriptors) == (152, 0)

    def test_file_goes_first(self):
        text = GATEWAY_TEXT.replace("[host]\n", "[host]\nmemory_mb = 300\n")
        settings = gateway_settings.parse_settings(text)
        environment = {"WAGTAILSTAIR_MEMORY_MB": "152"}
        host = gateway_settings.apply_environment(settings, environment).host
        assert host.memory_mb == 300

    @pytest.mark.parametrize("text", ["-1", "1.5", "many", "1_000"])
    def test_odd_value_is_named(self, text):
        settings = gateway_settings.parse_settings(GATEWAY_TEXT)
        environment = {"WAGTAILSTAIR_DESCRIPTORS": text}
        with pytest.raises(SettingsError, match="WAGTAILSTAIR_DESCRIPTORS"):
            gateway_settings.apply_environment(settings, environment)


class TestClientLimits:
    """Limits on clients that were constants: the same without the section."""

    def parse(self, line=""):
        text = f"{GATEWAY_TEXT}\n[clients]\n{line}\n"
        return gateway_settings.parse_settings(text, "host.toml").clients

    # A default that differs changes hosts whose settings say nothing.
    def test_defaults_are_the_constants_of_before(self):
        expected = {
            "memory_share": 0.5,
            "descriptor_share": 0.5,
            "pipelined_max": 8,
            "unread_kb": 64,
            "stall_s": 1.0,
            "accept_pause_s": 0.1,
        }
        without = gateway_settings.parse_settings(GATEWAY_TEXT).clients
        assert msgspec.structs.asdict(without) == expected
        assert self.parse() == without

    @pytest.mark.parametrize(
        ("line", "value"),
        [
            ("memory_share = 1", 1.0),
            ("descriptor_share = 0.01", 0.01),
            ("pipelined_max = 4", 4),
            ("pipelined_max = 64", 64),
            ("unread_kb = 1", 1),
            ("unread_kb = 1024", 1024),
            ("stall_s = 60", 60.0),
            ("accept_pause_s = 0.01", 0.01),
            ("accept_pause_s = 10", 10.0),
        ],
    )
    def test_values_up_to_the_bounds_are_taken(self, line, value):
        assert getattr(self.parse(line), line.partition(" ")[0]) == value

    # A host would start with a limit that stops all clients, or none.
    @pytest.mark.parametrize(
        ("line", "expected"),
        [
            ("memory_share = 0", "`float` > 0.0"),
            ("memory_share = 1.1", "`float` <= 1.0"),
            ("memory_share = nan", "`float` > 0.0"),
            ("descriptor_share = -0.5", "`float` > 0.0"),
            ("descriptor_share = 50", "`float` <= 1.0"),
            ("pipelined_max = 3", "`int` >= 4"),
            ("pipelined_max = 65", "`int` <= 64"),
            ("pipelined_max = 8.5", "`int`, got `float`"),
            ("unread_kb = 0", "`int` >= 1"),
            ("unread_kb = 1025", "`int` <= 1024"),
            ('unread_kb = "64 KB"', "`int`, got `str`"),
            ("stall_s = 0", "`float` > 0.0"),
            ("stall_s = inf", "`float` <= 60.0"),
            ("accept_pause_s = 0", "`float` >= 0.01"),
            ("accept_pause_s = 11", "`float` <= 10.0"),
            ("accept_pause_s = true", "`float`, got `bool`"),
        ],
    )
    def test_error_names_the_file_the_key_and_what_was_expected(self, line, expected):
        with pytest.raises(SettingsError) as caught:
            self.parse(line)
        message = str(caught.value)
        assert "host.toml" in message
        assert f"$.clients.{line.partition(' ')[0]}" in message
        assert expected in message

    def test_unknown_key_is_named(self):
        with pytest.raises(SettingsError, match=r"unknown field `unread_mb`.*clients"):
            self.parse("unread_mb = 1")
