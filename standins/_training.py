"""Record of the samples that a trainer received."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from typing import Any

from ._program import wall_time


@dataclass
class ReceivedSample:
    """One received sample; ``time`` is wall-clock time."""

    step: int
    group: str
    index: int
    tokens: int
    versions: list[int]
    newest_version: int
    time: float
    doubled: bool
    stale: bool
    unstamped: bool

    @property
    def staleness(self) -> int | None:
        """Number of versions by which the oldest stamp is behind the trainer."""
        if not self.versions:
            return None
        return max(self.newest_version - min(self.versions), 0)


@dataclass
class StepRecord:
    """One step; ``seconds`` is the time from the first call to ``done``."""

    step: int
    version: int
    started: float
    expected: int
    calls: int = 0
    seconds: float = 0.0
    done: bool = False
    received: set[tuple[str, int]] = field(default_factory=set)

    def as_json(self) -> dict[str, Any]:
        """Return the step with the number of received slots instead of their list."""
        return {**asdict(self), "received": len(self.received)}


class TrainingRecord:
    """Samples, steps and announcements of one trainer.

    :param freshness_bound: versions by which a sample may be behind the trainer.
    """

    def __init__(self, freshness_bound: int) -> None:
        self.freshness_bound = freshness_bound
        self.samples: list[ReceivedSample] = []
        self.steps: list[StepRecord] = []
        self.announcements: list[dict[str, Any]] = []
        self.failures: list[dict[str, Any]] = []

    def add_step(self, step: int, version: int, expected: int) -> StepRecord:
        """Add a step of ``expected`` samples."""
        record = StepRecord(step, version, wall_time(), expected)
        self.steps.append(record)
        return record

    def add_sample(self, step: StepRecord, sample: dict[str, Any]) -> None:
        """Add one sample of the step and check it for duplicates and staleness."""
        slot = (str(sample["group"]), int(sample["index"]))
        stamps = sample.get("versions") or []
        versions = [stamp.get("version") for stamp in stamps]
        unstamped = not versions or any(not isinstance(v, int) for v in versions)
        known_versions = [] if unstamped else versions
        received = ReceivedSample(
            step=step.step,
            group=slot[0],
            index=slot[1],
            tokens=int(sample.get("tokens", 0)),
            versions=known_versions,
            newest_version=step.version,
            time=wall_time(),
            doubled=slot in step.received,
            stale=bool(known_versions)
            and step.version - min(known_versions) > self.freshness_bound,
            unstamped=unstamped,
        )
        step.received.add(slot)
        self.samples.append(received)

    def add_failure(self, step: int, entry: str, cause: str) -> None:
        """Record why a call of the step ended without ``done``."""
        failure = {"step": step, "entry": entry, "cause": cause, "time": wall_time()}
        self.failures.append(failure)

    def summary(self) -> dict[str, Any]:
        """Return the totals of all steps."""
        stalenesses = [sample.staleness for sample in self.samples]
        return {
            "steps_done": sum(step.done for step in self.steps),
            "samples_expected": sum(step.expected for step in self.steps),
            "samples_received": sum(len(step.received) for step in self.steps),
            "samples_doubled": sum(sample.doubled for sample in self.samples),
            "samples_stale": sum(sample.stale for sample in self.samples),
            "samples_unstamped": sum(sample.unstamped for sample in self.samples),
            "trainer_idle_seconds": sum(step.seconds for step in self.steps),
            "staleness_mean_versions": _mean(stalenesses),
        }

    def as_json(self) -> dict[str, Any]:
        """Return everything, the summary first."""
        return {
            "summary": self.summary(),
            "steps": [step.as_json() for step in self.steps],
            "announcements": self.announcements,
            "failures": self.failures,
            "samples": [asdict(sample) for sample in self.samples],
        }


def _mean(values: Iterable[int | None]) -> float | None:
    known_versions = [value for value in values if value is not None]
    return sum(known_versions) / len(known_versions) if known_versions else None
