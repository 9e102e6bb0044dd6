"""Collection of one rollout sample from a stream that is resumed after cuts."""

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

_MAX_CONSECUTIVE_CUTS = 3
_MAX_CONSECUTIVE_IDLE_TIMEOUTS = 4
_RESUME_DELAY_SECONDS = 0.2
_RATE_WINDOW_SECONDS = 2.0


@dataclass(slots=True, eq=False)
class Attempt:
    """One stream that generates a slot's sample. Attempts are compared by identity.

    ``newest_at_dispatch`` is the newest version that was known when it started;
    ``lent`` is whether it exceeds the step's guaranteed streams; ``meter`` counts
    its usage. Another host has already counted the usage of the first
    ``metered_pieces`` pieces. ``oldest`` is the oldest version of its tokens.
    """

    slot: Slot
    engine: Engine
    stream: str
    started_at: float
    newest_at_dispatch: int
    resumed: bool = False
    lent: bool = False
    pieces: list[Piece] = field(default_factory=list)
    tokens: int = 0
    oldest: int | None = None
    task: asyncio.Task[Any] | None = None
    meter: Meter | None = None
    metered_pieces: int = 0
    _rate: float | None = None
    _rate_window_started_at: float = 0.0
    _rate_window_start_tokens: int = 0

    def add(self, piece: Piece) -> None:
        """Add the next piece.

        :raises UnstampedStreamError: it has no version.
        """
        if piece.version is None:
            raise UnstampedStreamError(f"piece {piece.seq} has no version")
        self.pieces.append(piece)
        if self.meter is not None:
            self.meter.add(
                piece.tokens if len(self.pieces) > self.metered_pieces else 0
            )
        if piece.tokens == 0:
            return
        self.tokens += piece.tokens
        if self.oldest is None or piece.version < self.oldest:
            self.oldest = piece.version

    def rate(self, now: float) -> float:
        """Return the recent rate, in tokens per second."""
        window_started_at = self._rate_window_started_at or self.started_at
        if now - window_started_at >= _RATE_WINDOW_SECONDS:
            self._rate = (self.tokens - self._rate_window_start_tokens) / (
                now - window_started_at
            )
            self._rate_window_started_at = now
            self._rate_window_start_tokens = self.tokens
        if self._rate is not None:
            return self._rate
        return self.tokens / max(now - self.started_at, _RESUME_DELAY_SECONDS)

    def placement(self) -> Placement:
        """Return the entry of this attempt in a checkpoint."""
        return Placement(
            group=self.slot.group,
            index=self.slot.index,
            engine=self.engine.name,
            stream=self.stream,
            pieces=max(len(self.pieces), self.metered_pieces),
        )

    def sample(self) -> Sample:
        """Return the complete sample.

        :raises UnstampedStreamError: no piece has tokens, or one has no version.
        """
        return Sample(
            group=self.slot.group,
            index=self.slot.index,
            text="".join(piece.text for piece in self.pieces),
            tokens=self.tokens,
            versions=version_spans(self.pieces),
            engine=self.engine.name,
        )


def version_spans(pieces: list[Piece]) -> list[VersionSpan]:
    """Return the versions of a complete sample, in order, with their tokens.

    :raises UnstampedStreamError: no piece has tokens, or one has no version.
    """
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
        raise UnstampedStreamError(
            "stream ended without tokens, so its sample has no version"
        )
    return spans


@dataclass(slots=True)
class _StreamFailures:
    """Counts the failures of a stream since its last piece."""

    pieces: int = 0
    cuts: int = 0
    idle_timeouts: int = 0

    def add(self, attempt: Attempt, error: StreamCutError | RefusedError) -> float:
        """Count a failure and return the delay before a resume, in seconds.

        :raises StreamLostError: there were too many failures since the last piece.
        """
        if len(attempt.pieces) > self.pieces:
            self.pieces = len(attempt.pieces)
            self.cuts = self.idle_timeouts = 0
        if isinstance(error, StreamIdleError):
            self.idle_timeouts += 1
        else:
            self.cuts += 1
        if (
            self.cuts > _MAX_CONSECUTIVE_CUTS
            or self.idle_timeouts > _MAX_CONSECUTIVE_IDLE_TIMEOUTS
        ):
            raise StreamLostError(
                f"the stream returned no piece after several resumes: {error.detail}"
            )
        return _RESUME_DELAY_SECONDS * self.cuts


async def collect_sample(
    attempt: Attempt,
    order: StreamOrder,
    engines: Engines,
    is_stale: Callable[[Attempt], bool],
) -> Sample:
    """Start or resume the attempt's stream, read it to its end, and resume it on cuts.

    :param is_stale: returns whether the pieces so far exceed the freshness bound.
    :raises SampleTooOldError: the pieces exceed the freshness bound.
    :raises StreamLostError: the engine no longer has the stream, or it failed too
        often without a new piece.
    :raises UnstampedStreamError: a piece has no version, or no piece has tokens.
    :raises RefusedError: the engine refused to start the stream.
    """
    failures = _StreamFailures()
    resume = attempt.resumed
    while True:
        try:
            await _read_pieces(attempt, order, is_stale, resume)
            engines.record_answer(attempt.engine)
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
                engines.record_failure(attempt.engine, error)
            if isinstance(error, RefusedError) and not resume:
                raise
            delay = failures.add(attempt, error)
        resume = True
        await asyncio.sleep(delay)


async def _read_pieces(
    attempt: Attempt,
    order: StreamOrder,
    is_stale: Callable[[Attempt], bool],
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
            if is_stale(attempt):
                raise SampleTooOldError(
                    f"sample became stale at a piece of version {piece.version}"
                )
