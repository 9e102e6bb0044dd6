"""Clients of the platform's log and host list, over the in-memory network."""

import json
from typing import Any

from cranberryrun.exceptions import (
    AppendUnknownError,
    HostListError,
    LogReadError,
    LogUnavailableError,
)
from cranberryrun.log import Log, LogPage, Record
from cranberryrun.membership import HostEntry, HostList
from standins.hosts import HostsStandin, ListUnavailable
from standins.log import AckLost, LogStandin, LogUnavailable, RateExceeded

from .loop import BASE_WALL_SECONDS
from .network import ConnectionLost, Network, Unreachable

LOG = "log"
LIST = "list"
LOG_TIMEOUT_SECONDS = 3.0


class FakeLog(Log):
    """One host's client of the shared log.

    :param on_fault_point: called with ``append``, ``read_back`` or ``intent``, and
        the host's name.
    :param appended_records: receives (offset, value) of each configuration record.
    """

    def __init__(
        self,
        host: str,
        standin: LogStandin,
        network: Network,
        on_fault_point: Any,
        appended_records: list[tuple[int, Any]],
    ) -> None:
        super().__init__()
        self._host = host
        self._standin = standin
        self._network = network
        self._on_fault_point = on_fault_point
        self._appended_records = appended_records

    async def append(self, stream: str, values: list[Any]) -> int:
        """See :meth:`Log.append`."""
        copied = json.loads(json.dumps(values))
        is_config = stream == "config"
        self._on_fault_point("append" if is_config else "intent", self._host)

        async def append_to_standin() -> int:
            try:
                return await self._standin.append(stream, copied)
            finally:
                self._record_appended(stream, copied)

        try:
            return await self._network.call(
                self._host, LOG, append_to_standin, LOG_TIMEOUT_SECONDS
            )
        except (LogUnavailable, RateExceeded, Unreachable) as error:
            raise LogUnavailableError(repr(error), retry_after=2) from None
        except (AckLost, ConnectionLost) as error:
            raise AppendUnknownError(repr(error)) from None

    def _record_appended(self, stream: str, values: list[Any]) -> None:
        """Record appended configuration, even if the acknowledgement was lost."""
        if stream != "config":
            return
        stored = self._standin.by_stream.get(stream)
        for row in list(stored.records)[-len(values) :] if stored else []:
            if (
                row.value in values
                and (row.offset, row.value) not in self._appended_records
            ):
                self._appended_records.append((row.offset, row.value))
        self._on_fault_point("read_back", self._host)

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """See :meth:`Log.read`."""

        async def page() -> Any:
            return await self._standin.read(stream, start, limit, wait)

        try:
            response = await self._network.call(
                self._host, LOG, page, LOG_TIMEOUT_SECONDS + wait
            )
        except (LogUnavailable, Unreachable, ConnectionLost) as error:
            raise LogReadError(repr(error)) from None
        records = [
            Record(
                row.offset,
                BASE_WALL_SECONDS + row.stored_at,
                json.loads(json.dumps(row.value)),
            )
            for row in response.records
        ]
        return LogPage(records, response.first, response.next)


class FakeHostList(HostList):
    """One host's client of the platform's host list."""

    def __init__(self, host: str, standin: HostsStandin, network: Network) -> None:
        self._host = host
        self._standin = standin
        self._network = network

    async def read(self) -> list[HostEntry]:
        """See :meth:`HostList.read`."""

        async def list_visible() -> Any:
            return self._standin.visible()

        try:
            response = await self._network.call(self._host, LIST, list_visible, 1.0)
        except (ListUnavailable, Unreachable, ConnectionLost) as error:
            raise HostListError(repr(error)) from None
        return [HostEntry.model_validate(host.model_dump()) for host in response.hosts]
