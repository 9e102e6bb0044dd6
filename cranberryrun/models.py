"""Validated models of external data: resources, log records and trainer calls."""

from __future__ import annotations

from typing import Annotated, Any, Literal, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from .exceptions import InvalidInputError

Name = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")]
Url = Annotated[str, Field(pattern=r"^https?://[^/\s]+$")]
Kind = Literal["workloads", "engines", "services", "workspaces"]
KINDS: tuple[Kind, ...] = ("workloads", "engines", "services", "workspaces")
ModelT = TypeVar("ModelT", bound=BaseModel)


class Model(BaseModel):
    """Base of models of external data; rejects unknown fields and infinite numbers."""

    model_config = ConfigDict(extra="forbid", allow_inf_nan=False)

    def shown(self) -> dict[str, Any]:
        """Return the fields that operators are shown."""
        return self.model_dump(mode="json")


class WorkloadSpec(Model):
    """The declaration of a trainer's workload.

    ``pool`` names the engines that the workload may use; ``freshness_bound`` is in
    weight versions; ``rate`` is the declared number of engines in use by all
    trainers together; ``idle_weight`` weighs trainer idle time against staleness
    (1: only idle time counts, 0: only staleness counts).
    """

    pool: Name = Field(description="The pool of engines that the workload may use.")
    trainers: int = Field(
        default=1, ge=1, le=1000, description="Number of trainers that share the rate."
    )
    freshness_bound: int = Field(
        ge=0,
        le=1_000_000,
        description="Maximum number of weight versions that a sample may be behind "
        "the newest at handover.",
    )
    priority: int = Field(
        default=0, ge=-100, le=100, description="Higher priorities go first."
    )
    rate: float = Field(
        default=1.0,
        gt=0,
        le=100_000,
        description="Declared number of engines in use by all trainers together.",
    )
    idle_weight: float = Field(
        default=0.5,
        ge=0,
        le=1,
        description="Weight of trainer idle time against staleness: with 1 only "
        "idle time counts, with 0 only staleness.",
    )
    max_tokens: int = Field(
        default=4096,
        ge=1,
        le=1_000_000,
        description="Maximum number of tokens of a sample.",
    )
    price_per_engine_hour: float = Field(
        default=0.0,
        ge=0,
        description="Price of an engine for one hour, used in the forecast.",
    )


class EngineSpec(Model):
    """The declaration of an engine. ``slots`` is its number of concurrent streams."""

    url: Url = Field(description="Base URL, with no path.")
    zone: Name = Field(description="The engine's availability zone.")
    pool: Name = Field(description="The pool that the engine belongs to.")
    slots: int = Field(
        default=8, ge=1, le=10_000, description="Maximum number of concurrent streams."
    )
    tokens_per_second: float = Field(
        default=1000.0,
        gt=0,
        description="The engine's throughput with all slots in use.",
    )
    fencing: Literal["honoured", "ignored"] = Field(
        default="honoured",
        description="Whether the engine rejects orders with an old fencing token.",
    )
    model: str | None = Field(
        default=None, description="The model that the engine should run."
    )
    adapters: list[str] = Field(
        default_factory=list,
        max_length=100,
        description="The adapters that the engine should have loaded.",
    )
    role: str | None = Field(
        default=None, description="The role that the engine should have."
    )


class ServiceTarget(Model):
    """A target of a plain service."""

    id: Name = Field(description="The target's name in the host list.")
    url: Url = Field(description="Base URL, with no path.")
    zone: Name = Field(description="The target's availability zone.")


class ServiceSpec(Model):
    """The declaration of a service on plain targets or on the engines of a pool.

    ``repeatable`` lists the HTTP methods that may be retried after a failure.
    ``on_log_outage`` sets how keyed calls are handled that can't be recorded in
    the log. Times are in seconds.
    """

    targets: list[ServiceTarget] = Field(
        default_factory=list,
        max_length=1000,
        description="Plain targets; exclusive with pool.",
    )
    pool: Name | None = Field(
        default=None,
        description="The pool of engines that answer; exclusive with targets.",
    )
    repeatable: list[Literal["GET", "HEAD", "PUT", "DELETE", "POST"]] = Field(
        default=["GET", "HEAD"],
        description="HTTP methods that may be retried after a failure.",
    )
    on_log_outage: Literal["refuse", "send_once"] = Field(
        default="refuse",
        description="Handling of keyed calls that can't be recorded in the log: "
        "refused, or sent once without a record.",
    )
    timeout: float = Field(
        default=10.0,
        gt=0,
        le=3600,
        description="Maximum duration of a call, in seconds.",
    )
    priority: int = Field(
        default=50, ge=-100, le=100, description="Higher priorities go first."
    )
    concurrency: int = Field(
        default=64,
        ge=1,
        le=100_000,
        description="Maximum number of calls in flight per host.",
    )

    @model_validator(mode="after")
    def _validate_targets(self) -> ServiceSpec:
        if bool(self.targets) == (self.pool is not None):
            raise ValueError("exactly one of targets and pool is required")
        if len({target.id for target in self.targets}) != len(self.targets):
            raise ValueError("target ids must be unique")
        return self


class WorkspaceKey(Model):
    """A key of a workspace: its digest, never the key itself."""

    model_config = ConfigDict(hide_input_in_errors=True)

    id: Name = Field(description="Names the key within its workspace.")
    sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")] | None = Field(
        default=None,
        description="SHA-256 digest of the key, in hex; never shown. May be left out "
        "of a key that the workspace has.",
    )
    created_at: float | None = Field(
        default=None,
        description="When the key was added, in seconds since 1970; set by the system.",
    )


class WorkspaceSpec(Model):
    """The declaration of a workspace; stored specs have all fields of their keys."""

    model_config = ConfigDict(hide_input_in_errors=True)

    priority: int | None = Field(
        default=None, ge=0, description="0 goes first; kept, but nothing uses it yet."
    )
    keys: list[WorkspaceKey] | None = Field(
        default=None,
        max_length=1000,
        description="All keys of the workspace; left out, it keeps those it has.",
    )

    def shown(self) -> dict[str, Any]:
        """See :meth:`Model.shown`; digests of keys are left out."""
        return self.model_dump(mode="json", exclude={"keys": {"__all__": {"sha256"}}})


SPEC_BY_KIND: dict[str, type[Model]] = {
    "workloads": WorkloadSpec,
    "engines": EngineSpec,
    "services": ServiceSpec,
    "workspaces": WorkspaceSpec,
}


class Change(Model):
    """A log record that puts or deletes one resource."""

    record: Literal["change"] = "change"
    change_id: Annotated[str, Field(pattern=r"^[!-~]{1,100}$")]
    kind: Kind
    name: Name
    expected_generation: int = Field(ge=0)
    operation: Literal["put", "delete"]
    spec: dict[str, Any] | None = None
    host: str = ""


class VersionRecord(Model):
    """A log record that announces a weight version of a workload."""

    record: Literal["version"] = "version"
    workload: Name
    version: int = Field(ge=0)


class SnapshotRecord(Model):
    """The complete configuration after the record at offset ``covers``."""

    record: Literal["snapshot"] = "snapshot"
    covers: int = Field(ge=-1)
    state: dict[str, Any]
    host: str = ""


class VersionAnnouncement(Model):
    """A trainer's announcement that a weight version can be loaded."""

    version: int = Field(ge=0, le=2**31)


class GroupRequest(Model):
    """A request for a group of samples of one prompt."""

    group: Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    prompt: str = Field(max_length=1_000_000)
    samples: int = Field(ge=1, le=1024)
    max_tokens: int = Field(default=256, ge=1, le=1_000_000)
    seed: int = Field(default=0, ge=0, le=2**31)


class Placement(Model):
    """A checkpoint entry: the engine and stream that generate a sample.

    ``pieces`` is the number of pieces received so far.
    """

    group: Annotated[str, Field(max_length=64)]
    index: int = Field(ge=0, le=1024)
    engine: Name
    stream: Annotated[str, Field(min_length=1, max_length=300)]
    pieces: int = Field(default=0, ge=0)


class StepRequest(Model):
    """A trainer's request for the samples of a step.

    ``received`` lists the samples (group, index) that the trainer already has.
    """

    version: int = Field(ge=0, le=2**31)
    deadline_seconds: float = Field(default=1260.0, gt=0, le=86_400)
    groups: list[GroupRequest] = Field(min_length=1, max_length=4096)
    received: list[tuple[str, int]] = Field(default_factory=list, max_length=100_000)
    checkpoint: list[Placement] | None = Field(default=None, max_length=100_000)

    @model_validator(mode="after")
    def _validate_slots(self) -> StepRequest:
        samples_by_group = {group.group: group.samples for group in self.groups}
        if len(samples_by_group) != len(self.groups):
            raise ValueError("group names must be unique")
        for group, index in self.received:
            if not 0 <= index < samples_by_group.get(group, 0):
                raise ValueError(
                    f"received names a sample outside the step: {group}/{index}"
                )
        for placement in self.checkpoint or []:
            if placement.index >= samples_by_group.get(placement.group, 0):
                raise ValueError(
                    "checkpoint names a sample outside the step: "
                    f"{placement.group}/{placement.index}"
                )
        return self


class VersionSpan(Model):
    """The number of tokens of a sample that one weight version generated."""

    version: int
    tokens: int


class Sample(Model):
    """A complete rollout sample.

    ``versions`` lists the weight versions that generated it, in token order.
    """

    group: str
    index: int
    text: str
    tokens: int
    versions: list[VersionSpan]
    engine: str


class GroupEvent(Model):
    """All samples of a group that the trainer does not have yet."""

    event: Literal["group"] = "group"
    group: str
    newest_version: int
    samples: list[Sample]


class CheckpointEvent(Model):
    """The engines and streams that generate the samples in progress."""

    event: Literal["checkpoint"] = "checkpoint"
    placements: list[Placement]


class MovedEvent(Model):
    """The host is stopping; the trainer should call any other host."""

    event: Literal["moved"] = "moved"
    placements: list[Placement]
    retry_after: float


class DoneEvent(Model):
    """All samples of the step have been handed over."""

    event: Literal["done"] = "done"


class FailedEvent(Model):
    """The step failed; ``problem`` is the problem object of the error."""

    event: Literal["failed"] = "failed"
    problem: dict[str, Any]
    placements: list[Placement]


def check(model: type[ModelT], data: Any, prefix: str = "") -> ModelT:
    """Validate ``data`` and return it as ``model``.

    :param prefix: prefix of the field path in errors, such as ``spec``.
    :raises InvalidInputError: a field is not valid; names the first such field.
    """
    try:
        return model.model_validate(data)
    except ValidationError as error:
        raise _invalid_input(error, prefix) from None


def check_json(model: type[ModelT], body: bytes, prefix: str = "") -> ModelT:
    """Parse the JSON text ``body`` as ``model``; see :func:`check`."""
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise _invalid_input(error, prefix) from None


def _invalid_input(error: ValidationError, prefix: str) -> InvalidInputError:
    first = error.errors(include_url=False, include_input=False)[0]
    path = [prefix] if prefix else []
    path += [str(part) for part in first["loc"]]
    field = ".".join(path) or "body"
    return InvalidInputError(f"{field}: {first['msg']}", field=field)
