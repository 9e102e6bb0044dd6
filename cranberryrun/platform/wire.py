"""Decodes the platform's records and bodies into the product's types.

The platform's names say little in places; each model below says what its fields
hold where that differs from the name.
"""

from __future__ import annotations

import base64
import binascii
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .. import clock
from ..batches.models import Batch, Item, Result
from ..batches.service import ResultPage
from ..exceptions import RecordInvalidError, RequestError
from ..fleet.client import EngineReport
from ..fleet.directory import Decoder, Target
from ..fleet.manifest import Backend, Limits, Manifest, Route, RouteKind

# The keyed topic in which hosts register.
HOST_TOPIC = "keyed.hosts"

# Headers of requests and answers.
ATTEMPT_ID = "X-Cranberryrun-Attempt-Id"
DEADLINE_MS = "X-Cranberryrun-Deadline-Ms"
SIGNATURE = "X-Cranberryrun-Server-Signature"
EXPECT_INSTANCE = "X-Cranberryrun-Expect-Instance"
EXPECT_VERSION = "X-Cranberryrun-Expect-Version"
NOT_EXECUTED = "X-Cranberryrun-Not-Executed"
WAIT_MS = "X-Cranberryrun-Wait-Ms"
MODEL = "X-Cranberryrun-Model"
LENGTH_HINT = "X-Cranberryrun-Length-Hint"
WEIGHT_VERSION = "X-Cranberryrun-Weight-Versions"
LAST_EVENT_ID = "Last-Event-Id"

_MANIFEST_KEY = "config"
_VERSION_PREFIX = "version/"
_DRAINING = "draining"
_READY = "ready"
_MS = 1000.0
_DEFAULT_TIMEOUT_MS = 10_000.0
_DEFAULT_GOAL_MS = 500.0
_LIMITS = Limits()


def _dashed(name: str) -> str:
    return name.replace("_", "-")


class _Wire(BaseModel):
    """Base of all bodies; fields that are not named here are passed over."""

    model_config = ConfigDict(
        extra="ignore", alias_generator=_dashed, populate_by_name=True
    )


class _Backend(_Wire):
    service: str
    weight: float = Field(ge=0)


class _Route(_Wire):
    name: str
    host: str
    path_prefix: str
    kind: str
    service: str | None = None
    backends: list[_Backend] = []
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    # All results of a batch are due this long after its first submission.
    run_deadline_ms: float = 0
    # An item may be given up this long after the batch's first submission.
    queue_ttl_s: float = 0

    def decoded(self) -> Route:
        """Return the route in the product's terms.

        :raises RecordInvalidError: its kind or its services make no sense.
        """
        try:
            kind = RouteKind(self.kind)
        except ValueError:
            # What may be repeated is not known, so nothing is.
            kind = RouteKind.UNSAFE
        backends = tuple(
            Backend(each.service, each.weight) for each in self.backends if each.weight
        )
        if self.service is not None:
            backends = (Backend(self.service, 1.0),)
        if not backends:
            raise RecordInvalidError(f"route {self.name} names no service")
        return Route(
            name=self.name,
            host=self.host,
            path_prefix=self.path_prefix,
            kind=kind,
            backends=backends,
            timeout=(self.timeout_ms or _DEFAULT_TIMEOUT_MS) / _MS,
            latency_goal=(self.target_latency_ms or _DEFAULT_GOAL_MS) / _MS,
            priority=self.priority,
            max_attempts=max(1, self.max_attempts),
            resumable=self.resumable,
            run_deadline=self.run_deadline_ms / _MS,
            queue_ttl=self.queue_ttl_s,
            single_version=self.single_version,
        )


class _ModelName(_Wire):
    name: str


class _ServiceEngine(_Wire):
    # Tokens that one event of a stream carries.
    stride: float = 1.0
    models: list[_ModelName] = []


class _Service(_Wire):
    name: str
    engine: _ServiceEngine | None = None


class _Limits(_Wire):
    max_header_bytes: int = _LIMITS.header_bytes
    max_body_bytes: int = _LIMITS.body_bytes
    header_timeout_ms: float = _LIMITS.header_timeout * _MS
    idle_timeout_ms: float = _LIMITS.idle_timeout * _MS


class _Manifest(_Wire):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()

    def decoded(self) -> Manifest:
        """Return the manifest in the product's terms."""
        engines = {each.name: each.engine for each in self.services if each.engine}
        return Manifest(
            version=self.version,
            routes=tuple(route.decoded() for route in self.routes),
            services=frozenset(each.name for each in self.services),
            limits=Limits(
                header_bytes=self.limits.max_header_bytes,
                body_bytes=self.limits.max_body_bytes,
                header_timeout=self.limits.header_timeout_ms / _MS,
                idle_timeout=self.limits.idle_timeout_ms / _MS,
            ),
            models_by_service={
                name: tuple(model.name for model in engine.models)
                for name, engine in engines.items()
            },
            tokens_per_event_by_service={
                name: max(1.0, engine.stride) for name, engine in engines.items()
            },
        )


class _NamedVersion(_Wire):
    model: str
    version: int


class _LoadedModel(_Wire):
    name: str
    version: int


class _Target(_Wire):
    service: str
    address: str
    zone: str
    slots: int = Field(1, ge=1)
    state: str
    # Counts the entries that this start of the target has written.
    sequence: int = 0
    # The start of the target, in milliseconds since 1970.
    born: int = 0
    models: list[_LoadedModel] = []


class _Report(_Wire):
    busy: bool = False
    # Counts the orders that this start of the engine has accepted.
    sequence: int = 0
    models: list[_LoadedModel] = []


class WireDecoder(Decoder):
    """Decodes what the operator, trainers and targets write into the store."""

    operator_topic = "keyed.op"
    target_topic = "keyed.servers"

    def manifest(self, key: str, value: bytes) -> Manifest | None:
        """See :meth:`Decoder.manifest`."""
        if key != _MANIFEST_KEY:
            return None
        return _parsed(_Manifest, value).decoded()

    def version(self, key: str, value: bytes) -> tuple[str, int] | None:
        """See :meth:`Decoder.version`."""
        if not key.startswith(_VERSION_PREFIX):
            return None
        named = _parsed(_NamedVersion, value)
        return named.model, named.version

    def target(self, key: str, value: bytes) -> Target:
        """See :meth:`Decoder.target`."""
        entry = _parsed(_Target, value)
        if entry.state not in (_READY, _DRAINING):
            raise RecordInvalidError(f"the state {entry.state!r} is not known")
        return Target(
            id=key,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            slots=entry.slots,
            draining=entry.state == _DRAINING,
            born=entry.born,
            sequence=entry.sequence,
            version_by_model={model.name: model.version for model in entry.models},
        )


def decode_report(body: bytes) -> EngineReport:
    """Decode an engine's report.

    :raises RecordInvalidError: it is malformed.
    """
    report = _parsed(_Report, body)
    return EngineReport(
        busy=report.busy,
        sequence=report.sequence,
        version_by_model={model.name: model.version for model in report.models},
    )


def _parsed(model: type[Any], value: bytes) -> Any:
    try:
        return model.model_validate_json(value)
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise RecordInvalidError(f"{where}: {first['msg']}") from None


class _Item(_Wire):
    id: str
    path: str
    headers: dict[str, str] = {}
    # Base64.
    body: str = ""
    # Prompt tokens and the most output tokens together.
    tokens: float = 0
    group_id: str = ""


class _Submission(_Wire):
    model: str = ""
    step: int = 0
    min_version: int = 0
    # How many whole groups the trainer waits for.
    group_count: int = 0
    items: list[_Item] = Field(min_length=1)


def decode_batch(batch_id: str, route: Route, body: bytes) -> Batch:
    """Decode a submitted batch.

    :raises RequestError: it is malformed.
    """
    try:
        submission = _Submission.model_validate_json(body)
        items = tuple(_decoded_item(item) for item in submission.items)
    except (ValidationError, binascii.Error) as error:
        raise RequestError(f"the batch is malformed: {error}") from None
    if len({item.id for item in items}) != len(items):
        raise RequestError("two items of the batch have one id")
    model = submission.model or submission.items[0].headers.get(MODEL, "")
    groups = len({item.group for item in items})
    return Batch(
        id=batch_id,
        route=route.name,
        host=route.host,
        model=model,
        step=submission.step,
        min_version=submission.min_version,
        wanted_groups=submission.group_count or groups,
        submitted_at=clock.wall(),
        items=items,
    )


def _decoded_item(item: _Item) -> Item:
    hint = item.headers.get(LENGTH_HINT, "")
    try:
        expected = float(hint)
    except ValueError:
        expected = item.tokens
    return Item(
        id=item.id,
        group=item.group_id or item.id,
        path=item.path,
        headers=item.headers,
        body=base64.b64decode(item.body, validate=True),
        expected_tokens=expected,
    )


def encode_results(page: ResultPage) -> dict[str, Any]:
    """Return the body that lists results."""
    return {
        "total": page.total,
        "next": page.next,
        "results": [_encoded(result) for result in page.results],
    }


def _encoded(result: Result) -> dict[str, Any]:
    return {
        "id": result.item,
        "state": "succeeded" if result.succeeded else "lost",
        "text": result.text,
        "versions": list(result.versions),
    }
