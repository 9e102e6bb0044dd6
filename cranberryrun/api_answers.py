"""Bodies of answers, and what is read from a request's headers, query and body."""

from __future__ import annotations

import json
from dataclasses import fields
from typing import Any

from aiohttp import web

from .caller_http import parse_integer
from .exceptions import InvalidInputError
from .timeline import Selection

NDJSON = "application/x-ndjson"


def json_answer(body: Any) -> web.Response:
    """Return ``body`` as a response in JSON."""
    return web.json_response(body, dumps=lambda data: json.dumps(data, default=str))


def json_line(event: dict[str, Any]) -> bytes:
    """Return ``event`` as one line of a stream."""
    return json.dumps(event).encode() + b"\n"


def resource_answer(body: dict[str, Any]) -> web.Response:
    """Return a resource as a response, its generation as the entity tag."""
    response = json_answer(body)
    response.headers["ETag"] = f'"{body["metadata"]["generation"]}"'
    return response


def json_object(body: bytes) -> dict[str, Any]:
    """Return the object in ``body``; :raises InvalidInputError: if it is none."""
    try:
        data = json.loads(body, parse_constant=_no_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidInputError(
            f"the body is not JSON: {error}", field="body"
        ) from None
    if not isinstance(data, dict):
        raise InvalidInputError("the body must be a JSON object", field="body")
    return data


def _no_constant(text: str) -> None:
    raise ValueError(f"{text} is no JSON")


def selection(request: web.Request) -> Selection:
    """Return the events asked for; :raises InvalidInputError: naming the field."""
    known = {each.name for each in fields(Selection)}
    for name in request.query:
        if name not in known:
            raise InvalidInputError(f"{name} is not known", field=name)
    query = dict(request.query)
    since = query.pop("since", None)
    try:
        return Selection(**query, since=None if since is None else float(since))
    except ValueError:
        raise InvalidInputError(
            "since must be seconds since 1970", field="since"
        ) from None


def if_match(request: web.Request) -> int | None:
    """Return the generation that a change needs, 0 for none, or None for any."""
    if request.headers.get("If-None-Match") == "*":
        return 0
    text = request.headers.get("If-Match")
    if text is None or text == "*":
        return None
    return parse_integer(text.strip().strip('"'), "If-Match")
