"""The errors that cranberryrun raises, and their form as HTTP problem objects.

Every error has a machine-readable ``code`` and an HTTP ``status``. ``not_run`` is
true only if the request was certainly not run; ``outcome`` is ``"unknown"`` if the
request may or may not have been run.
"""

from __future__ import annotations

from typing import Any, ClassVar

_RETRY_AFTER_SECONDS = 1.0


class CranberryrunError(Exception):
    """Base class of all errors of this package.

    :param detail: a human-readable description of the error.
    :param field: the path of the invalid input field, such as ``spec.url``.
    :param retry_after: seconds to wait before a retry.
    :param extra: further members of the problem object.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    not_run: ClassVar[bool | None] = None
    outcome: ClassVar[str | None] = None

    def __init__(
        self,
        detail: str = "",
        *,
        field: str | None = None,
        retry_after: float | None = None,
        **extra: Any,
    ) -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.field = field
        self.retry_after = retry_after
        self.extra = extra

    def problem(self) -> dict[str, Any]:
        """Return this error as an RFC 9457 problem object."""
        body: dict[str, Any] = {
            "type": f"urn:cranberryrun:error:{self.code}",
            "title": self.code.replace("_", " "),
            "status": self.status,
            "code": self.code,
            "detail": self.detail,
        }
        if self.field is not None:
            body["field"] = self.field
        if self.not_run is not None:
            body["not_run"] = self.not_run
        if self.outcome is not None:
            body["outcome"] = self.outcome
        if self.retry_after is not None:
            body["retry_after"] = self.retry_after
        return body | self.extra


class SettingsError(CranberryrunError):
    """The settings of a process are not valid."""

    code = "settings_invalid"


class KernelError(CranberryrunError):
    """Services are missing, registered twice, mutually dependent or can't start."""

    code = "kernel"


class RequestError(CranberryrunError):
    """The request is not acceptable as sent; it was not run."""

    code = "request_invalid"
    status = 400
    not_run = True


class InvalidInputError(RequestError):
    """An input field is not valid."""

    code = "input_invalid"
    status = 422


class MethodNotAllowedError(RequestError):
    """The path does not support this method."""

    code = "method_not_allowed"
    status = 405


class TooLargeError(RequestError):
    """The request body exceeds the size limit."""

    code = "too_large"
    status = 413


class UnauthorizedError(RequestError):
    """The token, or the key of a workspace, is missing or unknown."""

    code = "unauthorized"
    status = 401


class ForbiddenError(RequestError):
    """The token does not have the role that the route requires."""

    code = "forbidden"
    status = 403


class NotFoundError(RequestError):
    """The resource or path does not exist."""

    code = "not_found"
    status = 404


class ConflictError(RequestError):
    """The resource is not at the expected generation."""

    code = "conflict"
    status = 409


class KeyReusedError(RequestError):
    """An idempotency key was reused for a different request."""

    code = "key_reused"
    status = 422


class WatchExpiredError(RequestError):
    """Changes after the offset are no longer retained; list again, then watch."""

    code = "watch_expired"
    status = 410


class RefusedError(CranberryrunError):
    """The request was refused before any part of it was run.

    The error always carries ``retry_after``.
    """

    code = "refused"
    status = 503
    not_run = True

    def __init__(
        self, detail: str = "", *, retry_after: float | None = None, **extra: Any
    ) -> None:
        seconds = _RETRY_AFTER_SECONDS if retry_after is None else retry_after
        super().__init__(detail, retry_after=seconds, **extra)


class NotReadyError(RefusedError):
    """The host is starting or stopping and accepts no work."""

    code = "not_ready"


class IsolatedError(NotReadyError):
    """The host has no contact to the platform or any peer; try another host."""

    code = "isolated"


class OverloadedError(RefusedError):
    """There is no capacity to finish the request before its deadline."""

    code = "overloaded"


class NoTargetError(RefusedError):
    """No target is available for the request at present."""

    code = "no_target"


class LogUnavailableError(RefusedError):
    """The record was certainly not appended to the log."""

    code = "log_unavailable"


class AppendConflictError(LogUnavailableError):
    """The log does not end at the expected offset; nothing was appended."""

    code = "append_conflict"


class TargetRefusedError(RefusedError):
    """The target refused the request and confirmed that it was not run."""

    code = "target_refused"


class TargetUnreachableError(RefusedError):
    """The connection to the target failed before any byte was sent."""

    code = "target_unreachable"


class DeadlineError(RefusedError):
    """The deadline passed before the request was sent to a target."""

    code = "deadline_exceeded"


class OutcomeUnknownError(CranberryrunError):
    """The request may or may not have been run."""

    code = "outcome_unknown"
    status = 504
    outcome = "unknown"


class CallUnrecordedError(OutcomeUnknownError):
    """This keyed call was not run, but an earlier call with its key may have been."""

    code = "call_unrecorded"
    status = 503


class AnswerNotKeptError(CranberryrunError):
    """A keyed call was run before, but its stored answer is not available."""

    code = "answer_not_kept"
    status = 410
    not_run = False
    outcome = "run"


class AppendUnknownError(OutcomeUnknownError):
    """A record may or may not have been appended to the log."""

    code = "append_unknown"


class TargetFailedError(OutcomeUnknownError):
    """The target failed after part of the request had been sent to it."""

    code = "target_failed"
    status = 502


class TargetTimeoutError(TargetFailedError):
    """The target did not respond in time, or the deadline passed."""

    code = "target_timeout"
    status = 504


class TruncatedAnswerError(TargetFailedError):
    """The target's answer ended before it was complete."""

    code = "answer_truncated"


class CallerGoneError(CranberryrunError):
    """The caller closed its connection before the answer was sent."""

    code = "caller_gone"
    status = 499


class EngineError(CranberryrunError):
    """Base class of errors of an engine's streams and orders."""

    code = "engine"
    status = 502


class UnstampedStreamError(EngineError):
    """A piece of a stream does not name the weight version that made it."""

    code = "stream_unstamped"


class StreamLostError(EngineError):
    """The engine no longer has the stream."""

    code = "stream_lost"


class StreamExistsError(EngineError):
    """The engine already runs a stream with this id."""

    code = "stream_exists"


class StreamCutError(EngineError):
    """The connection to the engine broke; the stream can be resumed."""

    code = "stream_cut"


class StreamIdleError(StreamCutError):
    """The stream sent no piece within the idle timeout; it can be resumed."""

    code = "stream_idle"


class SampleTooOldError(EngineError):
    """The sample exceeds the freshness bound, or certainly will at handover."""

    code = "sample_too_old"


class LoadFailedError(EngineError):
    """The engine failed repeatedly to load a version."""

    code = "load_failed"


class StaleFenceError(EngineError):
    """The engine has already accepted an order with a higher fencing token."""

    code = "fence_stale"
    status = 409


class StepError(CranberryrunError):
    """A step can't continue in this call; some groups may have been handed over."""

    code = "step"
    status = 409


class StepDeadlineError(StepError):
    """The step's deadline passed before all samples were complete."""

    code = "step_deadline"
    status = 504


class StepSupersededError(StepError):
    """Another host runs the step for a later call of the trainer."""

    code = "step_superseded"


class WorkloadGoneError(StepError):
    """The workload was deleted while the step was running."""

    code = "workload_gone"
    status = 410


class PeerError(CranberryrunError):
    """A peer could not be reached or sent an invalid answer."""

    code = "peer"
    status = 502


class PeerRefusedError(PeerError):
    """The peer refused the connection; no byte of the call was sent."""

    code = "peer_refused"


class LogReadError(CranberryrunError):
    """The log could not be read."""

    code = "log_read"
    status = 503


class LogGapError(LogReadError):
    """Records that were not read yet are no longer retained.

    :param first: the oldest retained offset; 0 if unknown.
    """

    code = "log_gap"

    def __init__(self, detail: str = "", *, first: int = 0) -> None:
        super().__init__(detail)
        self.first = first


class RecordInvalidError(CranberryrunError):
    """A record of the store is malformed; readers skip it."""

    code = "record_invalid"


class HostListError(CranberryrunError):
    """The platform's host list could not be read."""

    code = "host_list"
    status = 503
