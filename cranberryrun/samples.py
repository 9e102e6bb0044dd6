"""Makes one rollout sample: a stream of pieces that survives cuts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import Any

from .engines import Engine, Engines, Piece, StreamOrder
from .exceptions import (
    RefusedError,
    SampleTooOldError,
    StreamCutError,
    StreamExistsError,
    StreamIdleError,
    StreamLostError,
    TargetRefusedError,
    UnstampedStreamError,
)
from .meters import Meter
from .models import Placement, Sample, VersionSpan
from .slots import Slot

_MAX_CUTS = 3
_MAX_IDLE = 4
_RESUME_PAUSE_SECONDS = 0.2
_RATE_WINDOW_SECONDS = 2.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One stream that makes a slot's sample. Two attempts are never equal.

    ``newest_at_dispatch`` is the newest version that was known when it began;
    ``lent`` says that it goes beyond the step's declared share; ``meter`` counts
    what it uses. Another host had ``seen`` so many pieces and counted them.
    """

    slot: Slot
    engine: Engine
    stream: str
    began_at: float
    newest_at_dispatch: int
    resumed: bool = False
    lent: bool = False
    pieces: list[Piece] = field(default_factory=list)
    tokens: int = 0
    oldest: int | None = None
    task: asyncio.Task[Any] | None = None
    meter: Meter | None = None
    seen: int = 0
    _rate: float | None = None
    _marked_at: float = 0.0
    _marked_tokens: int = 0

    def add(self, piece: Piece) -> None:
        """Take the next piece in; :raises UnstampedStreamError:."""
        if piece.version is None:
            raise UnstampedStreamError(f"piece {piece.seq} has no version")
        self.pieces.append(piece)
        if self.meter is not None:
            self.meter.add(piece.tokens if len(self.pieces) > self.seen else 0)
        if piece.tokens == 0:
            return
        self.tokens += piece.tokens
        if self.oldest is None or piece.version < self.oldest:
            self.oldest = piece.version

    def rate(self, now: float) -> float:
        """Return the tokens a second of late."""
        marked_at = self._marked_at or self.began_at
        if now - marked_at >= _RATE_WINDOW_SECONDS:
            self._rate = (self.tokens - self._marked_tokens) / (now - marked_at)
            self._marked_at = now
            self._marked_tokens = self.tokens
        if self._rate is not None:
            return self._rate
        return self.tokens / max(now - self.began_at, _RESUME_PAUSE_SECONDS)

    def placement(self) -> Placement:
        """Return this attempt as a line of a checkpoint."""
        return Placement(
            group=self.slot.group,
            index=self.slot.index,
            engine=self.engine.name,
            stream=self.stream,
            pieces=max(len(self.pieces), self.seen),
        )

    def sample(self) -> Sample:
        """Return the whole sample; :raises UnstampedStreamError:."""
        return Sample(
            group=self.slot.group,
            index=self.slot.index,
            text="".join(piece.text for piece in self.pieces),
            tokens=self.tokens,
            versions=_spans(self.pieces),
            engine=self.engine.name,
        )


def _spans(pieces: list[Piece]) -> list[VersionSpan]:
    spans: list[VersionSpan] = []
    for piece in pieces:
        if piece.version is None:
            raise UnstampedStreamError(f"piece {piece.seq} has no version")
        if piece.tokens == 0:
            continue
        if spans and spans[-1].version == piece.version:
            spans[-1].tokens += piece.tokens
            continue
        spans.append(VersionSpan(version=piece.version, tokens=piece.tokens))
    if not spans:
        raise UnstampedStreamError("the stream has no tokens")
    return spans


@dataclass(slots=True)
class _Patience:
    """Counts what went wrong since a stream last gave a piece."""

    pieces: int = 0
    cuts: int = 0
    idle: int = 0

    def note(self, attempt: Attempt, error: StreamCutError | RefusedError) -> float:
        """Return the pause before the stream is resumed, in seconds.

        :raises StreamLostError: it has gone wrong too often.
        """
        if len(attempt.pieces) > self.pieces:
            self.pieces = len(attempt.pieces)
            self.cuts = self.idle = 0
        if isinstance(error, StreamIdleError):
            self.idle += 1
        else:
            self.cuts += 1
        if self.cuts > _MAX_CUTS or self.idle > _MAX_IDLE:
            raise StreamLostError(f"no piece came any more: {error.detail}")
        return _RESUME_PAUSE_SECONDS * self.cuts


async def collect(
    attempt: Attempt,
    order: StreamOrder,
    engines: Engines,
    too_old: Callable[[Attempt], bool],
) -> Sample:
    """Run or resume the attempt's stream until it is whole, through cuts.

    :param too_old: says whether what the attempt has may not be handed over.
    :raises SampleTooOldError: it may not.
    :raises StreamLostError, UnstampedStreamError: the sample must be made again.
    :raises RefusedError: the engine did not begin.
    """
    patience = _Patience()
    resume = attempt.resumed
    while True:
        try:
            await _read(attempt, order, too_old, resume)
            engines.answered(attempt.engine)
            return attempt.sample()
        except StreamExistsError as error:
            if resume:
                raise StreamLostError(error.detail) from None
            resume = True
            continue
        except TargetRefusedError:
            raise
        except (StreamCutError, RefusedError) as error:
            if not isinstance(error, StreamIdleError):
                engines.failed(attempt.engine, error)
            if isinstance(error, RefusedError) and not resume:
                raise
            pause = patience.note(attempt, error)
        resume = True
        await asyncio.sleep(pause)


async def _read(
    attempt: Attempt,
    order: StreamOrder,
    too_old: Callable[[Attempt], bool],
    resume: bool,
) -> None:
    client = attempt.engine.client
    if resume:
        pieces = client.resume(attempt.stream, len(attempt.pieces))
    else:
        pieces = client.generate(order)
    async with aclosing(pieces):
        async for piece in pieces:
            attempt.add(piece)
            attempt.engine.record_version(order.workload, piece.version)
            if too_old(attempt):
                raise SampleTooOldError(f"version {piece.version} is too old")
