"""The identity of a caller's request over its repeats."""

from __future__ import annotations

import xxhash

from ..fleet.client import Request

# Headers that say who calls and at which host name; all others may differ in a repeat.
_IDENTIFYING_HEADERS = frozenset({"host", "authorization"})


def fingerprint_of(request: Request) -> str:
    """Return the same text for all repeats of a request, whatever their ids.

    A repeat has the same method, host name, path, query, caller and body. Callers of
    one workspace are the same caller, whichever of its keys they use.
    """
    identity = sorted(
        f"{name.lower()}: {value}"
        for name, value in request.headers
        if name.lower() in _IDENTIFYING_HEADERS
    )
    if request.workspace is not None:
        identity.append(f"workspace: {request.workspace}")
    digest = xxhash.xxh3_128()
    for part in (request.method, request.target, *identity):
        encoded = part.encode("utf-8", "surrogateescape")
        # The length keeps two different sequences of parts from being joined alike.
        digest.update(len(encoded).to_bytes(8, "big") + encoded)
    digest.update(request.body)
    return digest.hexdigest()
