"""Tests of the kernel: registration errors, and stops with a lost cancellation."""

import asyncio

from cranberryrun.exceptions import KernelError
from cranberryrun.kernel import Kernel, Service

from .virtual import HostTestCase


class AnswerAwaiter(Service):
    """Awaits one result after another with ``asyncio.wait_for``."""

    name = "waiting"

    async def start(self) -> None:
        """Start the task that awaits results."""
        self.answer = asyncio.get_running_loop().create_future()
        self.spawn(self._wait())

    async def _wait(self) -> None:
        while True:
            await asyncio.wait_for(self.answer, 10)
            self.answer = asyncio.get_running_loop().create_future()


class ServiceWithMissingRequirement(Service):
    """Requires a service that is not registered."""

    name = "needing"
    requires = ("nothing",)


class KernelTest(HostTestCase):
    async def test_stop_ends_when_a_task_loses_its_cancellation(self):
        # ``wait_for`` drops a cancellation that comes at the same time as the result.
        kernel = Kernel()
        service = AnswerAwaiter()
        kernel.register(service)
        await kernel.start()
        await asyncio.sleep(1)
        service.answer.set_result(None)
        async with asyncio.timeout(5):
            await kernel.stop()

    async def test_kernel_error_when_a_service_is_missing_or_registered_twice(self):
        kernel = Kernel()
        kernel.register(ServiceWithMissingRequirement())
        with self.assertRaises(KernelError):
            kernel.register(ServiceWithMissingRequirement())
        with self.assertRaises(KernelError):
            await kernel.start()
        with self.assertRaises(KernelError):
            kernel.get(AnswerAwaiter)
