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


def _validate_seed(text: str) -> str:
    ip, _, port = text.rpartition(":")
    IPv4Address(ip)
    if not port.isascii() or not port.isdecimal() or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError("expected ip:port with an IPv4 address")
    return text


def _validate_ip(text: str) -> str:
    return str(IPv4Address(text))


Seed = Annotated[str, AfterValidator(_validate_seed)]
Ip = Annotated[str, AfterValidator(_validate_ip)]


class TlsSettings(Model):
    """Paths of a host's certificate and key, and of the authority of its peers."""

    certificate: str = Field(description="Path of the host's certificate (PEM).")
    key: str = Field(description="Path of the certificate's private key (PEM).")
    authority: str | None = Field(
        default=None,
        description="Path of the certificate authority (PEM) that must have signed "
        "the certificates of the other hosts.",
    )


class TokenSettings(Model):
    """The SHA-256 digest (hex) of a bearer token and the roles it grants."""

    sha256: str = Field(
        pattern=r"^[0-9a-f]{64}$",
        description="SHA-256 digest of the token, in hex; the settings never hold "
        "the token itself.",
    )
    roles: list[Role] = Field(description="The roles that the token grants.")
    name: str = Field(
        min_length=1,
        max_length=100,
        description="The holder of the token; shown in logs. Idempotency keys are "
        "scoped to it.",
    )


class TimingSettings(Model):
    """Intervals and time limits, all in seconds."""

    list_poll: float = Field(
        default=1.0, gt=0, description="Interval between reads of the host list."
    )
    peer_exchange: float = Field(
        default=1.0,
        gt=0,
        description="Interval between exchanges of views with peers; a random jitter "
        "of up to a fifth is added or subtracted.",
    )
    peer_timeout: float = Field(
        default=1.0, gt=0, description="Timeout for a peer's answer."
    )
    suspect_after: float = Field(
        default=3.0,
        gt=0,
        description="Time without an answer after which a peer is suspected or a "
        "target counts as failing.",
    )
    view_limit: float = Field(
        default=5.0,
        gt=0,
        description="Maximum age of this host's view of the fleet; while it is older, "
        "samples are held back.",
    )
    log_wait: float = Field(
        default=5.0,
        gt=0,
        description="How long a read of the log waits for new records.",
    )
    log_timeout: float = Field(
        default=3.0,
        gt=0,
        description="Timeout for an answer of the log, in addition to log_wait.",
    )
    change_deadline: float = Field(
        default=10.0,
        gt=0,
        description="How long a change may take to be read back from the log.",
    )
    balancer_lag: float = Field(
        default=2.0,
        ge=0,
        description="How long a stopping host still accepts work, so that load "
        "balancers can notice.",
    )
    drain_limit: float = Field(
        default=30.0,
        gt=0,
        description="How long a graceful stop waits for requests in flight.",
    )
    engine_poll: float = Field(
        default=0.5, gt=0, description="Interval between polls of an engine in use."
    )
    engine_poll_idle: float = Field(
        default=5.0,
        gt=0,
        description="Interval between polls of an engine that is not in use.",
    )
    reconcile: float = Field(
        default=0.5,
        gt=0,
        description="Interval between comparisons of engines with their declared "
        "state.",
    )
    checkpoint: float = Field(
        default=1.0, gt=0, description="Interval between checkpoints of a step."
    )
    connect_timeout: float = Field(
        default=1.0, gt=0, description="Timeout for connecting to a target."
    )
    stream_idle: float = Field(
        default=15.0,
        gt=0,
        description="Time without data after which an engine's stream is resumed.",
    )
    stream_linger: float = Field(
        default=20.0,
        gt=0,
        description="How long the streams of an interrupted step keep running, so that "
        "the trainer's next call can take them over.",
    )
    usage: float = Field(
        default=60.0, gt=0, description="Interval between usage records."
    )
    key_window: float = Field(
        default=86_400.0,
        gt=0,
        description="How long the record of a keyed call is kept.",
    )
    snapshot_check: float = Field(
        default=5.0,
        gt=0,
        description="Interval between checks whether a snapshot is due.",
    )


class LimitSettings(Model):
    """Sizes and rates that bound the load and memory use of a host."""

    body_bytes: int = Field(
        default=8 * 1024 * 1024,
        ge=1024,
        description="Maximum size of a request body, in bytes.",
    )
    connection_bytes: int = Field(
        default=64_000_000,
        ge=1_000_000,
        description="Maximum memory for what the connections of all clients hold, in "
        "bytes.",
    )
    queue: int = Field(
        default=256, ge=0, description="Maximum number of queued requests of a service."
    )
    event_ring: int = Field(
        default=20_000,
        ge=100,
        description="Number of events kept in memory for the timeline.",
    )
    peers_per_exchange: int = Field(
        default=2, ge=1, description="Number of peers in each round of view exchanges."
    )
    list_bytes_per_second: float = Field(
        default=2_000.0,
        gt=0,
        description="Average read rate of the host list, in bytes per second; a "
        "longer list is read less often.",
    )
    spread_at_once: int = Field(
        default=12,
        ge=1,
        description="Maximum number of peers contacted at once for urgent exchanges.",
    )
    weight_loads_at_once: int = Field(
        default=1,
        ge=1,
        description="Maximum number of concurrent weight loads, over all workloads.",
    )
    engines_watched: int = Field(
        default=24,
        ge=1,
        description="Minimum number of engines of a pool that a host polls.",
    )
    engine_polls_per_second: float = Field(
        default=20.0,
        gt=0,
        description="Maximum rate of engine polls from this host, per second.",
    )
    piece_tokens: int = Field(
        default=32,
        ge=1,
        description="Tokens per piece of a sample, as requested from engines.",
    )
    orders_at_once: int = Field(
        default=16, ge=1, description="Maximum number of concurrent orders to engines."
    )
    away_share: float = Field(
        default=0.5,
        gt=0,
        le=1,
        description="Maximum share of a workload's engines that load weights at once.",
    )
    retry_share: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description="Maximum share of retries among a service's requests.",
    )
    keys_per_partition: int = Field(
        default=200_000,
        ge=1,
        description="Maximum number of idempotency keys in memory, per partition.",
    )
    key_partitions: int = Field(
        default=8,
        ge=1,
        le=1024,
        description="Number of log streams for keyed calls; the same on all hosts.",
    )


class LogSettings(Model):
    """The platform's log. ``retention`` is in seconds."""

    url: Url = Field(description="Base URL of the log.")
    retention: float = Field(
        default=7 * 86_400.0,
        gt=0,
        description="How long the log keeps records, in seconds.",
    )
    prefix: str = Field(
        default="",
        pattern=r"^[a-z0-9-]*$",
        description="Prefix of the names of this deployment's streams.",
    )


class Settings(Model):
    """All settings of a host.

    The host listens on ``ip``. It contacts ``peers`` (``ip:port``) until it has
    read the platform's host list once.

    ``incarnation`` is the start counter that the platform's host list gives for
    this start of the host; 0 uses the start time, in ms since 1970.
    """

    id: Name = Field(description="The unique name of this host.")
    incarnation: int = Field(
        default=0,
        ge=0,
        description="The start counter that the platform's host list gives for this "
        "start of the host; 0 uses the start time, in ms since 1970.",
    )
    zone: Name = Field(description="The availability zone of this host.")
    ip: Ip = Field(
        default="127.0.0.1",
        description="The IPv4 address to listen on, as given in the host list.",
    )
    api_port: int = Field(ge=0, le=_MAX_PORT, description="The port of the API.")
    peer_port: int = Field(ge=0, le=_MAX_PORT, description="The port for peers.")
    log: LogSettings = Field(description="The platform's log.")
    host_list_url: Url = Field(description="Base URL of the platform's host list.")
    peers: list[Seed] = Field(
        default_factory=list,
        max_length=100,
        description="Other hosts, as ip:port of their peer ports. They are contacted "
        "until the host list was read once.",
    )
    tls: TlsSettings | None = Field(
        default=None,
        description="TLS for the API and, with an authority, between hosts.",
    )
    tokens: list[TokenSettings] = Field(
        default_factory=list,
        description="Accepted bearer tokens; without any, every caller is accepted.",
    )
    timing: TimingSettings = Field(
        default_factory=TimingSettings,
        description="Intervals and time limits, in seconds.",
    )
    limits: LimitSettings = Field(
        default_factory=LimitSettings,
        description="Sizes and rates that bound a host's load and memory use.",
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="The minimum level of logged events."
    )


def load_settings(path: str | Path) -> Settings:
    """Read the settings file at ``path``.

    :raises SettingsError: the file can't be read, is not JSON (the message gives
        the line), or has an invalid field (the message names it).
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"can't read the settings file {path}: {error}") from None
    try:
        data = json.loads(text)
    except json.JSONDecodeError as error:
        raise SettingsError(
            f"{path}: line {error.lineno}, column {error.colno}: {error.msg}"
        ) from None
    return parse_settings(data)


def parse_settings(data: object) -> Settings:
    """Validate ``data`` and return it as settings.

    :raises SettingsError: a field is not valid; the message names it.
    """
    try:
        return Settings.model_validate(data)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in first["loc"]) or "settings"
        raise SettingsError(f"{field}: {first['msg']}", field=field) from None
