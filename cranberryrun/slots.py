"""The slots that one call of a step has to fill, and their complete samples."""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from .models import Placement, Sample, StepRequest

SlotKey = tuple[str, int]


@dataclass(slots=True)
class Slot:
    """The place of one sample in a step, with what an engine needs to generate it.

    ``attempts`` counts the streams started for it; before the loop time
    ``not_before``, in seconds, it gets no further one.
    """

    group: str
    index: int
    prompt: str
    max_tokens: int
    seed: int
    prompt_digest: str = ""
    attempts: int = 0
    not_before: float = 0.0

    @property
    def key(self) -> SlotKey:
        """Group and index, which identify the slot within its step."""
        return self.group, self.index


@dataclass(frozen=True, slots=True)
class CompleteSample:
    """A complete sample that waits until its group is complete.

    ``newest_at_dispatch`` is the newest version that was known when its stream
    started; ``placement`` names the engine that still keeps the stream.
    """

    sample: Sample
    newest_at_dispatch: int
    placement: Placement

    @property
    def oldest(self) -> int:
        """The oldest version that generated a part of the sample."""
        return min(span.version for span in self.sample.versions)


@dataclass(slots=True)
class _Group:
    keys: set[SlotKey] = field(default_factory=set)
    complete_by_key: dict[SlotKey, CompleteSample] = field(default_factory=dict)

    @property
    def is_complete(self) -> bool:
        return len(self.complete_by_key) == len(self.keys)


class StepSlots:
    """The slots of one call; each is handed over once, with its complete group.

    The cost of adding a sample does not depend on the size of the step.
    """

    def __init__(self, request: StepRequest) -> None:
        self.by_key: dict[SlotKey, Slot] = _missing_slots(request)
        self.total = len(self.by_key)
        self._group_by_name: dict[str, _Group] = {}
        for key in self.by_key:
            group = self._group_by_name.setdefault(key[0], _Group())
            group.keys.add(key)
        # A dictionary, unlike a set, keeps the order in which groups were completed.
        self._complete_groups: dict[str, None] = {}
        self._complete_count = 0

    def __bool__(self) -> bool:
        """Return whether any slot has not been handed over."""
        return bool(self.by_key)

    @property
    def incomplete_count(self) -> int:
        """The number of slots without a complete sample."""
        return len(self.by_key) - self._complete_count

    def is_open(self, key: SlotKey) -> bool:
        """Return whether the slot still needs a sample."""
        return key in self.by_key and self.complete_sample(key) is None

    def complete_sample(self, key: SlotKey) -> CompleteSample | None:
        """Return the slot's complete sample; None if it has none."""
        group = self._group_by_name.get(key[0])
        return group.complete_by_key.get(key) if group else None

    def add_complete(self, key: SlotKey, complete: CompleteSample) -> bool:
        """Add the slot's sample; return False, and drop it, if it isn't the first."""
        if not self.is_open(key):
            return False
        group = self._group_by_name[key[0]]
        group.complete_by_key[key] = complete
        self._complete_count += 1
        if group.is_complete:
            self._complete_groups[key[0]] = None
        return True

    def discard(self, key: SlotKey) -> Slot:
        """Discard the slot's sample and return the slot, which needs another one."""
        del self._group_by_name[key[0]].complete_by_key[key]
        self._complete_count -= 1
        self._complete_groups.pop(key[0], None)
        return self.by_key[key]

    def complete_samples(self) -> list[tuple[SlotKey, CompleteSample]]:
        """Return every complete sample that has not been handed over."""
        return [
            entry
            for group in self._group_by_name.values()
            for entry in group.complete_by_key.items()
        ]

    def complete_groups(self) -> list[str]:
        """Return the names of the complete groups, in order of completion."""
        return list(self._complete_groups)

    def group_samples(self, group: str) -> list[tuple[SlotKey, CompleteSample]]:
        """Return the complete samples of a group, sorted by index."""
        return sorted(
            self._group_by_name[group].complete_by_key.items(),
            key=lambda entry: entry[0],
        )

    def take_group(self, group: str) -> list[Sample]:
        """Remove a complete group and return its samples."""
        samples = [complete.sample for _, complete in self.group_samples(group)]
        for key in self._group_by_name.pop(group).keys:
            del self.by_key[key]
        self._complete_groups.pop(group, None)
        self._complete_count -= len(samples)
        return samples


def _missing_slots(request: StepRequest) -> dict[SlotKey, Slot]:
    """Return the slots whose samples the trainer has not received, by key."""
    received = {(group, index) for group, index in request.received}
    by_key: dict[SlotKey, Slot] = {}
    for group in request.groups:
        prompt_digest = xxhash.xxh3_64_hexdigest(group.prompt.encode())
        for index in range(group.samples):
            if (group.group, index) in received:
                continue
            by_key[group.group, index] = Slot(
                group=group.group,
                index=index,
                prompt=group.prompt,
                max_tokens=group.max_tokens,
                seed=group.seed + index,
                prompt_digest=prompt_digest,
            )
    return by_key
