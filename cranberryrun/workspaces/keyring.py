"""Workspaces by the digests of their keys. Does no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

from ..exceptions import RecordInvalidError

# A manifest has some thousand keys, and each takes about 100 bytes.
_MAX_REVOKED_KEYS = 10_000


@dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers that shares keys and batches.

    ``priority`` replaces that of routes, 0 first; with None the route's applies.
    """

    name: str
    priority: int | None = None


class Keyring:
    """Finds the workspace of a key; keeps no key, only digests.

    :param entries: each workspace with its keys. An empty key admits nobody: a request
        without a key must not match it.
    :raises RecordInvalidError: a name is empty or has control characters, or two
        workspaces share a name or a key.
    """

    def __init__(self, entries: Iterable[tuple[Workspace, Iterable[str]]]) -> None:
        self._workspace_by_name: dict[str, Workspace] = {}
        self._workspace_by_digest: dict[bytes, Workspace] = {}
        self._workspace_by_revoked_digest: dict[bytes, Workspace] = {}
        self.keyless: tuple[str, ...] = ()
        """The names of the workspaces that have no key, as all were revoked."""
        self._fill(
            (workspace, {_digest(key) for key in keys if key})
            for workspace, keys in entries
        )

    @classmethod
    def from_digests(
        cls, entries: Iterable[tuple[Workspace, Iterable[bytes]]]
    ) -> Keyring:
        """Return the keyring of workspaces whose keys are known by digest only.

        :raises RecordInvalidError: see :class:`Keyring`.
        """
        keyring = cls(())
        keyring._fill((workspace, set(digests)) for workspace, digests in entries)
        return keyring

    def __len__(self) -> int:
        """Return the number of workspaces."""
        return len(self._workspace_by_name)

    def find(self, key: str) -> Workspace | None:
        """Return the workspace of a key; None if no workspace has it."""
        return self._workspace_by_digest.get(_digest(key))

    def follow(self, earlier: Keyring) -> None:
        """Remember the keys of an earlier keyring that are revoked in this one."""
        former = earlier._workspace_by_revoked_digest | earlier._workspace_by_digest
        revoked = [
            (digest, workspace)
            for digest, workspace in former.items()
            if digest not in self._workspace_by_digest
        ]
        self._workspace_by_revoked_digest = dict(revoked[-_MAX_REVOKED_KEYS:])

    def find_revoked(self, key: str) -> Workspace | None:
        """Return the workspace that a key led to before it was revoked, if known."""
        return self._workspace_by_revoked_digest.get(_digest(key))

    def find_digest(self, digest: bytes) -> Workspace | None:
        """Return the workspace that has the key of a digest; None if none has it."""
        return self._workspace_by_digest.get(digest)

    def _fill(self, entries: Iterable[tuple[Workspace, set[bytes]]]) -> None:
        keyless = []
        for workspace, digests in entries:
            self._add_workspace(workspace)
            for digest in digests:
                self._add_digest(digest, workspace)
            if not digests:
                keyless.append(workspace.name)
        self.keyless = tuple(keyless)

    def _add_workspace(self, workspace: Workspace) -> None:
        # The name is sent in a header.
        if not workspace.name or not workspace.name.isprintable():
            raise RecordInvalidError(
                f"workspace {workspace.name!r}: the name is empty or has control "
                "characters"
            )
        if workspace.name in self._workspace_by_name:
            raise RecordInvalidError(f"two workspaces have the name {workspace.name}")
        self._workspace_by_name[workspace.name] = workspace

    def _add_digest(self, digest: bytes, workspace: Workspace) -> None:
        other = self._workspace_by_digest.setdefault(digest, workspace)
        if other is not workspace:
            raise RecordInvalidError(
                f"workspaces {other.name} and {workspace.name} share a key"
            )


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
