"""The failures that each promise is meant for, one test each."""

import asyncio

from .fakes import World
from .fakes_clients import Caller, Operator, Trainer, declare_all
from .history import check_all
from .virtual import HostTestCase


class PromisesTest(HostTestCase):
    """Runs three hosts, brings a failure about and checks the whole history."""

    async def begin(self, **options) -> World:
        """Start three hosts with everything declared and version 1 loaded."""
        world = World(**options)
        await self.enterAsyncContext(world)
        for name in ("host-1", "host-2", "host-3"):
            await world.start_host(name)
        await world.until_ready("host-1", "host-2", "host-3")
        self.operator = Operator(world, "operator")
        await declare_all(world, self.operator)
        self.trainer = Trainer(world)
        await self.trainer.announce(1)
        await asyncio.sleep(3)
        return world

    def check(self, world: World) -> None:
        """Fail with the time line if a promise did not hold."""
        world.note_truth()
        found = check_all(world.history)
        lines = [f"{each.promise}: {each.detail} ({each.at:.2f})" for each in found]
        if lines:
            self.fail("\n".join(lines + world.timeline()[-200:]))

    async def test_nothing_fails(self):
        world = await self.begin()
        caller = Caller(world, "caller")
        calls = asyncio.create_task(caller.run(5))
        await self.trainer.run_step(self.trainer.make_step(1), 30)
        await self.trainer.announce(2)
        await self.trainer.run_step(self.trainer.make_step(2), 30)
        await calls
        self.check(world)
