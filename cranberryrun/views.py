"""What a host knows of the others: facts that merge by a maximum.

A fact never goes back, so the order and number of exchanges don't matter.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import xxhash

_SPREAD_FACTOR = 3
LEAVING = 2**40


class FactKind(IntEnum):
    """What a fact speaks of.

    ``HOST``: an even value is alive, an odd one suspected, :data:`LEAVING` or
    more leaving. ``TARGET``: :data:`LEAVING` for a target that leaves.
    ``VERSION``: the newest weight version of a workload. ``STEP``: the
    incarnation is when a host began to run the step, in ms since 1970.
    ``ENGINE``: the value modulo 3 is the owner's :class:`EngineMark`.
    """

    HOST = 1
    TARGET = 3
    VERSION = 4
    STEP = 5
    ENGINE = 6


class EngineMark(IntEnum):
    """What an engine's owner says of it.

    ``FAILING``: its loads fail, so it comes last in a rollout. ``OUT_OF_SERVICE``: it
    gets
    no new work.
    """

    HEALTHY = 0
    FAILING = 1
    OUT_OF_SERVICE = 2


FactKey = tuple[FactKind, str]
# Steps are forgotten after a while, at no agreed time, so digests leave them out.
_KINDS_IN_DIGEST = frozenset(
    {FactKind.HOST, FactKind.TARGET, FactKind.VERSION, FactKind.ENGINE}
)


@dataclass(frozen=True, slots=True)
class Fact:
    """One fact; of two with the same key the greater one holds."""

    kind: FactKind
    name: str
    incarnation: int
    value: int

    @property
    def key(self) -> FactKey:
        """What the fact speaks of."""
        return self.kind, self.name

    @property
    def rank(self) -> tuple[int, int]:
        """What decides between two facts of one key."""
        return self.incarnation, self.value

    @property
    def hash(self) -> int:
        """What the fact adds to its view's digest, 63 bits."""
        if self.kind not in _KINDS_IN_DIGEST:
            return 0
        text = f"{int(self.kind)}\0{self.name}\0{self.incarnation}\0{self.value}"
        return xxhash.xxh3_64_intdigest(text.encode()) >> 1


class Views:
    """The facts of a host, and which of them still have to be passed on."""

    def __init__(self) -> None:
        self.by_key: dict[FactKey, Fact] = {}
        self._sends_left_by_key: dict[FactKey, int] = {}
        self._digest = 0
        self._left_out_keys: set[FactKey] = set()
        self._refused_keys: set[FactKey] = set()

    @property
    def digest(self) -> int:
        """Equal for two views that hold the same facts.

        Steps and what :meth:`leave_out` names don't count.
        """
        return self._digest

    @property
    def all_sent(self) -> bool:
        """Whether there is no news to pass on."""
        return not self._sends_left_by_key

    def get(self, kind: FactKind, name: str) -> Fact | None:
        """Return the fact of this key, if any."""
        return self.by_key.get((kind, name))

    def merge(self, facts: Iterable[Fact], hosts: int) -> list[Fact]:
        """Take ``facts`` in and return those that were news.

        :param hosts: how many hosts there are; news is passed on a number of
            times that grows with its logarithm.
        """
        news: list[Fact] = []
        for fact in facts:
            known = self.by_key.get(fact.key)
            if known is not None and known.rank >= fact.rank:
                continue
            if fact.key in self._refused_keys:
                continue
            self._digest ^= self._share(fact) ^ self._share(known)
            self.by_key[fact.key] = fact
            self._sends_left_by_key[fact.key] = _sends(hosts)
            news.append(fact)
        return news

    def take_updates(self, limit: int) -> list[Fact]:
        """Return up to ``limit`` facts to pass on now, newest news first."""
        by_need = sorted(self._sends_left_by_key.items(), key=lambda item: -item[1])
        taken: list[Fact] = []
        for key, left in by_need[:limit]:
            taken.append(self.by_key[key])
            if left <= 1:
                del self._sends_left_by_key[key]
                continue
            self._sends_left_by_key[key] = left - 1
        return taken

    def all(self) -> list[Fact]:
        """Return every fact."""
        return list(self.by_key.values())

    def exchangeable_facts(self) -> list[Fact]:
        """Return the facts that a peer needs to know all this view knows."""
        return [fact for fact in self.all() if fact.key not in self._left_out_keys]

    def leave_out(self, keys: set[FactKey]) -> None:
        """Keep just the facts of ``keys`` out of the digest and :meth:`exchangeable_facts`."""
        for key in self._left_out_keys ^ keys:
            known = self.by_key.get(key)
            self._digest ^= known.hash if known else 0
        self._left_out_keys = set(keys)

    def refuse(self, keys: set[FactKey]) -> None:
        """Drop the facts of ``keys`` and take in no more of them.

        Facts that were refused before and are not in ``keys`` are heard again.
        """
        for key in keys - self._refused_keys:
            self.forget(key)
        self._refused_keys = set(keys)

    def forget(self, key: FactKey) -> None:
        """Drop a fact that no host needs any more."""
        known = self.by_key.pop(key, None)
        self._digest ^= self._share(known)
        self._sends_left_by_key.pop(key, None)

    def _share(self, fact: Fact | None) -> int:
        """Return what a fact adds to the digest of this view now."""
        if fact is None or fact.key in self._left_out_keys:
            return 0
        return fact.hash


def _sends(hosts: int) -> int:
    return _SPREAD_FACTOR * math.ceil(math.log2(hosts + 1))
