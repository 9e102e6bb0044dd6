"""Keyed calls and their answers as hosts send them to each other."""

from __future__ import annotations

from typing import Any

from multidict import CIMultiDict

from . import clock
from .peers import wire
from .services import Answer, Call


def to_wire(call: Call, seconds: float) -> Any:
    """Return ``call`` for its owner, which has ``seconds`` for it."""
    return wire.KeyedCall(
        service_name=call.service,
        method=call.method,
        path=call.path,
        key=call.key,
        caller=call.caller,
        request=call.request,
        headers=_headers_to_wire(call.headers),
        body=call.body,
        deadline_seconds=seconds,
    )


def from_wire(forwarded: Any) -> Call:
    """Return the call that a peer forwarded."""
    return Call(
        service=forwarded.service_name,
        method=forwarded.method,
        path=forwarded.path,
        request=forwarded.request,
        caller=forwarded.caller,
        deadline=clock.now() + forwarded.deadline_seconds,
        headers=CIMultiDict((each.name, each.value) for each in forwarded.headers),
        body=forwarded.body or b"",
        key=forwarded.key,
    )


def _headers_to_wire(headers: Any) -> list[Any]:
    return [wire.Header(name=name, value=value) for name, value in headers.items()]


def answer_to_wire(answer: Answer) -> Any:
    """Return ``answer`` for the host that forwarded the call."""
    return wire.KeyedReply(
        status=answer.status,
        headers=_headers_to_wire(answer.headers),
        body=answer.body,
    )


def answer_from_wire(reply: Any) -> Answer:
    """Return the answer that the owner gave."""
    headers = CIMultiDict((each.name, each.value) for each in reply.headers or [])
    return Answer(reply.status, headers, reply.body or b"")
