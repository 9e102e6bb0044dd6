"""Questions that are asked only to learn more, mostly after a failure."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import TypeVar

from ..events import Events
from ..kernel import Kernel

AnswerT = TypeVar("AnswerT")


async def inquire(
    kernel: Kernel, question: str, answer: Awaitable[AnswerT]
) -> AnswerT | None:
    """Return an answer; None if asking failed, in whatever way.

    The failure that the question is about is handled by what it says itself. An error
    of the question must never replace it.

    :param question: what is asked, for the log.
    """
    try:
        return await answer
    except Exception as error:
        kernel.get(Events).emit("inquiry_failed", question=question, reason=repr(error))
        return None
