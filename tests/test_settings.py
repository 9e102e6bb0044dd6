"""Tests of the settings and of the options that print and check them."""

import json
import unittest
from pathlib import Path

from click.testing import CliRunner

from cranberryrun.daemon import main
from cranberryrun.exceptions import SettingsError
from cranberryrun.pages import configuration_page
from cranberryrun.settings import Settings, load_settings, parse_settings

_DOCS = Path(__file__).resolve().parent.parent / "docs"
_MINIMAL_SETTINGS = {
    "id": "host-1",
    "zone": "zone-a",
    "api_port": 8080,
    "peer_port": 8081,
    "log": {"url": "http://127.0.0.1:1"},
    "host_list_url": "http://127.0.0.1:2",
}
_NO_FILES = {"certificate": "no-such.pem", "key": "no-such.pem"}


class SettingsTest(unittest.TestCase):
    def test_error_names_the_invalid_field(self):
        for changes, field in (
            ({"color": 1}, "color"),
            ({"id": "Host 1"}, "id"),
            ({"ip": "localhost"}, "ip"),
            ({"api_port": 70_000}, "api_port"),
            ({"api_port": "x"}, "api_port"),
            ({"log": {"url": "ftp://x"}}, "log.url"),
            ({"log": {"url": "http://x", "retention": 0}}, "log.retention"),
            ({"log": {"url": "http://x", "retention": float("inf")}}, "log.retention"),
            ({"timing": {"peer_exchange": -1}}, "timing.peer_exchange"),
            ({"timing": {"naptime": 1}}, "timing.naptime"),
            ({"peers": ["127.0.0.1"]}, "peers.0"),
            ({"peers": ["127.0.0.1:0"]}, "peers.0"),
            ({"peers": ["host:80"]}, "peers.0"),
            (
                {"tokens": [{"sha256": "x", "roles": [], "name": "n"}]},
                "tokens.0.sha256",
            ),
        ):
            with self.assertRaises(SettingsError, msg=changes) as caught:
                parse_settings(_MINIMAL_SETTINGS | changes)
            self.assertEqual(caught.exception.field, field)
        for name in _MINIMAL_SETTINGS:
            incomplete = {
                key: value for key, value in _MINIMAL_SETTINGS.items() if key != name
            }
            with self.assertRaises(SettingsError) as caught:
                parse_settings(incomplete)
            self.assertEqual(caught.exception.field, name)

    def test_settings_must_be_an_object(self):
        for data in (None, [], "x"):
            with self.assertRaises(SettingsError):
                parse_settings(data)

    def test_peers_accept_ip_and_port(self):
        settings = parse_settings(_MINIMAL_SETTINGS | {"peers": ["127.0.0.1:80"]})
        self.assertEqual(settings.peers, ["127.0.0.1:80"])


class OptionsTest(unittest.TestCase):
    def setUp(self):
        self.runner = CliRunner()

    def check(self, text):
        """Run ``--check-settings`` on a file that contains ``text``."""
        with self.runner.isolated_filesystem():
            Path("host.json").write_text(text, encoding="utf-8")
            return self.runner.invoke(main, ["host.json", "--check-settings"])

    def test_check_settings_exits_with_2_and_names_the_error(self):
        self.assertEqual(self.check(json.dumps(_MINIMAL_SETTINGS)).exit_code, 0)
        for text, part in (
            (json.dumps(_MINIMAL_SETTINGS | {"color": 1}), "color"),
            ("{", "line 1"),
            ("", "line 1"),
            ("[]", "settings"),
            (json.dumps(_MINIMAL_SETTINGS | {"tls": _NO_FILES}), "tls.certificate"),
        ):
            result = self.check(text)
            self.assertEqual(result.exit_code, 2, text)
            self.assertIn(part, result.output)

    def test_missing_file_is_an_error(self):
        result = self.runner.invoke(main, ["no-such.json"])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("no-such.json", result.output)

    def test_printed_default_settings_are_valid(self):
        text = self.runner.invoke(main, ["--print-default-settings"]).output
        self.assertEqual(self.check(text).exit_code, 0)

    def test_schema_names_every_setting(self):
        text = self.runner.invoke(main, ["--print-settings-schema"]).output
        self.assertEqual(
            set(json.loads(text)["properties"]), set(Settings.model_fields)
        )

    def test_binary_file_is_an_error(self):
        with self.runner.isolated_filesystem():
            Path("host.json").write_bytes(b"\xff\xfe")
            with self.assertRaises(SettingsError):
                load_settings("host.json")


class PagesTest(unittest.TestCase):
    def test_published_schema_matches_the_code(self):
        text = (_DOCS / "settings.schema.json").read_text(encoding="utf-8")
        self.assertEqual(json.loads(text), Settings.model_json_schema())

    def test_published_page_matches_the_code(self):
        page = (_DOCS / "CONFIGURATION.md").read_text(encoding="utf-8")
        self.assertEqual(page, configuration_page())
        self.assertNotIn("| None |", page)
