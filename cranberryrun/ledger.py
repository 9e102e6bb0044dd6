"""Keyed calls of one partition, as the order of its records in the log decides."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True)
class KeyEntry:
    """What is known of one key. ``holder`` is the intent that may run, if any."""

    holder: str | None
    digest: str
    outcome: dict[str, Any] | None = None


class Ledger:
    """The first intent of a key holds it until it is released or has an outcome.

    Records: ``intent`` (key, id, digest), ``outcome`` (key, id, answer) and
    ``release`` (key, id), the last for an intent that was certainly not run.
    """

    def __init__(self) -> None:
        self.offset = -1
        self.by_key: dict[str, KeyEntry] = {}

    def apply(self, offset: int, value: Any) -> None:
        """Apply the record at ``offset``; records of no known form change nothing."""
        if offset <= self.offset:
            return
        self.offset = offset
        if not isinstance(value, dict):
            return
        kind, key = value.get("record"), value.get("key")
        entry = self.by_key.get(key)
        if kind == "intent":
            if entry is None:
                self.by_key[key] = KeyEntry(value["id"], value["digest"])
            elif entry.holder is None:
                entry.holder = value["id"]
                entry.digest = value["digest"]
            return
        if entry is None or entry.holder != value.get("id") or entry.outcome:
            return
        if kind == "outcome":
            entry.outcome = value["answer"]
        elif kind == "release":
            entry.holder = None
