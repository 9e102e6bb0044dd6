"""The interface through which a host asks the holder of the lease for permits."""

from __future__ import annotations

from abc import abstractmethod

from pydantic import BaseModel, ConfigDict, Field

from ..exceptions import PeerError
from ..kernel import Service


class NotHolderError(PeerError):
    """The asked host does not hold the lease, so it grants nothing."""

    code = "not_holder"


class PermitRequest(BaseModel):
    """Asks to send ``count`` requests to a target that named a limit.

    ``rate`` is the limit that this host knows, in requests a second, and ``age`` the
    seconds since the target named it.
    """

    model_config = ConfigDict(frozen=True, extra="ignore")

    target: str
    rate: float = Field(ge=0, allow_inf_nan=False)
    age: float = Field(ge=0, allow_inf_nan=False)
    count: int = Field(ge=1)


class PermitGrant(BaseModel):
    """Allows ``count`` requests now, and the next one after ``retry_after`` seconds."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    count: int = Field(ge=0)
    retry_after: float = Field(0.0, ge=0, allow_inf_nan=False)


class PermitClient(Service):
    """Reaches the other hosts."""

    name = "permit_client"

    @abstractmethod
    async def ask(self, host: str, request: PermitRequest) -> PermitGrant:
        """Return what ``host`` grants.

        :raises NotHolderError: the host does not hold the lease.
        :raises PeerError: the host can't be reached.
        """

    @abstractmethod
    def host_count(self) -> int | None:
        """Return how many hosts there may be, this one included; None if not known."""
