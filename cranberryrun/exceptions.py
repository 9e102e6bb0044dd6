"""The errors that cranberryrun raises, and how each one reads over HTTP.

Every error carries a machine-readable ``code``. Those that reach a caller have
an HTTP ``status`` and say whether the request was run: ``not_run`` is true only
where it certainly was not; ``outcome`` is ``"unknown"`` where nobody can tell.
"""

from __future__ import annotations

from typing import Any, ClassVar

_RETRY_AFTER_SECONDS = 1.0


class CranberryrunError(Exception):
    """Base of all errors of this package.

    :param detail: what happened, for a person.
    :param field: the path of the input field at fault, such as ``spec.url``.
    :param retry_after: seconds after which asking again makes sense.
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
        """Return the RFC 9457 problem object of this error."""
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
    """Services are registered or looked up wrongly."""

    code = "kernel"


class RequestError(CranberryrunError):
    """The request itself can't be accepted; it was not run."""

    code = "request_invalid"
    status = 400
    not_run = True


class InvalidInputError(RequestError):
    """A field of the input is not valid."""

    code = "input_invalid"
    status = 422


class MethodNotAllowedError(RequestError):
    """The path does not take this method."""

    code = "method_not_allowed"
    status = 405


class TooLargeError(RequestError):
    """The body is over the limit."""

    code = "too_large"
    status = 413


class UnauthorizedError(RequestError):
    """The token is missing or unknown."""

    code = "unauthorized"
    status = 401


class ForbiddenError(RequestError):
    """The token's role may not do this."""

    code = "forbidden"
    status = 403


class NotFoundError(RequestError):
    """There is no such resource."""

    code = "not_found"
    status = 404


class ConflictError(RequestError):
    """Another change of the resource came first."""

    code = "conflict"
    status = 409


class KeyReusedError(RequestError):
    """An idempotency key came again with a different request."""

    code = "key_reused"
    status = 422


class WatchExpiredError(RequestError):
    """The offset to watch from is no longer kept; list again."""

    code = "watch_expired"
    status = 410


class RefusedError(CranberryrunError):
    """The request was refused before any part of it was run.

    It always says when to ask again.
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
    """The host does not take work: it is starting or stopping."""

    code = "not_ready"


class IsolatedError(NotReadyError):
    """The host hears neither the platform nor a peer; another host may."""

    code = "isolated"


class OverloadedError(RefusedError):
    """There is no room to finish the request before its deadline."""

    code = "overloaded"


class NoTargetError(RefusedError):
    """No target may take the request now."""

    code = "no_target"


class LogUnavailableError(RefusedError):
    """The log did not take the record, and certainly so."""

    code = "log_unavailable"


class AppendConflictError(LogUnavailableError):
    """The log did not end where the append was to begin; nothing was appended."""

    code = "append_conflict"


class TargetRefusedError(RefusedError):
    """The target refused the request and said that it was not run."""

    code = "target_refused"


class TargetUnreachableError(RefusedError):
    """No connection to the target; no byte of the request was sent."""

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
    """A keyed call was not run; an earlier one of its key may have been."""

    code = "call_unrecorded"
    status = 503


class AnswerNotKeptError(CranberryrunError):
    """A keyed call was run before; its answer can't be given again."""

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
    """The target was silent for too long, or the deadline passed."""

    code = "target_timeout"
    status = 504


class TruncatedAnswerError(TargetFailedError):
    """The target's answer ended before it was whole."""

    code = "answer_truncated"


class CallerGoneError(CranberryrunError):
    """The caller closed its connection; nobody takes the answer."""

    code = "caller_gone"
    status = 499


class EngineError(CranberryrunError):
    """Base of what goes wrong with an engine's stream or order."""

    code = "engine"
    status = 502


class UnstampedStreamError(EngineError):
    """A piece of a stream carries no version stamp."""

    code = "stream_unstamped"


class StreamLostError(EngineError):
    """The engine doesn't know the stream any more."""

    code = "stream_lost"


class StreamExistsError(EngineError):
    """The engine already runs a stream of this id."""

    code = "stream_exists"


class StreamCutError(EngineError):
    """The connection broke; the stream may be resumed."""

    code = "stream_cut"


class StreamIdleError(StreamCutError):
    """No piece came for a while; the stream may be resumed."""

    code = "stream_idle"


class SampleTooOldError(EngineError):
    """The sample is over the freshness bound, or surely will be."""

    code = "sample_too_old"


class LoadFailedError(EngineError):
    """The engine failed to load a version again and again."""

    code = "load_failed"


class StaleFenceError(EngineError):
    """The engine has already taken an order with a higher fencing number."""

    code = "fence_stale"
    status = 409


class StepError(CranberryrunError):
    """A step can't go on in this call; parts of it may have been handed over."""

    code = "step"
    status = 409


class StepDeadlineError(StepError):
    """The step's deadline passed with samples missing."""

    code = "step_deadline"
    status = 504


class StepSupersededError(StepError):
    """Another host runs the step for a later call."""

    code = "step_superseded"


class WorkloadGoneError(StepError):
    """The workload was deleted while the step ran."""

    code = "workload_gone"
    status = 410


class PeerError(CranberryrunError):
    """A peer could not be reached or did not answer as agreed."""

    code = "peer"
    status = 502


class PeerRefusedError(PeerError):
    """Nothing listens at the peer's address; no byte of the call was sent."""

    code = "peer_refused"


class LogReadError(CranberryrunError):
    """The log could not be read."""

    code = "log_read"
    status = 503


class LogGapError(LogReadError):
    """Records that were not read yet are no longer kept.

    :param first: the oldest offset that is kept, where it is known.
    """

    code = "log_gap"

    def __init__(self, detail: str = "", *, first: int = 0) -> None:
        super().__init__(detail)
        self.first = first


class RecordInvalidError(CranberryrunError):
    """A record of the store has no valid form; it is passed over."""

    code = "record_invalid"


class HostListError(CranberryrunError):
    """The platform's list could not be read."""

    code = "host_list"
    status = 503


class ControlError(CranberryrunError):
    """Base of what ``cranberryctl`` reports by itself."""

    code = "control"


class UsageError(ControlError):
    """The command line or an input file is not valid; nothing was sent."""

    code = "usage"


class ProblemAnswerError(ControlError):
    """A host answered with a problem.

    :param problem: the problem object of the answer.
    """

    code = "problem_answer"

    def __init__(self, answer_status: int, problem: dict[str, Any]) -> None:
        super().__init__(str(problem.get("detail") or f"status {answer_status}"))
        self.answer_status = answer_status
        self.body = problem
        self.answer_code = str(problem.get("code", ""))


class HostsUnreachableError(ControlError):
    """None of the hosts could be reached; nothing was sent."""

    code = "hosts_unreachable"


class ChangeUnknownError(ControlError):
    """A change was sent and its outcome was not learnt in time."""

    code = "change_unknown"


class NotInForceError(ControlError):
    """A change was made but did not come into force everywhere in time."""

    code = "not_in_force"
