"""What the error of an attempt says about it."""

from __future__ import annotations

import traceback

from ..events import Events
from ..exceptions import OutcomeUnknownError, RefusedError, TargetFailedError
from ..kernel import Kernel


class UnexpectedError(TargetFailedError):
    """An attempt ended with an error of a kind that nobody foresaw."""

    code = "unexpected_error"


def failure_of(error: Exception) -> RefusedError | OutcomeUnknownError:
    """Return the failure of an attempt that ended with ``error``.

    Only a refusal proves that the target did not run the request. With any other error
    it may have done so.
    """
    if isinstance(error, (RefusedError, OutcomeUnknownError)):
        return error
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}, line {frames[-1].lineno}" if frames else "no code"
    return UnexpectedError(f"unexpected {error!r} in {place}")


def log_failure_of(
    kernel: Kernel, error: Exception
) -> RefusedError | OutcomeUnknownError:
    """Return the failure of an attempt, and log it if nobody foresaw its kind."""
    failure = failure_of(error)
    if isinstance(failure, UnexpectedError):
        kernel.get(Events).emit("attempt_unexpected", reason=failure.detail)
    return failure
