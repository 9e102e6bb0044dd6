"""Decoding of what the platform's records say of the scaling of engines."""

import json
import unittest

from cranberryrun.fleet.manifest import Autoscale
from cranberryrun.platform.wire import WireDecoder

ROUTE = {
    "name": "r",
    "host": "h",
    "path-prefix": "/",
    "kind": "rollout",
    "service": "models",
}


class ManifestTest(unittest.TestCase):
    def manifest(self, autoscale):
        service = {"name": "models", "engine": {"models": [{"name": "m"}]}}
        if autoscale is not None:
            service["autoscale"] = autoscale
        body = {"version": 1, "routes": [ROUTE], "services": [service]}
        return WireDecoder().manifest("config", json.dumps(body).encode())

    def test_fields_are_decoded(self):
        raw = {
            "min": 2,
            "max": 9,
            "boot-time-s": 5,
            "spot-price": 0.2,
            "zone-prices": {"a": 0.8},
        }
        expected = Autoscale(2, 9, 5.0, 0.2, {"a": 0.8})
        self.assertEqual(self.manifest(raw).autoscale_by_service, {"models": expected})
        self.assertAlmostEqual(expected.price("a", spot=True), 0.16)

    def test_defaults_apply_and_no_autoscale_means_none(self):
        decoded = self.manifest({"min": 0, "max": 3}).autoscale_by_service["models"]
        self.assertEqual((decoded.boot_seconds, decoded.spot_price), (4.0, 0.18))
        self.assertEqual(self.manifest(None).autoscale_by_service, {})

    def test_invalid_autoscale_is_ignored_and_the_manifest_stays_in_force(self):
        """An error in the prices must not keep a new manifest from being applied."""
        for raw in (
            {"min": 5, "max": 3},
            {"min": -1, "max": 3},
            {"min": 1, "max": 3, "spot-price": -0.1},
            {"min": 1, "max": 3, "zone-prices": {"a": -1}},
            {"min": 1, "max": 3, "zone-prices": {"a": "cheap"}},
            {"min": 1, "max": 3, "boot-time-s": None},
            {"max": 3},
            [],
            "many",
        ):
            decoded = self.manifest(raw)
            self.assertEqual(decoded.version, 1)
            self.assertEqual(decoded.autoscale_by_service, {})
            self.assertEqual(list(decoded.autoscale_error_by_service), ["models"])


class TargetTest(unittest.TestCase):
    def target(self, **fields):
        entry = {"service": "s", "address": "10.0.0.1:80", "zone": "a"}
        entry |= {"state": "ready", "version": "v1", "slots": 4, "sequence": 1}
        return WireDecoder().target("t", json.dumps(entry | fields).encode())

    def test_spot_target_that_leaves(self):
        target = self.target(state="draining", leaves_ms=2400, **{"use-spot": True})
        self.assertTrue(target.spot and target.draining)
        self.assertEqual(target.leaves_in, 2.4)

    def test_target_without_the_marks_is_on_demand_and_does_not_leave(self):
        target = self.target(leaves_ms=0)
        self.assertFalse(target.spot)
        self.assertIsNone(target.leaves_in)


if __name__ == "__main__":
    unittest.main()
