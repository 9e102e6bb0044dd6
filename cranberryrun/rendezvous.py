"""Rendezvous hashing: hosts compute a key's owner without coordination."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(owner: str, key: str) -> int:
    """Return the score of ``owner`` for ``key``; the highest score owns the key."""
    return xxhash.xxh3_64_intdigest(f"{owner}\0{key}".encode())


def ranked(owners: Iterable[str], key: str) -> list[str]:
    """Return ``owners`` by descending score for ``key``; the first owns the key."""
    return sorted(owners, key=lambda owner: (score(owner, key), owner), reverse=True)


def owner_of(owners: Iterable[str], key: str) -> str | None:
    """Return the owner of ``key``, or None if ``owners`` is empty."""
    return max(owners, key=lambda owner: (score(owner, key), owner), default=None)
