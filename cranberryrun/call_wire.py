"""Conversion of keyed calls and their answers to and from the peer protocol."""

from __future__ import annotations

from typing import Any

from multidict import CIMultiDict

from . import clock
from .peers import wire
from .services import Answer, Call


def call_to_wire(call: Call, seconds: float) -> Any:
    """Return ``call`` as the message that is sent to the key's owner.

    :param seconds: time until the deadline, in seconds.
    """
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


def call_from_wire(message: Any) -> Call:
    """Return the call of a message that a peer forwarded."""
    return Call(
        service=message.service_name,
        method=message.method,
        path=message.path,
        request=message.request,
        caller=message.caller,
        deadline=clock.now() + message.deadline_seconds,
        headers=CIMultiDict((header.name, header.value) for header in message.headers),
        body=message.body or b"",
        key=message.key,
    )


def _headers_to_wire(headers: Any) -> list[Any]:
    return [wire.Header(name=name, value=value) for name, value in headers.items()]


def answer_to_wire(answer: Answer) -> Any:
    """Return ``answer`` as the message for the host that forwarded the call."""
    return wire.KeyedReply(
        status=answer.status,
        headers=_headers_to_wire(answer.headers),
        body=answer.body,
    )


def answer_from_wire(reply: Any) -> Answer:
    """Return the answer of the owner's message."""
    headers = CIMultiDict((header.name, header.value) for header in reply.headers or [])
    return Answer(reply.status, headers, reply.body or b"")
