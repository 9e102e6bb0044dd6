"""Commands for keys of workspaces: workspace-key create, workspace-key revoke."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
import uuid
from collections.abc import Callable
from typing import Any

import click

from .ctl_apply import resource_path, wait_in_force
from .ctl_client import ControlClient, Request
from .ctl_control import Control, pass_control
from .ctl_errors import ChangeUnknownError, ProblemAnswerError, UsageError

_KEY_BYTES = 32
_ID_BYTES = 4
_MAX_TRIES = 5
_RETRY_DELAY_SECONDS = 0.3
_CONFLICT_STATUS = 409
_wait_option = click.option(
    "--wait/--no-wait", default=False, help="Wait until the change is in force."
)
_Keys = list[dict[str, Any]]


@click.group("workspace-key")
def workspace_key() -> None:
    """Create and revoke keys of workspaces."""


@workspace_key.command()
@click.argument("name")
@_wait_option
@pass_control
def create(control: Control, name: str, wait: bool) -> None:
    """Create a key of the workspace NAME and show it.

    The key is made here and shown this once; hosts get and store its digest only.
    """
    key = secrets.token_urlsafe(_KEY_BYTES)
    key_id = f"k{secrets.token_hex(_ID_BYTES)}"
    digest = hashlib.sha256(key.encode()).hexdigest()

    async def create_key(client: ControlClient) -> None:
        try:
            changed = await _change_keys(
                client, name, lambda keys: [*keys, {"id": key_id, "sha256": digest}]
            )
        except ChangeUnknownError as error:
            raise ChangeUnknownError(
                f"it is unknown whether the key {key_id} was added, and it is not "
                f"shown ({error.detail}); if `get workspaces` lists {key_id}, revoke "
                "it; then create another key"
            ) from None
        # Shown before the wait: a key that was added must not be lost by a time-out.
        created = {"workspace": name, "id": key_id, "key": key}
        control.show(created, f"workspaces/{name} has the key {key_id}:\n{key}")
        await _wait_if_asked(control, client, changed, wait)

    control.run(create_key)


@workspace_key.command()
@click.argument("name")
@click.argument("key_id", metavar="ID")
@_wait_option
@pass_control
def revoke(control: Control, name: str, key_id: str, wait: bool) -> None:
    """Revoke the key ID of the workspace NAME."""

    def without_key(keys: _Keys) -> _Keys:
        if key_id not in {key["id"] for key in keys}:
            raise UsageError(f"workspaces/{name} has no key {key_id}")
        return [key for key in keys if key["id"] != key_id]

    async def revoke_key(client: ControlClient) -> None:
        try:
            changed = await _change_keys(client, name, without_key)
        except ChangeUnknownError as error:
            raise ChangeUnknownError(
                f"it is unknown whether the key {key_id} was revoked "
                f"({error.detail}); run the command again: it finds no such key if "
                "it was"
            ) from None
        revoked = {"workspace": name, "id": key_id, "revoked": True}
        control.show(revoked, f"workspaces/{name}: key {key_id} revoked")
        await _wait_if_asked(control, client, changed, wait)

    control.run(revoke_key)


async def _change_keys(
    client: ControlClient, name: str, change: Callable[[_Keys], _Keys]
) -> dict[str, Any]:
    """Change the keys of a workspace; start again if another change came first.

    :param change: returns the keys to declare, given those of the workspace.
    :return: the changed workspace.
    """
    path = resource_path("workspaces", name)
    tries_left = _MAX_TRIES
    while True:
        current = await client.get(path)
        spec = current["spec"]
        request = Request(
            "PUT",
            path,
            {"spec": spec | {"keys": change(spec["keys"] or [])}},
            headers={"If-Match": f'"{current["metadata"]["generation"]}"'},
            change_id=uuid.uuid4().hex,
        )
        tries_left -= 1
        try:
            return await client.send(request)
        except ProblemAnswerError as error:
            if error.answer_status != _CONFLICT_STATUS or not tries_left:
                raise
        await asyncio.sleep(_RETRY_DELAY_SECONDS)


async def _wait_if_asked(
    control: Control, client: ControlClient, changed: dict[str, Any], wait: bool
) -> None:
    if wait:
        await wait_in_force(client, changed, control.timeout, control.report_progress)
