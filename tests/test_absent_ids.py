"""What a host remembers of targets that are gone is bounded."""

import asyncio
from types import SimpleNamespace

from cranberryrun.exceptions import TargetFailedError
from cranberryrun.fleet.directory import Directory, Target
from cranberryrun.fleet.leaving_marks import LeavingMarks
from cranberryrun.fleet.loads import Loads
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.rewards.caller import RewardCaller
from cranberryrun.usage_counts.totals import UsageRecord, UsageTotals, encode
from fakes.deployment import ADDRESS, Deployment

from .virtual import VirtualTimeTestCase

TARGET_COUNT = 6000
# Of one entry each.
MOST_ENTRIES = 5000


class AbsentIdsTest(VirtualTimeTestCase):
    """Guards against lists that grow with each target and host that is replaced."""

    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.host = await self.deployment.start_host("host-1")
        await asyncio.sleep(1.0)

    async def test_targets_that_come_back_under_new_ids_are_forgotten(self):
        directory = self.host.get(Directory)
        loads = self.host.get(Loads)
        forwarder, caller = self.host.get(Forwarder), self.host.get(RewardCaller)
        directory.target_by_id["t-stays"] = Target(
            "t-stays", "s", ADDRESS, "a", 4, False, 1, 1
        )
        stays = forwarder.state_of("t-stays")
        directory.mark_leaving("t-stays")
        for number in range(TARGET_COUNT):
            forwarder.state_of(f"t{number}")
            caller._answer_time(f"t{number}")
            directory.mark_leaving(f"t{number}")
            loads._record_failure(
                SimpleNamespace(id=f"t{number}"), "m", 1, TargetFailedError("lost")
            )
        self.assertIs(forwarder.state_of("t-stays"), stays)
        self.assertTrue(directory._leaving.holds("t-stays", 1))
        self.assertTrue(directory._leaving.holds(f"t{TARGET_COUNT - 1}", 1))
        for kept in (
            forwarder._state_by_target,
            caller._answer_time_by_target,
            directory._leaving._since_by_id,
            loads._retry_at_by_engine,
        ):
            self.assertLess(len(kept), MOST_ENTRIES)

    async def test_processes_that_reported_usage_are_forgotten(self):
        totals = UsageTotals()
        for number in range(TARGET_COUNT):
            for host in ("stays", f"h{number}"):
                record = UsageRecord(host, 1, number, 1, {"w": 1})
                totals.apply(encode(record))
        totals.apply(encode(UsageRecord("stays", 1, 0, 1, {"w": 1})))
        self.assertEqual(totals.counts_of(1), {"w": 2 * TARGET_COUNT})
        self.assertLess(len(totals._last_sequence_by_process), MOST_ENTRIES)

    def test_mark_is_of_one_process_of_a_target(self):
        marks = LeavingMarks()
        self.assertTrue(marks.add("t", 2.0, ()))
        self.assertFalse(marks.add("t", 3.0, ()))
        self.assertTrue(marks.holds("t", 1999))
        self.assertFalse(marks.holds("t", 2001))
