"""How long ids have been absent from the platform's list."""

from __future__ import annotations

from collections.abc import Iterable

from .views import FactKey, FactKind

_KINDS = frozenset({FactKind.HOST, FactKind.TARGET, FactKind.ENGINE})
# Longer than two polls of the longest list, so that a list that lags hides nothing.
_LEFT_OUT_AFTER_SECONDS = 300.0
_FORGOTTEN_AFTER_SECONDS = 3600.0
# Other hosts may have begun to count later; they must not bring a fact back.
_REFUSED_UNTIL_SECONDS = 2 * _FORGOTTEN_AFTER_SECONDS


class Absences:
    """Since when the subject of each fact is absent, in seconds of the loop."""

    def __init__(self) -> None:
        self._since_by_key: dict[FactKey, float] = {}

    def note(self, keys: Iterable[FactKey], listed: set[str], now: float) -> None:
        """Take in a list just read.

        :param keys: of the facts that this host holds.
        :param listed: the ids on the list, and those never to be forgotten.
        """
        for key in keys:
            if key[0] in _KINDS:
                self._since_by_key.setdefault(key, now)
        for key, since in list(self._since_by_key.items()):
            if key[1] in listed or now - since >= _REFUSED_UNTIL_SECONDS:
                del self._since_by_key[key]

    def left_out(self, now: float) -> set[FactKey]:
        """Return what no longer counts when two hosts compare their views."""
        return self._older(now, _LEFT_OUT_AFTER_SECONDS)

    def forgotten(self, now: float) -> set[FactKey]:
        """Return what is to be forgotten and not taken in again."""
        return self._older(now, _FORGOTTEN_AFTER_SECONDS)

    def _older(self, now: float, seconds: float) -> set[FactKey]:
        return {
            key for key, since in self._since_by_key.items() if now - since >= seconds
        }
