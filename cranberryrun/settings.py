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

    certificate: str = Field(description="File of the host's certificate (PEM).")
    key: str = Field(description="File of its key (PEM).")
    authority: str | None = Field(
        default=None,
        description="File of the authority that the other hosts' certificates "
        "must come from (PEM).",
    )


class TokenSettings(Model):
    """The SHA-256 digest (hex) of a bearer token and the roles it has."""

    sha256: str = Field(
        pattern=r"^[0-9a-f]{64}$",
        description="SHA-256 digest of the token, in hex; the token itself is "
        "nowhere in the settings.",
    )
    roles: list[Role] = Field(description="What the token may be used for.")
    name: str = Field(
        min_length=1,
        max_length=100,
        description="Who has the token; stands in logs and separates callers' "
        "idempotency keys.",
    )


class TimingSettings(Model):
    """Intervals and limits, all in seconds."""

    list_poll: float = Field(
        default=1.0, gt=0, description="Between two reads of the host list."
    )
    peer_exchange: float = Field(
        default=1.0,
        gt=0,
        description="Between two exchanges of views, give or take a fifth.",
    )
    peer_timeout: float = Field(
        default=1.0, gt=0, description="For the answer of a peer."
    )
    suspect_after: float = Field(
        default=3.0,
        gt=0,
        description="A silent peer or failing report is suspected after this.",
    )
    view_limit: float = Field(
        default=5.0,
        gt=0,
        description="A view older than this holds samples back until it is renewed.",
    )
    log_wait: float = Field(
        default=5.0,
        gt=0,
        description="How long a read of the log waits for something new.",
    )
    log_timeout: float = Field(
        default=3.0, gt=0, description="For an answer of the log, beyond the wait."
    )
    change_deadline: float = Field(
        default=10.0, gt=0, description="How long a change may take to be read back."
    )
    balancer_lag: float = Field(
        default=2.0, ge=0, description="How long a stopping host goes on taking work."
    )
    drain_limit: float = Field(
        default=30.0,
        gt=0,
        description="After this a planned stop no longer waits for what is in flight.",
    )
    engine_poll: float = Field(
        default=0.5, gt=0, description="Between two polls of an engine in use."
    )
    engine_poll_idle: float = Field(
        default=5.0, gt=0, description="Between two polls of an engine out of use."
    )
    reconcile: float = Field(
        default=0.5,
        gt=0,
        description="Between two comparisons of engines with what they should run.",
    )
    checkpoint: float = Field(
        default=1.0, gt=0, description="Between two checkpoints of a step."
    )
    connect_timeout: float = Field(
        default=1.0, gt=0, description="For a connection to a target."
    )
    stream_idle: float = Field(
        default=15.0,
        gt=0,
        description="An engine's stream with no piece for this long is resumed.",
    )
    stream_linger: float = Field(
        default=20.0,
        gt=0,
        description="How long a cut step's streams go on for the trainer's next call.",
    )
    usage: float = Field(
        default=60.0, gt=0, description="Between two records of usage."
    )
    key_window: float = Field(
        default=86_400.0, gt=0, description="How long a keyed call's record is kept."
    )
    snapshot_check: float = Field(
        default=5.0, gt=0, description="Between two checks whether a snapshot is due."
    )


class LimitSettings(Model):
    """Sizes that bound what a host takes in or keeps."""

    body_bytes: int = Field(
        default=8 * 1024 * 1024,
        ge=1024,
        description="The largest body of a request, in bytes.",
    )
    queue: int = Field(
        default=256, ge=0, description="Requests of a service that may wait."
    )
    event_ring: int = Field(
        default=20_000, ge=100, description="Events kept for the time line."
    )
    peers_per_exchange: int = Field(
        default=2, ge=1, description="Peers in each exchange of views."
    )
    list_bytes_per_second: float = Field(
        default=2_000.0,
        gt=0,
        description="Read of the host list on average; a long list is read less often.",
    )
    spread_at_once: int = Field(
        default=12, ge=1, description="Peers asked at once where it is urgent."
    )
    weight_loads_at_once: int = Field(
        default=1,
        ge=1,
        description="Loads of weights that run at once, of all workloads.",
    )
    engines_watched: int = Field(
        default=24,
        ge=1,
        description="Engines of a pool that are polled as in use, at least.",
    )
    engine_polls_per_second: float = Field(
        default=20.0,
        gt=0,
        description="Polls of engines a second from this host, at most.",
    )
    orders_at_once: int = Field(
        default=16, ge=1, description="Orders to engines at once."
    )
    away_share: float = Field(
        default=0.5,
        gt=0,
        le=1,
        description="The share of a workload's engines that may load at once.",
    )
    retry_share: float = Field(
        default=0.1,
        ge=0,
        le=1,
        description="Retries as a share of a service's requests.",
    )
    keys_per_partition: int = Field(
        default=200_000,
        ge=1,
        description="Idempotency keys kept in memory, for each partition.",
    )
    key_partitions: int = Field(
        default=8,
        ge=1,
        le=1024,
        description="Streams of the log for keyed calls; the same on all hosts.",
    )


class LogSettings(Model):
    """Where the platform's log is. ``retention`` is in seconds."""

    url: Url = Field(description="Base URL of the log.")
    retention: float = Field(
        default=7 * 86_400.0,
        gt=0,
        description="How long the log keeps records, in seconds.",
    )
    prefix: str = Field(
        default="",
        pattern=r"^[a-z0-9-]*$",
        description="Put before the names of this deployment's streams.",
    )


class Settings(Model):
    """All settings of a host. ``ip`` is bound to.

    ``peers`` (``ip:port``) are asked while the platform's list was never read.

    ``incarnation`` is the number that the platform's list gives this start of
    the host; 0 takes the start's time, in ms since 1970.
    """

    id: Name = Field(description="The name of this host, different from all others.")
    incarnation: int = Field(
        default=0,
        ge=0,
        description="The number that the platform's list gives this start of the "
        "host; 0 takes the start's time, in ms since 1970.",
    )
    zone: Name = Field(description="The availability zone of this host.")
    ip: Ip = Field(
        default="127.0.0.1",
        description="The IPv4 address to listen on, which the list names.",
    )
    api_port: int = Field(ge=0, le=_MAX_PORT, description="The port of the API.")
    peer_port: int = Field(
        ge=0, le=_MAX_PORT, description="The port for the other hosts."
    )
    log: LogSettings = Field(description="The platform's log.")
    host_list_url: Url = Field(description="Base URL of the platform's host list.")
    peers: list[Seed] = Field(
        default_factory=list,
        max_length=100,
        description="Other hosts, as ip:port of their peer ports. They are asked "
        "while the list was never read.",
    )
    tls: TlsSettings | None = Field(
        default=None,
        description="TLS of the API and, with an authority, between hosts.",
    )
    tokens: list[TokenSettings] = Field(
        default_factory=list, description="Who may call; with none everybody may."
    )
    timing: TimingSettings = Field(
        default_factory=TimingSettings, description="Intervals and limits in seconds."
    )
    limits: LimitSettings = Field(
        default_factory=LimitSettings,
        description="Sizes that bound what a host takes in or keeps.",
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="The least level of events that are logged."
    )


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
