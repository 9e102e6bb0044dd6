"""The samples that one call of a step still lacks, and those that are whole."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from .models import Placement, Sample, StepRequest

SlotKey = tuple[str, int]


@dataclass(slots=True)
class Slot:
    """A sample that a step still lacks.

    ``prefix`` is a digest of the prompt; ``not_before`` is in loop seconds.
    """

    group: str
    index: int
    prompt: str
    max_tokens: int
    seed: int
    prefix: str = ""
    attempts: int = 0
    not_before: float = 0.0

    @property
    def key(self) -> SlotKey:
        """The slot's identity within its step."""
        return self.group, self.index


@dataclass(frozen=True, slots=True)
class WholeSample:
    """A sample that waits for its group.

    ``newest_at_dispatch`` is the version that was the newest one known when its
    stream began; ``placement`` says where that stream is kept.
    """

    sample: Sample
    newest_at_dispatch: int
    placement: Placement

    @property
    def oldest(self) -> int:
        """The oldest version that made a part of the sample."""
        return min(span.version for span in self.sample.versions)


@dataclass(slots=True)
class _Group:
    missing: set[SlotKey] = field(default_factory=set)
    whole_by_key: dict[SlotKey, WholeSample] = field(default_factory=dict)

    @property
    def is_whole(self) -> bool:
        return len(self.whole_by_key) == len(self.missing)


class StepSlots:
    """Each slot leaves once, with its whole group.

    The cost of a sample does not depend on the size of the step.
    """

    def __init__(self, request: StepRequest) -> None:
        self.by_key: dict[SlotKey, Slot] = _missing(request)
        self.total = len(self.by_key)
        self._group_by_name: dict[str, _Group] = {}
        for key in self.by_key:
            group = self._group_by_name.setdefault(key[0], _Group())
            group.missing.add(key)
        # A dictionary in place of a set keeps the order in which groups got whole.
        self._ready: dict[str, None] = {}
        self._whole = 0

    def __bool__(self) -> bool:
        """Say whether any slot has not been handed over."""
        return bool(self.by_key)

    @property
    def unmade(self) -> int:
        """How many samples are not whole."""
        return len(self.by_key) - self._whole

    def is_open(self, key: SlotKey) -> bool:
        """Say whether the slot still needs a sample."""
        return key in self.by_key and self.whole(key) is None

    def whole(self, key: SlotKey) -> WholeSample | None:
        """Return the slot's whole sample, if it has one."""
        group = self._group_by_name.get(key[0])
        return group.whole_by_key.get(key) if group else None

    def put(self, key: SlotKey, whole: WholeSample) -> bool:
        """Keep the slot's sample; say whether it is the slot's first one."""
        if not self.is_open(key):
            return False
        group = self._group_by_name[key[0]]
        group.whole_by_key[key] = whole
        self._whole += 1
        if group.is_whole:
            self._ready[key[0]] = None
        return True

    def drop(self, key: SlotKey) -> Slot:
        """Forget the slot's whole sample; it has to be made again."""
        del self._group_by_name[key[0]].whole_by_key[key]
        self._whole -= 1
        self._ready.pop(key[0], None)
        return self.by_key[key]

    def waiting(self) -> list[tuple[SlotKey, WholeSample]]:
        """Return every whole sample that has not been handed over."""
        return [
            item
            for group in self._group_by_name.values()
            for item in group.whole_by_key.items()
        ]

    def ready(self) -> list[str]:
        """Return the groups that are whole, first come first."""
        return list(self._ready)

    def of_group(self, group: str) -> list[tuple[SlotKey, WholeSample]]:
        """Return the whole samples of a group, in the order of their index."""
        return sorted(
            self._group_by_name[group].whole_by_key.items(), key=lambda item: item[0]
        )

    def take(self, group: str) -> list[Sample]:
        """Remove a whole group and return its samples."""
        samples = [whole.sample for _, whole in self.of_group(group)]
        for key in self._group_by_name.pop(group).missing:
            del self.by_key[key]
        self._ready.pop(group, None)
        self._whole -= len(samples)
        return samples


def _missing(request: StepRequest) -> dict[SlotKey, Slot]:
    """Return the slots that the trainer does not hold, by key."""
    received = {(group, index) for group, index in request.received}
    by_key: dict[SlotKey, Slot] = {}
    for group in request.groups:
        prefix = xxhash.xxh3_64_hexdigest(group.prompt.encode())
        for index in range(group.samples):
            if (group.group, index) in received:
                continue
            by_key[group.group, index] = Slot(
                group=group.group,
                index=index,
                prompt=group.prompt,
                max_tokens=group.max_tokens,
                seed=group.seed + index,
                prefix=prefix,
            )
    return by_key
