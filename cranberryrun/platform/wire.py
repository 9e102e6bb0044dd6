"""Converts between the platform's records and bodies and this package's types.

Field names follow the platform's protocol. Comments explain the fields whose names are
not clear by themselves.
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
from ..rewards.models import RewardCall
from . import header_names

# The keyed topic in which hosts register.
HOST_TOPIC = "keyed.hosts"

# The platform's protocol names the manifest "config".
_MANIFEST_KEY = "config"
_VERSION_PREFIX = "version/"
_DRAINING = "draining"
_READY = "ready"
_MS_PER_SECOND = 1000.0
_DEFAULT_TIMEOUT_MS = 10_000.0
_DEFAULT_TARGET_LATENCY_MS = 500.0
_DEFAULT_LIMITS = Limits()


def _to_kebab_case(name: str) -> str:
    return name.replace("_", "-")


class _WireModel(BaseModel):
    """Base of all bodies. Unknown fields are ignored."""

    model_config = ConfigDict(
        extra="ignore", alias_generator=_to_kebab_case, populate_by_name=True
    )


class _Backend(_WireModel):
    service: str
    # Relative to the weights of the other backends; 0 takes the backend out.
    weight: float = Field(ge=0)


class _Route(_WireModel):
    name: str
    # Compared with the Host header of a caller's request.
    host: str
    path_prefix: str
    kind: str
    # Replaces ``backends`` if it is given.
    service: str | None = None
    backends: list[_Backend] = []
    timeout_ms: float | None = None
    target_latency_ms: float | None = None
    priority: int = 5
    max_attempts: int = 1
    resumable: bool = False
    single_version: bool = False
    # The deadline for all results of a batch, counted from its first submission.
    run_deadline_ms: float = 0
    # An item may be abandoned this long after the batch's first submission, also while
    # it runs.
    queue_ttl_s: float = 0

    def to_route(self) -> Route:
        """Convert to a route.

        :raises RecordInvalidError: the route names no service.
        """
        try:
            kind = RouteKind(self.kind)
        except ValueError:
            # A request of an unknown kind may not be safe to repeat.
            kind = RouteKind.UNSAFE
        backends = tuple(
            Backend(backend.service, backend.weight)
            for backend in self.backends
            if backend.weight
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
            timeout=(self.timeout_ms or _DEFAULT_TIMEOUT_MS) / _MS_PER_SECOND,
            latency_goal=(self.target_latency_ms or _DEFAULT_TARGET_LATENCY_MS)
            / _MS_PER_SECOND,
            priority=self.priority,
            max_attempts=max(1, self.max_attempts),
            resumable=self.resumable,
            run_deadline=self.run_deadline_ms / _MS_PER_SECOND,
            queue_ttl=self.queue_ttl_s,
            single_version=self.single_version,
        )


class _ModelName(_WireModel):
    name: str


class _ServiceEngine(_WireModel):
    # The number of tokens that one event of a stream carries.
    stride: float = 1.0
    models: list[_ModelName] = []


class _Service(_WireModel):
    name: str
    engine: _ServiceEngine | None = None


class _Limits(_WireModel):
    max_header_bytes: int = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout * _MS_PER_SECOND
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout * _MS_PER_SECOND


class _Manifest(_WireModel):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()

    def to_manifest(self) -> Manifest:
        """Convert to a manifest.

        :raises RecordInvalidError: a route names no service.
        """
        engines = {
            service.name: service.engine for service in self.services if service.engine
        }
        return Manifest(
            version=self.version,
            routes=tuple(route.to_route() for route in self.routes),
            services=frozenset(service.name for service in self.services),
            limits=Limits(
                header_bytes=self.limits.max_header_bytes,
                body_bytes=self.limits.max_body_bytes,
                header_timeout=self.limits.header_timeout_ms / _MS_PER_SECOND,
                idle_timeout=self.limits.idle_timeout_ms / _MS_PER_SECOND,
            ),
            models_by_service={
                name: tuple(model.name for model in engine.models)
                for name, engine in engines.items()
            },
            tokens_per_event_by_service={
                name: max(1.0, engine.stride) for name, engine in engines.items()
            },
        )


class _AnnouncedVersion(_WireModel):
    model: str
    version: int


class _LoadedModel(_WireModel):
    name: str
    version: int


class _Target(_WireModel):
    service: str
    address: str
    zone: str
    # How many requests or items the target runs at once.
    slots: int = Field(1, ge=1)
    state: str
    # The number of entries that the target has written since it started.
    sequence: int = 0
    # The start time of the target, in milliseconds since 1970.
    born: int = 0
    models: list[_LoadedModel] = []


class _Report(_WireModel):
    # Whether an order is in progress.
    busy: bool = False
    # The number of orders that the engine has accepted since it started.
    sequence: int = 0
    models: list[_LoadedModel] = []


class WireDecoder(Decoder):
    """Decodes records that the operator, trainers and targets write to the store."""

    operator_topic = "keyed.op"
    target_topic = "keyed.servers"

    def manifest(self, key: str, value: bytes) -> Manifest | None:
        """See :meth:`Decoder.manifest`."""
        if key != _MANIFEST_KEY:
            return None
        return _parse(_Manifest, value).to_manifest()

    def version(self, key: str, value: bytes) -> tuple[str, int] | None:
        """See :meth:`Decoder.version`."""
        if not key.startswith(_VERSION_PREFIX):
            return None
        announced = _parse(_AnnouncedVersion, value)
        return announced.model, announced.version

    def target(self, key: str, value: bytes) -> Target:
        """See :meth:`Decoder.target`."""
        entry = _parse(_Target, value)
        if entry.state not in (_READY, _DRAINING):
            raise RecordInvalidError(f"target {key} has unknown state {entry.state!r}")
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

    :raises RecordInvalidError: the report is malformed.
    """
    report = _parse(_Report, body)
    return EngineReport(
        busy=report.busy,
        sequence=report.sequence,
        version_by_model={model.name: model.version for model in report.models},
    )


def _parse(model: type[Any], value: bytes) -> Any:
    try:
        return model.model_validate_json(value)
    except ValidationError as error:
        first_error = error.errors()[0]
        field = ".".join(str(part) for part in first_error["loc"])
        raise RecordInvalidError(f"{field}: {first_error['msg']}") from None


class _Scorer(_WireModel):
    """The request that scores an item's text, despite the name of a service."""

    id: str
    host: str
    path: str
    # Base64.
    body: str = ""


class _Item(_WireModel):
    id: str
    path: str
    headers: dict[str, str] = {}
    # Base64.
    body: str = ""
    # The prompt tokens plus the maximum number of output tokens.
    tokens: float = 0
    group_id: str = ""
    scorer: _Scorer | None = None


class _Submission(_WireModel):
    model: str = ""
    step: int = 0
    # The oldest weight version that may generate the tokens of the batch.
    min_version: int = 0
    # How many complete groups the trainer waits for; 0 stands for all groups.
    group_count: int = 0
    items: list[_Item] = Field(min_length=1)


def decode_batch(batch_id: str, route: Route, body: bytes) -> Batch:
    """Decode a submitted batch.

    :raises RequestError: the batch is malformed or two of its items share an id.
    """
    try:
        submission = _Submission.model_validate_json(body)
        items = tuple(_decode_item(item) for item in submission.items)
    except (ValidationError, binascii.Error) as error:
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
    )


def _decode_item(item: _Item) -> Item:
    length_hint = item.headers.get(header_names.LENGTH_HINT, "")
    try:
        expected_tokens = float(length_hint)
    except ValueError:
        expected_tokens = item.tokens
    return Item(
        id=item.id,
        group=item.group_id or item.id,
        path=item.path,
        headers=item.headers,
        body=base64.b64decode(item.body, validate=True),
        expected_tokens=expected_tokens,
        reward=_decode_scorer(item.scorer) if item.scorer is not None else None,
    )


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
