"""Model engines and plain services for hosts in one event loop."""

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

from .loop import start_task
from .network import Channel, ConnectionLost, Network, Unreachable

REQUEST_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_SECONDS = 15.0
LOAD_SECONDS = 0.3


class FakeEngine(EngineStandin):
    """An engine that remembers which versions produced each of its streams.

    :param on_fault_point: called with ``stream``, ``order`` or ``load``, and the
        host's name.
    """

    def __init__(
        self, name: str, zone: str, on_fault_point: Any, **options: Any
    ) -> None:
        super().__init__(
            engine_id=name, zone=zone, source=FixedDelaySource(LOAD_SECONDS), **options
        )
        self.incarnation = 1
        self.on_fault_point = on_fault_point
        self.recorded_starts: list[tuple[str, float]] = []
        self._removed_streams: list[tuple[str, list[Any]]] = []

    def generate(self, body: GenerateBody) -> TokenStream:
        """See :meth:`EngineStandin.generate`."""
        stream = super().generate(body)
        self.recorded_starts.append((body.stream, clock.now()))
        return stream

    def _drop(self, stream: TokenStream, state: StreamState) -> None:
        self._removed_streams.append((stream.id, list(stream.pieces)))
        super()._drop(stream, state)

    def produced_streams(self) -> list[tuple[str, list[VersionSpan]]]:
        """Return each stream's id and the versions that actually produced it."""
        rows = self._removed_streams + [
            (s.id, s.pieces) for s in self.by_stream.values()
        ]
        produced_streams = []
        for stream, pieces in rows:
            if pieces and all(piece.version is not None for piece in pieces):
                produced_streams.append((stream, version_spans(pieces)))
        return produced_streams


class FakeEngineClient(EngineClient):
    """One host's client of an engine."""

    def __init__(self, host: str, engine: FakeEngine, network: Network) -> None:
        self._host = host
        self._engine = engine
        self._network = network

    async def _request(
        self, handler: Any, timeout: float = REQUEST_TIMEOUT_SECONDS
    ) -> Any:
        return await self._network.call(self._host, self._engine.id, handler, timeout)

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
            self._engine.on_fault_point("stream", self._host)

        try:
            await self._request(begin, IDLE_TIMEOUT_SECONDS)
        except StreamExists:
            raise StreamExistsError(
                "the engine already has a stream of this name"
            ) from None
        except RefusedBeforeRun:
            raise TargetRefusedError(
                "the engine refused the stream before it ran"
            ) from None
        except Unreachable as error:
            raise TargetUnreachableError(repr(error)) from None
        except ConnectionLost as error:
            raise StreamCutError(repr(error)) from None
        async for piece in self.resume(order.stream, 0):
            yield piece

    async def resume(self, stream: str, start: int) -> AsyncIterator[Piece]:
        """See :meth:`EngineClient.resume`."""
        pieces: asyncio.Queue[Piece | Exception] = asyncio.Queue()
        if not self._network.can_reach(self._host, self._engine.id):
            await asyncio.sleep(1)
            raise TargetUnreachableError(f"engine {self._engine.id} does not answer")
        channel = Channel(self._network, self._engine.id, self._host, pieces.put_nowait)
        forwarding = start_task("", self._forward_pieces(stream, start, channel))
        self._network.track(self._host, forwarding)
        try:
            while True:
                try:
                    async with asyncio.timeout(IDLE_TIMEOUT_SECONDS):
                        piece = await pieces.get()
                except TimeoutError:
                    raise StreamCutError(
                        "the engine sent nothing within the idle timeout"
                    ) from None
                if isinstance(piece, Exception):
                    raise piece
                yield piece
                if piece.done:
                    return
        finally:
            forwarding.cancel()

    async def _forward_pieces(self, stream: str, start: int, channel: Channel) -> None:
        try:
            async for row in self._engine.read(stream, start):
                channel.send(
                    Piece(row.seq, row.tokens, row.text, row.version, row.done)
                )
        except UnknownStream:
            channel.send(StreamLostError("the engine does not have the stream"))
        except ConnectionBroken:
            channel.send(
                StreamCutError(
                    "the engine closed the connection before the end of the stream"
                )
            )

    async def cancel(self, stream: str) -> None:
        """See :meth:`EngineClient.cancel`."""

        async def stop() -> None:
            self._engine.cancel(stream)

        try:
            await self._request(stop)
        except (Unreachable, ConnectionLost):
            return

    async def load(self) -> LoadReport:
        """See :meth:`EngineClient.load`."""

        async def report() -> dict[str, Any]:
            return self._engine.load()

        row = await self._request_or_engine_error(report)
        return LoadReport(row["running"], row["queued"], row["tokens_per_second"])

    async def state(self) -> EngineState:
        """See :meth:`EngineClient.state`."""

        async def report() -> dict[str, Any]:
            return self._engine.state()

        row = await self._request_or_engine_error(report)
        by_workload = {
            workload: LoadedVersion(each["version"], each["fence"], each["loading"])
            for workload, each in row["by_workload"].items()
        }
        return EngineState(row["incarnation"], by_workload)

    async def _request_or_engine_error(self, handler: Any) -> Any:
        try:
            return await self._request(handler)
        except (Unreachable, ConnectionLost) as error:
            raise EngineError(repr(error)) from None

    async def order(self, order: VersionOrder) -> None:
        """See :meth:`EngineClient.order`."""
        self._engine.on_fault_point("order", self._host)

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
            self._engine.on_fault_point("load", self._host)

        try:
            await self._request_or_engine_error(accept)
        except StaleFence:
            raise StaleFenceError(
                f"the engine has seen a higher fencing token than that of {order.order}"
            ) from None


class FakeService(ServiceStandin):
    """A plain service's target that records the start time of each run.

    :param on_fault_point: called with ``send`` or ``answer``, and the host's name.
    """

    def __init__(self, name: str, on_fault_point: Any) -> None:
        super().__init__(name, work=0.02)
        self.on_fault_point = on_fault_point
        self.recorded_starts: list[tuple[str | None, str | None, float]] = []

    async def answer(self, call: Call, host: str) -> Answer:
        """Run ``call`` and return the answer that the host reads."""
        count = len(self.runs)
        self.on_fault_point("send", host)
        body = json.loads(call.body) if call.body else None
        run = await self.call(call.method, call.path, body, call.request, call.key)
        if run is None:
            raise TargetRefusedError(
                f"target {self.name} refused the call before it ran", retry_after=1
            )
        assert len(self.runs) > count
        if run.answer is ServiceAnswer.REFUSED_AFTER_RUN:
            return Answer(503, {}, b"{}")
        if run.answer is ServiceAnswer.DROPPED:
            raise ConnectionLost("the target closed the connection after the run")
        if run.answer is ServiceAnswer.HUNG:
            await asyncio.sleep(3600)
        if run.answer is ServiceAnswer.TRUNCATED:
            raise TruncatedAnswerError(f"the body of target {self.name} was truncated")
        self.on_fault_point("answer", host)
        payload = {"ran": run.ran, "echo": body}
        return Answer(200, {}, json.dumps(payload).encode())

    async def call(self, *request: Any) -> Any:
        """See :meth:`ServiceStandin.call`."""
        if not self.faults.refuse:
            self.recorded_starts.append((request[3], request[4], clock.now()))
        return await super().call(*request)


class FakeServiceClient(ServiceClient):
    """One host's client of a plain service's target."""

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
        timeout = max(0.001, min(idle_timeout, call.deadline - clock.now()))

        async def run() -> Answer:
            return await self._service.answer(call, self._host)

        try:
            return await self._network.call(
                self._host, self._service.name, run, timeout
            )
        except Unreachable as error:
            raise TargetUnreachableError(repr(error)) from None
        except ConnectionLost as error:
            raise TargetFailedError(repr(error)) from None
