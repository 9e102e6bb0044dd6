"""Tests of declared workspaces: the stored spec, shared keys, and snapshots."""

import hashlib
import json
import unittest

from returns.result import Failure

from cranberryrun.log import Record
from cranberryrun.models import Change
from cranberryrun.state import ConfigState, newest_snapshot


def digest(key: str) -> str:
    """Return the digest of a key as it is declared."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_row(id: str, key: str | None = None) -> dict:
    """Return a key of a declared spec, without a digest if no key is given."""
    return {"id": id} if key is None else {"id": id, "sha256": digest(key)}


class DeclaredWorkspacesTest(unittest.TestCase):
    def setUp(self):
        self.state = ConfigState()

    def put(self, name, **spec):
        """Apply a change at time 10 plus its offset; return the result."""
        offset = self.state.offset + 1
        change = Change(
            change_id=f"c{offset}",
            kind="workspaces",
            name=name,
            expected_generation=self.state.generation("workspaces", name),
            operation="put",
            spec=spec,
        )
        return self.state.apply(offset, 10.0 + offset, change.model_dump(mode="json"))

    def found(self, key):
        """Return the name of the workspace that a key leads to."""
        workspace = self.state.keyring.find(key)
        return workspace and workspace.name

    def test_keys_are_kept_by_id_and_revoked_when_left_out(self):
        # A changed priority must neither revoke keys nor set their times anew.
        self.assertIsNone(self.state.keyring)
        self.put("red", keys=[key_row("k1", "one")])
        self.put("red", keys=[key_row("k1"), key_row("k2", "two")])
        self.put("red", priority=3)
        spec = self.state.get("workspaces", "red").spec
        self.assertEqual([key.created_at for key in spec.keys], [10.0, 11.0])
        self.assertEqual((self.found("one"), self.found("two")), ("red", "red"))
        self.put("red", keys=[key_row("k2")])
        self.assertEqual((self.found("one"), self.found("two")), (None, "red"))
        self.assertEqual(self.state.keyring.find_revoked("one").name, "red")
        shown = json.dumps(self.state.get("workspaces", "red").spec.shown())
        self.assertIn("k2", shown)
        self.assertNotIn(digest("two"), shown)

    def test_invalid_keys_are_rejected_by_every_host(self):
        # Two workspaces with one key would let callers act for each other.
        self.put("red", keys=[key_row("k1", "one")])
        for name, keys in (
            ("blue", [key_row("k9", "one")]),
            ("blue", [key_row("k9")]),
            ("blue", [key_row("k8", "two"), key_row("k9", "two")]),
            ("blue", [key_row("k8", "two"), key_row("k8", "three")]),
            ("red", [key_row("k1", "two")]),
        ):
            result = self.put(name, keys=keys)
            self.assertIsInstance(result, Failure, keys)
            self.assertEqual(result.failure().field, "spec.keys")
            self.assertNotIn(digest("one"), result.failure().detail)
        self.assertIsInstance(self.put("blue", priority=-1), Failure)
        self.assertIsNone(self.state.get("workspaces", "blue"))

    def test_snapshot_keeps_workspaces_where_earlier_builds_ignore_them(self):
        # An unknown kind among the resources makes a build before this one refuse the
        # snapshot, and with it the start from a log that dropped old records.
        self.assertNotIn("workspaces", self.state.dump())
        self.put("red", priority=0, keys=[key_row("k1", "one")])
        snapshot = self.state.snapshot("host-1")
        self.assertEqual(snapshot.state["resources"], [])
        self.assertNotIn('"one"', snapshot.model_dump_json())
        loaded = ConfigState.load(snapshot)
        self.assertEqual(loaded, self.state)
        self.assertEqual(loaded.keyring.find("one").priority, 0)

    def test_snapshot_with_workspaces_is_preferred_to_a_newer_one_without(self):
        # A host of an earlier build wrote the newer one: it would open the host.
        self.put("red", keys=[key_row("k1", "one")])
        newer = self.state.snapshot("host-1").model_dump(mode="json")
        values = [json.loads(json.dumps(newer))] + [newer] * 2
        del newer["state"]["workspaces"]
        records = [Record(n + 1, 0.0, value) for n, value in enumerate(values)]
        self.assertIn("workspaces", newest_snapshot(records, 0).state)
        self.assertEqual(newest_snapshot(records[1:], 0).state, newer["state"])
