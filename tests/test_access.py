"""What a caller may do, by the key of the call and the owner of the batch."""

import unittest
from dataclasses import replace

from cranberryrun.exceptions import NotFoundError, NotReadyError
from cranberryrun.workspaces.access import (
    Caller,
    KeyRejectedError,
    KeyState,
    OtherWorkspaceError,
)
from cranberryrun.workspaces.keyring import Keyring, Workspace
from fakes.deployment import batch_route, manifest

OPEN = manifest()
KEYED = replace(
    OPEN,
    keyring=Keyring([(Workspace("red"), ["r1", "r2"]), (Workspace("blue", 0), ["b1"])]),
)
RED, BLUE = Caller.identify(KEYED, "r2"), Caller.identify(KEYED, "b1")
UNKNOWN, KEYLESS = Caller.identify(KEYED, "x"), Caller.identify(KEYED, None)
ANYBODY = Caller.identify(OPEN, "r1")


class IdentifyTest(unittest.TestCase):
    def test_key_is_known_unknown_missing_or_unused(self):
        self.assertEqual((RED.key, RED.workspace_name), (KeyState.KNOWN, "red"))
        self.assertEqual(UNKNOWN.key, KeyState.UNKNOWN)
        for key in (None, ""):
            self.assertEqual(Caller.identify(KEYED, key).key, KeyState.MISSING)
        self.assertEqual((ANYBODY.key, ANYBODY.workspace), (KeyState.UNUSED, None))


class RouteTest(unittest.TestCase):
    def test_route_needs_a_known_key_unless_it_is_public(self):
        for caller in (UNKNOWN, KEYLESS):
            caller.check_route(batch_route(public=True))
            for route in (batch_route(), None):
                with self.assertRaises(KeyRejectedError):
                    caller.check_route(route)
        for caller in (RED, BLUE, ANYBODY):
            for route in (batch_route(public=True), batch_route(), None):
                caller.check_route(route)

    def test_priority_of_a_workspace_replaces_that_of_the_route(self):
        route = batch_route(priority=4)
        for caller, priority in ((BLUE, 0), (RED, 4), (KEYLESS, 4), (ANYBODY, 4)):
            self.assertEqual(caller.with_priority(route).priority, priority)


class BatchTest(unittest.TestCase):
    def error(self, caller, exists, owner):
        try:
            caller.check_batch("b1", exists, owner)
        except Exception as error:
            return error
        return None

    def test_batch_without_a_workspace_is_open_to_all(self):
        for caller in (RED, BLUE, UNKNOWN, KEYLESS, ANYBODY):
            self.assertIsNone(self.error(caller, True, None))

    def test_batch_of_another_workspace_looks_as_if_it_did_not_exist(self):
        self.assertIsNone(self.error(RED, True, "red"))
        other = self.error(BLUE, True, "red")
        absent = self.error(BLUE, False, None)
        self.assertIsInstance(other, OtherWorkspaceError)
        self.assertIsInstance(absent, NotFoundError)
        self.assertEqual(other.problem(), absent.problem())

    def test_without_a_key_a_batch_is_the_same_whether_it_exists(self):
        for caller in (UNKNOWN, KEYLESS):
            errors = [
                self.error(caller, True, "red"),
                self.error(caller, False, None),
            ]
            self.assertEqual({type(error) for error in errors}, {KeyRejectedError})
            self.assertEqual(errors[0].problem(), errors[1].problem())

    def test_host_with_an_old_manifest_shows_no_batch_of_a_workspace(self):
        """It can't tell the owner from others, so that the owner must not get a 404."""
        self.assertIsInstance(self.error(ANYBODY, True, "red"), NotReadyError)
        self.assertIs(type(self.error(ANYBODY, False, None)), NotFoundError)

    def test_id_of_another_workspace_can_not_be_submitted(self):
        for owner in ("red", None):
            RED.check_submission("b1", owner)
        for caller in (BLUE, UNKNOWN, KEYLESS):
            with self.assertRaises(OtherWorkspaceError):
                caller.check_submission("b1", "red")
