"""Declared workspaces: which digests their keys have, and who shares one. Does no I/O.

Specs of earlier builds have no workspaces. Responds to the number of changes: a change
of a workspace costs one pass over the keys of all workspaces.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..exceptions import InvalidInputError
from ..models import WorkspaceKey, WorkspaceSpec
from .keyring import Keyring, Workspace

_FIELD = "spec.keys"


def complete_spec(
    spec: WorkspaceSpec, current: WorkspaceSpec | None, time: float
) -> WorkspaceSpec:
    """Return the spec to store: with the digest and the time of each key.

    A key that the workspace has is taken over by its id. All hosts get the same result,
    as it depends on the log only.

    :param current: the stored spec, None for a new workspace.
    :param time: the time of new keys, in seconds since 1970.
    :raises InvalidInputError: two keys have the same id or digest, or a key without a
        digest is not one of the workspace, or an id has another digest than before.
    """
    known = current.keys if current is not None and current.keys else []
    if spec.keys is None:
        return spec.model_copy(update={"keys": known})
    known_by_id = {key.id: key for key in known}
    keys = [_complete_key(key, known_by_id, time) for key in spec.keys]
    if len({key.id for key in keys}) != len(keys):
        raise InvalidInputError("the ids of keys must be unique", field=_FIELD)
    if len({key.sha256 for key in keys}) != len(keys):
        raise InvalidInputError("two ids have the same key", field=_FIELD)
    return spec.model_copy(update={"keys": keys})


def _complete_key(
    key: WorkspaceKey, known_by_id: Mapping[str, WorkspaceKey], time: float
) -> WorkspaceKey:
    known = known_by_id.get(key.id)
    if known is not None:
        if key.sha256 not in (None, known.sha256):
            raise InvalidInputError(
                f"the id {key.id} is in use by another key; use a new id", field=_FIELD
            )
        return known
    if key.sha256 is None:
        raise InvalidInputError(
            f"the workspace has no key {key.id}; a new key needs sha256", field=_FIELD
        )
    return key.model_copy(update={"created_at": time})


def check_unshared(name: str, spec: WorkspaceSpec, keyring: Keyring | None) -> None:
    """Check that no workspace of ``keyring`` other than ``name`` has a key of ``spec``.

    :raises InvalidInputError: another workspace has one of the keys.
    """
    if keyring is None:
        return
    for key in spec.keys or ():
        owner = keyring.find_digest(bytes.fromhex(key.sha256 or ""))
        if owner is not None and owner.name != name:
            raise InvalidInputError(
                f"workspaces {owner.name} and {name} share the key {key.id}",
                field=_FIELD,
            )


def keyring_of(spec_by_name: Mapping[str, WorkspaceSpec]) -> Keyring | None:
    """Return the keyring of declared workspaces; None if there are none."""
    if not spec_by_name:
        return None
    return Keyring.from_digests(
        (Workspace(name, spec.priority), _digests(spec))
        for name, spec in spec_by_name.items()
    )


def _digests(spec: WorkspaceSpec) -> Iterable[bytes]:
    return [bytes.fromhex(key.sha256 or "") for key in spec.keys or ()]
