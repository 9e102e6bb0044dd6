"""Parsing of request headers, queries and bodies, and building of responses."""

from __future__ import annotations

import json
from dataclasses import fields
from typing import Any

from aiohttp import web

from .caller_http import parse_integer
from .exceptions import InvalidInputError
from .timeline import Selection

NDJSON = "application/x-ndjson"


def to_json_response(body: Any) -> web.Response:
    """Return a JSON response; values without a JSON form become strings."""
    return web.json_response(body, dumps=lambda data: json.dumps(data, default=str))


def to_json_line(event: dict[str, Any]) -> bytes:
    """Return ``event`` as one line of newline-delimited JSON."""
    return json.dumps(event).encode() + b"\n"


def to_resource_response(body: dict[str, Any]) -> web.Response:
    """Return a JSON response for a resource, with its generation as the ETag."""
    response = to_json_response(body)
    response.headers["ETag"] = f'"{body["metadata"]["generation"]}"'
    return response


def parse_json_object(body: bytes) -> dict[str, Any]:
    """Parse ``body`` as a JSON object.

    :raises InvalidInputError: ``body`` is not JSON or not an object.
    """
    try:
        data = json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        raise InvalidInputError(
            f"the body is not JSON: {error}", field="body"
        ) from None
    if not isinstance(data, dict):
        raise InvalidInputError("the body must be a JSON object", field="body")
    return data


def _reject_constant(text: str) -> None:
    raise ValueError(f"{text} is not valid JSON")


def parse_selection(request: web.Request) -> Selection:
    """Return the event filters of the query string.

    :raises InvalidInputError: a query parameter is unknown or not valid; names it.
    """
    known_names = {field.name for field in fields(Selection)}
    for name in request.query:
        if name not in known_names:
            raise InvalidInputError(f"unknown query parameter {name}", field=name)
    query = dict(request.query)
    since = query.pop("since", None)
    try:
        return Selection(**query, since=None if since is None else float(since))
    except ValueError:
        raise InvalidInputError(
            "since must be a number of seconds since 1970", field="since"
        ) from None


def parse_if_match(request: web.Request) -> int | None:
    """Return the generation that the request headers require.

    :returns: 0 if the resource must not exist, None if any generation is accepted.
    :raises InvalidInputError: ``If-Match`` is not a generation.
    """
    if request.headers.get("If-None-Match") == "*":
        return 0
    text = request.headers.get("If-Match")
    if text is None or text == "*":
        return None
    return parse_integer(text.strip().strip('"'), "If-Match")
