"""Tests of ``cranberryctl workspace-key`` and of workspaces in other commands."""

import hashlib
import json
from unittest import mock

from cranberryrun.configuration import Configuration
from cranberryrun.ctl_client import ControlClient
from cranberryrun.ctl_errors import ChangeUnknownError

from .test_ctl import ControlTestCase


class WorkspaceKeyTest(ControlTestCase):
    def setUp(self):
        self.declare()
        self.addCleanup(self.run_command, "delete", "workspace", "red")

    def declare(self, **spec):
        return self.apply(
            {"kind": "workspace", "name": "red", "spec": spec}, options=["--wait"]
        )

    def create(self):
        """Create a key; return its id and the key."""
        arguments = ("workspace-key", "create", "red", "--wait")
        created = json.loads(self.run_command("--output", "json", *arguments).stdout)
        return created["id"], created["key"]

    def keyring(self):
        return self.fleet.host_by_id["host-1"].kernel.get(Configuration).state.keyring

    def test_key_is_shown_once_and_listed_by_id_until_it_is_revoked(self):
        key_id, key = self.create()
        self.assertEqual(len(key), 43)  # 256 bits in base64
        self.assertEqual(self.keyring().find(key).name, "red")
        digest = hashlib.sha256(key.encode()).hexdigest()
        for arguments in (
            ("get", "workspaces"),
            ("get", "workspace", "red"),
            ("describe", "workspace", "red"),
            ("--output", "json", "get", "workspaces"),
            ("watch", "workspaces", "--count", "1"),
            ("timeline",),
        ):
            output = self.run_command(*arguments).output
            self.assertNotIn(key, output)
            self.assertNotIn(digest, output)
        table = self.run_command("get", "workspaces").output
        self.assertRegex(table, rf"workspaces/red .* {key_id} +20\d\d-.*Z")
        other_id, other = self.create()
        self.run_command("workspace-key", "revoke", "red", key_id, "--wait")
        self.assertIsNone(self.keyring().find(key))
        self.assertEqual(self.keyring().find(other).name, "red")
        self.run_command("workspace-key", "revoke", "red", key_id, code=2)
        self.run_command("workspace-key", "create", "none", code=3)
        self.assertIn(other_id, self.run_command("get", "workspaces").output)

    def test_apply_without_keys_keeps_them_and_compares_them_by_id(self):
        # Keys that apply dropped would lock callers out.
        _, key = self.create()
        self.assertIn("unchanged", self.declare().output)
        self.assertIn("generation", self.declare(priority=2).output)
        self.assertEqual(self.keyring().find(key).priority, 2)
        shown = self.run_command("--output", "json", "get", "workspaces").stdout
        self.run_command("diff", "-f", "-", text=shown)
        declared = json.loads(shown)["items"]
        declared[0]["spec"]["keys"].append({"id": "k9", "sha256": "0" * 64})
        text = json.dumps(declared)
        self.assertIn(
            "k9", self.run_command("diff", "-f", "-", text=text, code=1).output
        )

    def test_key_whose_outcome_is_unknown_is_named_but_not_shown(self):
        # A second create with the same change id would make another key.
        output = self.run_command("--output", "json", "get", "workspace", "red").stdout
        failure = ChangeUnknownError("lost", change_id="c1")
        with (
            mock.patch.object(ControlClient, "send", side_effect=failure),
            mock.patch.object(ControlClient, "get", return_value=json.loads(output)),
        ):
            result = self.run_command("workspace-key", "create", "red", code=6)
        self.assertIn("revoke", result.output)
        self.assertNotIn("--change-id", result.output)
