"""Tests of admission: places, the queue, early refusal and giving up."""

import asyncio

from cranberryrun.admission import Admission
from cranberryrun.exceptions import DeadlineError, OverloadedError

from .virtual import VirtualTimeTestCase


class AdmissionTests(VirtualTimeTestCase):
    """A request waits only where it can still be answered in time."""

    async def _run(self, admission: Admission, work: float, patience: float) -> float:
        async with admission.hold_slot(self.now() + patience):
            await asyncio.sleep(work)
        return self.now()

    async def test_places_go_in_order(self) -> None:
        admission = Admission(2, 10)
        ends = await asyncio.gather(
            *[self._run(admission, 1, 60) for _ in range(5)],
        )
        self.assertEqual([round(end) for end in ends], [1, 1, 2, 2, 3])
        self.assertEqual((admission.running, admission.waiting), (0, 0))

    async def test_hopeless_wait_is_refused_at_once(self) -> None:
        admission = Admission(1, 100)
        await self._run(admission, 2, 60)
        held = [asyncio.create_task(self._run(admission, 2, 60)) for _ in range(4)]
        await asyncio.sleep(0)
        before = self.now()
        with self.assertRaises(OverloadedError) as caught:
            await self._run(admission, 2, 7)
        self.assertEqual(self.now(), before)
        self.assertTrue(caught.exception.problem()["not_run"])
        self.assertGreaterEqual(caught.exception.retry_after, 6)
        await asyncio.gather(*held)

    async def test_full_queue_and_past_deadline_are_refused_at_once(self) -> None:
        admission = Admission(1, 1)
        tasks = [asyncio.create_task(self._run(admission, 1, 60)) for _ in range(2)]
        await asyncio.sleep(0)
        with self.assertRaises(OverloadedError):
            await self._run(admission, 1, 60)
        with self.assertRaises(DeadlineError):
            await self._run(admission, 1, 0)
        await asyncio.gather(*tasks)

    async def test_place_of_one_who_gave_up_is_not_lost(self) -> None:
        admission = Admission(1, 10)
        first = asyncio.create_task(self._run(admission, 1, 60))
        gone = asyncio.create_task(self._run(admission, 1, 60))
        late = asyncio.create_task(self._run(admission, 1, 0.5))
        last = asyncio.create_task(self._run(admission, 1, 60))
        await asyncio.sleep(0.1)
        gone.cancel()
        results = await asyncio.gather(first, gone, late, last, return_exceptions=True)
        self.assertIsInstance(results[1], asyncio.CancelledError)
        self.assertIsInstance(results[2], OverloadedError)
        self.assertEqual(round(results[3]), 2)
        self.assertEqual((admission.running, admission.waiting), (0, 0))

    async def test_place_that_comes_while_giving_up_goes_on(self) -> None:
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

    async def test_more_places_wake_those_that_wait(self) -> None:
        admission = Admission(1, 10)
        tasks = [asyncio.create_task(self._run(admission, 1, 60)) for _ in range(3)]
        await asyncio.sleep(0.5)
        admission.resize(3)
        ends = await asyncio.gather(*tasks)
        self.assertEqual([round(end, 1) for end in ends], [1.0, 1.5, 1.5])
