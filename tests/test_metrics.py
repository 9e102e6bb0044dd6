"""Tests of the metrics: names as documented, values as things happened."""

import re
import unittest
from pathlib import Path

import aiohttp
from prometheus_client.parser import text_string_to_metric_families

from cranberryrun import metrics
from cranberryrun.catalogue import EVENT_BY_NAME
from cranberryrun.configuration import Configuration
from cranberryrun.events import Events
from cranberryrun.exceptions import CranberryrunError
from cranberryrun.host import Host
from cranberryrun.kernel import Kernel
from cranberryrun.keyed_calls import KeyedCalls
from cranberryrun.membership import Membership
from cranberryrun.metrics import METRIC_BY_KEY, Metrics
from standins.deployment import free_port

from .doubles import MemoryLog, RawTarget, answer, call, drop, refuse, settings
from .test_drain import EmptyList, declare
from .virtual import VirtualTimeTestCase

DOC = Path(__file__).parent.parent / "docs" / "METRICS.md"
ROW = re.compile(r"^\| `(?P<name>\w+)` \| (?P<form>\w+) \| (?P<labels>.*?) \| (.+) \|$")


def samples(text: str) -> dict[tuple[str, tuple[str, ...]], float]:
    """Return the value of each sample, by name and label values in label order."""
    return {
        (sample.name, tuple(value for _, value in sorted(sample.labels.items()))): (
            sample.value
        )
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


class DocumentTests(unittest.TestCase):
    """``docs/METRICS.md`` says what the code has."""

    def test_every_metric_is_listed_as_it_is(self) -> None:
        rows = [ROW.match(line) for line in DOC.read_text().splitlines()]
        listed = {
            row["name"]: (row["form"], row["labels"], row[4]) for row in rows if row
        }
        known = {
            kind.name: (
                kind.form,
                ", ".join(f"`{label}`" for label in kind.labels) or "-",
                kind.meaning,
            )
            for kind in METRIC_BY_KEY.values()
        }
        self.assertEqual(listed, known)

    def test_every_event_that_is_counted_is_in_the_catalogue(self) -> None:
        counted = (
            metrics._STEP_OUTCOME_BY_EVENT,
            metrics._SAMPLE_OUTCOME_BY_EVENT,
            metrics._CALL_OUTCOME_BY_EVENT,
        )
        for names in counted:
            self.assertLessEqual(set(names), set(EVENT_BY_NAME))


class CountTests(VirtualTimeTestCase):
    """What the events of steps and samples add up to."""

    async def test_events_are_counted(self) -> None:
        kernel = Kernel()
        events, counts = Events("h1", 1, 100), Metrics("h1")
        for service in (events, counts):
            kernel.register(service)
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)
        for name in ("step_started", "step_done", "sample_whole", "sample_whole"):
            events.emit(name, step="w/1")
        counts.observe("queue", lambda: {"a": 1, "b": 2})
        seen = samples(counts.scrape().decode())
        self.assertEqual(seen["cranberryrun_steps_total", ("done",)], 1)
        self.assertEqual(seen["cranberryrun_samples_total", ("whole",)], 2)
        self.assertEqual(seen["cranberryrun_queue", ("b",)], 2)

    async def test_two_hosts_of_one_process_count_apart(self) -> None:
        first, second = Metrics("h1"), Metrics("h2")
        first.request("s", "answered", 0.1)
        self.assertIn("requests_total", first.scrape().decode())
        self.assertNotIn("requests_total", second.scrape().decode())


class ScrapeTests(unittest.IsolatedAsyncioTestCase):
    """One host over real sockets."""

    async def test_scrape_of_a_host(self) -> None:
        made = settings(api_port=free_port(), peer_port=free_port())
        host = Host(made, MemoryLog())
        host.kernel.get(Membership).use_list(EmptyList())
        await host.start()
        self.addAsyncCleanup(host.stop)
        await host.kernel.get(Configuration).ready.wait()
        url = f"http://127.0.0.1:{made.api_port}"
        async with RawTarget(answer(), refuse(), answer(), drop) as target:
            await declare(host, target)
            async with aiohttp.ClientSession() as session:
                for _ in range(3):
                    async with session.post(f"{url}/call/s/x") as got:
                        await got.read()
                with self.assertRaises(CranberryrunError):
                    await host.kernel.get(KeyedCalls).send(call("POST", key="k"))
                async with session.get(f"{url}/metrics") as got:
                    self.assertIn("text/plain", got.headers["Content-Type"])
                    seen = samples(await got.text())
        total = "cranberryrun_requests_total"
        self.assertEqual(seen[total, ("answered", "s")], 2)
        self.assertEqual(seen[total, ("unknown", "s")], 2)
        self.assertEqual(seen["cranberryrun_retries_total", ("s",)], 1)
        self.assertEqual(seen["cranberryrun_request_seconds_count", ("s",)], 4)
        self.assertEqual(seen["cranberryrun_keyed_calls_total", ("first",)], 1)
        self.assertEqual(seen["cranberryrun_config_offset", ()], 0)
        self.assertEqual(seen["cranberryrun_log_up", ()], 1)
        self.assertEqual(seen["cranberryrun_peers", ()], 0)
        self.assertEqual(seen["cranberryrun_in_flight", ()], 1)
        self.assertLess(seen["cranberryrun_event_loop_lag_seconds", ()], 1)
        self.assertEqual(seen["cranberryrun_queue", ("s",)], 0)
