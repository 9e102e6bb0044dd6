"""Converts between the platform's bodies of batches and this package's types."""

from __future__ import annotations

import base64
import binascii
import re
from typing import Any

from pydantic import Field, ValidationError

from .. import clock
from ..batches.models import Batch, Item, Result
from ..batches.service import ResultPage
from ..exceptions import RequestError
from ..fleet.manifest import Route
from ..rewards.models import RewardCall
from ..workspaces.keyring import Workspace
from . import header_names
from .wire_model import BodyObserver, WireModel, ignore_body

# Longer numbers are no counts of tokens.
_TOKEN_USAGE_PATTERN = re.compile(r"\s*([0-9]{1,12})\s*,\s*([0-9]{1,12})\s*")
_PROMPT_PART_PATTERN = re.compile(r"([^\s,;]+):([0-9]{1,12})(?![0-9])")


# What decoding takes for each object and each part of one, at its peak.
_OBJECT_BYTES = 400
_PART_BYTES = 72


class _Scorer(WireModel):
    """The request that scores an item's text, despite the name of a service."""

    id: str
    host: str
    path: str
    # Base64.
    body: str = ""


class _Item(WireModel):
    id: str
    path: str
    headers: dict[str, str] = {}
    # Base64.
    body: str = ""
    # The prompt tokens plus the maximum number of output tokens.
    tokens: float = 0
    group_id: str = ""
    scorer: _Scorer | None = None


class _Submission(WireModel):
    model: str = ""
    step: int = 0
    # The oldest weight version that may generate the tokens of the batch.
    min_version: int = 0
    # How many complete groups the trainer waits for; 0 stands for all groups.
    group_count: int = 0
    items: list[_Item] = Field(min_length=1)


def decoding_bytes(body: bytes) -> int:
    """Return how much memory decoding ``body`` may take beside it, in bytes.

    Small objects take many times their text, valid or not.
    """
    objects = body.count(b"{")
    parts = objects + sum(body.count(mark) for mark in (b"[", b",", b":"))
    return len(body) + _OBJECT_BYTES * objects + _PART_BYTES * parts


def decode_batch(
    batch_id: str,
    route: Route,
    body: bytes,
    observe: BodyObserver = ignore_body,
    workspace: Workspace | None = None,
) -> Batch:
    """Decode a submitted batch.

    :param workspace: the workspace that submits it.
    :raises RequestError: the batch is malformed or two of its items share an id.
    """
    try:
        submission = _Submission.model_validate_json(body)
        observe("batch", submission)
        items = tuple(_decode_item(item) for item in submission.items)
    except ValidationError as error:
        # The text of the error itself has parts of the body, which may be secrets.
        first_error = error.errors(include_input=False)[0]
        field = ".".join(str(part) for part in first_error["loc"]) or "body"
        raise RequestError(
            f"the batch is malformed: {field}: {first_error['msg']}"
        ) from None
    except binascii.Error as error:
        raise RequestError(f"the batch is malformed: {error}") from None
    if len({item.id for item in items}) != len(items):
        raise RequestError("two items of the batch have the same id")
    model = submission.model or submission.items[0].headers.get(header_names.MODEL, "")
    group_count = len({item.group for item in items})
    return Batch(
        id=batch_id,
        route=route.name,
        host=route.host,
        model=model,
        step=submission.step,
        min_version=submission.min_version,
        wanted_groups=submission.group_count or group_count,
        submitted_at=clock.wall(),
        items=items,
        workspace=workspace.name if workspace is not None else None,
        priority=workspace.priority if workspace is not None else None,
    )


def _decode_item(item: _Item) -> Item:
    length_hint = item.headers.get(header_names.LENGTH_HINT, "")
    try:
        expected_tokens = float(length_hint)
    except ValueError:
        expected_tokens = item.tokens
    prompt_tokens, max_output_tokens = _decode_token_usage(item.headers)
    return Item(
        id=item.id,
        group=item.group_id or item.id,
        path=item.path,
        headers={
            name: value
            for name, value in item.headers.items()
            if name.lower() not in header_names.CALLERS_OWN
        },
        body=base64.b64decode(item.body, validate=True),
        expected_tokens=expected_tokens,
        reward=_decode_scorer(item.scorer) if item.scorer is not None else None,
        prompt_tokens=prompt_tokens,
        max_output_tokens=max_output_tokens,
        prompt_parts=tuple(
            (part, float(tokens))
            for part, tokens in _PROMPT_PART_PATTERN.findall(
                item.headers.get(header_names.PREFIX_HASH, "")
            )
        ),
    )


def _decode_token_usage(headers: dict[str, str]) -> tuple[float, float | None]:
    """Return the prompt tokens and the maximum of output tokens, as far as known."""
    usage = _TOKEN_USAGE_PATTERN.fullmatch(headers.get(header_names.TOKEN_USAGE, ""))
    if usage is None:
        return 0.0, None
    return float(usage[1]), float(usage[2])


def _decode_scorer(scorer: _Scorer) -> RewardCall:
    return RewardCall(
        id=scorer.id,
        host=scorer.host,
        path=scorer.path,
        body=base64.b64decode(scorer.body, validate=True),
    )


def encode_results(page: ResultPage) -> dict[str, Any]:
    """Return the body of an answer that lists results."""
    return {
        "total": page.total,
        "next": page.next,
        "results": [_encode_result(result) for result in page.results],
    }


def _encode_result(result: Result) -> dict[str, Any]:
    encoded = {
        "id": result.item,
        "state": "succeeded" if result.succeeded else "lost",
        "text": result.text,
        "versions": list(result.versions),
    }
    if result.score is not None:
        encoded["score"] = result.score
    return encoded
