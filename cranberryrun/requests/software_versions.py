"""Which software versions of a service may have begun a stream. Does no I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError

from ..exceptions import RecordInvalidError
from ..fleet.origin import Origin

# Callers take streams up again within seconds, and streams last some seconds.
_MAX_STREAM_AGE_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """A software version of a service that served.

    ``gone_at`` is the time at which its last target had left, in seconds since 1970;
    None while targets of it serve.
    """

    service: str
    software: str
    gone_at: float | None = None


_RECORD_ADAPTER: TypeAdapter[VersionRecord] = TypeAdapter(VersionRecord)


def encode_record(record: VersionRecord) -> bytes:
    """Return the value of a record in the store."""
    return _RECORD_ADAPTER.dump_json(record)


def decode_record(value: bytes) -> VersionRecord:
    """Return the record with this value.

    :raises RecordInvalidError: it is malformed.
    """
    try:
        return _RECORD_ADAPTER.validate_json(value)
    except ValidationError as error:
        raise RecordInvalidError(f"the version is malformed: {error}") from None


class SoftwareVersions:
    """The records of all versions, by origin."""

    def __init__(self, records: Collection[VersionRecord] = ()) -> None:
        self._record_by_origin: dict[Origin, VersionRecord] = {}
        for record in records:
            self.apply(record)

    def apply(self, record: VersionRecord) -> None:
        """Replace the record of a version."""
        self._record_by_origin[Origin(record.service, record.software)] = record

    def changes(self, serving: Collection[Origin], now: float) -> list[VersionRecord]:
        """Return the records to write, as these versions serve at ``now``.

        :param now: seconds since 1970.
        """
        changed = []
        for origin in serving:
            known = self._record_by_origin.get(origin)
            if known is None or known.gone_at is not None:
                changed.append(VersionRecord(origin.service, origin.software))
        for origin, known in self._record_by_origin.items():
            if known.gone_at is None and origin not in serving:
                changed.append(VersionRecord(origin.service, origin.software, now))
        return changed

    def possible(self, service: str, now: float) -> set[Origin]:
        """Return the versions that may have begun a stream that is taken up at ``now``.

        :param now: seconds since 1970.
        """
        return {
            origin
            for origin, record in self._record_by_origin.items()
            if origin.service == service
            and (
                record.gone_at is None or now < record.gone_at + _MAX_STREAM_AGE_SECONDS
            )
        }
