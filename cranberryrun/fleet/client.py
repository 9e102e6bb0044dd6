"""What the product asks of targets. Only adapters know the wire."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from ..batches.models import Item, Piece
from ..exceptions import CranberryrunError, TargetFailedError, TargetRefusedError
from ..kernel import Service
from .directory import Target


class WrongVersionError(TargetRefusedError):
    """The target has other weights, or is another one; the request was not run."""

    code = "wrong_version"


class RunFailedError(TargetFailedError):
    """The target ran the item and failed it."""

    code = "run_failed"


class ItemImpossibleError(CranberryrunError):
    """The target says that the item can never be done."""

    code = "item_impossible"


class OrderRefusedError(CranberryrunError):
    """The target did not take an order: it is under another, or changed since."""

    code = "order_refused"


@dataclass(frozen=True, slots=True)
class Request:
    """A caller's request. ``target`` is path and query, as they were sent.

    ``deadline`` is in loop seconds. ``headers`` are those to be forwarded.
    """

    id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class StreamedEvent:
    """One whole event of a stream, with its bytes as the target sent them."""

    number: int | None
    raw: bytes


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of itself; some hundred milliseconds old.

    ``sequence`` counts the orders that it accepted since its start.
    """

    busy: bool
    sequence: int
    version_by_model: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """An order to load ``version``. ``sequence`` is what the engine must be at.

    With ``keep_runs`` running requests go on under the new version; else they end
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

    Nothing here sends anything twice. All methods raise
    :exc:`~.exceptions.TargetUnreachableError` where no byte was sent,
    :exc:`~.exceptions.TargetRefusedError` where the target said that the request
    was not run, and :exc:`~.exceptions.TargetFailedError` where it may have run.
    """

    name = "target_client"

    @abstractmethod
    async def send(self, target: Target, request: Request) -> Answer:
        """Send a request and return the answer once it is whole and its own."""

    @abstractmethod
    def stream(
        self, target: Target, request: Request, last_event: int | None
    ) -> AsyncIterator[Answer | StreamedEvent]:
        """Send a request and yield the head of the answer, then its whole events.

        An answer that is no stream is yielded whole, and alone.

        :param last_event: go on after the event with this number.
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
    ) -> AsyncIterator[Piece]:
        """Run an item and yield its pieces after the first ``done``; end when whole.

        :param host: the host name of the item's route.
        :param version: the weight version that the engine must have.
        :raises ItemImpossibleError: the item can never be done.
        :raises RunFailedError: the engine failed the item.
        """

    @abstractmethod
    async def report(self, target: Target) -> EngineReport:
        """Ask an engine for its report."""

    @abstractmethod
    async def order(self, target: Target, order: LoadOrder) -> None:
        """Order an engine to load a version; return once the order is accepted.

        :raises OrderRefusedError: the engine did not take it.
        :raises StaleFenceError: another holder has a higher fencing token.
        """
