"""Tasks with much to do, and others beside them."""

import asyncio

from cranberryrun.turns import Turns

from .virtual import VirtualTimeTestCase


class TurnsTest(VirtualTimeTestCase):
    def setUp(self):
        self.turns = Turns()
        self.log = []

    async def work(self, name, parts):
        for _ in range(parts):
            await self.turns.take()
            self.log.append(name)

    async def run_beside(self, steps):
        """Take so many turns of the event loop, as an ordinary request does."""
        for _ in range(steps):
            await asyncio.sleep(0)
        return len(self.log)

    async def test_others_wait_for_one_part_in_each_turn_of_the_loop(self):
        tasks = [asyncio.create_task(self.work(n, 100)) for n in range(20)]
        parts_done = await self.run_beside(50)
        self.assertLessEqual(parts_done, 51)
        self.assertGreater(parts_done, 40)
        await asyncio.gather(*tasks)
        self.assertEqual(len(self.log), 2000)

    async def test_tasks_take_turns_in_the_order_of_their_asks(self):
        await asyncio.gather(*(self.work(name, 3) for name in "abc"))
        self.assertEqual("".join(self.log), "abc" * 3)

    async def test_task_that_is_cancelled_takes_no_turn(self):
        tasks = [asyncio.create_task(self.work(name, 2)) for name in "abc"]
        await asyncio.sleep(0)
        tasks[0].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual("".join(self.log), "bcbc")
        async with asyncio.timeout(1.0):
            await self.turns.take()
