"""Converts between the platform's records and bodies and this package's types.

Field names follow the platform's protocol. Comments explain the fields whose names are
not clear by themselves.
"""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    ConfigDict,
    Field,
    SecretStr,
    ValidationError,
    field_validator,
)

from .. import clock
from ..exceptions import RecordInvalidError
from ..fleet.address import AddressField
from ..fleet.client import EngineReport
from ..fleet.directory import Decoder, Target
from ..fleet.manifest import Backend, Limits, Manifest, Route, RouteKind
from ..workspaces.keyring import Keyring, Workspace
from .autoscale import decode_autoscale, seconds_until_leaving
from .wire_model import BodyObserver, WireModel, ignore_body

# The keyed topic in which hosts register.
HOST_TOPIC = "keyed.hosts"

# The platform's protocol names the manifest "config".
_MANIFEST_KEY = "config"
_VERSION_PREFIX = "version/"
_DRAINING = "draining"
# What a header can carry, as requests name the target that they are for.
_TARGET_ID = re.compile(r"[!-~](?:[ -~]{0,200}[!-~])?")
_MAX_NAME_CHARACTERS = 200
# The largest whole number that all JSON libraries read alike.
_MAX_COUNT = 2**53 - 1
_MAX_SLOTS = 100_000
# Clocks of machines differ by less.
_MAX_CLOCK_LEAD_SECONDS = 3600.0
_MS_PER_SECOND = 1000.0
_DEFAULT_TIMEOUT_MS = 10_000.0
_DEFAULT_TARGET_LATENCY_MS = 500.0
_DEFAULT_LIMITS = Limits()


class _Backend(WireModel):
    service: str
    # Relative to the weights of the other backends; 0 takes the backend out.
    weight: float = Field(ge=0)


class _Route(WireModel):
    unused = frozenset({"session-affinity"})

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
    public: bool = False
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
            public=self.public,
        )


class _ModelName(WireModel):
    name: str


class _ServiceEngine(WireModel):
    unused = frozenset(
        {
            "slots",
            "kv-bytes",
            "link-mbps",
            "moves",
            "backups",
            "most",
            "pin-ms",
            "hold-ms",
            "handle_s",
        }
    )

    # The number of tokens that one event of a stream carries.
    stride: float = 1.0
    # The tokens that an engine's memory holds; 0 if it is not stated.
    kv_capacity: float = 0.0
    models: list[_ModelName] = []


class _Service(WireModel):
    unused = frozenset({"health-path", "max-conns", "protocol", "tls"})

    name: str
    engine: _ServiceEngine | None = None
    # Checked apart: an invalid one leaves the rest of the manifest in force.
    autoscale: Any = None


class _Limits(WireModel):
    max_header_bytes: int = _DEFAULT_LIMITS.header_bytes
    max_body_bytes: int = _DEFAULT_LIMITS.body_bytes
    header_timeout_ms: float = _DEFAULT_LIMITS.header_timeout * _MS_PER_SECOND
    idle_timeout_ms: float = _DEFAULT_LIMITS.idle_timeout * _MS_PER_SECOND


class _Tenant(WireModel):
    """A workspace and its keys, which do not appear in the text of the model."""

    name: str
    api_keys: list[SecretStr] = []
    # Replaces the priority of routes if it is given.
    priority: int | None = None


class _Manifest(WireModel):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = _Limits()
    # An empty list means the same as none: callers need no keys.
    tenants: list[_Tenant] | None = None

    def to_manifest(self) -> Manifest:
        """Convert to a manifest.

        :raises RecordInvalidError: a route names no service, or two workspaces share a
            name or a key.
        """
        engines = {
            service.name: service.engine for service in self.services if service.engine
        }
        autoscale_by_service, autoscale_error_by_service = decode_autoscale(
            {service.name: service.autoscale for service in self.services}
        )
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
            keyring=self._keyring(),
            autoscale_by_service=autoscale_by_service,
            autoscale_error_by_service=autoscale_error_by_service,
            memory_tokens_by_service={
                name: engine.kv_capacity
                for name, engine in engines.items()
                if engine.kv_capacity > 0
            },
        )

    def _keyring(self) -> Keyring | None:
        if not self.tenants:
            return None
        return Keyring(
            (
                Workspace(tenant.name, tenant.priority),
                [key.get_secret_value() for key in tenant.api_keys],
            )
            for tenant in self.tenants
        )


class _AnnouncedVersion(WireModel):
    model: str
    version: int


class _StrictModel(WireModel):
    """A body that any process may have written: no value is converted to its type."""

    model_config = ConfigDict(strict=True, allow_inf_nan=False)


# A text that is not empty, of a length that a header can carry.
_Name = Annotated[str, Field(min_length=1, max_length=_MAX_NAME_CHARACTERS)]
_Count = Annotated[int, Field(ge=0, le=_MAX_COUNT)]
_Milliseconds = Annotated[float, Field(ge=0)]


class _LoadedModel(_StrictModel):
    unused = frozenset({"adapters"})

    name: _Name
    version: _Count


def _check_models(models: list[_LoadedModel]) -> list[_LoadedModel]:
    if len({model.name for model in models}) < len(models):
        raise ValueError("a model is listed twice")
    return models


_LoadedModels = Annotated[list[_LoadedModel], AfterValidator(_check_models)]


class _Target(_StrictModel):
    unused = frozenset({"stage"})

    service: _Name
    address: AddressField
    zone: _Name
    # The version of the target's software; that of its weights is in ``models``.
    version: Annotated[str, Field(max_length=_MAX_NAME_CHARACTERS)] | _Count
    # How many requests or items the target runs at once.
    slots: int = Field(ge=1, le=_MAX_SLOTS)
    state: Literal["ready", "draining"]
    # The number of entries that the target has written since it started.
    sequence: _Count
    # The start time of the target, in milliseconds since 1970.
    born: _Count = 0
    cold_remaining_ms: _Milliseconds = 0.0
    models: _LoadedModels = []
    # Whether the platform may take the target back at short notice.
    use_spot: bool = False
    # Given by a draining target that ends at a known time.
    leaves_ms: _Milliseconds | None = None

    @field_validator("born")
    @classmethod
    def _check_born(cls, born: int) -> int:
        if born > (clock.wall() + _MAX_CLOCK_LEAD_SECONDS) * _MS_PER_SECOND:
            raise ValueError("the target starts in the future")
        return born


class _Report(_StrictModel):
    unused = frozenset(
        {
            "born",
            "stage",
            "queue-depth",
            "running-count",
            "kv-used",
            "kv-total",
            "handles",
            "pinned",
            "held",
            "state",
            "leaves_ms",
            "use-spot",
            "next",
            "runs",
        }
    )

    # Whether an order is in progress.
    busy: bool
    # The number of orders that the engine has accepted since it started.
    sequence: _Count
    models: _LoadedModels


class WireDecoder(Decoder):
    """Decodes records that the operator, trainers and targets write to the store.

    :param observe: called with the source and each decoded record.
    """

    operator_topic = "keyed.op"
    target_topic = "keyed.servers"

    def __init__(self, observe: BodyObserver = ignore_body) -> None:
        self._observe = observe

    def manifest(self, key: str, value: bytes) -> Manifest | None:
        """See :meth:`Decoder.manifest`."""
        if key != _MANIFEST_KEY:
            return None
        return _parse(_Manifest, value, "manifest", self._observe).to_manifest()

    def version(self, key: str, value: bytes) -> tuple[str, int] | None:
        """See :meth:`Decoder.version`."""
        if not key.startswith(_VERSION_PREFIX):
            return None
        announced = _parse(_AnnouncedVersion, value, "version", self._observe)
        return announced.model, announced.version

    def target(self, key: str, value: bytes) -> Target:
        """See :meth:`Decoder.target`."""
        if _TARGET_ID.fullmatch(key) is None:
            raise RecordInvalidError("no header can carry the id of the target")
        entry = _parse(_Target, value, "target", self._observe)
        draining = entry.state == _DRAINING
        return Target(
            id=key,
            service=entry.service,
            address=entry.address,
            zone=entry.zone,
            slots=entry.slots,
            draining=draining,
            born=entry.born,
            sequence=entry.sequence,
            version_by_model={model.name: model.version for model in entry.models},
            software=str(entry.version),
            spot=entry.use_spot,
            leaves_in=seconds_until_leaving(entry.leaves_ms, draining),
        )


def decode_report(body: bytes, observe: BodyObserver = ignore_body) -> EngineReport:
    """Decode an engine's report.

    :raises RecordInvalidError: the report is malformed.
    """
    report = _parse(_Report, body, "report", observe)
    return EngineReport(
        busy=report.busy,
        sequence=report.sequence,
        version_by_model={model.name: model.version for model in report.models},
    )


def _parse(model: type[Any], value: bytes, source: str, observe: BodyObserver) -> Any:
    try:
        body = model.model_validate_json(value)
    except ValidationError as error:
        first_error = error.errors()[0]
        field = ".".join(str(part) for part in first_error["loc"])
        raise RecordInvalidError(f"{field}: {first_error['msg']}") from None
    observe(source, body)
    return body
