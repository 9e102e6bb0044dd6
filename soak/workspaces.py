"""Workspaces of a soak run, the keys that its manifests held, and their checks."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any

from standins.platform_store import PlatformStore
from standins.platform_target import PlatformTarget

KEY = "X-Cranberryrun-Key"
WORKSPACE = "X-Cranberryrun-Tenant"
# Begins every key, so that the checks find keys in any text.
KEY_PREFIX = "soak-key-"
_NAMES = ("alder", "birch", "cedar")
_MAX_ADDED_KEYS = 6


class Workspaces:
    """The workspaces of the manifest; each has a key that every manifest holds.

    :ivar workspace_by_key: the workspace of each key that any manifest ever held. A key
        never moves to another workspace.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.names = _NAMES
        self.workspace_by_key: dict[str, str] = {}
        self._permanent_key_by_name = {
            name: self._add_key(name, f"permanent-{name}") for name in _NAMES
        }
        self._added_keys: list[str] = []
        self._added_count = 0

    def _add_key(self, name: str, suffix: str) -> str:
        key = f"{KEY_PREFIX}{suffix}-{self.rng.getrandbits(64):016x}"
        self.workspace_by_key[key] = name
        return key

    def tenants(self) -> list[dict[str, Any]]:
        """Return the workspaces as the manifest in force lists them."""
        keys = [*self._permanent_key_by_name.values(), *self._added_keys]
        return [
            {
                "name": name,
                "api-keys": [key for key in keys if self.workspace_by_key[key] == name],
                "priority": priority,
            }
            for priority, name in enumerate(_NAMES)
        ]

    def change_keys(self) -> str:
        """Add or remove a key; return which workspace was affected and how."""
        remove = self._added_keys and self.rng.random() < 0.5
        if remove or len(self._added_keys) >= _MAX_ADDED_KEYS:
            key = self._added_keys.pop(self.rng.randrange(len(self._added_keys)))
            return f"{self.workspace_by_key[key]} removed"
        name = self.rng.choice(_NAMES)
        self._added_count += 1
        self._added_keys.append(self._add_key(name, f"added-{self._added_count}"))
        return f"{name} added"

    def permanent_key(self, name: str = _NAMES[0]) -> str:
        """Return the key of a workspace that every manifest holds."""
        return self._permanent_key_by_name[name]

    def is_permanent(self, key: str | None) -> bool:
        """Return whether every manifest holds a key."""
        return key in self._permanent_key_by_name.values()

    def unknown_key(self) -> str:
        """Return a key that no manifest ever holds."""
        return f"{KEY_PREFIX}unknown-{self.rng.getrandbits(64):016x}"

    def own_key(self, name: str) -> str:
        """Return a key of a workspace that the newest manifest holds."""
        added = [key for key in self._added_keys if self.workspace_by_key[key] == name]
        return self.rng.choice([self.permanent_key(name), *added])

    def foreign_key(self, name: str | None) -> str | None:
        """Return a key of another workspace, an unknown one or none."""
        others = [other for other in _NAMES if other != name]
        keys = [self.permanent_key(other) for other in others]
        return self.rng.choice([*keys, self.unknown_key(), None])

    def any_key(self) -> str | None:
        """Return a key in force, one that was ever added, an unknown one or none."""
        in_force = self.own_key(self.rng.choice(_NAMES))
        ever_held = self.rng.choice(list(self.workspace_by_key))
        choices = [in_force, ever_held, self.unknown_key(), None]
        return self.rng.choices(choices, weights=[15, 3, 2, 1])[0]


def check_targets(
    workspace_by_key: Mapping[str, str],
    key_by_attempt: Mapping[str, str | None],
    workspace_by_item: Mapping[str, str | None],
    targets: Iterable[PlatformTarget],
) -> Iterator[str]:
    """Yield what is wrong with the requests that reached targets.

    :param key_by_attempt: the key of each caller's request; None if it had none.
    """
    for target in targets:
        for request in target.requests:
            value_by_name = {name.lower(): value for name, value in request.items()}
            attempt = value_by_name.get("x-cranberryrun-attempt-id", "")
            workspace = value_by_name.get(WORKSPACE.lower())
            if KEY.lower() in value_by_name or KEY_PREFIX in str(request):
                yield f"{attempt}: a key reached {target.id}"
            expected = workspace
            if attempt in key_by_attempt:
                expected = workspace_by_key.get(key_by_attempt[attempt] or "")
                if expected is None:
                    yield f"{attempt}: {target.id} got it, but no manifest had its key"
            elif attempt in workspace_by_item:
                expected = workspace_by_item[attempt]
            if workspace != expected:
                yield (
                    f"{attempt}: {target.id} got it for workspace {workspace},"
                    f" but it belongs to {expected}"
                )


def check_stored_text(
    store: PlatformStore, operator_topic: str, log_folder: Path
) -> Iterator[str]:
    """Yield the topics and logs that contain a key.

    :param operator_topic: the topic of the manifest, the only one that may.
    """
    for topic, records in store.records_by_topic.items():
        if topic != operator_topic and KEY_PREFIX.encode() in b"\n".join(records):
            yield f"topic {topic} contains a key"
    for path in sorted(log_folder.glob("*.log")):
        if KEY_PREFIX.encode() in path.read_bytes():
            yield f"log {path.name} contains a key"
