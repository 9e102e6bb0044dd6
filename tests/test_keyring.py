"""The keys of workspaces: look-up by digest, and manifests that are rejected."""

import json
import unittest

from cranberryrun.exceptions import RecordInvalidError
from cranberryrun.platform.wire import WireDecoder
from cranberryrun.workspaces.keyring import Keyring, Workspace

from .test_platform_host import manifest

RED, BLUE = Workspace("red"), Workspace("blue", priority=0)


class KeyringTest(unittest.TestCase):
    def test_each_key_leads_to_its_workspace(self):
        keyring = Keyring([(RED, ["r1", "r2"]), (BLUE, ["b1"])])
        found = [keyring.find(key) for key in ("r1", "r2", "b1", "r", "", "R1")]
        self.assertEqual(found, [RED, RED, BLUE, None, None, None])

    def test_empty_key_of_a_workspace_admits_nobody(self):
        """A request without a key would otherwise belong to that workspace."""
        keyring = Keyring([(RED, [""]), (BLUE, ["", "b1"])])
        self.assertIsNone(keyring.find(""))
        self.assertEqual(keyring.keyless, ("red",))

    def test_workspaces_that_share_a_name_or_a_key_are_rejected(self):
        for entries in (
            [(RED, ["k"]), (BLUE, ["b1", "k"])],
            [(RED, ["r1"]), (Workspace("red", 3), ["r2"])],
            [(Workspace(""), ["r1"])],
            [(Workspace("red\r\nX-Other: 1"), ["r1"])],
        ):
            with self.subTest(entries=entries):
                with self.assertRaises(RecordInvalidError):
                    Keyring(entries)

    def test_key_that_is_repeated_in_one_workspace_is_accepted(self):
        keyring = Keyring([(RED, ["r1", "r1"])])
        self.assertEqual(keyring.find("r1"), RED)

    def test_revoked_key_is_told_from_one_that_was_never_known(self):
        first = Keyring([(RED, ["r1", "r2"]), (BLUE, ["b1"])])
        second = Keyring([(RED, ["r2"]), (BLUE, ["b1"])])
        second.follow(first)
        third = Keyring([(RED, ["r2"]), (BLUE, [])])
        third.follow(second)
        found = [third.find_revoked(key) for key in ("r1", "b1", "r2", "x")]
        self.assertEqual(found, [RED, BLUE, None, None])
        fourth = Keyring([(BLUE, ["r1"])])
        fourth.follow(third)
        self.assertIsNone(fourth.find_revoked("r1"))
        self.assertEqual(fourth.find("r1"), BLUE)

    def test_only_digests_are_kept(self):
        keyring = Keyring([(RED, ["secret-key"])])
        self.assertNotIn("secret-key", str(vars(keyring)))


class DecodingTest(unittest.TestCase):
    def decode(self, **fields):
        record = json.dumps(manifest() | fields).encode()
        return WireDecoder().manifest("config", record)

    def test_workspaces_are_decoded(self):
        tenants = [
            {"name": "red", "api-keys": ["r1", "r2"]},
            {"name": "blue", "api-keys": ["b1"], "priority": 0},
        ]
        keyring = self.decode(tenants=tenants).keyring
        self.assertEqual((keyring.find("r2"), keyring.find("b1")), (RED, BLUE))
        self.assertEqual(len(keyring), 2)

    def test_without_workspaces_there_is_no_keyring(self):
        for fields in ({}, {"tenants": None}, {"tenants": []}):
            self.assertIsNone(self.decode(**fields).keyring)

    def test_error_names_the_field_and_no_key(self):
        for tenants in (
            [{"name": "red", "api-keys": [{"secret-key": 1}]}],
            [{"name": "red", "api-keys": "secret-key"}],
            [{"api-keys": ["secret-key"]}],
            {"secret-key": "red"},
        ):
            with self.subTest(tenants=tenants):
                with self.assertRaises(RecordInvalidError) as caught:
                    self.decode(tenants=tenants)
                self.assertIn("tenants", caught.exception.detail)
                self.assertNotIn("secret-key", caught.exception.detail)
