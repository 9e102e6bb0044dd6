"""An in-memory network between hosts, platform, targets and clients."""

import asyncio
from collections import defaultdict, deque
from collections.abc import Awaitable, Callable
from typing import Any

from cranberryrun.exceptions import PeerError, PeerRefusedError
from cranberryrun.membership import HostEntry
from cranberryrun.peers import PeerHandler, Peers
from cranberryrun.settings import Settings

from .loop import start_for

DELAY_SECONDS = 0.001


class NetworkError(Exception):
    """A request over the network had no answer."""


class Unreachable(NetworkError):
    """There was no connection; nothing was delivered."""


class Broken(NetworkError):
    """The connection ended, or no answer came in time."""


class TimedOut(Broken):
    """The connection stood, but no answer came in time."""


class Network:
    """Carries requests between named places.

    A cut swallows what is sent, as a partition does. A dead place refuses
    connections and breaks those it had.
    """

    def __init__(self, loop: Any) -> None:
        self.loop = loop
        self.dead: set[str] = set()
        self._cuts: set[frozenset[str]] = set()
        self.delay_by_link: dict[frozenset[str], float] = {}
        self._source_by_future: dict[str, dict[asyncio.Future[Any], str]] = defaultdict(
            dict
        )
        self._tasks_by_place: dict[str, set[asyncio.Task[Any]]] = defaultdict(set)

    def cut(self, one: str, other: str) -> None:
        """Swallow what goes between two places."""
        self._cuts.add(frozenset((one, other)))

    def mend(self) -> None:
        """End all cuts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Say whether nothing gets through between two places."""
        return frozenset((one, other)) in self._cuts

    def reaches(self, one: str, other: str) -> bool:
        """Say whether both places run and nothing is cut between them."""
        if self.dead & {one, other} or self.loop.paused & {one, other}:
            return False
        return not self.is_cut(one, other)

    def delay(self, one: str, other: str) -> float:
        """Return the one-way delay between two places, in seconds."""
        return self.delay_by_link.get(frozenset((one, other)), DELAY_SECONDS)

    def kill(self, place: str) -> None:
        """End a place: its work stops and its connections break."""
        self.dead.add(place)
        self.loop.pause(place)
        for future, source in self._source_by_future.pop(place, {}).items():
            if not future.done() and not self.is_cut(source, place):
                future.set_exception(Broken(f"{place} died"))
        for task in list(self._tasks_by_place.pop(place, ())):
            task.cancel()

    def track(self, place: str, task: asyncio.Task[Any]) -> None:
        """Cancel ``task`` when ``place`` dies."""
        tasks = self._tasks_by_place[place]
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    def _wait_at(self, place: str, source: str) -> asyncio.Future[Any]:
        """Return a future that fails with :class:`Broken` when ``place`` dies."""
        future = self.loop.create_future()
        sources = self._source_by_future[place]
        sources[future] = source
        future.add_done_callback(lambda done: sources.pop(done, None))
        return future

    async def carry(
        self,
        source: str,
        target: str,
        work: Callable[[], Awaitable[Any]],
        timeout: float,
        connect: float = 1.0,
    ) -> Any:
        """Have ``work`` done at ``target`` and return its result.

        :raises Unreachable: no connection within ``connect`` seconds.
        :raises Broken: it may have been done.
        """
        if source in self.dead:
            await self.loop.create_future()
        await asyncio.sleep(0)
        if target in self.dead:
            raise Unreachable(f"{target} refuses connections")
        if self.is_cut(source, target):
            await asyncio.sleep(min(connect, timeout))
            raise Unreachable(f"{target} does not answer")
        answered = self._wait_at(target, source)
        start_for("", self._serve(source, target, work, answered))
        try:
            async with asyncio.timeout(timeout):
                return await answered
        except TimeoutError:
            raise TimedOut(f"no answer of {target} in time") from None

    async def _serve(
        self,
        source: str,
        target: str,
        work: Callable[[], Awaitable[Any]],
        answered: asyncio.Future[Any],
    ) -> None:
        await asyncio.sleep(self.delay(source, target))
        if target in self.dead and not answered.done():
            answered.set_exception(Unreachable(f"{target} refuses connections"))
        if answered.done() or self.is_cut(source, target):
            return
        task = start_for(target, _awaited(work))
        self.track(target, task)
        result, error = None, None
        try:
            result = await task
        except Exception as failure:
            error = failure
        await asyncio.sleep(self.delay(source, target))
        if answered.done():
            return
        if self.is_cut(source, target):
            self._source_by_future[target].pop(answered, None)
            return
        if error is None:
            answered.set_result(result)
        else:
            answered.set_exception(error)


class Channel:
    """One direction of a connection: what is sent arrives in its order."""

    def __init__(
        self, network: Network, source: str, target: str, take: Callable[[Any], None]
    ) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._take = take
        self._under_way: deque[Any] = deque()

    def send(self, item: Any) -> None:
        """Have ``item`` arrive after the delay, unless the connection is cut."""
        if self._network.is_cut(self._source, self._target):
            return
        self._under_way.append(item)
        delay = self._network.delay(self._source, self._target)
        # Timers for the same moment fire in no fixed order.
        self._network.loop.call_later(delay, self._arrive)

    def _arrive(self) -> None:
        self._take(self._under_way.popleft())


async def _awaited(work: Callable[[], Awaitable[Any]]) -> Any:
    return await work()


class FakePeers(Peers):
    """Peers over the in-memory network."""

    def __init__(self, settings: Settings, rng: Any, network: Network) -> None:
        super().__init__(settings, rng)
        self._network = network
        self._serving = PeerHandler(self)
        self.peers_by_id: dict[str, "FakePeers"] = {}

    async def start(self) -> None:
        """Begin to exchange views."""
        self.supervise(self._exchange_forever)

    async def call(
        self, entry: HostEntry, method: str, *args: Any, timeout: float | None = None
    ) -> Any:
        """See :meth:`Peers.call`."""
        target = self.peers_by_id.get(entry.id)
        if target is None:
            raise PeerError(f"{entry.id}: not started")
        limit = timeout or self._settings.timing.peer_timeout

        async def serve() -> Any:
            return await getattr(target._serving, method)(*args)

        try:
            return await self._network.carry(
                self._settings.id, entry.id, serve, limit, limit
            )
        except NetworkError as error:
            if isinstance(error, Unreachable) and entry.id in self._network.dead:
                raise PeerRefusedError(f"{entry.id}: nothing listens") from None
            raise PeerError(f"{entry.id}: {method}: {error!r}") from None
        except KeyError as error:
            raise PeerError(f"{entry.id}: {method}: no handler {error}") from None
