"""The order of requests that wait at a host while all targets are full. Does no I/O.

Answers a burst of requests of several workspaces, or a flood of one of them, that meets
full or limited targets. A slot is often free again within milliseconds, but a refused
caller comes back much later; and without an order the workspace that asks most often
gets most of the slots.

Priority is first, then weighted fair queuing by requests started: each workspace has a
virtual time that grows with each request that it starts, and the one that is furthest
behind is served first. A workspace that was idle starts at the virtual time of the
others, so it has no claim to what it did not use, and one that is alone pays nothing
for using everything.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

# A host sees a request every few seconds, and each waits for less than a second. The
# bound keeps the bodies of a flood from filling the memory of a small host.
_MAX_WAITING = 64
# Virtual times that say nothing any more are dropped beyond this many workspaces.
_MAX_TIMES = 1024

Order = tuple[int, float, int]


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request in the queue of ``service``; times are in loop seconds.

    ``number`` is its place by arrival. It is refused at ``give_up_at``, and while it is
    the first one it is sent every ``interval`` seconds. ``changed`` is set when its
    place or the time of the next turn has changed, and ``dropped`` when another request
    took its place or the host stops.
    """

    service: str
    workspace: str
    priority: int
    number: int
    give_up_at: float
    interval: float
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    dropped: bool = False


@dataclass(slots=True)
class _Queue:
    """The waiting requests of a service, and when the first one may be sent.

    As many as ``open_turns`` may be sent before that time.
    """

    requests: list[WaitingRequest] = field(default_factory=list)
    next_turn_at: float = float("-inf")
    open_turns: int = 0


class Waiting:
    """The queues of all services, and the virtual times of all workspaces.

    :param most: the largest number of waiting requests.
    :param weight_by_workspace: shares relative to those of the others; 1 if missing.
    """

    def __init__(
        self,
        most: int = _MAX_WAITING,
        weight_by_workspace: dict[str, float] | None = None,
    ) -> None:
        self._most = most
        self._weight_by_workspace = weight_by_workspace or {}
        self._queue_by_service: dict[str, _Queue] = {}
        self._time_by_workspace: dict[str, float] = {}
        self._time = 0.0
        self._arrivals = 0
        self._closed = False

    def next_number(self) -> int:
        """Return the number of the request that arrives now."""
        self._arrivals += 1
        return self._arrivals

    def count_by_service(self) -> dict[str, int]:
        """Return the number of waiting requests of each service."""
        return {
            service: len(queue.requests)
            for service, queue in self._queue_by_service.items()
        }

    def any_waits(self, service: str) -> bool:
        """Return whether a request of the service waits."""
        queue = self._queue_by_service.get(service)
        return queue is not None and bool(queue.requests)

    def begin(self, workspace: str) -> None:
        """Count a request that is sent to targets now."""
        start = self._start_time(workspace)
        self._time = start
        weight = self._weight_by_workspace.get(workspace, 1.0)
        self._time_by_workspace[workspace] = start + 1.0 / weight
        if len(self._time_by_workspace) > _MAX_TIMES:
            for name, time in list(self._time_by_workspace.items()):
                if time <= self._time:
                    del self._time_by_workspace[name]

    def undo(self, workspace: str) -> None:
        """Take back what :meth:`begin` counted: no target ran the request."""
        time = self._time_by_workspace.get(workspace)
        if time is not None:
            weight = self._weight_by_workspace.get(workspace, 1.0)
            self._time_by_workspace[workspace] = time - 1.0 / weight

    def _start_time(self, workspace: str) -> float:
        return max(self._time, self._time_by_workspace.get(workspace, 0.0))

    def order(self, request: WaitingRequest) -> Order:
        """Return the place of a request; the lowest one is first."""
        return (
            request.priority,
            self._start_time(request.workspace),
            request.number,
        )

    def add(self, request: WaitingRequest, now: float) -> bool:
        """Add a request to its queue; return False if it has to be refused.

        Beyond the largest number, the request with the last place is dropped.
        """
        if self._closed or request.dropped or now >= request.give_up_at:
            return False
        queue = self._queue_by_service.setdefault(request.service, _Queue())
        if not queue.requests:
            # A short wait has one turn at least.
            pause = min(request.interval, (request.give_up_at - now) / 2)
            queue.next_turn_at = max(queue.next_turn_at, now + pause)
            queue.open_turns = 0
        queue.requests.append(request)
        waiting = [
            each for other in self._queue_by_service.values() for each in other.requests
        ]
        if len(waiting) > self._most:
            last = max(waiting, key=self.order)
            if last is request:
                queue.requests.remove(request)
                return False
            self._drop(last)
        self._notify_first(queue)
        return True

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request if it is in its queue."""
        queue = self._queue_by_service.get(request.service)
        if queue is None or request not in queue.requests:
            return
        queue.requests.remove(request)
        self._notify_first(queue)

    def next_turn(self, request: WaitingRequest) -> float | None:
        """Return when a waiting request may be sent; None if others are before it.

        The first one is woken then: it may be another one than when this request was
        told to wait for the turn, as :meth:`begin` changes the order.
        """
        queue = self._queue_by_service[request.service]
        first = min(queue.requests, key=self.order)
        if first is request:
            return float("-inf") if queue.open_turns else queue.next_turn_at
        first.changed.set()
        return None

    def take_turn(self, request: WaitingRequest, now: float) -> None:
        """Remove the first request of a queue, as it is sent now."""
        queue = self._queue_by_service[request.service]
        queue.open_turns = max(0, queue.open_turns - 1)
        queue.next_turn_at = now + request.interval
        self.remove(request)

    def open_turn(self, service: str) -> None:
        """Let one request of a queue be sent at once: a slot may be free."""
        queue = self._queue_by_service.get(service)
        if queue is not None and queue.requests:
            queue.open_turns += 1
            self._notify_first(queue)

    def close(self) -> None:
        """Drop all requests, and let none wait from now on."""
        self._closed = True
        for queue in self._queue_by_service.values():
            for request in list(queue.requests):
                self._drop(request)

    def _drop(self, request: WaitingRequest) -> None:
        request.dropped = True
        self.remove(request)
        request.changed.set()

    def _notify_first(self, queue: _Queue) -> None:
        if queue.requests:
            min(queue.requests, key=self.order).changed.set()
