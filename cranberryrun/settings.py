"""The settings of one ``cranberryrund`` process, read from a JSON file."""

from __future__ import annotations

import json
from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, Field, ValidationError

from .exceptions import SettingsError
from .models import Model, Name, Url

Role = Literal["operator", "trainer", "caller", "host"]
_MAX_PORT = 65_535


def _seed(text: str) -> str:
    ip, _, port = text.rpartition(":")
    IPv4Address(ip)
    if not port.isascii() or not port.isdecimal() or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError("give ip:port")
    return text


def _ip(text: str) -> str:
    return str(IPv4Address(text))


Seed = Annotated[str, AfterValidator(_seed)]
Ip = Annotated[str, AfterValidator(_ip)]


class TlsSettings(Model):
    """Files of a certificate, its key and the authority that peers must show."""

    certificate: str
    key: str
    authority: str | None = None


class TokenSettings(Model):
    """The SHA-256 digest (hex) of a bearer token and the roles it has."""

    sha256: str = Field(pattern=r"^[0-9a-f]{64}$")
    roles: list[Role]
    name: str = Field(min_length=1, max_length=100)


class TimingSettings(Model):
    """Intervals and limits, all in seconds."""

    list_poll: float = Field(default=1.0, gt=0)
    peer_exchange: float = Field(default=1.0, gt=0)
    peer_timeout: float = Field(default=1.0, gt=0)
    suspect_after: float = Field(default=3.0, gt=0)
    view_limit: float = Field(default=5.0, gt=0)
    log_wait: float = Field(default=5.0, gt=0)
    log_timeout: float = Field(default=3.0, gt=0)
    change_deadline: float = Field(default=10.0, gt=0)
    balancer_lag: float = Field(default=2.0, ge=0)
    drain_limit: float = Field(default=30.0, gt=0)
    engine_poll: float = Field(default=0.5, gt=0)
    engine_poll_idle: float = Field(default=5.0, gt=0)
    reconcile: float = Field(default=0.5, gt=0)
    checkpoint: float = Field(default=1.0, gt=0)
    connect_timeout: float = Field(default=1.0, gt=0)
    stream_idle: float = Field(default=15.0, gt=0)
    stream_linger: float = Field(default=20.0, gt=0)
    usage: float = Field(default=60.0, gt=0)
    key_window: float = Field(default=86_400.0, gt=0)
    snapshot_check: float = Field(default=5.0, gt=0)


class LimitSettings(Model):
    """Sizes that bound what a host takes in or keeps."""

    body_bytes: int = Field(default=8 * 1024 * 1024, ge=1024)
    queue: int = Field(default=256, ge=0)
    event_ring: int = Field(default=20_000, ge=100)
    peers_per_exchange: int = Field(default=2, ge=1)
    spread_at_once: int = Field(default=12, ge=1)
    weight_loads_at_once: int = Field(default=2, ge=1)
    engines_watched: int = Field(default=24, ge=1)
    engine_polls_per_second: float = Field(default=20.0, gt=0)
    orders_at_once: int = Field(default=16, ge=1)
    away_share: float = Field(default=0.5, gt=0, le=1)
    retry_share: float = Field(default=0.1, ge=0, le=1)
    keys_per_partition: int = Field(default=200_000, ge=1)
    key_partitions: int = Field(default=8, ge=1, le=1024)


class LogSettings(Model):
    """Where the platform's log is. ``retention`` is in seconds."""

    url: Url
    retention: float = Field(default=7 * 86_400.0, gt=0)
    prefix: str = Field(default="", pattern=r"^[a-z0-9-]*$")


class Settings(Model):
    """All settings of a host. ``ip`` is bound to.

    ``peers`` (``ip:port``) are asked while the platform's list was never read.

    ``incarnation`` is the number that the platform's list gives this start of
    the host; 0 takes the start's time, in ms since 1970.
    """

    id: Name
    incarnation: int = Field(default=0, ge=0)
    zone: Name
    ip: Ip = "127.0.0.1"
    api_port: int = Field(ge=0, le=_MAX_PORT)
    peer_port: int = Field(ge=0, le=_MAX_PORT)
    log: LogSettings
    host_list_url: Url
    peers: list[Seed] = Field(default_factory=list, max_length=100)
    tls: TlsSettings | None = None
    tokens: list[TokenSettings] = Field(default_factory=list)
    timing: TimingSettings = Field(default_factory=TimingSettings)
    limits: LimitSettings = Field(default_factory=LimitSettings)
    log_level: Literal["debug", "info", "warning", "error"] = "info"


def load_settings(path: str | Path) -> Settings:
    """Read the settings file at ``path``.

    :raises SettingsError: naming the field at fault, or the line of bad JSON.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read {path}: {error}") from None
    try:
        data = json.loads(text)
    except json.JSONDecodeError as error:
        raise SettingsError(
            f"{path}: line {error.lineno}, column {error.colno}: {error.msg}"
        ) from None
    return parse_settings(data)


def parse_settings(data: object) -> Settings:
    """Return ``data`` as settings; :raises SettingsError: naming the field."""
    try:
        return Settings.model_validate(data)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in first["loc"]) or "settings"
        raise SettingsError(f"{field}: {first['msg']}", field=field) from None
