"""A host's view of the cluster: facts that hosts exchange and merge by maximum.

A fact's rank only grows, so the order and number of merges don't matter.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

import xxhash

_SENDS_PER_LOG2_HOSTS = 3
LEAVING = 2**40


class FactKind(IntEnum):
    """The subject of a fact, which decides what its value means.

    ``HOST``: an even value means alive, an odd one suspected, and :data:`LEAVING`
    or more leaving. ``TARGET``: :data:`LEAVING` for a target that is leaving.
    ``VERSION``: the newest weight version of a workload. ``STEP``: the incarnation
    is the time at which a host started the step, in ms since 1970. ``ENGINE``: the
    value modulo 3 is the :class:`EngineMark` that the engine's owner set.
    """

    HOST = 1
    TARGET = 3
    VERSION = 4
    STEP = 5
    ENGINE = 6


class EngineMark(IntEnum):
    """The state of an engine as its owner reports it.

    ``FAILING``: its weight loads fail, so a rollout loads it last.
    ``OUT_OF_SERVICE``: it gets no new work.
    """

    HEALTHY = 0
    FAILING = 1
    OUT_OF_SERVICE = 2


FactKey = tuple[FactKind, str]
# Hosts forget steps at different times, so a digest with steps would never match.
_KINDS_IN_DIGEST = frozenset(
    {FactKind.HOST, FactKind.TARGET, FactKind.VERSION, FactKind.ENGINE}
)


@dataclass(frozen=True, slots=True)
class Fact:
    """One fact; of two with the same key, the one with the greater rank wins."""

    kind: FactKind
    name: str
    incarnation: int
    value: int

    @property
    def key(self) -> FactKey:
        """The subject of the fact; a view holds one fact for each key."""
        return self.kind, self.name

    @property
    def rank(self) -> tuple[int, int]:
        """The order of facts that have the same key."""
        return self.incarnation, self.value

    @property
    def hash(self) -> int:
        """The fact's contribution to the digest of its view, 63 bits."""
        if self.kind not in _KINDS_IN_DIGEST:
            return 0
        text = f"{int(self.kind)}\0{self.name}\0{self.incarnation}\0{self.value}"
        return xxhash.xxh3_64_intdigest(text.encode()) >> 1


class Views:
    """The facts that a host holds, and how often each still has to be sent."""

    def __init__(self) -> None:
        self.by_key: dict[FactKey, Fact] = {}
        self._sends_left_by_key: dict[FactKey, int] = {}
        self._digest = 0
        self._excluded_keys: set[FactKey] = set()
        self._rejected_keys: set[FactKey] = set()

    @property
    def digest(self) -> int:
        """A hash that is equal for two views with the same facts.

        It leaves out steps and the keys given to :meth:`exclude`.
        """
        return self._digest

    @property
    def all_sent(self) -> bool:
        """Whether no fact is left to send to peers."""
        return not self._sends_left_by_key

    def get(self, kind: FactKind, name: str) -> Fact | None:
        """Return the fact with this key, or None."""
        return self.by_key.get((kind, name))

    def merge(self, facts: Iterable[Fact], hosts: int) -> list[Fact]:
        """Merge ``facts`` and return those that were new.

        :param hosts: number of hosts; each new fact is sent a number of times that
            grows with the logarithm of the number of hosts.
        """
        new_facts: list[Fact] = []
        for fact in facts:
            known = self.by_key.get(fact.key)
            if known is not None and known.rank >= fact.rank:
                continue
            if fact.key in self._rejected_keys:
                continue
            self._digest ^= self._digest_part(fact) ^ self._digest_part(known)
            self.by_key[fact.key] = fact
            self._sends_left_by_key[fact.key] = _send_count(hosts)
            new_facts.append(fact)
        return new_facts

    def take_updates(self, limit: int) -> list[Fact]:
        """Return up to ``limit`` facts to send now, those sent least often first.

        Each call counts as one send of the facts that it returns.
        """
        by_sends_left = sorted(
            self._sends_left_by_key.items(), key=lambda item: -item[1]
        )
        updates: list[Fact] = []
        for key, sends_left in by_sends_left[:limit]:
            updates.append(self.by_key[key])
            if sends_left <= 1:
                del self._sends_left_by_key[key]
                continue
            self._sends_left_by_key[key] = sends_left - 1
        return updates

    def all(self) -> list[Fact]:
        """Return every fact."""
        return list(self.by_key.values())

    def exchangeable_facts(self) -> list[Fact]:
        """Return the facts that a peer needs for its digest to match this view's."""
        return [fact for fact in self.all() if fact.key not in self._excluded_keys]

    def exclude(self, keys: set[FactKey]) -> None:
        """Exclude ``keys`` from the digest and :meth:`exchangeable_facts`.

        The keys replace those of earlier calls.
        """
        for key in self._excluded_keys ^ keys:
            known = self.by_key.get(key)
            self._digest ^= known.hash if known else 0
        self._excluded_keys = set(keys)

    def reject(self, keys: set[FactKey]) -> None:
        """Drop the facts of ``keys`` and ignore new ones with these keys.

        The keys replace those of earlier calls: other facts are merged again.
        """
        for key in keys - self._rejected_keys:
            self.forget(key)
        self._rejected_keys = set(keys)

    def forget(self, key: FactKey) -> None:
        """Drop a fact that no host needs any longer."""
        known = self.by_key.pop(key, None)
        self._digest ^= self._digest_part(known)
        self._sends_left_by_key.pop(key, None)

    def _digest_part(self, fact: Fact | None) -> int:
        """Return the contribution of a fact to the current digest of this view."""
        if fact is None or fact.key in self._excluded_keys:
            return 0
        return fact.hash


def _send_count(hosts: int) -> int:
    return _SENDS_PER_LOG2_HOSTS * math.ceil(math.log2(hosts + 1))
