"""The settings of a host on the platform, as ``deploy/settings.json`` renders them."""

from __future__ import annotations

import os
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..exceptions import SettingsError

PATH_VARIABLE = "CRANBERRYRUN_SETTINGS"


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class StoreSettings(_Section):
    """Where the platform's store is and what it takes."""

    address: str = Field(description="IP and port of the store.")
    record_bytes: int = Field(262_144, gt=1024, description="Longest record.")
    call_bytes: int = Field(2_097_152, gt=1024, description="Most bytes an append.")


class BoundSettings(_Section):
    """The platform's bounds that the product keeps to, in milliseconds."""

    grace_ms: float = Field(8000, gt=0, description="SIGTERM to SIGKILL.")
    engine_lease_ms: float = Field(
        3000, ge=0, description="Orders of two holders are at least this far apart."
    )
    batch_keep_ms: float = Field(
        120_000, gt=0, description="How long results can be read."
    )


class HostSettings(_Section):
    """All settings of one host."""

    host_id: str = Field(min_length=1, description="Name of the host.")
    zone: str = Field(description="Availability zone.")
    ip: str = Field(description="Own address.")
    front_address: str = Field(description="Where callers connect.")
    ready_address: str = Field(description="Where readiness is asked.")
    peer_address: str | None = Field(
        None, description="Where other hosts have calls to the store made."
    )
    link_mbps: float = Field(600.0, gt=0, description="Rate of the host's link.")
    memory_mb: float = Field(512.0, gt=0, description="What the process may use.")
    metrics_port: int | None = Field(None, description="Port of /metrics.")
    store: StoreSettings = Field(description="The platform's store.")
    bounds: BoundSettings = Field(BoundSettings(), description="The platform's bounds.")
    log_level: str = Field("info", description="debug, info, warning or error.")


def settings_path() -> Path:
    """Return the path that the platform gives.

    :raises SettingsError: it gives none.
    """
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        raise SettingsError(f"{PATH_VARIABLE} is not set")
    return Path(path)


def load_host_settings(path: Path) -> HostSettings:
    """Read and check the settings file.

    :raises SettingsError: it can't be read, or a field is not valid.
    """
    try:
        return HostSettings.model_validate_json(path.read_bytes())
    except OSError as error:
        raise SettingsError(f"{path} can't be read: {error}") from None
    except ValidationError as error:
        first = error.errors()[0]
        where = ".".join(str(part) for part in first["loc"])
        raise SettingsError(f"{path}: {where}: {first['msg']}", field=where) from None


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port``.

    :raises SettingsError: it is not such an address.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise SettingsError(f"{address!r} is not an address with a port")
    return host, int(port)
