"""Requests whose answers are told apart, on connections that are used again.

A peer may send a second copy of an answer, late, where the next answer on the
connection is due. An id tells whose answer it is, but not which one if the same id was
sent twice.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass

from multidict import MultiMapping


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request and how its answer is known.

    :ivar key: answers to requests with equal keys can't be told apart, so no connection
        carries two of them. None if answers have nothing by which they are known; such
        a request does not directly follow another one on a connection, unless both are
        reads.
    :ivar find_fault: called with the headers of an answer, and whether an answer
        without the key is to be rejected, as the request directly follows one that has
        none; returns why it can't be the answer, or None.
    :ivar read: whether an earlier answer to such a request does no harm.
    """

    key: Hashable | None
    find_fault: Callable[[MultiMapping[str], bool], str | None]
    read: bool = False


_current: ContextVar[Exchange | None] = ContextVar("exchange", default=None)


@contextmanager
def exchanging(exchange: Exchange) -> Iterator[None]:
    """Have the request that is sent in this block be that of ``exchange``."""
    token = _current.set(exchange)
    try:
        yield
    finally:
        _current.reset(token)


def current_exchange() -> Exchange | None:
    """Return the exchange of the request that is being sent; None if it has none."""
    return _current.get()
