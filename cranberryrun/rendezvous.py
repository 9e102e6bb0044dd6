"""Rendezvous hashing: who of several owns a key, with no agreement needed."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(owner: str, key: str) -> int:
    """Return the weight of ``owner`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{owner}\0{key}".encode())


def ranked(owners: Iterable[str], key: str) -> list[str]:
    """Return ``owners``, the one that owns ``key`` first."""
    return sorted(owners, key=lambda owner: (score(owner, key), owner), reverse=True)


def owner_of(owners: Iterable[str], key: str) -> str | None:
    """Return who owns ``key``, or None if there is nobody."""
    return max(owners, key=lambda owner: (score(owner, key), owner), default=None)
