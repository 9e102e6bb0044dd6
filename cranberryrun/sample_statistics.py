"""Expected lengths and speeds of samples, learnt from those that are whole."""

from __future__ import annotations

from collections import OrderedDict

_MAX_PREFIXES = 10_000
_FIRST_SHARE = 0.5
_WEIGHT = 0.2
_RATE_DECAY = 0.99


class Lengths:
    """Means of the tokens of whole samples, by prompt and over all of them.

    Of their speeds it keeps the best of late, which is what a stream on an idle
    engine can come to: engines slow down when full, and not all alike.

    A prompt goes by its digest, :attr:`cranberryrun.slots.Slot.prefix`.
    """

    def __init__(self) -> None:
        self._mean: float | None = None
        self.best_rate = 0.0
        self.mean_seconds = 0.0
        self._mean_by_prefix: OrderedDict[str, float] = OrderedDict()

    def expected(self, prefix: str, max_tokens: int) -> float:
        """Return the tokens that a sample of the prompt should have."""
        mean = self._mean_by_prefix.get(prefix, self._mean)
        if mean is None:
            return max_tokens * _FIRST_SHARE
        return min(mean, float(max_tokens))

    def learn(self, prefix: str, tokens: int, seconds: float) -> None:
        """Take the length of a whole sample in, and how long it took."""
        if seconds > 0:
            self.mean_seconds = _mixed(self.mean_seconds or None, seconds)
            self.best_rate = max(tokens / seconds, self.best_rate * _RATE_DECAY)
        self._mean = _mixed(self._mean, tokens)
        self._mean_by_prefix[prefix] = _mixed(self._mean_by_prefix.get(prefix), tokens)
        self._mean_by_prefix.move_to_end(prefix)
        if len(self._mean_by_prefix) > _MAX_PREFIXES:
            self._mean_by_prefix.popitem(last=False)


def _mixed(mean: float | None, new: float) -> float:
    if mean is None:
        return float(new)
    return mean + (new - mean) * _WEIGHT
