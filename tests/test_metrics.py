"""Tests of metrics: names as in ``docs/METRICS.md``, values as events occurred."""

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
from cranberryrun.metric_catalogue import METRIC_BY_KEY
from cranberryrun.metrics import Metrics
from standins.ports import free_port

from .doubles import MemoryLog, RawTarget, answer, call, drop, refuse, settings
from .test_drain import UnreadableHostList, declare
from .virtual import VirtualTimeTestCase

DOC = Path(__file__).parent.parent / "docs" / "METRICS.md"
ROW = re.compile(r"^\| `(?P<name>\w+)` \| (?P<form>\w+) \| (?P<labels>.*?) \| (.+) \|$")


def parse_samples(text: str) -> dict[tuple[str, tuple[str, ...]], float]:
    """Return the value of each sample, by name and label values in label order."""
    return {
        (sample.name, tuple(value for _, value in sorted(sample.labels.items()))): (
            sample.value
        )
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


class DocumentTests(unittest.TestCase):
    """Compares ``docs/METRICS.md`` with the code."""

    def test_page_lists_every_metric_with_its_type_labels_and_meaning(self) -> None:
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

    def test_counted_events_are_in_the_catalogue(self) -> None:
        counted = (
            metrics._STEP_OUTCOME_BY_EVENT,
            metrics._SAMPLE_OUTCOME_BY_EVENT,
            metrics._CALL_OUTCOME_BY_EVENT,
        )
        for names in counted:
            self.assertLessEqual(set(names), set(EVENT_BY_NAME))


class CountTests(VirtualTimeTestCase):
    """Counts events of steps and samples."""

    async def test_counters_and_gauges_reflect_emitted_events(self) -> None:
        kernel = Kernel()
        events, counters = Events("h1", 1, 100), Metrics("h1")
        for service in (events, counters):
            kernel.register(service)
        await kernel.start()
        self.addAsyncCleanup(kernel.stop)
        for name in ("step_started", "step_done", "sample_whole", "sample_whole"):
            events.emit(name, step="w/1")
        counters.register_gauge("queue", lambda: {"a": 1, "b": 2})
        value_by_sample = parse_samples(counters.scrape().decode())
        self.assertEqual(value_by_sample["cranberryrun_steps_total", ("done",)], 1)
        self.assertEqual(value_by_sample["cranberryrun_samples_total", ("whole",)], 2)
        self.assertEqual(value_by_sample["cranberryrun_queue", ("b",)], 2)

    async def test_hosts_in_one_process_have_separate_metrics(self) -> None:
        first, second = Metrics("h1"), Metrics("h2")
        first.request("s", "answered", 0.1)
        self.assertIn("requests_total", first.scrape().decode())
        self.assertNotIn("requests_total", second.scrape().decode())


class ScrapeTests(unittest.IsolatedAsyncioTestCase):
    """Scrapes one host over real sockets."""

    async def test_scrape_shows_requests_retries_and_gauges(self) -> None:
        host_settings = settings(api_port=free_port(), peer_port=free_port())
        host = Host(host_settings, MemoryLog())
        host.kernel.get(Membership).use_host_list(UnreadableHostList())
        await host.start()
        self.addAsyncCleanup(host.stop)
        await host.kernel.get(Configuration).ready.wait()
        url = f"http://127.0.0.1:{host_settings.api_port}"
        async with RawTarget(answer(), refuse(), answer(), drop) as target:
            await declare(host, target)
            async with aiohttp.ClientSession() as session:
                for _ in range(3):
                    async with session.post(f"{url}/call/s/x") as response:
                        await response.read()
                with self.assertRaises(CranberryrunError):
                    await host.kernel.get(KeyedCalls).send(call("POST", key="k"))
                async with session.get(f"{url}/metrics") as response:
                    self.assertIn("text/plain", response.headers["Content-Type"])
                    value_by_sample = parse_samples(await response.text())
        total = "cranberryrun_requests_total"
        self.assertEqual(value_by_sample[total, ("answered", "s")], 2)
        self.assertEqual(value_by_sample[total, ("unknown", "s")], 2)
        self.assertEqual(value_by_sample["cranberryrun_retries_total", ("s",)], 1)
        self.assertEqual(
            value_by_sample["cranberryrun_request_seconds_count", ("s",)], 4
        )
        self.assertEqual(
            value_by_sample["cranberryrun_keyed_calls_total", ("first",)], 1
        )
        self.assertEqual(value_by_sample["cranberryrun_config_offset", ()], 0)
        self.assertEqual(value_by_sample["cranberryrun_log_up", ()], 1)
        self.assertEqual(value_by_sample["cranberryrun_peers", ()], 0)
        self.assertEqual(value_by_sample["cranberryrun_in_flight", ()], 1)
        self.assertLess(value_by_sample["cranberryrun_event_loop_lag_seconds", ()], 1)
        self.assertEqual(value_by_sample["cranberryrun_queue", ("s",)], 0)
