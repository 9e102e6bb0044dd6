"""Forwards event streams as they arrive, and resumes interrupted streams.

A stream goes on only at targets of the service and software version that began it,
within one answer as well as over the answers of several hosts.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from .. import clock
from ..events import Events
from ..exceptions import (
    CranberryrunError,
    NoTargetError,
    OutcomeUnknownError,
    RefusedError,
    TargetFailedError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from ..fleet.client import (
    Answer,
    ConflictingEventsError,
    ConnectionLostError,
    Request,
    StreamedEvents,
    TargetClient,
)
from ..fleet.directory import Directory, Target
from ..fleet.failures import log_failure_of
from ..fleet.inquiries import inquire
from ..fleet.manifest import Route
from ..fleet.origin import Origin
from ..fleet.rate_limits import TargetLimitedError
from ..fleet.send_permits import SendPermits
from ..kernel import Service
from ..usage_counts.counter import RequestUsage
from .crashes import Crashes
from .event_numbers import EventNumbers, KnownGaps
from .forwarder import Forwarder
from .read_pace import ReadPace
from .software_history import SoftwareHistory
from .stream_origins import StreamOrigins
from .stream_silence import end_when_silent

# Callers abandon a stream after a silence of two seconds or four times the latency
# goal, whichever is longer. Half of that leaves another target time for its first
# event.
_MIN_SILENCE_SECONDS = 1.0
_SILENCE_FACTOR = 2.0
# A target that crashed is back after some seconds, under the software that it had.
_ORIGIN_RETRY_AFTER_SECONDS = 1.0


class UnreadStreamError(TargetFailedError):
    """The target ended a stream that was not read because its caller was slow."""

    code = "stream_unread"


class Streams(Service):
    """Forwards streams; resumes an interrupted one at another target if allowed.

    On routes that are not resumable, a request is sent to another target only if the
    first target certainly did not run it.
    """

    name = "streams"
    requires = (
        "events",
        "directory",
        "forwarder",
        "send_permits",
        "crashes",
        "stream_origins",
        "software_history",
        "target_client",
    )

    def __init__(self) -> None:
        super().__init__()
        self._known_gaps = KnownGaps()

    async def forward(
        self,
        route: Route,
        request: Request,
        last_event: int | None,
        resumes: str | None = None,
    ) -> AsyncIterator[Answer | StreamedEvents]:
        """Yield the head of the answer, then each event once and in order.

        :param last_event: the number of the last event that the caller has received, if
            it resumes a stream.
        :param resumes: the id of the caller's request that brought the first event of
            that stream.
        :raises RefusedError: no target ran the request, and none will run it.
        :raises OutcomeUnknownError: a target may have run the request, or the stream
            was interrupted.
        """
        forwarder = self.kernel.get(Forwarder)
        started_at = clock.now()
        service = forwarder.choose_service(route)
        origin: Origin | None = None
        outcome, reason = "caller_gone", "cancelled"
        # A stream that is taken up again was counted when it began.
        resumed = bool(last_event or resumes)
        usage = RequestUsage(None if resumed else forwarder.usage, request)
        try:
            if resumed:
                origin = await self._origin(route, service, resumes, request)
                service = origin.service
            await self.kernel.get(Crashes).admit(request)
            parts = self._attempts(
                route, service, request, last_event, origin, resumes, usage
            )
            async for part in parts:
                yield part
            outcome, reason = "answered", "whole"
        except CranberryrunError as error:
            is_refusal = isinstance(error, RefusedError)
            outcome = "refused" if is_refusal else "unknown"
            reason = error.detail
            raise
        finally:
            usage.close()
            forwarder.record_outcome(
                route, service, request, started_at, outcome, reason
            )

    async def _attempts(
        self,
        route: Route,
        service: str,
        request: Request,
        last_event: int | None,
        origin: Origin | None,
        resumes: str | None,
        usage: RequestUsage,
    ) -> AsyncIterator[Answer | StreamedEvents]:
        forwarder = self.kernel.get(Forwarder)
        permits = self.kernel.get(SendPermits)
        origins = self.kernel.get(StreamOrigins)
        tried: set[str] = set()
        unsent: set[str] = set()
        head_sent = False
        may_have_run = False
        numbers = EventNumbers(last_event, self._known_gaps)
        if origin is not None:
            # A caller whose connection breaks again may name this request.
            origins.record_soon(request.id, origin)
        while True:
            target = forwarder.choose_target(service, tried | unsent, origin)
            if target is None or len(tried) >= route.max_attempts:
                error = self._no_target_error(service, origin)
                if head_sent or may_have_run:
                    raise OutcomeUnknownError(error.detail)
                raise error
            try:
                await permits.acquire(target)
            except TargetLimitedError:
                unsent.add(target.id)
                continue
            tried.add(target.id)
            begun = bool(numbers.last)
            if begun:
                fields = {"resumes": resumes, "after": numbers.last}
                self._emit("stream_resumed", request, target, **fields)
            try:
                parts = self._attempt(
                    target,
                    request,
                    usage,
                    numbers,
                    lambda: self._max_silence(route, service, tried, origin),
                )
                async for part in parts:
                    if isinstance(part, StreamedEvents):
                        if not begun and part.first is not None:
                            begun = True
                            usage.begin()
                            self._emit("stream_begun", request, target)
                    elif head_sent:
                        # The caller already has the head that the first target sent.
                        continue
                    if not head_sent and origin is None and _begins_stream(part):
                        origin = Origin.of(target)
                        if route.resumable:
                            await origins.record(request.id, origin)
                    head_sent = True
                    yield part
                return
            except CranberryrunError as error:
                if isinstance(error, TargetUnreachableError):
                    # Nothing was sent, so another target may still be tried instead.
                    tried.discard(target.id)
                    unsent.add(target.id)
                if isinstance(error, UnreadStreamError):
                    if clock.now() >= request.deadline:
                        raise
                    # The same target may go on, and the attempt does not count: each
                    # one takes a second at least, so the deadline limits them.
                    tried.discard(target.id)
                may_have_run |= not isinstance(error, RefusedError)
                # Nothing goes on behind an event that may be wrong.
                wrong = numbers.doubtful or isinstance(error, ConflictingEventsError)
                may_retry = isinstance(error, RefusedError) or (
                    route.resumable and not wrong and forwarder.may_repeat(request)
                )
                attempts_exhausted = len(tried) >= route.max_attempts
                if (
                    not may_retry
                    or attempts_exhausted
                    or forwarder.choose_target(service, tried | unsent, origin) is None
                ):
                    if (head_sent or may_have_run) and isinstance(error, RefusedError):
                        raise OutcomeUnknownError(error.detail) from None
                    raise

    def _emit(
        self, name: str, request: Request, target: Target, **fields: object
    ) -> None:
        self.kernel.get(Events).emit(
            name,
            request=request.id,
            target=target.id,
            service=target.service,
            software=target.software,
            **fields,
        )

    async def _origin(
        self, route: Route, service: str, resumes: str | None, request: Request
    ) -> Origin:
        """Return where the stream began that the caller takes up again.

        :raises RefusedError: it is not known, or the route no longer leads there.
        """
        origin = await self.kernel.get(StreamOrigins).find(resumes or request.id)
        if origin is None and resumes is None:
            # The caller does not say which stream it means.
            origin = await self._only_origin(service)
        if origin is None:
            raise NoTargetError(
                f"no host knows where stream {resumes or request.id} began",
                retry_after=_ORIGIN_RETRY_AFTER_SECONDS,
            )
        if all(backend.service != origin.service for backend in route.backends):
            raise NoTargetError(
                f"route {route.name} no longer leads to service {origin.service}, at "
                "which the stream began",
                retry_after=_ORIGIN_RETRY_AFTER_SECONDS,
            )
        return origin

    async def _only_origin(self, service: str) -> Origin | None:
        """Return the origin of all streams of a service that had one version lately.

        :raises OriginUnknownError: it can't be read which versions it had.
        """
        targets = self.kernel.get(Directory).target_by_id.values()
        origins = {Origin.of(each) for each in targets if each.service == service}
        if len(origins) != 1:
            return None
        possible = await self.kernel.get(SoftwareHistory).possible_origins(service)
        return origins.pop() if possible == origins else None

    def _no_target_error(self, service: str, origin: Origin | None) -> NoTargetError:
        error = self.kernel.get(Forwarder).no_target_error(service)
        if origin is None or isinstance(error, TargetLimitedError):
            return error
        return NoTargetError(
            f"service {service} has no target of software {origin.software} that "
            "accepts requests",
            retry_after=_ORIGIN_RETRY_AFTER_SECONDS,
        )

    def _max_silence(
        self, route: Route, service: str, tried: set[str], origin: Origin | None
    ) -> float | None:
        """Return after how many seconds without an event another target is tried.

        :return: None if none may be tried: a slow stream is then better than none.
        """
        if not route.resumable or len(tried) >= route.max_attempts:
            return None
        if self.kernel.get(Forwarder).choose_target(service, tried, origin) is None:
            return None
        return max(_MIN_SILENCE_SECONDS, _SILENCE_FACTOR * route.latency_goal)

    async def _attempt(
        self,
        target: Target,
        request: Request,
        usage: RequestUsage,
        numbers: EventNumbers,
        max_silence: Callable[[], float | None],
    ) -> AsyncIterator[Answer | StreamedEvents]:
        forwarder = self.kernel.get(Forwarder)
        state = forwarder.state_of(target.id)
        state.in_flight += 1
        started_at = clock.now()
        head: Answer | None = None
        pace = ReadPace()
        try:
            client = self.kernel.get(TargetClient)
            resumed = bool(numbers.last)
            parts = client.stream(target, request, numbers.last)
            with usage.attempt(streamed=True):
                async for part in end_when_silent(parts, target, max_silence, pace):
                    if isinstance(part, Answer) and resumed and part.status != 200:
                        raise TargetFailedError(
                            f"{target.id} answered the resumption with status "
                            f"{part.status}"
                        )
                    # The head is held back until the first event, because until then
                    # another target may still answer instead.
                    if isinstance(part, Answer):
                        head = part
                        continue
                    # Another target would be tried as well after a silence.
                    numbers.accept(part, target, lambda: max_silence() is not None)
                    if head is not None:
                        yield head
                        head = None
                    yield part
            if head is not None:
                yield head
        except Exception as unknown:
            error = log_failure_of(self.kernel, unknown)
            if await self._ended_unread(target, request, error, pace):
                self._emit("stream_unread", request, target, reason=error.detail)
                raise UnreadStreamError(error.detail) from None
            if isinstance(error, RefusedError):
                state.health.record_refusal()
            else:
                state.health.record_failure()
            forwarder.record_failed_attempt(request, target, started_at, error)
            await self.kernel.get(Crashes).examine(target, request, error)
            raise error from None
        except (asyncio.CancelledError, GeneratorExit):
            self.kernel.get(Crashes).suspect(target, request)
            raise
        finally:
            state.in_flight -= 1
        state.health.record_answer()
        self.kernel.get(Crashes).record_answer(request)

    async def _ended_unread(
        self,
        target: Target,
        request: Request,
        error: CranberryrunError,
        pace: ReadPace,
    ) -> bool:
        """Return whether a stream ended because its caller had not read it.

        A target that refuses new connections has ended itself and is judged as usual.
        """
        ends = isinstance(error, (ConnectionLostError, TruncatedAnswerError))
        if not ends and clock.now() < request.deadline:
            return False
        if not pace.ended_unread(clock.now()):
            return False
        client = self.kernel.get(TargetClient)
        refuses = await inquire(
            self.kernel,
            f"whether {target.id} ended",
            client.refuses_connections(target),
        )
        return not refuses


def _begins_stream(part: Answer | StreamedEvents) -> bool:
    """Return whether the part is the head of a stream."""
    return isinstance(part, Answer) and part.status == 200 and not part.body
