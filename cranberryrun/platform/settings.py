"""Settings of a host on the platform, rendered from ``deploy/settings.json``."""

from __future__ import annotations

import os
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..exceptions import SettingsError

SETTINGS_PATH_VARIABLE = "CRANBERRYRUN_SETTINGS"
_PRESSURE_CONTRACT = "pressure"


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class StoreSettings(_Section):
    """The address of the platform's store and its size limits."""

    address: str = Field(description="IP and port of the store.")
    record_bytes: int = Field(262_144, gt=1024, description="Largest record, in bytes.")
    call_bytes: int = Field(2_097_152, gt=1024, description="Largest append, in bytes.")
    retention_s: float = Field(
        300, gt=0, description="Age at which the store deletes records, in seconds."
    )


class BoundSettings(_Section):
    """Time limits that the platform sets, in milliseconds."""

    grace_ms: float = Field(8000, gt=0, description="Time from SIGTERM to SIGKILL.")
    engine_lease_ms: float = Field(
        3000,
        ge=0,
        description="Minimum time between load orders of two lease holders.",
    )
    batch_keep_ms: float = Field(
        120_000, gt=0, description="How long results of a batch can be read."
    )
    cancel_ms: float = Field(
        3000,
        gt=0,
        description="Time from the end of a batch during which items may be sent.",
    )
    usage_window_s: float = Field(
        5.0, gt=0, description="Length of a window of usage reports, in seconds."
    )
    usage_late_s: float = Field(
        10.0,
        gt=0,
        description="Time from the end of a window until its report is late, in s.",
    )
    require_fence: bool = Field(
        False, description="Whether the platform's API checks fencing tokens."
    )
    seed_lag_s: float | None = Field(
        None,
        ge=0,
        description="Time that the entry of a running target may be missing, in s. "
        "Without it no batch is rejected for lack of engines.",
    )


class PlatformApiSettings(_Section):
    """The platform's API for the duties of the lease holder."""

    address: str = Field(description="IP and port of the API.")
    duties: tuple[str, ...] = Field((), description="The duties: usage, scale.")
    calls_per_s: float = Field(
        50.0, gt=0, description="Calls a second that the API takes from all hosts."
    )


class SecondAttemptSettings(_Section):
    """Second attempts at repeatable requests whose answers are slow."""

    max_extra_share: float | None = Field(
        None,
        ge=0,
        le=1,
        description=(
            "Extra runs as a share of all runs, over all hosts together; 0: none. "
            "Without it plain requests get a second attempt after three mean answer "
            "times, without a limit."
        ),
    )


class HostSettings(_Section):
    """All settings of one host."""

    host_id: str = Field(min_length=1, description="Name of the host.")
    zone: str = Field(description="Availability zone.")
    ip: str = Field(description="IP address of the host.")
    front_address: str = Field(description="IP and port for callers.")
    ready_address: str = Field(description="IP and port for readiness checks.")
    peer_address: str | None = Field(
        None,
        description="IP and port for the calls of other hosts.",
    )
    link_mbps: float = Field(
        600.0, gt=0, description="Bandwidth of the host's link, in Mbit/s."
    )
    memory_mb: float = Field(
        512.0,
        gt=0,
        description=(
            "Memory that the process may use, in MB. Cached results take a fifth of it "
            "at most, answers being read a tenth, and what connections of clients hold "
            "0.15, or 0.3 for a single large call."
        ),
    )
    metrics_port: int | None = Field(
        None, description="Port for /metrics; not served if unset."
    )
    store: StoreSettings = Field(description="The platform's store.")
    platform_api: PlatformApiSettings | None = Field(
        None, description="The platform's API for duties; none are done without it."
    )
    second_attempts: SecondAttemptSettings = Field(
        SecondAttemptSettings(), description="Second attempts at slow requests."
    )
    contracts: tuple[str, ...] = Field(
        (), description="The parts of the platform's rules that are in force."
    )
    bounds: BoundSettings = Field(
        BoundSettings(), description="Time limits of the platform."
    )
    log_level: str = Field("info", description="debug, info, warning or error.")

    @property
    def engines_crash_when_full(self) -> bool:
        """Whether an engine crashes when its requests exceed its memory."""
        return _PRESSURE_CONTRACT in self.contracts


def settings_path() -> Path:
    """Return the path of the settings file from the environment.

    :raises SettingsError: the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError(f"environment variable {SETTINGS_PATH_VARIABLE} is not set")
    return Path(path)


def load_host_settings(path: Path) -> HostSettings:
    """Read and check the settings file.

    :raises SettingsError: the file can't be read or a field is invalid.
    """
    try:
        return HostSettings.model_validate_json(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"can't read settings file {path}: {error}") from None
    except ValidationError as error:
        first_error = error.errors()[0]
        field = ".".join(str(part) for part in first_error["loc"])
        raise SettingsError(
            f"{path}: {field}: {first_error['msg']}", field=field
        ) from None


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    :raises SettingsError: the address has another form.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"{address!r} is not an address of the form ip:port")
    return host, int(port)
