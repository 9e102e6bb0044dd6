"""Adds up the usage counts of all hosts. No I/O."""

from __future__ import annotations

from dataclasses import dataclass

from pydantic import TypeAdapter, ValidationError

from ..exceptions import RecordInvalidError

TOPIC = "usage-counts"
# The holder reads the topic several times a second; a longer gap is an outage.
_MAX_READ_GAP_SECONDS = 1.5
# After an outage of the store the hosts append their counts again within this time: a
# call in flight is lost after 0.6 s, and the next one follows 0.5 s later.
_SETTLE_SECONDS = 1.3
# A process that reported before so many others is gone.
_MAX_PROCESSES = 4096


@dataclass(frozen=True, slots=True)
class UsageRecord:
    """Counts of one host for one window, which may be only a part of them.

    ``sequence`` increases with each record of a process. An append that is repeated
    because its answer was lost has the same sequence numbers.
    """

    host: str
    incarnation: int
    sequence: int
    window: int
    counts: dict[str, int]


_ADAPTER: TypeAdapter[UsageRecord] = TypeAdapter(UsageRecord)


def encode(record: UsageRecord) -> bytes:
    """Return the bytes of a record."""
    return _ADAPTER.dump_json(record)


class UsageTotals:
    """The counts of all hosts by window, as far as the topic was read.

    :ivar late_requests: requests whose counts came after the report of their window.
    """

    def __init__(self) -> None:
        self._counts_by_window: dict[int, dict[str, int]] = {}
        self._last_sequence_by_process: dict[tuple[str, int], int] = {}
        self._read_at = float("-inf")
        self._settled_at = float("inf")
        self._reported_window = -1
        self.late_requests = 0

    def apply(self, raw: bytes) -> None:
        """Add a record, unless it is the repetition of one that was added.

        :raises RecordInvalidError: it is malformed.
        """
        try:
            record = _ADAPTER.validate_json(raw)
        except ValidationError as error:
            raise RecordInvalidError(str(error)) from None
        process = (record.host, record.incarnation)
        if record.sequence <= self._last_sequence_by_process.get(process, -1):
            return
        # The processes that reported last are at the end.
        self._last_sequence_by_process.pop(process, None)
        self._last_sequence_by_process[process] = record.sequence
        if len(self._last_sequence_by_process) > _MAX_PROCESSES:
            oldest = next(iter(self._last_sequence_by_process))
            del self._last_sequence_by_process[oldest]
        if record.window <= self._reported_window:
            self.late_requests += sum(record.counts.values())
            return
        counts = self._counts_by_window.setdefault(record.window, {})
        for workspace, count in record.counts.items():
            counts[workspace] = counts.get(workspace, 0) + count

    def record_read(self, at: float) -> None:
        """Take note that the topic was read up to its end of the time ``at``."""
        if at - self._read_at > _MAX_READ_GAP_SECONDS:
            self._settled_at = at + _SETTLE_SECONDS
        self._read_at = at

    def complete(self, until: float) -> bool:
        """Return whether all counts that the hosts wrote before ``until`` are here.

        After an outage of the store the hosts' delayed counts are awaited, too.
        """
        return self._read_at >= max(until, self._settled_at)

    def counts_of(self, window: int) -> dict[str, int]:
        """Return the requests of each workspace in a window."""
        return dict(sorted(self._counts_by_window.get(window, {}).items()))

    def oldest_window(self) -> int | None:
        """Return the oldest window with counts and without a report, if any."""
        return min(self._counts_by_window, default=None)

    def end_window(self, window: int) -> None:
        """Take note that the reports up to that of ``window`` are recorded."""
        self._reported_window = max(self._reported_window, window)
        self.forget_before(self._reported_window + 1)

    def forget_before(self, window: int) -> None:
        """Remove the counts of windows that are too old for a report."""
        for old in [each for each in self._counts_by_window if each < window]:
            del self._counts_by_window[old]
