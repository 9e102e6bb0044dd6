"""Retries of requests: which errors allow one, and the budget of a service."""

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
_MAX_RETRY_TOKENS = 20.0
_INITIAL_RETRY_TOKENS = 10.0
_BASE_DELAY_SECONDS = 0.05


@dataclass(slots=True)
class RetryBudget:
    """Token bucket that limits retries to a share of the requests.

    Each request adds ``share`` tokens; each retry takes one.
    """

    share: float
    tokens: float = _INITIAL_RETRY_TOKENS

    def add_request(self) -> None:
        """Add the share of a new request."""
        self.tokens = min(_MAX_RETRY_TOKENS, self.tokens + self.share)

    def take_token(self) -> bool:
        """Take the token of one retry; return False if there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class RetryState:
    """Counts the attempts of one request and decides about retries.

    Once the outcome of an attempt is unknown, a later refusal does not prove that
    the request was not run. The unknown outcome is reported then.

    :param repeatable: whether the request may be run more than once.
    """

    def __init__(self, repeatable: bool, budget: RetryBudget) -> None:
        self.count = 0
        self._repeatable = repeatable
        self._budget = budget
        self._outcome_unknown_error: OutcomeUnknownError | None = None
        budget.add_request()

    def should_retry(self, error: CranberryrunError) -> bool:
        """Record a failed attempt; return whether to retry."""
        self.count += 1
        if isinstance(error, OutcomeUnknownError):
            self._outcome_unknown_error = error
        if isinstance(error, TargetFailedError) and not self._repeatable:
            return False
        if not isinstance(
            error, (TargetFailedError, TargetRefusedError, TargetUnreachableError)
        ):
            return False
        return self.count < MAX_ATTEMPTS and self._budget.take_token()

    def final_error(self, error: CranberryrunError) -> CranberryrunError:
        """Return the error to report for the request when ``error`` was the last."""
        if self._outcome_unknown_error is not None and isinstance(error, RefusedError):
            return self._outcome_unknown_error
        return error

    def retry_delay(self, rng: random.Random) -> float:
        """Return the delay before a retry at the same target, in seconds."""
        return _BASE_DELAY_SECONDS * 2**self.count * rng.uniform(0.5, 1.0)
