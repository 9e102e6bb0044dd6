"""The other hosts: where a host that the store turns away finds one that it serves."""

from __future__ import annotations

import asyncio
import random

from pydantic import BaseModel, ConfigDict, ValidationError

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError
from ..kernel import Service
from ..store import KeyedRecord, Store

_REFRESH_SECONDS = 5.0
_RETRY_SECONDS = 0.5
# A neighbour that did not answer is passed over for this long.
_PASSED_OVER_SECONDS = 3.0


class Neighbour(BaseModel):
    """Where another host makes calls to the store for its neighbours, if it does."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    host: str
    zone: str
    address: str | None


class Neighbours(Service):
    """Registers this host in a keyed topic and knows the others that did.

    :param topic: the keyed topic of the hosts.
    :param own: this host's own entry.
    """

    name = "neighbours"
    requires = ("events", "store")

    def __init__(self, topic: str, own: Neighbour, rng: random.Random) -> None:
        super().__init__()
        self._topic = topic
        self._own = own
        self._rng = rng
        self._neighbour_by_host: dict[str, Neighbour] = {}
        self._passed_over_until: dict[str, float] = {}

    async def start(self) -> None:
        """Register, and read the others from time to time."""
        self.spawn(self._register())
        self.spawn(self._refresh())

    def choose(self, count: int) -> list[Neighbour]:
        """Return at most ``count`` neighbours, those of this host's zone first."""
        now = clock.now()
        known = [
            neighbour
            for host, neighbour in self._neighbour_by_host.items()
            if neighbour.address is not None
            and self._passed_over_until.get(host, 0.0) <= now
        ]
        self._rng.shuffle(known)
        known.sort(key=lambda neighbour: neighbour.zone != self._own.zone)
        return known[:count]

    def failed(self, neighbour: Neighbour) -> None:
        """Note that a neighbour did not answer."""
        self._passed_over_until[neighbour.host] = clock.now() + _PASSED_OVER_SECONDS

    async def _register(self) -> None:
        value = self._own.model_dump_json().encode()
        while True:
            try:
                await self.kernel.get(Store).put(self._topic, self._own.host, value)
                return
            except CranberryrunError:
                # The directory notices and logs outages of the store.
                await asyncio.sleep(_RETRY_SECONDS)

    async def _refresh(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(0, _REFRESH_SECONDS))
            try:
                newest = await self.kernel.get(Store).newest(self._topic)
            except CranberryrunError:
                # What is known holds until the store answers.
                continue
            self._take(newest.records)
            await asyncio.sleep(_REFRESH_SECONDS)

    def _take(self, records: list[KeyedRecord]) -> None:
        known: dict[str, Neighbour] = {}
        for record in records:
            if record.value is None or record.key == self._own.host:
                continue
            try:
                known[record.key] = Neighbour.model_validate_json(record.value)
            except ValidationError as error:
                self.kernel.get(Events).emit(
                    "record_invalid", key=record.key, reason=str(error)
                )
        self._neighbour_by_host = known
