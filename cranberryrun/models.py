"""Validated models of all that crosses the border: resources and trainer calls."""

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
Kind = Literal["workloads", "engines", "services"]
KINDS: tuple[Kind, ...] = ("workloads", "engines", "services")
ModelT = TypeVar("ModelT", bound=BaseModel)


class Model(BaseModel):
    """Base of border models: unknown fields and infinite numbers are errors."""

    model_config = ConfigDict(extra="forbid", allow_inf_nan=False)


class WorkloadSpec(Model):
    """What a trainer's workload may use and what it must get.

    ``pool`` names the engines it may use; ``freshness_bound`` is in weight
    versions; ``rate`` is the declared use in engines, all trainers together;
    ``idle_weight`` says how much trainer idle time counts against staleness
    (1: only idle time, 0: only staleness).
    """

    pool: Name = Field(description="The engines it may use.")
    trainers: int = Field(
        default=1, ge=1, le=1000, description="How many trainers share its rate."
    )
    freshness_bound: int = Field(
        ge=0,
        le=1_000_000,
        description="Versions that a sample may lie behind the newest when it is "
        "handed over.",
    )
    priority: int = Field(default=0, ge=-100, le=100, description="Higher goes first.")
    rate: float = Field(
        default=1.0,
        gt=0,
        le=100_000,
        description="Declared use in engines, all trainers together.",
    )
    idle_weight: float = Field(
        default=0.5,
        ge=0,
        le=1,
        description="How much trainer idle time counts against staleness: 1 "
        "counts only idle time, 0 only staleness.",
    )
    max_tokens: int = Field(
        default=4096, ge=1, le=1_000_000, description="The most tokens of one sample."
    )
    price_per_engine_hour: float = Field(
        default=0.0, ge=0, description="For the forecast."
    )


class EngineSpec(Model):
    """A model engine. ``slots`` is how many streams it runs at once."""

    url: Url = Field(description="Base URL, with no path.")
    zone: Name = Field(description="Its availability zone.")
    pool: Name = Field(description="The pool it belongs to.")
    slots: int = Field(
        default=8, ge=1, le=10_000, description="Streams that it runs at once."
    )
    tokens_per_second: float = Field(
        default=1000.0, gt=0, description="Its speed with all slots in use."
    )
    fencing: Literal["honoured", "ignored"] = Field(
        default="honoured",
        description="Whether it refuses an order with an old fencing number.",
    )
    model: str | None = Field(default=None, description="The model it should run.")
    adapters: list[str] = Field(
        default_factory=list, max_length=100, description="The adapters it should have."
    )
    role: str | None = Field(default=None, description="The role it should have.")


class ServiceTarget(Model):
    """One target of a plain service."""

    id: Name = Field(description="Its name on the host list.")
    url: Url = Field(description="Base URL, with no path.")
    zone: Name = Field(description="Its availability zone.")


class ServiceSpec(Model):
    """Request traffic: to plain targets, or to the engines of a pool.

    ``repeatable`` lists the HTTP methods that may be sent again after a
    failure. ``on_log_outage`` says what becomes of keyed calls that can't be
    recorded. Times are in seconds.
    """

    targets: list[ServiceTarget] = Field(
        default_factory=list,
        max_length=1000,
        description="Plain targets; or else give pool.",
    )
    pool: Name | None = Field(
        default=None, description="The engines that answer; or else give targets."
    )
    repeatable: list[Literal["GET", "HEAD", "PUT", "DELETE", "POST"]] = Field(
        default=["GET", "HEAD"],
        description="Methods that may be sent again after a failure.",
    )
    on_log_outage: Literal["refuse", "send_once"] = Field(
        default="refuse",
        description="What becomes of keyed calls that can't be recorded: refused, "
        "or sent once with no record.",
    )
    timeout: float = Field(
        default=10.0,
        gt=0,
        le=3600,
        description="The longest a call may take, in seconds.",
    )
    priority: int = Field(default=50, ge=-100, le=100, description="Higher goes first.")
    concurrency: int = Field(
        default=64,
        ge=1,
        le=100_000,
        description="Calls that one host has in flight at once.",
    )

    @model_validator(mode="after")
    def _one_kind_of_target(self) -> ServiceSpec:
        if bool(self.targets) == (self.pool is not None):
            raise ValueError("give either targets or pool")
        if len({target.id for target in self.targets}) != len(self.targets):
            raise ValueError("target ids must differ")
        return self


SPEC_BY_KIND: dict[str, type[Model]] = {
    "workloads": WorkloadSpec,
    "engines": EngineSpec,
    "services": ServiceSpec,
}


class Change(Model):
    """A change of one resource, as it stands in the log."""

    record: Literal["change"] = "change"
    change_id: Annotated[str, Field(pattern=r"^[!-~]{1,100}$")]
    kind: Kind
    name: Name
    expected_generation: int = Field(ge=0)
    operation: Literal["put", "delete"]
    spec: dict[str, Any] | None = None
    host: str = ""


class VersionRecord(Model):
    """A weight version of a workload, as it stands in the log."""

    record: Literal["version"] = "version"
    workload: Name
    version: int = Field(ge=0)


class SnapshotRecord(Model):
    """The whole configuration up to and with offset ``covers``."""

    record: Literal["snapshot"] = "snapshot"
    covers: int = Field(ge=-1)
    state: dict[str, Any]
    host: str = ""


class VersionAnnouncement(Model):
    """A trainer's word that a weight version can be loaded."""

    version: int = Field(ge=0, le=2**31)


class GroupRequest(Model):
    """A group of samples of one prompt."""

    group: Annotated[str, Field(pattern=r"^[A-Za-z0-9_.-]{1,64}$")]
    prompt: str = Field(max_length=1_000_000)
    samples: int = Field(ge=1, le=1024)
    max_tokens: int = Field(default=256, ge=1, le=1_000_000)
    seed: int = Field(default=0, ge=0, le=2**31)


class Placement(Model):
    """Where a sample is being made: one line of a checkpoint."""

    group: Annotated[str, Field(max_length=64)]
    index: int = Field(ge=0, le=1024)
    engine: Name
    stream: Annotated[str, Field(min_length=1, max_length=300)]
    pieces: int = Field(default=0, ge=0)


class StepRequest(Model):
    """A trainer's call for the samples of a step.

    ``received`` lists the slots (group, index) that the trainer holds.
    """

    version: int = Field(ge=0, le=2**31)
    deadline_seconds: float = Field(default=1260.0, gt=0, le=86_400)
    groups: list[GroupRequest] = Field(min_length=1, max_length=4096)
    received: list[tuple[str, int]] = Field(default_factory=list, max_length=100_000)
    checkpoint: list[Placement] | None = Field(default=None, max_length=100_000)

    @model_validator(mode="after")
    def _groups_differ(self) -> StepRequest:
        samples_by_group = {group.group: group.samples for group in self.groups}
        if len(samples_by_group) != len(self.groups):
            raise ValueError("group names must differ")
        for group, index in self.received:
            if not 0 <= index < samples_by_group.get(group, 0):
                raise ValueError(f"received names no slot of the step: {group}/{index}")
        for placement in self.checkpoint or []:
            if placement.index >= samples_by_group.get(placement.group, 0):
                raise ValueError(
                    "checkpoint names no slot of the step: "
                    f"{placement.group}/{placement.index}"
                )
        return self


class VersionSpan(Model):
    """How many tokens of a sample one weight version made."""

    version: int
    tokens: int


class Sample(Model):
    """One whole rollout sample and the versions that made it, oldest piece first."""

    group: str
    index: int
    text: str
    tokens: int
    versions: list[VersionSpan]
    engine: str


class GroupEvent(Model):
    """All samples of a group that the trainer does not hold yet."""

    event: Literal["group"] = "group"
    group: str
    newest_version: int
    samples: list[Sample]


class CheckpointEvent(Model):
    """Where the samples in progress are being made."""

    event: Literal["checkpoint"] = "checkpoint"
    placements: list[Placement]


class MovedEvent(Model):
    """This host is stopping: call again, at any other host."""

    event: Literal["moved"] = "moved"
    placements: list[Placement]
    retry_after: float


class DoneEvent(Model):
    """Every sample of the step has been handed over."""

    event: Literal["done"] = "done"


class FailedEvent(Model):
    """The step can't go on here; ``problem`` says why."""

    event: Literal["failed"] = "failed"
    problem: dict[str, Any]
    placements: list[Placement]


def check(model: type[ModelT], data: Any, prefix: str = "") -> ModelT:
    """Return ``data`` as ``model``.

    :param prefix: put before the field's path in the error, such as ``spec``.
    :raises InvalidInputError: naming the first field that is not valid.
    """
    try:
        return model.model_validate(data)
    except ValidationError as error:
        raise _invalid_input(error, prefix) from None


def check_json(model: type[ModelT], body: bytes, prefix: str = "") -> ModelT:
    """Return the JSON text ``body`` as ``model``; errors as in :func:`check`."""
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
