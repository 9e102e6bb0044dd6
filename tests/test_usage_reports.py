"""Usage reports over several hosts: exact counts, once, through each failure."""

import asyncio
import random
from unittest import mock

from cranberryrun import clock
from cranberryrun.duties.client import DutyUnknownError
from cranberryrun.duties.service import Duties
from cranberryrun.events import Events
from cranberryrun.exceptions import AppendUnknownError
from cranberryrun.fleet.lease import Lease
from cranberryrun.kernel import Kernel
from cranberryrun.metrics import Metrics
from cranberryrun.usage_counts.counter import UsageCounter
from cranberryrun.usage_counts.report_duty import ReportDuty
from cranberryrun.usage_counts.service import UsageCounts
from cranberryrun.usage_counts.totals import (
    TOPIC,
    UsageRecord,
    UsageTotals,
    encode,
)
from fakes.deployment import shared
from fakes.duties import FakeApi, FakeDutyClient
from fakes.loop import start_task, virtual_wall_time
from fakes.store import MemoryStore

from .virtual import HostTestCase

HANDOVER_SECONDS = 3.0
WINDOW_SECONDS = 5.0
LATE_SECONDS = 10.0
# The window in which the virtual clock starts, at its beginning.
FIRST_WINDOW = 340_000_000


class UsageReportsTest(HostTestCase):
    async def asyncSetUp(self):
        patch = mock.patch("cranberryrun.clock.wall", virtual_wall_time)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = MemoryStore()
        self.api = FakeApi()
        self.kernel_by_host = {}
        self.counter_by_host = {}
        self.counted = {}
        self.events = []

    async def start(self, host):
        kernel = Kernel()
        counter = UsageCounter(WINDOW_SECONDS)
        totals = UsageTotals()
        duty = ReportDuty(totals, WINDOW_SECONDS, LATE_SECONDS, clock.wall())
        events = Events(host, 1, 1000)
        events.observers.append(self.events.append)
        for service in (
            events,
            Metrics(host),
            shared(self.store),
            Lease(host, 1, HANDOVER_SECONDS, random.Random(host)),
            FakeDutyClient(self.api),
            UsageCounts(host, int(clock.wall() * 1000), counter, totals),
            Duties(host, (duty,), 50.0),
        ):
            kernel.register(service)
        await start_task(host, kernel.start())
        self.kernel_by_host[host] = kernel
        self.counter_by_host[host] = counter
        self.addAsyncCleanup(kernel.stop)

    async def start_hosts(self, count=3):
        """Start hosts; the first one holds the lease."""
        await self.start("host-0")
        await asyncio.sleep(0.5)
        for number in range(1, count):
            await self.start(f"host-{number}")

    def count(self, host, workspace="w"):
        self.counter_by_host[host].count(workspace, clock.wall())
        window = int(clock.wall() // WINDOW_SECONDS)
        counts = self.counted.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1

    async def count_for(self, seconds, hosts=None):
        """Count a request at one of the hosts every 0.1 s."""
        rng = random.Random(5)
        until = clock.now() + seconds
        while clock.now() < until:
            host = rng.choice(list(hosts or self.counter_by_host))
            self.count(host, rng.choice(("a", "b", "c")))
            await asyncio.sleep(0.1)

    def holder(self):
        return next(
            host
            for host, kernel in self.kernel_by_host.items()
            if kernel.get(Lease).assigned
        )

    async def kill(self, host):
        del self.counter_by_host[host]
        await self.kernel_by_host.pop(host).stop()

    def assert_reported(self, *, windows, late=()):
        """Assert that these windows, counted from the first, have exact reports."""
        accepted = {}
        for call in self.api.carried_out:
            accepted.setdefault(call.content.window, call)
        expected = {
            FIRST_WINDOW + each: self.counted.get(FIRST_WINDOW + each, {})
            for each in windows
        }
        self.assertEqual(
            {
                window: dict(accepted[window].content.count_by_workspace)
                for window in expected
                if window in accepted
            },
            expected,
        )
        due = {
            window: (window - FIRST_WINDOW + 1) * WINDOW_SECONDS + LATE_SECONDS
            for window in expected
        }
        self.assertEqual(
            [w - FIRST_WINDOW for w in expected if accepted[w].time > due[w]],
            list(late),
        )
        self.assertEqual(self.api.violations(HANDOVER_SECONDS), [])

    async def test_each_window_is_reported_with_the_counts_of_all_hosts(self):
        await self.start_hosts()
        await self.count_for(14.0)
        await asyncio.sleep(16.0)
        self.assert_reported(windows=range(5))
        for call in self.api.calls:
            end = (call.content.window - FIRST_WINDOW + 1) * WINDOW_SECONDS
            self.assertGreaterEqual(call.time, end + 4.0)
            self.assertLess(call.time, end + 5.0)
        self.assertEqual(self.counted.get(FIRST_WINDOW + 4, {}), {})

    async def test_counts_are_written_at_most_once_a_second_and_only_if_any(self):
        await self.start_hosts(1)
        await self.count_for(10.0)
        records = self.store.records_by_topic[TOPIC]
        self.assertLessEqual(len(records), 13)
        count = len(records)
        await asyncio.sleep(1.5)
        count = len(records)
        await asyncio.sleep(10.0)
        self.assertEqual(len(records), count)

    async def test_repeated_append_counts_once(self):
        """The store has the counts, but its answer to the append was lost."""
        append = self.store.append
        appended = []

        async def lose_answers(topic, records, at=None):
            offset = await append(topic, records, at)
            if topic == TOPIC:
                appended.extend(records)
                if len(appended) % 3:
                    raise AppendUnknownError("the answer was lost")
            return offset

        self.store.append = lose_answers
        await self.start_hosts()
        await self.count_for(9.0)
        await asyncio.sleep(10.0)
        self.assertGreater(len(appended), len(set(appended)))
        self.assert_reported(windows=range(2))

    async def test_first_report_is_of_the_oldest_window_with_counts(self):
        """Other hosts may have served requests before the holder started."""
        totals = UsageTotals()
        record = UsageRecord("host-1", 1, 1, FIRST_WINDOW - 2, {"w": 1})
        totals.apply(encode(record))
        duty = ReportDuty(totals, WINDOW_SECONDS, LATE_SECONDS, clock.wall())
        totals.record_read(clock.wall())
        totals.record_read(clock.wall() + 1.4)
        call = duty.next_call(clock.wall() + 1.4)
        self.assertEqual(call.number, FIRST_WINDOW - 2)
        self.assertEqual(call.content, {"counts": {"w": 1}})

    async def kill_holder_after(self, seconds):
        """Kill the holder; the reports of all windows have to come in time and exact.

        A report is recorded and sent some 9.2 s after the start of its window, and the
        API answers 0.4 s later.
        """
        self.api.delay = 0.4
        await self.start_hosts()
        holder = self.holder()
        others = [host for host in self.counter_by_host if host != holder]
        await self.count_for(seconds - clock.now(), others)
        await self.kill(holder)
        await self.count_for(3.0)
        await asyncio.sleep(12.0)
        self.assert_reported(windows=range(3))

    async def test_holder_killed_before_a_report_is_recorded(self):
        await self.kill_holder_after(8.9)

    async def test_holder_killed_while_a_report_is_recorded_or_sent(self):
        await self.kill_holder_after(9.2)
        self.assertLess(len(self.api.calls), 6)

    async def test_holder_killed_before_the_answer_to_a_report(self):
        await self.kill_holder_after(9.5)
        windows = [call.content.window for call in self.api.calls]
        self.assertEqual(windows.count(FIRST_WINDOW), 2)

    async def test_holder_killed_after_a_report(self):
        await self.kill_holder_after(12.0)
        windows = [call.content.window for call in self.api.calls]
        self.assertEqual(windows.count(FIRST_WINDOW), 1)

    async def test_killed_host_loses_at_most_a_second_of_its_counts(self):
        await self.start_hosts()
        await self.count_for(3.0, ["host-2"])
        before = sum(self.counted[FIRST_WINDOW].values())
        await self.kill("host-2")
        await asyncio.sleep(8.0)
        (call,) = self.api.calls
        reported = sum(call.content.count_by_workspace.values())
        self.assertGreaterEqual(reported, before - 11)

    async def test_stopped_host_loses_no_counts(self):
        await self.start_hosts()
        await self.count_for(2.0)
        self.store.down = True
        await asyncio.sleep(0.3)
        usage = self.kernel_by_host["host-2"].get(UsageCounts)
        finishing = start_task("host-2", usage.finish(clock.now() + 3.0))
        await asyncio.sleep(1.0)
        self.store.down = False
        await finishing
        await self.kill("host-2")
        await asyncio.sleep(7.0)
        self.assert_reported(windows=range(1))

    async def test_counts_that_can_not_be_written_before_the_end_are_logged(self):
        await self.start_hosts()
        self.store.silent = True
        self.count("host-1")
        started_at = clock.now()
        await self.kernel_by_host["host-1"].get(UsageCounts).finish(started_at + 1.0)
        self.assertLess(clock.now() - started_at, 1.1)
        (lost,) = [e for e in self.events if e.kind.name == "usage_lost"]
        self.assertEqual(lost.fields["requests"], 1)

    async def test_outage_of_the_store_delays_reports_and_loses_no_counts(self):
        """The holder used the counts that it had before the other hosts' arrived."""
        for field in ("down", "silent"):
            with self.subTest(field):
                await self.asyncSetUp()
                offset = clock.now() % WINDOW_SECONDS
                await asyncio.sleep(WINDOW_SECONDS - offset)
                first = int(clock.wall() // WINDOW_SECONDS) - FIRST_WINDOW
                await self.start_hosts()
                await self.count_for(3.0)
                setattr(self.store, field, True)
                await self.count_for(8.0)
                setattr(self.store, field, False)
                await self.count_for(3.0)
                await asyncio.sleep(12.0)
                self.assert_reported(windows=range(first, first + 4))
                for kernel in self.kernel_by_host.values():
                    await kernel.stop()

    async def test_long_outage_skips_the_windows_that_are_too_old(self):
        await self.start_hosts(2)
        await asyncio.sleep(10.0)
        self.store.down = True
        await asyncio.sleep(100.0)
        self.store.down = False
        await asyncio.sleep(20.0)
        windows = [call.content.window - FIRST_WINDOW for call in self.api.calls]
        self.assertEqual(windows, sorted(windows))
        self.assertEqual(windows[0], 0)
        # The outage ended at 110 s, in window 22; window 10 ended 55 s before.
        self.assertEqual(windows[1:], list(range(10, 25)))
        (skipped,) = [e for e in self.events if e.kind.name == "duty_skipped"]
        self.assertEqual(skipped.fields["calls"], 9)

    async def test_api_that_was_down_gets_all_windows_of_the_last_minute(self):
        await self.start_hosts(2)
        self.api.down = True
        await self.count_for(40.0)
        self.api.down = False
        await asyncio.sleep(3.0)
        self.assert_reported(windows=range(7), late=range(6))
        windows = [call.content.window for call in self.api.carried_out]
        self.assertEqual(windows, sorted(windows))

    async def test_window_that_is_never_answered_is_given_up_after_a_minute(self):
        """It would keep back all windows after it."""
        await self.start_hosts(1)
        call = self.api.call

        async def fail_first(api, subject, content, holder, fence):
            if content.window == FIRST_WINDOW:
                raise DutyUnknownError("500")
            await call(subject, content, holder, fence)

        with mock.patch.object(FakeApi, "call", fail_first):
            await asyncio.sleep(80.0)
        windows = [call.content.window - FIRST_WINDOW for call in self.api.calls]
        self.assertEqual(windows[:3], [1, 2, 3])
        skipped = [e for e in self.events if e.kind.name == "duty_skipped"]
        self.assertEqual([e.fields["call"] for e in skipped], [FIRST_WINDOW])

    async def test_host_that_was_frozen_contradicts_no_report(self):
        await self.start_hosts()
        loop = asyncio.get_running_loop()
        for _ in range(6):
            holder = self.holder()
            others = [host for host in self.counter_by_host if host != holder]
            await self.count_for(3.7, others)
            loop.pause(holder)
            await self.count_for(5.2, others)
            loop.resume(holder)
            await asyncio.sleep(0.5)
        await asyncio.sleep(15.0)
        self.assert_reported(windows=range(10))

    async def test_topic_of_counts_is_trimmed(self):
        await self.start_hosts()
        await self.count_for(200.0)
        kept = (
            len(self.store.records_by_topic[TOPIC]) - self.store.first_by_topic[TOPIC]
        )
        self.assertLess(kept, 3 * 2 * 130)
        await self.kill(self.holder())
        await asyncio.sleep(20.0)
        self.assert_reported(windows=range(40))
