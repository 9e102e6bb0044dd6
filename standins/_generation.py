"""Token streams of the engine stand-in."""

import asyncio
import math
import random
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import xxhash

from ._program import wall_time

MEDIAN_TOKENS = 100
LENGTH_SIGMA = 0.8
PIECE_TOKENS = 8
WORDS = (
    "amber basin cedar delta ember fjord grove harbor inlet jetty kelp lagoon "
    "meadow nectar orchid pebble quartz reed sable tundra umber valley willow "
    "yarrow zephyr alder birch clover dune estuary fern gully"
).split()


class StreamState(Enum):
    """State of a stream."""

    QUEUED = "queued"
    RUNNING = "running"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    EXPIRED = "expired"
    LOST = "lost"


@dataclass(frozen=True)
class Piece:
    """Consecutive tokens; ``version`` is ``None`` if the version stamp is missing."""

    seq: int
    tokens: int
    text: str
    version: int | None
    done: bool = False

    def as_json(self) -> dict[str, Any]:
        """Return the piece in the format of the protocol."""
        piece: dict[str, Any] = {
            "seq": self.seq,
            "tokens": self.tokens,
            "text": self.text,
        }
        if self.version is not None:
            piece["version"] = self.version
        if self.done:
            piece["done"] = True
        return piece


@dataclass
class TokenStream:
    """One generation; times are loop times in seconds, except ``*_wall``."""

    id: str
    workload: str
    prompt: str
    seed: int
    length: int
    priority: int
    min_version: int | None
    arrival: int
    piece_tokens: int = PIECE_TOKENS
    state: StreamState = StreamState.QUEUED
    prefill_seconds_left: float = 0.0
    token_credit: float = 0.0
    tokens: int = 0
    unsent_tokens: int = 0
    unsent_tokens_version: int | None = None
    pieces: list[Piece] = field(default_factory=list)
    versions: set[int] = field(default_factory=set)
    readers: int = 0
    unread_since: float = 0.0
    was_cut: bool = False
    started_wall: float | None = None
    ended_wall: float | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_open(self) -> bool:
        """Whether the stream will have more pieces."""
        return self.state in (StreamState.QUEUED, StreamState.RUNNING)

    @property
    def is_dropped(self) -> bool:
        """Whether the stream ended before its last piece."""
        return not self.is_open and self.state is not StreamState.FINISHED

    def add_credit(self, tokens: float, version: int | None) -> None:
        """Add token credit and generate the pieces that it completes.

        :param tokens: tokens that the engine's rate allows in addition.
        :param version: stamp of the new tokens; ``None`` omits it.
        """
        self.token_credit += tokens
        while self.is_open:
            count = min(PIECE_TOKENS, self.length - self.tokens)
            if self.token_credit < count:
                return
            self.token_credit -= count
            self._generate(count, version)

    def _generate(self, count: int, version: int | None) -> None:
        if self.unsent_tokens and self.unsent_tokens_version != version:
            self._send_piece(done=False)
        self.tokens += count
        self.unsent_tokens += count
        self.unsent_tokens_version = version
        done = self.tokens >= self.length
        if done or self.unsent_tokens >= self.piece_tokens:
            self._send_piece(done)
        if done:
            self.end(StreamState.FINISHED)

    def _send_piece(self, done: bool) -> None:
        count, version = self.unsent_tokens, self.unsent_tokens_version
        start = self.tokens - count
        text = generated_text(self.prompt, self.seed, start, count)
        if version is not None:
            self.versions.add(version)
        self.pieces.append(Piece(len(self.pieces), count, text, version, done))
        self.unsent_tokens = 0
        self.notify()

    def end(self, state: StreamState) -> None:
        """Set the final state and wake waiting readers."""
        self.state = state
        self.ended_wall = wall_time()
        self.notify()

    def drop_pieces(self) -> None:
        """Drop the pieces, but keep the data for the engine's record."""
        self.pieces = []
        self.notify()

    def notify(self) -> None:
        """Wake waiting readers."""
        self.changed.set()
        self.changed = asyncio.Event()

    def as_record(self) -> dict[str, Any]:
        """Return the stream's entry in the engine's record."""
        return {
            "stream": self.id,
            "workload": self.workload,
            "priority": self.priority,
            "state": self.state.value,
            "tokens": self.tokens,
            "length": self.length,
            "versions": sorted(self.versions),
            "started": self.started_wall,
            "ended": self.ended_wall,
        }


def generated_length(prompt: str, seed: int, max_tokens: int) -> int:
    """Return the output length in tokens, which follows a long-tailed distribution.

    The same prompt and seed give the same length.
    """
    rng = random.Random(_digest(prompt, seed))
    length = rng.lognormvariate(math.log(MEDIAN_TOKENS), LENGTH_SIGMA)
    return max(1, min(int(length), max_tokens))


def generated_text(prompt: str, seed: int, start: int, count: int) -> str:
    """Return the text of ``count`` tokens, beginning with token ``start``."""
    digest = _digest(prompt, seed)
    words = []
    for position in range(start, start + count):
        word_hash = xxhash.xxh64_intdigest(str(position).encode(), seed=digest)
        words.append(WORDS[word_hash % len(WORDS)] + " ")
    return "".join(words)


def _digest(prompt: str, seed: int) -> int:
    return xxhash.xxh64_intdigest(f"{seed}:{prompt}".encode())
