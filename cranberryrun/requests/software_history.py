"""Which software versions of streaming services served lately, kept in the store.

A caller may take a stream up again without naming it. It can go on only if a single
version may have begun it, and the targets that a host sees do not show that: those of
another version may have just left, perhaps while no host ran.
"""

from __future__ import annotations

import asyncio

import xxhash

from .. import clock
from ..events import Events
from ..exceptions import CranberryrunError, LogReadError, RecordInvalidError
from ..fleet.directory import Directory
from ..fleet.lease import Lease
from ..fleet.manifest import RouteKind
from ..fleet.origin import Origin
from ..kernel import Service
from ..store import KeyedRecord, Store
from .software_versions import (
    SoftwareVersions,
    VersionRecord,
    decode_record,
    encode_record,
)
from .stream_origins import OriginUnknownError

TOPIC = "keyed.software-versions"
_RETRY_SECONDS = 0.5
# A caller waits for the answer, which takes some milliseconds.
_READ_TIMEOUT_SECONDS = 0.4
_RETRY_AFTER_SECONDS = 0.5


class SoftwareHistory(Service):
    """The holder of the lease records which versions serve; any host can ask.

    Only services of routes whose streams may be resumed are recorded.
    """

    name = "software_history"
    requires = ("events", "store", "directory", "lease")

    def __init__(self) -> None:
        super().__init__()
        self._changed = asyncio.Event()
        self._versions: SoftwareVersions | None = None

    async def start(self) -> None:
        """Start recording while this host holds the lease."""
        self.kernel.get(Directory).observers.append(self._changed.set)
        self.kernel.get(Lease).observers.append(self._forget)
        self.supervise(self._record)

    def _forget(self) -> None:
        """Read the topic again after a change of the holder."""
        self._versions = None
        self._changed.set()

    async def possible_origins(self, service: str) -> set[Origin]:
        """Return the versions of ``service`` that may have begun a recent stream.

        :raises OriginUnknownError: the store can't be read.
        """
        try:
            async with asyncio.timeout(_READ_TIMEOUT_SECONDS):
                versions = await self._read()
        except (LogReadError, TimeoutError) as error:
            raise OriginUnknownError(
                f"can't read which versions of {service} served: {error!r}",
                retry_after=_RETRY_AFTER_SECONDS,
            ) from None
        return versions.possible(service, clock.wall())

    async def _read(self) -> SoftwareVersions:
        newest = await self.kernel.get(Store).newest(TOPIC)
        return SoftwareVersions(self._decode(newest.records))

    def _decode(self, records: list[KeyedRecord]) -> list[VersionRecord]:
        decoded = []
        for record in records:
            if record.value is None:
                continue
            try:
                decoded.append(decode_record(record.value))
            except RecordInvalidError as error:
                self.kernel.get(Events).emit(
                    "record_invalid", topic=TOPIC, key=record.key, reason=error.detail
                )
        return decoded

    async def _record(self) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            serving = self._serving()
            if not serving or not self.kernel.get(Lease).held:
                continue
            try:
                await self._write_changes(serving)
            except CranberryrunError:
                # Not logged here: the directory logs outages of the store.
                self._versions = None
                self._changed.set()
                await asyncio.sleep(_RETRY_SECONDS)

    async def _write_changes(self, serving: set[Origin]) -> None:
        versions = self._versions
        if versions is None:
            versions = self._versions = await self._read()
        for record in versions.changes(serving, clock.wall()):
            origin = f"{record.service}\n{record.software}"
            key = xxhash.xxh3_64_hexdigest(origin.encode("utf-8", "surrogateescape"))
            await self.kernel.get(Store).put(TOPIC, key, encode_record(record))
            versions.apply(record)
            self.kernel.get(Events).emit(
                "software_version_recorded",
                service=record.service,
                software=record.software,
                gone=record.gone_at is not None,
            )

    def _serving(self) -> set[Origin]:
        """Return the versions that serve resumable streams; none if not known yet."""
        directory = self.kernel.get(Directory)
        if directory.manifest is None or not directory.ready:
            return set()
        services = {
            backend.service
            for route in directory.manifest.routes
            if route.kind is RouteKind.STREAMING and route.resumable
            for backend in route.backends
        }
        return {
            Origin.of(target)
            for target in directory.target_by_id.values()
            if target.service in services
        }
