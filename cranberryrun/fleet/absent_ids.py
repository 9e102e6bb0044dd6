"""Bounds what is remembered of targets, which come back under new ids for ever."""

from __future__ import annotations

from collections.abc import Collection
from typing import Any

# A target whose entry lapsed for a moment is remembered among this many.
_MAX_ABSENT = 256


def drop_absent(value_by_id: dict[str, Any], present: Collection[str]) -> None:
    """Remove the oldest values whose ids are not ``present``, if there are many.

    To be called before a value is added.
    """
    if len(value_by_id) < len(present) + _MAX_ABSENT:
        return
    absent = [each for each in value_by_id if each not in present]
    for each in absent[: len(absent) - _MAX_ABSENT + 1]:
        del value_by_id[each]
