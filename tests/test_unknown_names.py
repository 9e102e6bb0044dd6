"""Headers and fields that the adapter does not know are counted and logged once."""

import asyncio

from cranberryrun.events import Events
from cranberryrun.metrics import Metrics
from cranberryrun.platform.unknown_names import UnknownNames
from cranberryrun.platform.wire import decode_report

from .test_platform_host import (
    OPERATOR_TOPIC,
    TARGET_TOPIC,
    PlatformTestCase,
    manifest,
    submission,
)


class UnknownNamesTest(PlatformTestCase):
    def logged(self):
        return [
            (event.fields["source"], event.fields["key"])
            for event in self.host.kernel.get(Events).after(-1)
            if event.kind.name == "unknown_name"
        ]

    def scraped(self):
        return self.host.kernel.get(Metrics).scrape().decode()

    async def test_header_of_answers_is_counted_and_logged_once(self):
        for number in range(3):
            await self.request("GET", f"/status/{number}", attempt_id=f"r{number}")
        self.assertEqual(self.logged(), [("answer", "x-own")])
        self.assertIn('{name="x-own",source="answer"} 3.0', self.scraped())

    async def test_header_of_a_request_is_logged(self):
        await self.request("GET", "/status/1", headers={"X-Future": "1"})
        self.assertIn(("request", "x-future"), self.logged())

    async def test_fields_of_records_and_batches_are_logged_with_their_path(self):
        new = manifest(2)
        new["routes"][0]["quota"] = 7
        self.store.put(OPERATOR_TOPIC, "config", new)
        entry = self.engine.entry() | {"sequence": 9, "mood": "good"}
        entry["models"][0]["dialect"] = "x"
        self.store.put(TARGET_TOPIC, "e0", entry)
        body = submission(items=2)
        body["items"][1]["tenant"] = "t"
        await self.request("POST", "/rollout/1", attempt_id="b1", json=body)
        await asyncio.sleep(1.0)
        expected = {
            ("manifest", "routes.quota"),
            ("target", "mood"),
            ("target", "models.dialect"),
            ("batch", "items.tenant"),
        }
        self.assertLessEqual(expected, set(self.logged()))

    async def test_documented_fields_that_are_not_used_are_not_logged(self):
        names = self.host.kernel.get(UnknownNames)
        report = (
            b'{"busy": false, "sequence": 0, "models": [], "born": 1, "handles": 0}'
        )
        decode_report(report, names.record_fields)
        await asyncio.sleep(0.5)
        self.assertEqual(self.logged(), [])

    async def test_memory_and_log_do_not_grow_with_the_names(self):
        names = self.host.kernel.get(UnknownNames)
        for number in range(1000):
            names.record_headers("request", [f"X-{number}"], frozenset())
        self.assertEqual(len(self.logged()), 64)
        self.assertIn('{name="other",source="request"} 936.0', self.scraped())
        names.record_headers("answer", ["Server-Something"], frozenset())
        self.assertEqual(self.logged()[-1], ("answer", "server-something"))
