"""Client of the platform's log: named streams of records with offsets."""

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
    """One record. ``time`` is set by the log, in seconds since 1970."""

    offset: int
    time: float
    value: Any


@dataclass(frozen=True, slots=True)
class LogPage:
    """The result of one read.

    ``first`` is the oldest retained offset of the stream, ``next`` the offset at
    which the next read starts.
    """

    records: list[Record]
    first: int
    next: int


class _Answer(BaseModel):
    """Base of the log's answers; unknown fields are ignored."""

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
    """Appends to and reads from the log. Subclass it for another platform."""

    name = "log"

    @abstractmethod
    async def append(self, stream: str, values: list[Any]) -> int:
        """Append ``values`` atomically and return the offset of the first.

        :raises LogUnavailableError: if certainly nothing was appended.
        :raises AppendUnknownError: if it is unknown whether they were appended.
        """

    @abstractmethod
    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """Return at most ``limit`` records from offset ``start`` on.

        :param wait: seconds to wait for a first record if there is none yet.
        :raises LogReadError: if the log can't be read.
        """


class HttpLog(Log):
    """Accesses the log over HTTP; ``docs/PLATFORM.md`` specifies the requests."""

    requires = ("http",)

    def __init__(self, settings: LogSettings, timeout: float) -> None:
        super().__init__()
        self._url = f"{settings.url}/streams/{settings.prefix}"
        self._timeout = timeout

    def _records_url(self, stream: str) -> str:
        return f"{self._url}{stream}/records"

    async def append(self, stream: str, values: list[Any]) -> int:
        """See :meth:`Log.append`."""
        session = self.kernel.get(HttpClients).single_use
        timeout = aiohttp.ClientTimeout(total=self._timeout, sock_connect=1)
        try:
            async with session.post(
                self._records_url(stream),
                json={"records": values},
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                body = await self.kernel.get(HttpClients).read(answer)
                return _parse_append_answer(answer.status, body)
        except aiohttp.ClientConnectorError as error:
            raise LogUnavailableError(str(error), retry_after=2) from None
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise AppendUnknownError(
                f"no answer of the log to an append to {stream}: {error!r}"
            ) from None

    async def read(self, stream: str, start: int, limit: int, wait: float) -> LogPage:
        """See :meth:`Log.read`."""
        session = self.kernel.get(HttpClients).reads
        timeout = aiohttp.ClientTimeout(total=self._timeout + wait, sock_connect=1)
        params = {"from": str(start), "limit": str(limit), "wait": str(wait)}
        try:
            async with session.get(
                self._records_url(stream),
                params=params,
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                if answer.status != 200:
                    raise LogReadError(
                        f"reading {stream} failed with HTTP status {answer.status}"
                    )
                content = await self.kernel.get(HttpClients).read(answer)
                body = _ReadAnswer.model_validate_json(content)
        except (aiohttp.ClientError, asyncio.TimeoutError, ValidationError) as error:
            raise LogReadError(f"reading {stream} failed: {error!r}") from None
        records = [Record(row.offset, row.time, row.value) for row in body.records]
        return LogPage(records, body.first, body.next)


def _parse_append_answer(status: int, body: bytes) -> int:
    """Return the offset in the answer to an append; raises as :meth:`Log.append`."""
    try:
        if status == 200:
            return _AppendAnswer.model_validate_json(body).offset
        if status == 429:
            raise LogUnavailableError(
                "the log refused the append: rate limit exceeded", retry_after=1
            )
        if status == 503 and not _RefusalAnswer.model_validate_json(body).appended:
            raise LogUnavailableError(
                "the log refused the append: it is unavailable", retry_after=2
            )
    except ValidationError as error:
        raise AppendUnknownError(f"malformed answer of the log: {error}") from None
    raise AppendUnknownError(f"the append failed with HTTP status {status}")
