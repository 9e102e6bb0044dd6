"""Access control: bearer tokens by role, and TLS to callers and between hosts."""

from __future__ import annotations

import hashlib
import ssl
from collections.abc import Iterable

from .exceptions import ForbiddenError, SettingsError, UnauthorizedError
from .settings import TlsSettings, TokenSettings

ANONYMOUS = "anonymous"


class Tokens:
    """Checks bearer tokens by their digests; the tokens themselves are not stored.

    If the settings name no tokens, all calls are allowed.
    """

    def __init__(self, tokens: Iterable[TokenSettings]) -> None:
        self._token_by_digest = {token.sha256: token for token in tokens}

    def authorize(self, header: str, role: str) -> str:
        """Return the name of the token in an ``Authorization`` header.

        :raises UnauthorizedError: if the token is missing or unknown.
        :raises ForbiddenError: if the token lacks ``role``.
        """
        if not self._token_by_digest:
            return ANONYMOUS
        scheme, _, text = header.partition(" ")
        digest = hashlib.sha256(text.strip().encode()).hexdigest()
        token = self._token_by_digest.get(digest)
        if scheme.lower() != "bearer" or token is None:
            raise UnauthorizedError(
                "the Authorization header has no valid bearer token"
            )
        if role not in token.roles:
            raise ForbiddenError(f"the token {token.name} lacks the role {role}")
        return token.name


def check_tls(tls: TlsSettings | None) -> None:
    """Load all files once; :raises SettingsError: with the field of a bad file."""
    server_context(tls)
    target_context(tls)
    peer_server_context(tls)


def server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the TLS context of the API, or None for plain HTTP.

    :raises SettingsError: if the files are not a certificate and its key.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_certificate(context, tls)
    return context


def target_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the TLS context that verifies targets, or None for the default.

    The authority of the settings is trusted in addition to those of the system.
    """
    if tls is None or tls.authority is None:
        return None
    context = ssl.create_default_context()
    _load_authority(context, tls)
    return context


def peer_server_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context to serve peers with, which requires a client certificate."""
    if tls is None or tls.authority is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    return _require_peer_certificate(context, tls)


def peer_client_context(tls: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the context to call peers with; both sides present a certificate."""
    if tls is None or tls.authority is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Hosts are replaced at any time and connect by IP address, so names can't be
    # checked. The authority signs certificates of hosts only.
    context.check_hostname = False
    return _require_peer_certificate(context, tls)


def _require_peer_certificate(
    context: ssl.SSLContext, tls: TlsSettings
) -> ssl.SSLContext:
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    _load_certificate(context, tls)
    _load_authority(context, tls)
    return context


def _load_certificate(context: ssl.SSLContext, tls: TlsSettings) -> None:
    try:
        context.load_cert_chain(tls.certificate, tls.key)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(
            f"tls.certificate, tls.key: {error}", field="tls.certificate"
        ) from None


def _load_authority(context: ssl.SSLContext, tls: TlsSettings) -> None:
    try:
        context.load_verify_locations(tls.authority)
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"tls.authority: {error}", field="tls.authority") from None
