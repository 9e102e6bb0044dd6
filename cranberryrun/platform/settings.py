"""Settings of a host on the platform, rendered from ``deploy/settings.json``."""

from __future__ import annotations

import os
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..exceptions import SettingsError

SETTINGS_PATH_VARIABLE = "CRANBERRYRUN_SETTINGS"


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class StoreSettings(_Section):
    """The address of the platform's store and its size limits."""

    address: str = Field(description="IP and port of the store.")
    record_bytes: int = Field(262_144, gt=1024, description="Largest record, in bytes.")
    call_bytes: int = Field(2_097_152, gt=1024, description="Largest append, in bytes.")


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
        512.0, gt=0, description="Memory that the process may use, in MB."
    )
    metrics_port: int | None = Field(
        None, description="Port for /metrics; not served if unset."
    )
    store: StoreSettings = Field(description="The platform's store.")
    bounds: BoundSettings = Field(
        BoundSettings(), description="Time limits of the platform."
    )
    log_level: str = Field("info", description="debug, info, warning or error.")


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
