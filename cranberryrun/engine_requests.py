"""Service requests answered by an engine: streaming its pieces and resuming."""

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
_RESUME_DELAY_SECONDS = 0.1
_MAX_RESUMES_IN_A_ROW = 5


def stream_order_for(
    call: Call, spec: ServiceSpec, request: GroupRequest
) -> StreamOrder:
    """Return an order for a new stream with a unique id."""
    return StreamOrder(
        stream=f"call.{uuid.uuid4().hex}",
        workload=call.service,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        seed=request.seed,
        priority=spec.priority,
        workspace=call.workspace,
    )


async def generate(
    engine: Engine,
    order: StreamOrder,
    deadline: float,
    sink: Sink | None,
    meter: Meter,
) -> Answer:
    """Generate a stream and write its pieces as lines of JSON.

    :param deadline: event loop time after which generation is abandoned.
    :param sink: receives each line as it arrives; without a sink, the answer
        contains all lines.
    :raises TargetUnreachableError, TargetRefusedError: nothing was run.
    :raises TargetFailedError: the request may have been run.
    """
    lines: list[bytes] = []
    try:
        async with asyncio.timeout_at(deadline):
            async with aclosing(_read_with_resume(engine.client, order)) as pieces:
                async for piece in pieces:
                    meter.add(piece.tokens)
                    await _write_piece(piece, lines, sink)
    except TimeoutError:
        raise TargetFailedError(
            "the deadline passed before the engine finished generating"
        ) from None
    return Answer(200, _HEADERS, b"".join(lines), streamed=sink is not None)


async def _write_piece(piece: Piece, lines: list[bytes], sink: Sink | None) -> None:
    fields = {
        "text": piece.text,
        "tokens": piece.tokens,
        "version": piece.version,
        "done": piece.done,
    }
    line = json.dumps(fields).encode() + b"\n"
    if sink is None:
        lines.append(line)
        return
    if not sink.begun:
        await sink.begin(200, _HEADERS, None)
    await sink.write(line)


async def _read_with_resume(
    client: EngineClient, order: StreamOrder
) -> AsyncIterator[Piece]:
    """Yield each piece once; resume the stream when the connection is lost."""
    next_seq = 0
    failures_in_a_row = 0
    piece_stream = client.generate(order)
    while True:
        try:
            async with aclosing(piece_stream):
                async for piece in piece_stream:
                    next_seq, failures_in_a_row = piece.seq + 1, 0
                    yield piece
                    if piece.done:
                        return
        except (StreamCutError, RefusedError) as error:
            if isinstance(error, RefusedError) and not (next_seq or failures_in_a_row):
                raise
            failures_in_a_row += 1
            if failures_in_a_row > _MAX_RESUMES_IN_A_ROW:
                raise TruncatedAnswerError(error.detail) from None
            await asyncio.sleep(_RESUME_DELAY_SECONDS * failures_in_a_row)
        except EngineError as error:
            raise TruncatedAnswerError(error.detail) from None
        piece_stream = client.resume(order.stream, next_seq)
