"""Entries of other writers among those of targets: they name nothing to use.

The entries of the targets themselves hold, whatever stands beside them or stood in
their place for a while.
"""

import asyncio
import json
import time

from cranberryrun import clock
from cranberryrun.exceptions import RecordInvalidError
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.engine_pool import EnginePool
from cranberryrun.fleet.target_paths import TargetPaths
from cranberryrun.metrics import Metrics
from cranberryrun.platform.wire import WireDecoder, decode_report
from standins.ports import free_port

from . import test_platform_host
from .test_directory import DirectoryTestCase
from .test_platform_host import TARGET_TOPIC, PlatformTestCase
from .virtual import VirtualTimeTestCase

ENTRY = {
    "service": "lm",
    "address": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence": 3,
    "born": 1_700_000_000_000,
    "models": [{"name": "m", "version": 1, "adapters": []}],
}
MODEL = ENTRY["models"][0]
WRONG_ADDRESSES = (
    "",
    "127.0.0.1",
    "127.0.0.1:",
    ":80",
    "127.0.0.1:http",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1:080",
    "127.0.0.1:8 0",
    "127.0.0.1:80 ",
    " 127.0.0.1:80",
    "127.0.0.1:80\r\nX-Own: 1",
    "127.0.0.1:80/path",
    "127.0.0.1:80@10.0.0.1:80",
    "user@127.0.0.1:80",
    "127.0.0.1:80:80",
    "127.0.0.1:8\N{ARABIC-INDIC DIGIT ZERO}",
    "127.1:80",
    "127.0.0.256:80",
    "0x7f.0.0.1:80",
    "0.0.0.0:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "localhost:80",
    "engine.example:80",
    "[::1]:80",
    "::1:80",
    "http://127.0.0.1:80",
    "127.0.0.1:80#x",
    "127.0.0.1\x00:80",
)
WRONG_VALUES = {
    "address": (*WRONG_ADDRESSES, 80, None, ["127.0.0.1:80"], {}, True),
    "service": ("", 1, None, [], True, "s" * 1000),
    "zone": ("", 1, None, [], {}),
    "version": (None, [], 1.5, True, -1, "v" * 1000, 10**30),
    "slots": (0, -1, 4.0, "4", True, None, [], 10**9, 10**400),
    "state": ("", "gone", "Ready", 1, None, True),
    "sequence": (-1, 1.0, "3", True, None, 2**60, 10**400),
    "born": (-1, 1.0, "1", True, None, 2**60, 9_999_999_999_999),
    "cold-remaining-ms": (-1, "0", None, True, [], 1e400),
    "leaves_ms": (-1, "0", True, []),
    "use-spot": (1, "true", "yes", []),
    "models": (
        None,
        "m",
        {},
        [None],
        ["m"],
        [{}],
        [{"name": "m"}],
        [MODEL | {"version": "1"}],
        [MODEL | {"version": -1}],
        [MODEL | {"version": 1.0}],
        [MODEL | {"version": 2**60}],
        [MODEL | {"name": ""}],
        [MODEL | {"name": 1}],
        [MODEL, MODEL | {"version": 2}],
    ),
}
REQUIRED = ("service", "address", "zone", "version", "slots", "state", "sequence")
WRONG_IDS = ("", " e", "e ", "e\n", "e\r\nX-Own: 1", "\N{SNOWMAN}", "e\x00", "e" * 300)
NO_OBJECTS = (b"", b"\xff", b"null", b"[]", b"1", b'"x"', b"{", b"[" * 100_000)


def wrong_entries():
    """Yield entries of which one field is wrong or missing."""
    for name, values in WRONG_VALUES.items():
        for value in values:
            yield ENTRY | {name: value}
    for name in REQUIRED:
        yield {key: value for key, value in ENTRY.items() if key != name}


class DecoderTest(VirtualTimeTestCase):
    async def test_entry_with_a_wrong_field_names_nothing(self):
        decoder = WireDecoder()
        for entry in wrong_entries():
            changed = {key for key in ENTRY if entry.get(key) != ENTRY[key]}
            text = json.dumps(entry).replace("Infinity", "1e400").encode()
            with self.subTest(changed=changed, entry=text[:300]):
                with self.assertRaises(RecordInvalidError):
                    decoder.target("e", text)

    async def test_entry_whose_id_no_header_can_carry_names_nothing(self):
        for target_id in WRONG_IDS:
            with self.subTest(target_id=target_id):
                with self.assertRaises(RecordInvalidError):
                    WireDecoder().target(target_id, json.dumps(ENTRY).encode())

    async def test_entry_that_is_no_object_names_nothing(self):
        for value in NO_OBJECTS:
            with self.subTest(value=value[:10]):
                with self.assertRaises(RecordInvalidError):
                    WireDecoder().target("e", value)

    async def test_entries_that_the_platform_allows_are_taken(self):
        for changes in (
            {},
            {"version": 7},
            {"version": "2026.12-rc+1"},
            {"models": []},
            {"stage": "both"},
            {"cold-remaining-ms": 120.5},
            {"slots": 512},
            {"state": "draining", "leaves_ms": 300},
            {"state": "draining", "leaves_ms": None},
            {"use-spot": True},
            {"born": int(clock.wall() * 1000)},
            {"more": {"of": ["a", "later", "protocol"]}},
            {"zone": "north zone/1"},
            {"address": "10.128.0.9:8080"},
            {"address": "192.168.1.7:65535"},
            {"address": "172.16.0.1:1"},
        ):
            with self.subTest(changes=changes):
                value = json.dumps(ENTRY | changes).encode()
                target = WireDecoder().target("i-7f3a91c2", value)
                expected = (ENTRY | changes)["address"]
                self.assertEqual(str(target.address), expected)
        for name in ("born", "models", "cold-remaining-ms"):
            value = {key: each for key, each in ENTRY.items() if key != name}
            WireDecoder().target("e", json.dumps(value).encode())

    async def test_report_with_a_wrong_field_is_refused(self):
        report = {"busy": False, "sequence": 1, "models": [MODEL]}
        decode_report(json.dumps(report).encode())
        wrong = [
            *(report | {"busy": value} for value in (0, "false", None)),
            *(report | {"sequence": value} for value in (-1, "1", 1.0, None, True)),
            *(report | {"models": value} for value in WRONG_VALUES["models"]),
            *({key: report[key] for key in report if key != name} for name in report),
        ]
        for value in wrong:
            with self.subTest(value=value):
                with self.assertRaises(RecordInvalidError):
                    decode_report(json.dumps(value).encode())


class EntryOrderTest(DirectoryTestCase):
    """The store writes late what was not answered; a target writes again and again."""

    def write(self, **changes):
        self.deployment.register("e0", **changes)

    async def registered(self):
        await asyncio.sleep(0.5)
        return self.directory.target_by_id["e0"]

    async def test_late_entries_are_ignored(self):
        self.write(born=5, sequence=100, draining=True)
        for sequence in (97, 99):
            self.write(born=5, sequence=sequence)
            self.assertTrue((await self.registered()).draining)
        self.write(born=5, sequence=101, draining=True)
        for sequence in (98, 99):
            self.write(born=5, sequence=sequence)
            self.assertTrue((await self.registered()).draining)

    async def test_target_is_not_hidden_behind_an_entry_of_another_writer(self):
        for wrong in ({"born": 9}, {"sequence": 10**9}):
            with self.subTest(wrong=wrong):
                self.write(**({"born": 5, "sequence": 10} | wrong))
                self.write(born=5, sequence=1)
                self.assertNotEqual((await self.registered()).sequence, 1)
                for sequence in (2, 3, 4):
                    self.write(born=5, sequence=sequence)
                target = await self.registered()
                self.assertEqual((target.born, target.sequence), (5, 4))


class ForeignEntryTest(PlatformTestCase):
    """Three kinds of requests beside such entries, at a real host."""

    submit = test_platform_host.BatchTest.submit
    results = test_platform_host.BatchTest.results

    def entry(self, service="lm", **changes):
        own = self.engine.entry() if service == "lm" else self.portals[0].entry()
        return own | {"service": service} | changes

    async def put(self, **entries):
        for target_id, entry in entries.items():
            self.store.put(TARGET_TOPIC, target_id, entry)
        await asyncio.sleep(0.5)

    async def assert_served(self, items=4):
        started_at = time.monotonic()
        for number in range(8):
            status, _, _ = await self.request("POST", "/hold/x", f"h{number}")
            self.assertEqual(status, 200)
        batch_id = f"b{started_at}"
        self.assertEqual((await self.submit(batch_id, items=items))[0], 202)
        results = await self.results(batch_id)
        self.assertEqual({each["state"] for each in results}, {"succeeded"})
        self.assertEqual(len(results), items)
        await self.request("DELETE", f"/v1/lots/{batch_id}")

    async def test_items_are_not_sent_to_an_address_that_is_none(self):
        """Items went there without end, and a group reached no engine (review/13)."""
        wrong = {
            f"w{number}": self.entry(address=address)
            for number, address in enumerate(WRONG_ADDRESSES)
        }
        await self.put(**wrong)
        await self.assert_served()
        self.assertEqual(len(self.host.kernel.get(Directory).target_by_id), 3)
        refused = self.host.kernel.get(Metrics).scrape().decode()
        (line,) = [
            each
            for each in refused.splitlines()
            if each.startswith("cranberryrun_invalid_records")
        ]
        self.assertGreaterEqual(float(line.rpartition(" ")[2]), len(wrong))

    async def test_items_are_served_beside_entries_where_nothing_listens(self):
        for count in (1, 40):
            with self.subTest(count=count):
                await self.put(
                    **{
                        f"n{number}": self.entry(address=f"127.0.0.1:{free_port()}")
                        for number in range(count)
                    }
                )
                await self.assert_served()

    async def test_requests_are_served_beside_many_entries_where_nothing_listens(self):
        await self.put(
            **{
                f"n{number}": self.entry("portal", address=f"127.0.0.1:{free_port()}")
                for number in range(40)
            }
        )
        await self.assert_served()
        self.assertFalse(self.host.kernel.get(TargetPaths).lost)

    async def test_services_that_no_manifest_names_have_no_targets(self):
        """Probes of such entries failed, so that a host took its links for lost."""
        await self.put(
            **{
                f"f{number}": self.entry(f"s{number}", address=f"127.0.0.1:{port}")
                for number, port in enumerate(free_port() for _ in range(60))
            }
        )
        kernel = self.host.kernel
        probed = {
            target.service
            for _ in range(20)
            for target in kernel.get(TargetPaths)._targets_to_probe()
        }
        self.assertEqual(probed, {"lm", "portal"})
        self.assertEqual(set(kernel.get(EnginePool).engine_by_id), {"e0"})
        await self.assert_served()

    async def test_entry_in_place_of_a_targets_own_holds_until_its_next_one(self):
        directory = self.host.kernel.get(Directory)
        for wrong in ({"address": "127.0.0.1:http"}, {"slots": "many"}, {"state": "?"}):
            with self.subTest(wrong=wrong):
                await self.put(e0=self.entry(**wrong))
                self.assertNotIn("e0", directory.target_by_id)
                self.engine.sequence += 1
                await self.put(e0=self.engine.entry())
                await self.assert_served()
