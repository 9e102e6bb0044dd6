"""Stand-in for an engine whose event streams have another form, or are spoilt."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator

from aiohttp import web

from .platform_target import PlatformTarget

# Returns the bytes to send in place of the events of an answer, perhaps without end.
Form = Callable[[list[bytes]], Iterable[bytes]]


class SpoilingTarget(PlatformTarget):
    """Sends its next streams in another form than that of a list of usual events.

    ``form`` gets the events that the answer should have; None sends them as they are.
    ``spoilt_answers`` is to how many further answers it applies, None to all.
    ``resumed_after`` lists the ``Last-Event-Id`` of each request, 0 without one.
    """

    form: Form | None = None
    spoilt_answers: int | None = None

    def __init__(self, target_id: str, service: str, model: str) -> None:
        super().__init__(target_id, service, model)
        self.resumed_after: list[int] = []

    async def _stream(
        self, request: web.Request, headers: dict[str, str], behaviour: str
    ) -> web.StreamResponse:
        after = int(request.headers.get("Last-Event-Id", 0))
        self.resumed_after.append(after)
        attempt_id = headers["X-Cranberryrun-Attempt-Id"]
        sound = [
            f"id: {number}\ndata: {attempt_id}/{number}\n\n".encode()
            for number in range(after + 1, self.events + 1)
        ]
        headers |= {
            "X-Cranberryrun-Weight-Versions": str(self.version),
            "Content-Type": "text/event-stream",
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for part in self._parts(sound):
            await response.write(part)
            await asyncio.sleep(self.event_seconds)
        return response

    def _parts(self, sound: list[bytes]) -> Iterable[bytes]:
        if self.form is None or self.spoilt_answers == 0:
            return sound
        if self.spoilt_answers is not None:
            self.spoilt_answers -= 1
        return self.form(sound)


def endless(part: bytes) -> Iterator[bytes]:
    """Yield ``part`` again and again, until the caller closes."""
    while True:
        yield part
