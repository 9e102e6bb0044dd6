"""Expected lengths and rates of samples, from the statistics of complete ones."""

from __future__ import annotations

from collections import OrderedDict

_MAX_PROMPTS = 10_000
_DEFAULT_LENGTH_SHARE = 0.5
_EWMA_WEIGHT = 0.2
_BEST_RATE_DECAY = 0.99


class SampleStatistics:
    """Moving averages of the tokens of complete samples, by prompt and overall.

    A prompt is identified by :attr:`cranberryrun.slots.Slot.prompt_digest`.

    :ivar best_rate: the best recent rate of a sample, in tokens per second. It
        estimates what a stream gets on an idle engine. A mean would not: engines
        slow down with load, each to a different degree.
    :ivar mean_seconds: mean duration of a sample; 0 before the first one.
    """

    def __init__(self) -> None:
        self._mean_tokens: float | None = None
        self.best_rate = 0.0
        self.mean_seconds = 0.0
        self._mean_tokens_by_digest: OrderedDict[str, float] = OrderedDict()

    def expected_tokens(self, prompt_digest: str, max_tokens: int) -> float:
        """Return the expected number of tokens of a sample.

        It is the mean of the prompt, else that of all samples, else half of
        ``max_tokens``.
        """
        mean = self._mean_tokens_by_digest.get(prompt_digest, self._mean_tokens)
        if mean is None:
            return max_tokens * _DEFAULT_LENGTH_SHARE
        return min(mean, float(max_tokens))

    def record(self, prompt_digest: str, tokens: int, seconds: float) -> None:
        """Add the length and the duration of a complete sample."""
        if seconds > 0:
            self.mean_seconds = _ewma(self.mean_seconds or None, seconds)
            self.best_rate = max(tokens / seconds, self.best_rate * _BEST_RATE_DECAY)
        self._mean_tokens = _ewma(self._mean_tokens, tokens)
        self._mean_tokens_by_digest[prompt_digest] = _ewma(
            self._mean_tokens_by_digest.get(prompt_digest), tokens
        )
        self._mean_tokens_by_digest.move_to_end(prompt_digest)
        if len(self._mean_tokens_by_digest) > _MAX_PROMPTS:
            self._mean_tokens_by_digest.popitem(last=False)


def _ewma(mean: float | None, new: float) -> float:
    if mean is None:
        return float(new)
    return mean + (new - mean) * _EWMA_WEIGHT
