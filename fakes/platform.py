"""The platform's log and host list, on the virtual clock."""

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
from .network import Broken, Network, Unreachable

LOG = "log"
LIST = "list"
LOG_TIMEOUT_SECONDS = 3.0


class FakeLog(Log):
    """One host's way to the log that all hosts share.

    :param reach: called with ``append``, ``read_back`` or ``intent`` and the host.
    :param appended: takes each record of the configuration, with its offset.
    """

    def __init__(
        self,
        host: str,
        standin: LogStandin,
        network: Network,
        reach: Any,
        appended: list[tuple[int, Any]],
    ) -> None:
        super().__init__()
        self._host = host
        self._standin = standin
        self._network = network
        self._reach = reach
        self._appended = appended

    async def append(self, stream: str, values: list[Any]) -> int:
        """See :meth:`Log.append`."""
        copied = json.loads(json.dumps(values))
        is_config = stream == "config"
        self._reach("append" if is_config else "intent", self._host)

        async def take() -> int:
            try:
                return await self._standin.append(stream, copied)
            finally:
                self._note(stream, copied)

        try:
            return await self._network.carry(self._host, LOG, take, LOG_TIMEOUT_SECONDS)
        except (LogUnavailable, RateExceeded, Unreachable) as error:
            raise LogUnavailableError(repr(error), retry_after=2) from None
        except (AckLost, Broken) as error:
            raise AppendUnknownError(repr(error)) from None

    def _note(self, stream: str, values: list[Any]) -> None:
        """Keep the records that were appended, whether or not the answer is lost."""
        if stream != "config":
            return
        kept = self._standin.by_stream.get(stream)
        for row in list(kept.records)[-len(values) :] if kept else []:
            if row.value in values and (row.offset, row.value) not in self._appended:
                self._appended.append((row.offset, row.value))
        self._reach("read_back", self._host)

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """See :meth:`Log.read`."""

        async def page() -> Any:
            return await self._standin.read(stream, start, limit, wait)

        try:
            found = await self._network.carry(
                self._host, LOG, page, LOG_TIMEOUT_SECONDS + wait
            )
        except (LogUnavailable, Unreachable, Broken) as error:
            raise LogReadError(repr(error)) from None
        records = [
            Record(
                row.offset,
                BASE_WALL_SECONDS + row.stored_at,
                json.loads(json.dumps(row.value)),
            )
            for row in found.records
        ]
        return LogPage(records, found.first, found.next)


class FakeHostList(HostList):
    """One host's way to the platform's list."""

    def __init__(self, host: str, standin: HostsStandin, network: Network) -> None:
        self._host = host
        self._standin = standin
        self._network = network

    async def read(self) -> list[HostEntry]:
        """See :meth:`HostList.read`."""

        async def visible() -> Any:
            return self._standin.visible()

        try:
            found = await self._network.carry(self._host, LIST, visible, 1.0)
        except (ListUnavailable, Unreachable, Broken) as error:
            raise HostListError(repr(error)) from None
        return [HostEntry.model_validate(host.model_dump()) for host in found.hosts]
