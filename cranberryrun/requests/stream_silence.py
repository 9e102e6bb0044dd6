"""Ends attempts at streams whose targets send nothing any more."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable

from .. import clock
from ..exceptions import TargetTimeoutError
from ..fleet.client import Answer, StreamedEvents
from ..fleet.directory import Target
from .read_pace import ReadPace


async def end_when_silent(
    parts: AsyncIterator[Answer | StreamedEvents],
    target: Target,
    max_silence: Callable[[], float | None],
    pace: ReadPace,
) -> AsyncIterator[Answer | StreamedEvents]:
    """Yield the parts; end when no whole one arrives for ``max_silence()`` seconds.

    Single bytes now and then, which complete no event, are silence. The time in which
    the caller reads a part does not count.

    :raises TargetTimeoutError: the target was silent; its connection is closed.
    """
    while True:
        seconds = max_silence()
        pace.begin_read(clock.now())
        try:
            async with asyncio.timeout(seconds):
                part = await anext(parts)
        except StopAsyncIteration:
            return
        except TimeoutError:
            raise TargetTimeoutError(
                f"{target.id} sent no event for {seconds:g} s"
            ) from None
        pace.end_read(clock.now())
        yield part
