"""Services that start in order, and that stop also where a cancel gets lost."""

import asyncio

from cranberryrun.exceptions import KernelError
from cranberryrun.kernel import Kernel, Service

from .virtual import HostTestCase


class Waiting(Service):
    """Waits for one answer after another with ``asyncio.wait_for``."""

    name = "waiting"

    async def start(self) -> None:
        """Begin to wait."""
        self.answer = asyncio.get_running_loop().create_future()
        self.spawn(self._wait())

    async def _wait(self) -> None:
        while True:
            await asyncio.wait_for(self.answer, 10)
            self.answer = asyncio.get_running_loop().create_future()


class Needing(Service):
    """Needs a service that is not there."""

    name = "needing"
    requires = ("nothing",)


class KernelTest(HostTestCase):
    async def test_a_cancel_that_meets_an_answer_does_not_keep_a_stop(self):
        # ``wait_for`` gives the answer and drops the cancel if both come at once.
        kernel = Kernel()
        service = Waiting()
        kernel.register(service)
        await kernel.start()
        await asyncio.sleep(1)
        service.answer.set_result(None)
        async with asyncio.timeout(5):
            await kernel.stop()

    async def test_what_is_missing_or_there_twice_has_a_type(self):
        kernel = Kernel()
        kernel.register(Needing())
        with self.assertRaises(KernelError):
            kernel.register(Needing())
        with self.assertRaises(KernelError):
            await kernel.start()
        with self.assertRaises(KernelError):
            kernel.get(Waiting)
