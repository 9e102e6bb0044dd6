"""The interface to targets. Its implementations define the wire format."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from ..batches.models import Item, Piece
from ..exceptions import CranberryrunError, TargetFailedError, TargetRefusedError
from ..kernel import Service
from ..rewards.models import RewardCall
from .directory import Target


class WrongVersionError(TargetRefusedError):
    """The target has other weights or is another process; the request was not run."""

    code = "wrong_version"


class RunFailedError(TargetFailedError):
    """The target ran the item and reported a failure."""

    code = "run_failed"


class ConnectionLostError(TargetFailedError):
    """The connection ended before the answer was complete; the target may be gone."""


class MalformedStreamError(TargetFailedError):
    """The target sent something in a stream that is no event, or not the next one.

    Unlike after a stream that only broke off, what arrived before may be wrong too.
    """

    code = "stream_malformed"


class ConflictingEventsError(MalformedStreamError):
    """The target sent another event of a number, or events in another order.

    The caller may already have the wrong one of two events.
    """


class ItemImpossibleError(CranberryrunError):
    """The target reported that the item can never succeed."""

    code = "item_impossible"


class OrderRefusedError(CranberryrunError):
    """A load order was not accepted.

    The target is carrying out another order or has accepted one since its report, or
    the lease ended before the order was sent.
    """

    code = "order_refused"


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request. ``target`` is the path and query as the caller sent them.

    ``deadline`` is in loop seconds. ``headers`` has only the headers to forward.
    ``workspace`` is the workspace of the caller's key; None without workspaces.
    """

    id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | memoryview
    deadline: float
    workspace: str | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete answer of a target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | memoryview


@dataclass(frozen=True, slots=True)
class StreamedEvents:
    """Complete events of a stream that arrived together; their numbers have no gap.

    ``first`` and ``last`` are the first and the last number; both are None for comments
    after the last event. ``raw`` has the bytes that the target sent.
    """

    first: int | None
    last: int | None
    raw: bytes


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state that an engine reports; it may be a few hundred milliseconds old.

    ``sequence`` counts the orders that the engine accepted since its start.
    """

    busy: bool
    sequence: int
    version_by_model: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load ``version``.

    The engine rejects the order unless its sequence number is ``sequence``. With
    ``keep_runs``, running requests continue under the new version; otherwise they end
    first.
    """

    model: str
    version: int
    holder: str
    fence: int
    sequence: int
    keep_runs: bool


class TargetClient(Service):
    """Sends requests, items and orders to targets.

    No method retries. All methods raise :exc:`~.exceptions.TargetUnreachableError` if
    no byte was sent, :exc:`~.exceptions.TargetRefusedError` if the target answered
    that it did not run the request, and :exc:`~.exceptions.TargetFailedError` if it
    may have run it.
    """

    name = "target_client"

    @abstractmethod
    async def send(self, target: Target, request: Request) -> Answer:
        """Send a request and return the answer.

        The answer is complete and was checked to belong to this request.
        """

    @abstractmethod
    def stream(
        self, target: Target, request: Request, last_event: int | None
    ) -> AsyncIterator[Answer | StreamedEvents]:
        """Send a request and yield the head of the answer, then its complete events.

        An answer that is not a stream is yielded as a single complete answer. The
        numbers of the events increase, from ``last_event`` on.

        :param last_event: the number of the event after which the stream resumes.
        :raises MalformedStreamError: the target sent something else than such events.
        """

    @abstractmethod
    def run(
        self,
        target: Target,
        host: str,
        item: Item,
        version: int,
        done: int,
        deadline: float,
        workspace: str | None = None,
    ) -> AsyncIterator[Piece]:
        """Run an item and yield its pieces, without the first ``done`` ones.

        The iteration ends normally only when the output is complete.

        :param host: the host name of the item's route.
        :param version: the weight version that the engine must have.
        :param workspace: the workspace of the item's batch, which the engine is told.
        :raises MalformedStreamError: some of the pieces may be wrong, as the engine
            sent something that is no event or not the next one, or without end.
        :raises ItemImpossibleError: the item can never succeed.
        :raises RunFailedError: the engine ran the item and reported a failure.
        """

    @abstractmethod
    async def score(self, target: Target, call: RewardCall, deadline: float) -> str:
        """Send a reward call and return the score in the answer.

        :param deadline: until when the target may work on the call, in loop seconds.
        :raises RunFailedError: the target ran the call and reported a failure.
        """

    @abstractmethod
    async def refuses_connections(self, target: Target) -> bool:
        """Return whether no process listens at the target's address any more.

        A target that does not respond at all may still run, so it does not refuse.
        """

    @abstractmethod
    async def report(self, target: Target) -> EngineReport:
        """Request the state of an engine."""

    @abstractmethod
    async def order(self, target: Target, order: LoadOrder) -> None:
        """Order an engine to load a version; return once it has accepted the order.

        :raises OrderRefusedError: the engine rejected the order.
        :raises StaleFenceError: the engine has accepted a higher fencing token, so
            another host holds the lease now.
        """
