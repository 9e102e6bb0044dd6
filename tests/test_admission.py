"""Tests of admission control: slots, the queue, early refusal and timeouts."""

import asyncio

from cranberryrun.admission import Admission
from cranberryrun.exceptions import DeadlineError, OverloadedError

from .virtual import VirtualTimeTestCase


class AdmissionTests(VirtualTimeTestCase):
    """A request waits only if it can still be answered before its deadline."""

    async def _run(
        self, admission: Admission, duration: float, timeout: float
    ) -> float:
        async with admission.hold_slot(self.now() + timeout):
            await asyncio.sleep(duration)
        return self.now()

    async def test_slots_are_granted_in_order(self) -> None:
        admission = Admission(2, 10)
        ends = await asyncio.gather(
            *[self._run(admission, 1, 60) for _ in range(5)],
        )
        self.assertEqual([round(end) for end in ends], [1, 1, 2, 2, 3])
        self.assertEqual((admission.running, admission.waiting), (0, 0))

    async def test_request_is_refused_at_once_when_its_wait_would_exceed_its_deadline(
        self,
    ) -> None:
        admission = Admission(1, 100)
        await self._run(admission, 2, 60)
        queued = [asyncio.create_task(self._run(admission, 2, 60)) for _ in range(4)]
        await asyncio.sleep(0)
        before = self.now()
        with self.assertRaises(OverloadedError) as caught:
            await self._run(admission, 2, 7)
        self.assertEqual(self.now(), before)
        self.assertTrue(caught.exception.problem()["not_run"])
        self.assertGreaterEqual(caught.exception.retry_after, 6)
        await asyncio.gather(*queued)

    async def test_full_queue_and_past_deadline_are_refused_at_once(self) -> None:
        admission = Admission(1, 1)
        tasks = [asyncio.create_task(self._run(admission, 1, 60)) for _ in range(2)]
        await asyncio.sleep(0)
        with self.assertRaises(OverloadedError):
            await self._run(admission, 1, 60)
        with self.assertRaises(DeadlineError):
            await self._run(admission, 1, 0)
        await asyncio.gather(*tasks)

    async def test_waiters_that_gave_up_do_not_consume_a_slot(self) -> None:
        admission = Admission(1, 10)
        first = asyncio.create_task(self._run(admission, 1, 60))
        cancelled = asyncio.create_task(self._run(admission, 1, 60))
        timed_out = asyncio.create_task(self._run(admission, 1, 0.5))
        last = asyncio.create_task(self._run(admission, 1, 60))
        await asyncio.sleep(0.1)
        cancelled.cancel()
        results = await asyncio.gather(
            first, cancelled, timed_out, last, return_exceptions=True
        )
        self.assertIsInstance(results[1], asyncio.CancelledError)
        self.assertIsInstance(results[2], OverloadedError)
        self.assertEqual(round(results[3]), 2)
        self.assertEqual((admission.running, admission.waiting), (0, 0))

    async def test_slot_granted_to_a_cancelled_waiter_is_released(self) -> None:
        admission = Admission(1, 10)
        first = asyncio.create_task(self._run(admission, 1, 60))
        second = asyncio.create_task(self._run(admission, 1, 60))
        await asyncio.sleep(0.5)
        first.cancel()
        await asyncio.sleep(0)
        second.cancel()
        await asyncio.gather(first, second, return_exceptions=True)
        self.assertEqual(admission.running, 0)
        await self._run(admission, 1, 60)

    async def test_waiting_requests_are_admitted_when_the_concurrency_grows(
        self,
    ) -> None:
        admission = Admission(1, 10)
        tasks = [asyncio.create_task(self._run(admission, 1, 60)) for _ in range(3)]
        await asyncio.sleep(0.5)
        admission.resize(3)
        ends = await asyncio.gather(*tasks)
        self.assertEqual([round(end, 1) for end in ends], [1.0, 1.5, 1.5])
