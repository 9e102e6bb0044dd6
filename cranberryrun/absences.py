"""How long hosts, targets and engines have been absent from the host list."""

from __future__ import annotations

from collections.abc import Iterable

from .views import FactKey, FactKind

_LISTED_KINDS = frozenset({FactKind.HOST, FactKind.TARGET, FactKind.ENGINE})
# Longer than two polls of the longest list, so that a lagging list excludes no host.
_EXCLUDED_AFTER_SECONDS = 300.0
_FORGOTTEN_AFTER_SECONDS = 3600.0
# Other hosts may have noticed the absence later and must not bring the fact back.
_REJECTED_UNTIL_SECONDS = 2 * _FORGOTTEN_AFTER_SECONDS


class Absences:
    """Records since when the subject of each fact is absent, in loop time."""

    def __init__(self) -> None:
        self._since_by_key: dict[FactKey, float] = {}

    def update(self, keys: Iterable[FactKey], listed: set[str], now: float) -> None:
        """Update the absences from a host list that was just read.

        :param keys: the keys of all facts that this host holds.
        :param listed: the ids on the list and those that are never forgotten.
        :param now: loop time, in seconds.
        """
        for key in keys:
            if key[0] in _LISTED_KINDS:
                self._since_by_key.setdefault(key, now)
        for key, absent_since in list(self._since_by_key.items()):
            if key[1] in listed or now - absent_since >= _REJECTED_UNTIL_SECONDS:
                del self._since_by_key[key]

    def excluded_keys(self, now: float) -> set[FactKey]:
        """Return the keys to leave out when two hosts compare their views."""
        return self._absent_for(now, _EXCLUDED_AFTER_SECONDS)

    def forgotten_keys(self, now: float) -> set[FactKey]:
        """Return the keys whose facts are dropped and not accepted again."""
        return self._absent_for(now, _FORGOTTEN_AFTER_SECONDS)

    def _absent_for(self, now: float, seconds: float) -> set[FactKey]:
        return {
            key
            for key, absent_since in self._since_by_key.items()
            if now - absent_since >= seconds
        }
