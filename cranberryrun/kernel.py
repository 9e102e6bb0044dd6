"""The kernel starts services in the order of their dependencies."""

from __future__ import annotations

import asyncio
from abc import ABC
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar, TypeVar

from absl import logging

from .exceptions import KernelError

ServiceT = TypeVar("ServiceT", bound="Service")
_RESTART_DELAY_SECONDS = 0.5
_CANCEL_RETRY_SECONDS = 0.2


class Service(ABC):
    """Base class for a part of a host.

    Subclasses set ``name``, and ``requires`` to the names of the services that must
    start first. Look up other services by ``self.kernel.get``, in :meth:`start` or
    later.
    """

    name: ClassVar[str]
    requires: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self._kernel: Kernel | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def kernel(self) -> Kernel:
        """The kernel this service is registered with."""
        if self._kernel is None:
            raise KernelError(f"service {self.name} is not registered with a kernel")
        return self._kernel

    def attach(self, kernel: Kernel) -> None:
        """Set the kernel; called once, when the service is registered."""
        self._kernel = kernel

    async def start(self) -> None:
        """Start the service; all services in ``requires`` have started."""

    async def stop(self) -> None:
        """Stop the service. The default cancels the tasks of :meth:`spawn`."""
        tasks = set(self._tasks)
        while tasks:
            for task in tasks:
                task.cancel()
            # A task can lose a cancellation that arrives with the result it awaits.
            _, tasks = await asyncio.wait(tasks, timeout=_CANCEL_RETRY_SECONDS)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``work`` as a task that is cancelled when the service stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._log_task_error)
        return task

    def supervise(self, loop: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Run ``loop`` as a task and restart it after an error."""
        self.spawn(self._run_with_restarts(loop))

    async def _run_with_restarts(
        self, loop: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        while True:
            try:
                await loop()
                return
            except Exception as error:
                logging.error(
                    "a loop of service %s failed; restarting it: %r",
                    self.name,
                    error,
                    exc_info=error,
                )
            await asyncio.sleep(_RESTART_DELAY_SECONDS)

    def _log_task_error(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logging.error(
                "a task of service %s failed: %r", self.name, error, exc_info=error
            )


class Kernel:
    """Holds the services of one host by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """Add ``service``; :raises KernelError: if its name is in use."""
        if service.name in self._by_name:
            raise KernelError(f"service {service.name} is registered twice")
        self._by_name[service.name] = service
        service.attach(self)

    def get(self, kind: type[ServiceT]) -> ServiceT:
        """Return the service registered under ``kind.name``.

        :raises KernelError: if there is none, or it is not a ``kind``.
        """
        service = self._by_name.get(kind.name)
        if not isinstance(service, kind):
            raise KernelError(f"no service {kind.name} is registered")
        return service

    async def start(self) -> None:
        """Start each service after those it requires; if one fails, stop all."""
        for service in self._start_order():
            try:
                await service.start()
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            service = self._started.pop()
            await service.stop()

    def _start_order(self) -> list[Service]:
        ordered: dict[str, Service] = {}
        remaining = dict(self._by_name)
        while remaining:
            ready = [
                service
                for service in remaining.values()
                if all(name in ordered for name in service.requires)
            ]
            if not ready:
                names = ", ".join(sorted(remaining))
                raise KernelError(
                    f"services with a missing or circular requirement: {names}"
                )
            for service in ready:
                ordered[service.name] = remaining.pop(service.name)
        return list(ordered.values())
