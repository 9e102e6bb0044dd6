"""Decides what a caller may do, from the key of the call. Does no I/O.

Nothing here depends on the number of keys, workspaces or calls: each decision is one
look-up of a digest and a comparison of names.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, replace
from typing import NoReturn

from ..exceptions import NotFoundError, NotReadyError, UnauthorizedError
from ..fleet.manifest import Manifest, Route
from .keyring import Workspace

_RETRY_AFTER_SECONDS = 0.5


class KeyState(enum.Enum):
    """What the manifest in force says of the key of a call.

    ``UNUSED`` means that the manifest has no workspaces, so keys mean nothing.
    """

    UNUSED = "unused"
    KNOWN = "known"
    MISSING = "missing"
    UNKNOWN = "unknown"


class Rejection(enum.Enum):
    """Why a call was rejected; the values are those of the metric's label."""

    KEY_MISSING = "missing"
    KEY_UNKNOWN = "unknown"
    KEY_REVOKED = "revoked"
    OTHER_WORKSPACE = "other_workspace"


class KeyRejectedError(UnauthorizedError):
    """The call needs a key of a workspace and has none, or an unknown one.

    :param workspace: the workspace that a revoked key led to. The caller is not told.
    """

    def __init__(
        self, detail: str, rejection: Rejection, workspace: str | None = None
    ) -> None:
        super().__init__(detail)
        self.rejection = rejection
        self.workspace = workspace


class OtherWorkspaceError(NotFoundError):
    """The batch belongs to another workspace.

    Its answer is that for a batch that does not exist, so that it says nothing of it.

    :param workspace: the workspace of the caller, if it has one.
    """

    def __init__(self, detail: str, workspace: str | None) -> None:
        super().__init__(detail)
        self.rejection = Rejection.OTHER_WORKSPACE
        self.workspace = workspace


@dataclass(frozen=True, slots=True)
class Caller:
    """Who makes a call. ``manifest_version`` is that of the manifest that was asked.

    ``workspace`` is set if and only if the key is known, and ``former_workspace`` if
    the key was revoked since this host started.
    """

    key: KeyState
    manifest_version: int
    workspace: Workspace | None = None
    former_workspace: Workspace | None = None

    @classmethod
    def identify(cls, manifest: Manifest, key: str | None) -> Caller:
        """Return the caller that has ``key``.

        :param key: the value of the key header; None or empty if there is none.
        """
        if manifest.keyring is None:
            return cls(KeyState.UNUSED, manifest.version)
        if not key:
            return cls(KeyState.MISSING, manifest.version)
        workspace = manifest.keyring.find(key)
        if workspace is not None:
            return cls(KeyState.KNOWN, manifest.version, workspace)
        former = manifest.keyring.find_revoked(key)
        return cls(KeyState.UNKNOWN, manifest.version, former_workspace=former)

    @property
    def workspace_name(self) -> str | None:
        """The name of the caller's workspace; None without one."""
        return self.workspace.name if self.workspace is not None else None

    @property
    def priority(self) -> int | None:
        """The priority of the caller's workspace; None if the route's applies."""
        return self.workspace.priority if self.workspace is not None else None

    def check_route(self, route: Route | None) -> None:
        """Return if the caller may use a route.

        Without a key, a path without a route is treated as one with a route, so that
        the answer does not tell which routes there are.

        :raises KeyRejectedError: the caller may not.
        """
        if route is not None and route.public:
            return
        if self.key not in (KeyState.UNUSED, KeyState.KNOWN):
            raise self._key_error()

    def with_priority(self, route: Route) -> Route:
        """Return ``route`` with the priority of the workspace, if that has one."""
        if self.priority is None:
            return route
        return replace(route, priority=self.priority)

    def may_use(self, owner: str | None) -> bool:
        """Return whether the caller may use a batch.

        :param owner: the workspace of the batch; None if it is open to all.
        """
        return owner is None or owner == self.workspace_name

    def check_batch(self, batch_id: str, exists: bool, owner: str | None) -> None:
        """Return if the caller may use a batch.

        :raises KeyRejectedError: there is no known key, and the batch is not known to
            be open to all.
        :raises NotFoundError: the batch does not exist.
        :raises OtherWorkspaceError: it belongs to another workspace.
        :raises NotReadyError: it belongs to a workspace, but the manifest in force has
            none.
        """
        if exists and self.may_use(owner):
            return
        if self.key in (KeyState.MISSING, KeyState.UNKNOWN):
            raise self._key_error()
        if not exists:
            raise NotFoundError(_no_batch(batch_id))
        self._refuse_other(batch_id)

    def check_submission(self, batch_id: str, owner: str | None) -> None:
        """Return if a submission repeats a batch that the caller may use.

        :raises OtherWorkspaceError: the batch belongs to another workspace.
        :raises NotReadyError: as for :meth:`check_batch`.
        """
        if not self.may_use(owner):
            self._refuse_other(batch_id)

    def _refuse_other(self, batch_id: str) -> NoReturn:
        if self.key is KeyState.UNUSED:
            # Another host has a manifest with workspaces, which this one has not read
            # yet: it can't tell the owner from others.
            raise NotReadyError(
                f"manifest {self.manifest_version} has no workspaces, so the caller of "
                "the batch can't be checked",
                retry_after=_RETRY_AFTER_SECONDS,
            )
        raise OtherWorkspaceError(_no_batch(batch_id), self.workspace_name)

    def _key_error(self) -> KeyRejectedError:
        if self.key is KeyState.MISSING:
            return KeyRejectedError(
                "the request has no key of a workspace", Rejection.KEY_MISSING
            )
        detail = f"no workspace of manifest {self.manifest_version} has the key"
        if self.former_workspace is None:
            return KeyRejectedError(detail, Rejection.KEY_UNKNOWN)
        return KeyRejectedError(
            detail, Rejection.KEY_REVOKED, self.former_workspace.name
        )


def _no_batch(batch_id: str) -> str:
    """Return the text for a batch that does not exist, and for those of others."""
    return f"batch {batch_id} does not exist"
