"""Passes streams of events on as they come, and resumes those that may be."""

from __future__ import annotations

from collections.abc import AsyncIterator

from .. import clock
from ..exceptions import (
    CranberryrunError,
    NoTargetError,
    OutcomeUnknownError,
    RefusedError,
    TargetFailedError,
)
from ..fleet.client import Answer, Request, StreamedEvent, TargetClient
from ..fleet.directory import Target
from ..fleet.manifest import Route
from ..kernel import Service
from .forwarder import Forwarder

_RETRY_AFTER_SECONDS = 0.2


class Streams(Service):
    """Forwards streams; one that broke off goes on elsewhere if its route allows it.

    Without that, a stream is sent again only where it certainly was not run.
    """

    name = "streams"
    requires = ("forwarder", "target_client")

    async def forward(
        self, route: Route, request: Request, last_event: int | None
    ) -> AsyncIterator[Answer | StreamedEvent]:
        """Yield the head of the answer, then its events without gap or repeat.

        :param last_event: the last event that the caller has, if it resumes.
        :raises RefusedError: no target ran it, and none will.
        :raises OutcomeUnknownError: a target may have run it, or it broke off.
        """
        forwarder = self.kernel.get(Forwarder)
        began = clock.now()
        service = forwarder.service_of(route)
        outcome, reason = "caller_gone", "cancelled"
        try:
            async for part in self._attempts(route, service, request, last_event):
                yield part
            outcome, reason = "answered", "whole"
        except CranberryrunError as error:
            refused = isinstance(error, RefusedError)
            outcome = "refused" if refused else "unknown"
            reason = error.detail
            raise
        finally:
            forwarder.note(route, service, request, began, outcome, reason)

    async def _attempts(
        self, route: Route, service: str, request: Request, last_event: int | None
    ) -> AsyncIterator[Answer | StreamedEvent]:
        forwarder = self.kernel.get(Forwarder)
        tried: set[str] = set()
        head_sent = False
        while True:
            target = forwarder.choose(service, tried)
            if target is None or len(tried) >= route.max_attempts:
                raise NoTargetError(
                    f"service {service} has no target now",
                    retry_after=_RETRY_AFTER_SECONDS,
                )
            tried.add(target.id)
            try:
                async for part in self._attempt(target, request, last_event):
                    if isinstance(part, StreamedEvent):
                        if part.number is not None:
                            if last_event is not None and part.number <= last_event:
                                continue
                            last_event = part.number
                    elif head_sent:
                        # A resumed stream keeps the head of its first target.
                        continue
                    head_sent = True
                    yield part
                return
            except CranberryrunError as error:
                again = route.resumable or isinstance(error, RefusedError)
                last = len(tried) >= route.max_attempts
                if not again or last or forwarder.choose(service, tried) is None:
                    if head_sent and isinstance(error, RefusedError):
                        raise OutcomeUnknownError(error.detail) from None
                    raise

    async def _attempt(
        self, target: Target, request: Request, last_event: int | None
    ) -> AsyncIterator[Answer | StreamedEvent]:
        forwarder = self.kernel.get(Forwarder)
        use = forwarder.use(target.id)
        use.in_flight += 1
        began = clock.now()
        head: Answer | None = None
        try:
            client = self.kernel.get(TargetClient)
            async for part in client.stream(target, request, last_event):
                if isinstance(part, Answer) and last_event and part.status != 200:
                    raise TargetFailedError(f"it answered {part.status}")
                # The head goes out with the first event: until then another
                # target may answer in its place.
                if isinstance(part, Answer):
                    head = part
                    continue
                if head is not None:
                    yield head
                    head = None
                yield part
            if head is not None:
                yield head
        except CranberryrunError as error:
            if isinstance(error, RefusedError):
                use.health.refused()
            else:
                use.health.failed()
            forwarder.note_attempt(request, target, began, error)
            raise
        finally:
            use.in_flight -= 1
        use.health.answered()
