"""In-memory network between hosts, platform services, targets and clients."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Awaitable, Callable
from typing import Any

from cranberryrun.exceptions import PeerError, PeerRefusedError
from cranberryrun.membership import HostEntry
from cranberryrun.peers import PeerHandler, Peers
from cranberryrun.settings import Settings

from .loop import start_task

DELAY_SECONDS = 0.001


class NetworkError(Exception):
    """A request over the network got no answer."""


class Unreachable(NetworkError):
    """No connection was established; nothing was delivered."""


class ConnectionLost(NetworkError):
    """The connection was lost before the answer; the request may have run."""


class TimedOut(ConnectionLost):
    """The connection stayed open, but no answer arrived within the timeout."""


class Network:
    """Carries requests between named nodes: hosts, targets, clients, log and list.

    A partition drops what is sent between two nodes without an error. A dead node
    refuses new connections, and its open connections break.
    """

    def __init__(self, loop: Any) -> None:
        self.loop = loop
        self.dead: set[str] = set()
        self._partitions: set[frozenset[str]] = set()
        self.delay_by_link: dict[frozenset[str], float] = {}
        self._source_by_future: dict[str, dict[asyncio.Future[Any], str]] = defaultdict(
            dict
        )
        self._tasks_by_node: dict[str, set[asyncio.Task[Any]]] = defaultdict(set)

    def partition(self, one: str, other: str) -> None:
        """Drop everything sent between two nodes, in both directions."""
        self._partitions.add(frozenset((one, other)))

    def heal(self) -> None:
        """End all partitions."""
        self._partitions.clear()

    def is_partitioned(self, one: str, other: str) -> bool:
        """Return whether two nodes are partitioned from each other."""
        return frozenset((one, other)) in self._partitions

    def can_reach(self, one: str, other: str) -> bool:
        """Return whether both nodes run and no partition separates them."""
        if self.dead & {one, other} or self.loop.paused & {one, other}:
            return False
        return not self.is_partitioned(one, other)

    def delay(self, one: str, other: str) -> float:
        """Return the one-way delay between two nodes, in seconds."""
        return self.delay_by_link.get(frozenset((one, other)), DELAY_SECONDS)

    def kill(self, node: str) -> None:
        """Kill a node: its tasks are cancelled and its connections break."""
        self.dead.add(node)
        self.loop.pause(node)
        for future, source in self._source_by_future.pop(node, {}).items():
            if not future.done() and not self.is_partitioned(source, node):
                future.set_exception(ConnectionLost(f"the node {node} was killed"))
        for task in list(self._tasks_by_node.pop(node, ())):
            task.cancel()

    def track(self, node: str, task: asyncio.Task[Any]) -> None:
        """Cancel ``task`` when ``node`` is killed."""
        tasks = self._tasks_by_node[node]
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def _create_answer_future(self, node: str, source: str) -> asyncio.Future[Any]:
        """Return the future of an answer.

        It fails with :class:`ConnectionLost` when ``node`` is killed, unless a
        partition separates it from ``source``.
        """
        future = self.loop.create_future()
        sources = self._source_by_future[node]
        sources[future] = source
        future.add_done_callback(lambda done: sources.pop(done, None))
        return future

    async def call(
        self,
        source: str,
        target: str,
        handler: Callable[[], Awaitable[Any]],
        timeout: float,
        connect_timeout: float = 1.0,
    ) -> Any:
        """Run ``handler`` at ``target`` and return its result.

        :param timeout: seconds until the call fails without an answer.
        :param connect_timeout: seconds until a partitioned target is given up.
        :raises Unreachable: no connection was established; the handler did not run.
        :raises ConnectionLost: no answer arrived; the handler may have run.
        """
        if source in self.dead:
            await self.loop.create_future()
        await asyncio.sleep(0)
        if target in self.dead:
            raise Unreachable(f"{target} refuses connections")
        if self.is_partitioned(source, target):
            await asyncio.sleep(min(connect_timeout, timeout))
            raise Unreachable(f"{target} does not answer")
        answer = self._create_answer_future(target, source)
        start_task("", self._serve(source, target, handler, answer))
        try:
            async with asyncio.timeout(timeout):
                return await answer
        except TimeoutError:
            raise TimedOut(
                f"{target} did not answer within {timeout} seconds"
            ) from None

    async def _serve(
        self,
        source: str,
        target: str,
        handler: Callable[[], Awaitable[Any]],
        answer: asyncio.Future[Any],
    ) -> None:
        await asyncio.sleep(self.delay(source, target))
        if target in self.dead and not answer.done():
            answer.set_exception(Unreachable(f"{target} refuses connections"))
        if answer.done() or self.is_partitioned(source, target):
            return
        task = start_task(target, _run(handler))
        self.track(target, task)
        result, error = None, None
        try:
            result = await task
        except Exception as failure:
            error = failure
        await asyncio.sleep(self.delay(source, target))
        if answer.done():
            return
        if self.is_partitioned(source, target):
            self._source_by_future[target].pop(answer, None)
            return
        if error is None:
            answer.set_result(result)
        else:
            answer.set_exception(error)


class Channel:
    """One direction of a connection; items arrive in the order they were sent."""

    def __init__(
        self, network: Network, source: str, target: str, deliver: Callable[[Any], None]
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._deliver = deliver
        self._in_flight: deque[Any] = deque()

    def send(self, item: Any) -> None:
        """Deliver ``item`` after the network delay; a partition drops it."""
        if self._network.is_partitioned(self._source, self._target):
            return
        self._in_flight.append(item)
        delay = self._network.delay(self._source, self._target)
        # Timers for the same moment fire in no fixed order, so each delivers the
        # oldest item in flight instead of its own.
        self._network.loop.call_later(delay, self._arrive)

    def _arrive(self) -> None:
        self._deliver(self._in_flight.popleft())


async def _run(handler: Callable[[], Awaitable[Any]]) -> Any:
    return await handler()


class FakePeers(Peers):
    """Peers over the in-memory network."""

    def __init__(self, settings: Settings, rng: Any, network: Network) -> None:
        super().__init__(settings, rng)
        self._network = network
        self._handler = PeerHandler(self)
        self.peers_by_id: dict[str, "FakePeers"] = {}

    async def start(self) -> None:
        """Start the exchange of views."""
        self.supervise(self._exchange_forever)

    async def call(
        self, entry: HostEntry, method: str, *args: Any, timeout: float | None = None
    ) -> Any:
        """See :meth:`Peers.call`."""
        target = self.peers_by_id.get(entry.id)
        if target is None:
            raise PeerError(f"peer {entry.id} was never started")
        limit = timeout or self._settings.timing.peer_timeout

        async def serve() -> Any:
            return await getattr(target._handler, method)(*args)

        try:
            return await self._network.call(
                self._settings.id, entry.id, serve, limit, limit
            )
        except NetworkError as error:
            if isinstance(error, Unreachable) and entry.id in self._network.dead:
                raise PeerRefusedError(
                    f"peer {entry.id} refused the connection"
                ) from None
            raise PeerError(
                f"call of {method} at peer {entry.id} failed: {error!r}"
            ) from None
        except KeyError as error:
            raise PeerError(
                f"peer {entry.id} has no handler for {method}: {error}"
            ) from None
