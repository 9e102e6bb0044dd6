"""The workspace of a request to the API, by the key in its header."""

from __future__ import annotations

from aiohttp import web

from .configuration import Configuration
from .events import Events
from .exceptions import NotReadyError, UnauthorizedError
from .kernel import Kernel
from .metrics import Metrics
from .services import KEY_HEADER
from .workspaces.keyring import Keyring, Workspace


def identify_workspace(kernel: Kernel, request: web.Request) -> Workspace | None:
    """Return the workspace of the request's key; None if no workspace is declared.

    The key is looked up in the configuration that is applied now. Ask for each request,
    and again after a body was read, which may take longer than a revocation.

    :raises NotReadyError: the host has no configuration yet.
    :raises UnauthorizedError: the key is missing or unknown.
    """
    configuration = kernel.get(Configuration)
    if not configuration.ready.is_set():
        raise NotReadyError("the host has no configuration yet", retry_after=1)
    keyring = configuration.state.keyring
    if keyring is None:
        return None
    key = request.headers.get(KEY_HEADER)
    workspace = keyring.find(key) if key else None
    if workspace is None:
        _report_rejection(kernel, request, keyring, key)
        raise UnauthorizedError(
            f"the header {KEY_HEADER} has no key of a declared workspace"
        )
    return workspace


def _report_rejection(
    kernel: Kernel, request: web.Request, keyring: Keyring, key: str | None
) -> None:
    """Count and log a rejected request; the key itself appears nowhere."""
    revoked = keyring.find_revoked(key) if key else None
    reason = "unknown" if key else "missing"
    if revoked is not None:
        reason = "revoked"
    kernel.get(Metrics).rejected_key(reason)
    kernel.get(Events).emit(
        "key_rejected",
        request=request.headers.get("X-Request-Id"),
        method=request.method,
        path=request.path,
        config_offset=kernel.get(Configuration).state.offset,
        workspace=None if revoked is None else revoked.name,
        reason=reason,
    )
