"""Model engines and plain services, on the virtual clock."""

import asyncio
import json
from collections.abc import AsyncIterator
from typing import Any

from cranberryrun import clock
from cranberryrun.engines import (
    EngineClient,
    EngineState,
    LoadedVersion,
    LoadReport,
    Piece,
    StreamOrder,
    VersionOrder,
)
from cranberryrun.exceptions import (
    EngineError,
    StaleFenceError,
    StreamCutError,
    StreamExistsError,
    StreamLostError,
    TargetFailedError,
    TargetRefusedError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from cranberryrun.models import VersionSpan
from cranberryrun.samples import version_spans
from cranberryrun.services import Answer, Call, ServiceClient, Sink
from standins._downloads import FixedDelaySource
from standins._generation import StreamState, TokenStream
from standins._orders import Order, StaleFence
from standins._program import ConnectionBroken
from standins.engine import (
    EngineStandin,
    GenerateBody,
    RefusedBeforeRun,
    StreamExists,
    UnknownStream,
)
from standins.service import Answer as ServiceAnswer, ServiceStandin

from .loop import start_for
from .network import Broken, Channel, Network, Unreachable

ORDER_TIMEOUT_SECONDS = 2.0
IDLE_SECONDS = 15.0
LOAD_SECONDS = 0.3


class FakeEngine(EngineStandin):
    """An engine that keeps what each of its streams truly was.

    :param reach: called with ``stream``, ``order`` or ``load``.
    """

    def __init__(self, name: str, zone: str, reach: Any, **options: Any) -> None:
        super().__init__(
            engine_id=name, zone=zone, source=FixedDelaySource(LOAD_SECONDS), **options
        )
        self.incarnation = 1
        self.reach = reach
        self.began: list[tuple[str, float]] = []
        self._dropped: list[tuple[str, list[Any]]] = []

    def generate(self, body: GenerateBody) -> TokenStream:
        """See :meth:`EngineStandin.generate`."""
        stream = super().generate(body)
        self.began.append((body.stream, clock.now()))
        return stream

    def _drop(self, stream: TokenStream, state: StreamState) -> None:
        self._dropped.append((stream.id, list(stream.pieces)))
        super()._drop(stream, state)

    def made(self) -> list[tuple[str, list[VersionSpan]]]:
        """Return each stream's id and the versions that truly made it."""
        rows = self._dropped + [(s.id, s.pieces) for s in self.by_stream.values()]
        made = []
        for stream, pieces in rows:
            if pieces and all(piece.version is not None for piece in pieces):
                made.append((stream, version_spans(pieces)))
        return made


class FakeEngineClient(EngineClient):
    """One host's way to an engine."""

    def __init__(self, host: str, engine: FakeEngine, network: Network) -> None:
        self._host = host
        self._engine = engine
        self._network = network

    async def _ask(self, work: Any, timeout: float = ORDER_TIMEOUT_SECONDS) -> Any:
        return await self._network.carry(self._host, self._engine.id, work, timeout)

    async def generate(self, order: StreamOrder) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.generate`."""

        async def begin() -> None:
            self._engine.generate(
                GenerateBody(
                    stream=order.stream,
                    workload=order.workload,
                    prompt=order.prompt,
                    max_tokens=order.max_tokens,
                    seed=order.seed,
                    priority=order.priority,
                )
            )
            self._engine.reach("stream", self._host)

        try:
            await self._ask(begin, IDLE_SECONDS)
        except StreamExists:
            raise StreamExistsError("the stream runs already") from None
        except RefusedBeforeRun:
            raise TargetRefusedError("the engine refused") from None
        except Unreachable as error:
            raise TargetUnreachableError(repr(error)) from None
        except Broken as error:
            raise StreamCutError(repr(error)) from None
        async for piece in self.resume(order.stream, 0):
            yield piece

    async def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.resume`."""
        pieces: asyncio.Queue[Piece | Exception] = asyncio.Queue()
        if not self._network.reaches(self._host, self._engine.id):
            await asyncio.sleep(1)
            raise TargetUnreachableError(f"{self._engine.id} does not answer")
        channel = Channel(self._network, self._engine.id, self._host, pieces.put_nowait)
        pump = start_for("", self._pump(stream, start, channel))
        self._network.track(self._host, pump)
        try:
            while True:
                try:
                    async with asyncio.timeout(IDLE_SECONDS):
                        piece = await pieces.get()
                except TimeoutError:
                    raise StreamCutError("the stream is silent") from None
                if isinstance(piece, Exception):
                    raise piece
                yield piece
                if piece.done:
                    return
        finally:
            pump.cancel()

    async def _pump(self, stream: str, start: int, channel: Channel) -> None:
        try:
            async for row in self._engine.read(stream, start):
                channel.send(
                    Piece(row.seq, row.tokens, row.text, row.version, row.done)
                )
        except UnknownStream:
            channel.send(StreamLostError("the engine doesn't know it"))
        except ConnectionBroken:
            channel.send(StreamCutError("the stream was cut"))

    async def cancel(self, stream: str) -> None:
        """See :meth:`EngineClient.cancel`."""

        async def stop() -> None:
            self._engine.cancel(stream)

        try:
            await self._ask(stop)
        except (Unreachable, Broken):
            return

    async def load(self) -> LoadReport:
        """See :meth:`EngineClient.load`."""

        async def report() -> dict[str, Any]:
            return self._engine.load()

        row = await self._answer(report)
        return LoadReport(row["running"], row["queued"], row["tokens_per_second"])

    async def state(self) -> EngineState:
        """See :meth:`EngineClient.state`."""

        async def report() -> dict[str, Any]:
            return self._engine.state()

        row = await self._answer(report)
        by_workload = {
            workload: LoadedVersion(each["version"], each["fence"], each["loading"])
            for workload, each in row["by_workload"].items()
        }
        return EngineState(row["incarnation"], by_workload)

    async def _answer(self, work: Any) -> Any:
        try:
            return await self._ask(work)
        except (Unreachable, Broken) as error:
            raise EngineError(repr(error)) from None

    async def order(self, order: VersionOrder) -> None:
        """See :meth:`EngineClient.order`."""
        self._engine.reach("order", self._host)

        async def accept() -> None:
            self._engine.orders.accept(
                Order(
                    order=order.order,
                    fence=order.fence,
                    kind="load_version",
                    workload=order.workload,
                    version=order.version,
                )
            )
            self._engine.reach("load", self._host)

        try:
            await self._answer(accept)
        except StaleFence:
            raise StaleFenceError(f"order {order.order} is older") from None


class FakeService(ServiceStandin):
    """A plain service's target that notes when its runs began.

    :param reach: called with ``send`` and ``answer``.
    """

    def __init__(self, name: str, reach: Any) -> None:
        super().__init__(name, work=0.02)
        self.reach = reach
        self.began: list[tuple[str | None, str | None, float]] = []

    async def answer(self, call: Call, host: str) -> Answer:
        """Run ``call`` and return the answer as a host reads it."""
        count = len(self.runs)
        self.reach("send", host)
        body = json.loads(call.body) if call.body else None
        run = await self.call(call.method, call.path, body, call.request, call.key)
        if run is None:
            raise TargetRefusedError(f"{self.name} refused", retry_after=1)
        assert len(self.runs) > count
        if run.answer is ServiceAnswer.REFUSED_AFTER_RUN:
            return Answer(503, {}, b"{}")
        if run.answer is ServiceAnswer.DROPPED:
            raise Broken("dropped after the run")
        if run.answer is ServiceAnswer.HUNG:
            await asyncio.sleep(3600)
        if run.answer is ServiceAnswer.TRUNCATED:
            raise TruncatedAnswerError(f"{self.name}: the body is not whole")
        self.reach("answer", host)
        echo = {"ran": run.ran, "echo": body}
        return Answer(200, {}, json.dumps(echo).encode())

    async def call(self, *request: Any) -> Any:
        """See :meth:`ServiceStandin.call`."""
        if not self.faults.refuse:
            self.began.append((request[3], request[4], clock.now()))
        return await super().call(*request)


class FakeServiceClient(ServiceClient):
    """One host's way to a plain service's target."""

    def __init__(self, host: str, service: FakeService, network: Network) -> None:
        self._host = host
        self._service = service
        self._network = network

    async def send(
        self,
        call: Call,
        repeatable: bool,
        idle_timeout: float,
        sink: Sink | None = None,
    ) -> Answer:
        """See :meth:`ServiceClient.send`."""
        left = max(0.001, min(idle_timeout, call.deadline - clock.now()))

        async def run() -> Answer:
            return await self._service.answer(call, self._host)

        try:
            return await self._network.carry(self._host, self._service.name, run, left)
        except Unreachable as error:
            raise TargetUnreachableError(repr(error)) from None
        except Broken as error:
            raise TargetFailedError(repr(error)) from None
