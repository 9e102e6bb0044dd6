"""A request that an engine answers: pieces passed on as they come, and resumed."""

from __future__ import annotations

import asyncio
import json
import uuid
from collections.abc import AsyncIterator
from contextlib import aclosing

from .engines import Engine, EngineClient, Piece, StreamOrder
from .exceptions import (
    EngineError,
    RefusedError,
    StreamCutError,
    TargetFailedError,
    TruncatedAnswerError,
)
from .meters import Meter
from .models import GroupRequest, ServiceSpec
from .services import Answer, Call, Sink

_HEADERS = {"Content-Type": "application/x-ndjson"}
_RESUME_PAUSE_SECONDS = 0.1
_MAX_RESUMES_IN_A_ROW = 5


def stream_order_for(
    call: Call, spec: ServiceSpec, request: GroupRequest
) -> StreamOrder:
    """Return the order of a stream that no other request has."""
    return StreamOrder(
        stream=f"call.{uuid.uuid4().hex}",
        workload=call.service,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        seed=request.seed,
        priority=spec.priority,
    )


async def generate(
    engine: Engine,
    order: StreamOrder,
    deadline: float,
    sink: Sink | None,
    meter: Meter,
) -> Answer:
    """Pass the engine's pieces on as lines of JSON; whole without a sink.

    :raises TargetUnreachableError, TargetRefusedError: nothing was run.
    :raises TargetFailedError: it may have been run.
    """
    lines: list[bytes] = []
    try:
        async with asyncio.timeout_at(deadline):
            async with aclosing(_pieces(engine.client, order)) as pieces:
                async for piece in pieces:
                    meter.add(piece.tokens)
                    await _take(piece, lines, sink)
    except TimeoutError:
        raise TargetFailedError("the deadline passed while generating") from None
    return Answer(200, _HEADERS, b"".join(lines), streamed=sink is not None)


async def _take(piece: Piece, lines: list[bytes], sink: Sink | None) -> None:
    row = {
        "text": piece.text,
        "tokens": piece.tokens,
        "version": piece.version,
        "done": piece.done,
    }
    line = json.dumps(row).encode() + b"\n"
    if sink is None:
        lines.append(line)
        return
    if not sink.begun:
        await sink.begin(200, _HEADERS, None)
    await sink.write(line)


async def _pieces(client: EngineClient, order: StreamOrder) -> AsyncIterator[Piece]:
    """Yield each piece once, over cuts of the connection."""
    next_seq = 0
    cuts = 0
    source = client.generate(order)
    while True:
        try:
            async with aclosing(source):
                async for piece in source:
                    next_seq, cuts = piece.seq + 1, 0
                    yield piece
                    if piece.done:
                        return
        except (StreamCutError, RefusedError) as error:
            if isinstance(error, RefusedError) and not (next_seq or cuts):
                raise
            cuts += 1
            if cuts > _MAX_RESUMES_IN_A_ROW:
                raise TruncatedAnswerError(error.detail) from None
            await asyncio.sleep(_RESUME_PAUSE_SECONDS * cuts)
        except EngineError as error:
            raise TruncatedAnswerError(error.detail) from None
        source = client.resume(order.stream, next_seq)
