"""The kernel: services that start in order and find each other by name."""

from __future__ import annotations

import asyncio
from abc import ABC
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar, TypeVar

from absl import logging

from .exceptions import KernelError

ServiceT = TypeVar("ServiceT", bound="Service")
_RESTART_SECONDS = 0.5
_CANCEL_AGAIN_SECONDS = 0.2


class Service(ABC):
    """A part of a host. Subclasses set ``name`` and what they need started first.

    Look other services up in :meth:`start` or later, by ``self.kernel.get``.
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
            raise KernelError(f"{self.name} is not registered")
        return self._kernel

    def attach(self, kernel: Kernel) -> None:
        """Called once by the kernel that registers this service."""
        self._kernel = kernel

    async def start(self) -> None:
        """Begin work; all of ``requires`` have started."""

    async def stop(self) -> None:
        """End work. The default cancels what :meth:`spawn` started."""
        tasks = set(self._tasks)
        while tasks:
            for task in tasks:
                task.cancel()
            # A task can miss a cancel that comes together with what it waits for.
            _, tasks = await asyncio.wait(tasks, timeout=_CANCEL_AGAIN_SECONDS)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run ``work`` as a task that ends with the service."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def supervise(self, loop: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        """Run ``loop`` for ever: one that ends with an error begins again."""
        self.spawn(self._supervised(loop))

    async def _supervised(self, loop: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        while True:
            try:
                await loop()
                return
            except Exception as error:
                logging.error(
                    "a loop of %s failed: %r", self.name, error, exc_info=error
                )
            await asyncio.sleep(_RESTART_SECONDS)

    def _task_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            logging.error("task of %s ended: %r", self.name, error, exc_info=error)


class Kernel:
    """Holds the services of one host by name."""

    def __init__(self) -> None:
        self._by_name: dict[str, Service] = {}
        self._started: list[Service] = []

    def register(self, service: Service) -> None:
        """Add ``service``; :raises KernelError: if its name is taken."""
        if service.name in self._by_name:
            raise KernelError(f"service {service.name} is registered twice")
        self._by_name[service.name] = service
        service.attach(self)

    def get(self, kind: type[ServiceT]) -> ServiceT:
        """Return the service registered under ``kind.name``."""
        service = self._by_name.get(kind.name)
        if not isinstance(service, kind):
            raise KernelError(f"no service {kind.name}")
        return service

    async def start(self) -> None:
        """Start every service after those it requires; undo all if one fails."""
        for service in self._in_order():
            try:
                await service.start()
            except BaseException:
                await self.stop()
                raise
            self._started.append(service)

    async def stop(self) -> None:
        """Stop the started services, last first."""
        while self._started:
            service = self._started.pop()
            await service.stop()

    def _in_order(self) -> list[Service]:
        ordered: dict[str, Service] = {}
        waiting = dict(self._by_name)
        while waiting:
            ready = [
                service
                for service in waiting.values()
                if all(name in ordered for name in service.requires)
            ]
            if not ready:
                names = ", ".join(sorted(waiting))
                raise KernelError(
                    f"services require each other or are missing: {names}"
                )
            for service in ready:
                ordered[service.name] = waiting.pop(service.name)
        return list(ordered.values())
