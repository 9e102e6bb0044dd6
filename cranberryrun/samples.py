"""Makes one rollout sample: a stream of pieces that survives cuts and crashes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass, field

from .engines import Engine, Engines, Piece, StreamOrder
from .exceptions import (
    EngineError,
    RefusedError,
    StreamCutError,
    StreamExistsError,
    StreamLostError,
    TargetRefusedError,
    UnstampedStreamError,
)
from .models import Placement, Sample, VersionSpan

TooOld = Callable[[int | None, int], bool]
_MAX_RESUMES = 5
_RESUME_PAUSE_SECONDS = 0.2


@dataclass(slots=True)
class Slot:
    """A sample that a step still lacks."""

    group: str
    index: int
    prompt: str
    max_tokens: int
    seed: int
    attempts: int = 0

    @property
    def key(self) -> tuple[str, int]:
        """The slot's identity within its step."""
        return self.group, self.index


@dataclass(slots=True)
class Attempt:
    """One stream that makes a slot's sample."""

    slot: Slot
    engine: Engine
    stream: str
    pieces: list[Piece] = field(default_factory=list)
    began_at: float = 0.0
    newest_at_dispatch: int = -1

    @property
    def oldest(self) -> int | None:
        """The oldest version among the pieces so far."""
        stamps = [piece.version for piece in self.pieces if piece.version is not None]
        return min(stamps, default=None)

    def placement(self) -> Placement:
        """Return this attempt as a line of a checkpoint."""
        return Placement(
            group=self.slot.group,
            index=self.slot.index,
            engine=self.engine.name,
            stream=self.stream,
            pieces=len(self.pieces),
        )

    def sample(self) -> Sample:
        """Return the whole sample; :raises UnstampedStreamError:."""
        return Sample(
            group=self.slot.group,
            index=self.slot.index,
            text="".join(piece.text for piece in self.pieces),
            tokens=sum(piece.tokens for piece in self.pieces),
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


class TooOldError(EngineError):
    """The sample would be over the freshness bound by the time it is whole."""

    code = "sample_too_old"


async def collect(
    attempt: Attempt,
    order: StreamOrder,
    engines: Engines,
    too_old: TooOld,
    resume: bool,
) -> Sample:
    """Run or resume the attempt's stream until it is whole, through cuts.

    :param too_old: says whether a sample with this oldest version, begun when
        this version was the newest, may no longer be handed over.
    :param resume: whether the stream should be there already.
    :raises TooOldError: a piece is older than that.
    :raises StreamLostError, UnstampedStreamError: the sample must be made again.
    :raises RefusedError: the engine did not begin.
    """
    cuts = 0
    engine = attempt.engine
    engine.in_flight += 1
    try:
        while True:
            try:
                await _read(attempt, order, too_old, resume)
                engines.answered(engine)
                return attempt.sample()
            except StreamExistsError:
                resume = True
            except TargetRefusedError:
                raise
            except (StreamCutError, RefusedError) as error:
                engines.failed(engine, error)
                if not attempt.pieces and not resume:
                    if isinstance(error, RefusedError):
                        raise
                cuts += 1
                if cuts > _MAX_RESUMES:
                    raise StreamLostError(f"{cuts} cuts: {error.detail}") from None
                resume = True
                await asyncio.sleep(_RESUME_PAUSE_SECONDS * cuts)
    finally:
        engine.in_flight -= 1


async def _read(
    attempt: Attempt, order: StreamOrder, too_old: TooOld, resume: bool
) -> None:
    client = attempt.engine.client
    if resume:
        pieces = client.resume(attempt.stream, len(attempt.pieces))
    else:
        pieces = client.generate(order)
    async with aclosing(pieces):
        async for piece in pieces:
            attempt.pieces.append(piece)
            if piece.version is None:
                raise UnstampedStreamError(f"piece {piece.seq} has no version")
            if too_old(attempt.oldest, attempt.newest_at_dispatch):
                raise TooOldError(f"version {piece.version} is too old")
