"""When a request may be sent again, and how many retries there are in all."""

from __future__ import annotations

import random
from dataclasses import dataclass

from .exceptions import (
    CranberryrunError,
    OutcomeUnknownError,
    RefusedError,
    TargetFailedError,
    TargetRefusedError,
    TargetUnreachableError,
)

MAX_ATTEMPTS = 3
_MAX_TOKENS = 20.0
_FIRST_TOKENS = 10.0
_FIRST_PAUSE_SECONDS = 0.05


@dataclass(slots=True)
class RetryBudget:
    """Lets retries be a share of the requests sent."""

    share: float
    tokens: float = _FIRST_TOKENS

    def sent(self) -> None:
        """Note a first attempt."""
        self.tokens = min(_MAX_TOKENS, self.tokens + self.share)

    def take(self) -> bool:
        """Take one retry, if there is one left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryState:
    """The attempts at one request.

    An error is passed on as it is only if it is true of all attempts: once one
    may have been run, no later refusal says that the request was not.

    :param repeatable: whether the request may be run more than once.
    """

    def __init__(self, repeatable: bool, budget: RetryBudget) -> None:
        self.count = 0
        self._repeatable = repeatable
        self._budget = budget
        self._unknown: OutcomeUnknownError | None = None
        budget.sent()

    def should_retry(self, error: CranberryrunError) -> bool:
        """Note a failed attempt; say whether another may follow it."""
        self.count += 1
        if isinstance(error, OutcomeUnknownError):
            self._unknown = error
        if isinstance(error, TargetFailedError) and not self._repeatable:
            return False
        if not isinstance(
            error, (TargetFailedError, TargetRefusedError, TargetUnreachableError)
        ):
            return False
        return self.count < MAX_ATTEMPTS and self._budget.take()

    def final_error(self, error: CranberryrunError) -> CranberryrunError:
        """Return what is true of the request when ``error`` came last."""
        if self._unknown is not None and isinstance(error, RefusedError):
            return self._unknown
        return error

    def retry_delay(self, rng: random.Random) -> float:
        """Return how long to wait before the same target is tried again."""
        return _FIRST_PAUSE_SECONDS * 2**self.count * rng.uniform(0.5, 1.0)
