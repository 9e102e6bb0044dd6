"""Finds the route of a request, for requests and for explanations of them."""

from __future__ import annotations

from ..exceptions import NotFoundError, NotReadyError
from ..fleet.directory import Directory
from ..fleet.manifest import Route

_NOT_READY_RETRY_SECONDS = 0.3


def not_ready_error() -> NotReadyError:
    """Return the error of calls that come before this host can route them."""
    return NotReadyError(
        "this host has not read the manifest and the targets yet",
        retry_after=_NOT_READY_RETRY_SECONDS,
    )


def require_ready(directory: Directory) -> None:
    """Return if requests can be routed.

    :raises NotReadyError: the manifest or the targets have not been read yet.
    """
    if not directory.ready:
        raise not_ready_error()


def find_route(directory: Directory, host: str, path: str) -> Route:
    """Return the route of a request.

    :raises NotReadyError: the manifest or the targets have not been read yet.
    :raises NotFoundError: the manifest has no route for it.
    """
    require_ready(directory)
    route = directory.route_for(host, path)
    if route is None:
        assert directory.manifest is not None
        raise NotFoundError(
            f"manifest {directory.manifest.version} has no route for {path}"
        )
    return route
