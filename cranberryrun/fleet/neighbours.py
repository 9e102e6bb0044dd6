"""The other hosts that can relay calls to the store for this host."""

from __future__ import annotations

import asyncio
import random

from pydantic import BaseModel, ConfigDict, ValidationError

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError
from ..kernel import Service
from ..store import KeyedRecord, Store
from .address import Address, AddressField

_REFRESH_SECONDS = 5.0
_RETRY_DELAY_SECONDS = 0.5
# The time between two reads if the address of a host is missing meanwhile.
_MIN_REFRESH_SECONDS = 0.5
# A neighbour that failed to relay a call is not chosen again for this long.
_COOLDOWN_SECONDS = 3.0


class Neighbour(BaseModel):
    """The entry of a host. ``address`` accepts store calls to relay; None if unused."""

    model_config = ConfigDict(frozen=True, extra="ignore")

    host: str
    zone: str
    address: AddressField | None


class Neighbours(Service):
    """Registers this host in a keyed topic and reads the entries of the others.

    The entry of a host that is gone is removed by another one, see
    :class:`~.neighbour_checks.NeighbourChecks`. A host whose own entry was removed
    registers again. ``unreachable`` has the hosts to which no connection can be made.

    :param topic: the keyed topic with one entry for each host.
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
        self._cooldown_until_by_host: dict[str, float] = {}
        self.unreachable: frozenset[str] = frozenset()
        # The offset after the newest record when the entries were read.
        self._end = 0
        self._read = False
        self._registered = False
        self._sought: set[str] = set()
        self._missing = asyncio.Event()

    async def start(self) -> None:
        """Register this host and start reading the other entries regularly."""
        self.supervise(self._register)
        self.supervise(self._refresh)

    def choose(self, count: int) -> list[Neighbour]:
        """Return at most ``count`` neighbours in random order, the own zone first.

        Those that are unreachable come last.
        """
        now = clock.now()
        available = [
            neighbour
            for host, neighbour in self._neighbour_by_host.items()
            if neighbour.address is not None
            and self._cooldown_until_by_host.get(host, 0.0) <= now
        ]
        self._rng.shuffle(available)
        available.sort(
            key=lambda neighbour: (
                neighbour.host in self.unreachable,
                neighbour.zone != self._own.zone,
            )
        )
        return available[:count]

    @property
    def relaying(self) -> list[Neighbour]:
        """All neighbours that relay calls; some may be gone."""
        return [
            neighbour
            for neighbour in self._neighbour_by_host.values()
            if neighbour.address is not None
        ]

    async def remove(self, host: str) -> None:
        """Remove the entry of a host, unless any entry changed since the last read.

        :raises CranberryrunError: the entry was not removed, or perhaps not.
        """
        await self.kernel.get(Store).put(self._topic, host, b"", self._end)
        self._neighbour_by_host.pop(host, None)

    def address_of(self, host: str) -> Address | None:
        """Return the address at which ``host`` accepts calls; None if not known.

        The entries are read again soon if there is none of ``host``; this is done once
        between two regular reads, as the host may be gone.
        """
        neighbour = self._neighbour_by_host.get(host)
        if neighbour is not None:
            return neighbour.address
        if host not in self._sought:
            self._sought.add(host)
            self._missing.set()
        return None

    @property
    def host_count(self) -> int | None:
        """How many hosts have an entry, this one included; some may be gone.

        None until the entries of the others are read for the first time.
        """
        return 1 + len(self._neighbour_by_host) if self._read else None

    def record_failure(self, neighbour: Neighbour) -> None:
        """Start the cooldown of a neighbour that failed to relay a call."""
        self._cooldown_until_by_host[neighbour.host] = clock.now() + _COOLDOWN_SECONDS

    async def _register(self) -> None:
        value = self._own.model_dump_json().encode()
        self._registered = False
        while not self._registered:
            try:
                await self.kernel.get(Store).put(self._topic, self._own.host, value)
                self._registered = True
            except CranberryrunError:
                # Not logged here: the directory logs outages of the store.
                await asyncio.sleep(_RETRY_DELAY_SECONDS)

    async def _refresh(self) -> None:
        while True:
            await self._pause(self._rng.uniform(0, _REFRESH_SECONDS))
            registered = self._registered
            try:
                newest = await self.kernel.get(Store).newest(self._topic)
            except CranberryrunError:
                # The neighbours read last stay in use until the store answers again.
                await asyncio.sleep(_RETRY_DELAY_SECONDS)
                continue
            self._replace_neighbours(newest.records)
            self._end = newest.next
            self._read = True
            if registered and not any(
                record.key == self._own.host and record.value is not None
                for record in newest.records
            ):
                self.supervise(self._register)
            await asyncio.sleep(_MIN_REFRESH_SECONDS)
            await self._pause(_REFRESH_SECONDS - _MIN_REFRESH_SECONDS)

    async def _pause(self, seconds: float) -> None:
        """Wait, but not longer than until an address is missing."""
        try:
            async with asyncio.timeout(seconds):
                await self._missing.wait()
        except TimeoutError:
            self._sought.clear()
        self._missing.clear()

    def _replace_neighbours(self, records: list[KeyedRecord]) -> None:
        neighbour_by_host: dict[str, Neighbour] = {}
        for record in records:
            if record.value is None or record.key == self._own.host:
                continue
            try:
                neighbour_by_host[record.key] = Neighbour.model_validate_json(
                    record.value
                )
            except ValidationError as error:
                self.kernel.get(Events).emit(
                    "record_invalid", key=record.key, reason=str(error)
                )
        self._neighbour_by_host = neighbour_by_host
        self._cooldown_until_by_host = {
            host: until
            for host, until in self._cooldown_until_by_host.items()
            if host in neighbour_by_host
        }
