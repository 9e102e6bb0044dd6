"""The platform's log: named streams of records with offsets."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from dataclasses import dataclass
from typing import Any

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .exceptions import AppendUnknownError, LogReadError, LogUnavailableError
from .http import HttpClients
from .kernel import Service
from .settings import LogSettings


@dataclass(frozen=True, slots=True)
class Record:
    """One record. ``time`` is the log's own, in seconds since 1970."""

    offset: int
    time: float
    value: Any


@dataclass(frozen=True, slots=True)
class LogPage:
    """What one read returned.

    ``first`` is the oldest offset that is kept, ``next`` the one to read from next.
    """

    records: list[Record]
    first: int
    next: int


class _Answer(BaseModel):
    """Base of the log's answers; fields not named here are passed over."""

    model_config = ConfigDict(extra="ignore")


class _AppendAnswer(_Answer):
    offset: int = Field(ge=0)


class _RefusalAnswer(_Answer):
    appended: bool


class _ReadRecord(_Answer):
    offset: int = Field(ge=0)
    time: float
    value: Any


class _ReadAnswer(_Answer):
    records: list[_ReadRecord]
    first: int = Field(ge=0)
    next: int = Field(ge=0)


class Log(Service):
    """Appends to and reads from the platform's log. Replace it for another one."""

    name = "log"

    @abstractmethod
    async def append(self, stream: str, values: list[Any]) -> int:
        """Append ``values`` together and return the first one's offset.

        :raises LogUnavailableError: nothing was appended, certainly.
        :raises AppendUnknownError: nobody can tell.
        """

    @abstractmethod
    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """Return records from offset ``start`` on, waiting ``wait`` s for the first.

        :raises LogReadError: the log can't be read.
        """


class HttpLog(Log):
    """The log over HTTP, as ``docs/PLATFORM.md`` has it."""

    requires = ("http",)

    def __init__(self, settings: LogSettings, timeout: float) -> None:
        super().__init__()
        self._url = f"{settings.url}/streams/{settings.prefix}"
        self._timeout = timeout

    def _path(self, stream: str) -> str:
        return f"{self._url}{stream}/records"

    async def append(self, stream: str, values: list[Any]) -> int:
        """See :meth:`Log.append`."""
        session = self.kernel.get(HttpClients).no_retry
        timeout = aiohttp.ClientTimeout(total=self._timeout, sock_connect=1)
        try:
            async with session.post(
                self._path(stream), json={"records": values}, timeout=timeout
            ) as answer:
                return _appended(answer.status, await answer.read())
        except aiohttp.ClientConnectorError as error:
            raise LogUnavailableError(str(error), retry_after=2) from None
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise AppendUnknownError(f"the log's answer is lost: {error!r}") from None

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """See :meth:`Log.read`."""
        session = self.kernel.get(HttpClients).shared
        timeout = aiohttp.ClientTimeout(total=self._timeout + wait, sock_connect=1)
        params = {"from": str(start), "limit": str(limit), "wait": str(wait)}
        try:
            async with session.get(
                self._path(stream), params=params, timeout=timeout
            ) as answer:
                if answer.status != 200:
                    raise LogReadError(f"the log answered {answer.status}")
                body = _ReadAnswer.model_validate_json(await answer.read())
        except (aiohttp.ClientError, asyncio.TimeoutError, ValidationError) as error:
            raise LogReadError(f"the log can't be read: {error!r}") from None
        records = [Record(row.offset, row.time, row.value) for row in body.records]
        return LogPage(records, body.first, body.next)


def _appended(status: int, body: bytes) -> int:
    """Return the offset that the log's answer gives; errors as in Log.append."""
    try:
        if status == 200:
            return _AppendAnswer.model_validate_json(body).offset
        if status == 429:
            raise LogUnavailableError("the log is over its rate", retry_after=1)
        if status == 503 and not _RefusalAnswer.model_validate_json(body).appended:
            raise LogUnavailableError("the log is down", retry_after=2)
    except ValidationError as error:
        raise AppendUnknownError(f"the log's answer is not valid: {error}") from None
    raise AppendUnknownError(f"the log answered {status}")
