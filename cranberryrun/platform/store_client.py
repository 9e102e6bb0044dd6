"""The platform's store over HTTP."""

from __future__ import annotations

import asyncio
import base64
import binascii
import struct

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..exceptions import (
    AppendConflictError,
    AppendUnknownError,
    LogGapError,
    LogReadError,
    LogUnavailableError,
)
from ..http import HttpClients
from ..store import KeyedRecord, Newest, Page, Store

_PARTITION = 0
# The store answers within some milliseconds, or 60 times that when it is slow; an
# answer that is this late is lost, and its connection with it.
_ANSWER_SECONDS = 0.6
_READ_KB = 1024
_RETRY_AFTER_SECONDS = 0.2
_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
# Nothing was done: over the rate, not serving, or full.
_NOTHING_DONE = frozenset({429, 503, 507})


class _Answer(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Appended(_Answer):
    offset: int


class _Trimmed(_Answer):
    # The oldest offset that is kept.
    first: int = 0


class _Item(_Answer):
    key: str
    # Base64; absent or empty where the key was dropped.
    value: str | None = None
    offset: int


class _NewestPage(_Answer):
    items: list[_Item] = []
    has_more: bool = Field(False, alias="has-more")
    end: int


class StoreClient(Store):
    """Speaks to the store; one attempt a call.

    :param address: IP and port of the store.
    """

    requires = ("http",)

    def __init__(self, address: str) -> None:
        super().__init__()
        self._url = f"http://{address}"

    async def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int:
        """See :meth:`Store.append`."""
        body = b"".join(_LENGTH.pack(len(record)) + record for record in records)
        params = {"topic": topic, "part": str(_PARTITION)}
        if at is not None:
            params["at"] = str(at)
        status, answer = await self._write("/v1/log-append", params, body)
        if status == 412:
            raise AppendConflictError(
                f"topic {topic} does not end at {at}", retry_after=0
            )
        if status == 200:
            try:
                return _Appended.model_validate_json(answer).offset
            except ValidationError as error:
                raise AppendUnknownError(f"the answer is malformed: {error}") from None
        raise AppendUnknownError(f"the store answered {status}: {answer[:200]!r}")

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """See :meth:`Store.put`."""
        name = key.encode()
        await self.append(topic, [bytes([len(name)]) + name + value])

    async def read(self, topic: str, start: int, wait: float) -> Page:
        """See :meth:`Store.read`."""
        params = {
            "topic": topic,
            "part": str(_PARTITION),
            "from": str(start),
            "max-kb": str(_READ_KB),
        }
        if wait > 0:
            params["wait-ms"] = str(int(wait * 1000))
        status, answer = await self._get("/v1/log-read", params, wait)
        if status == 410:
            raise LogGapError("records were deleted", first=_first_kept(answer))
        if status != 200:
            raise LogReadError(f"the store answered {status}: {answer[:200]!r}")
        return _page(start, answer)

    async def newest(self, topic: str) -> Newest:
        """See :meth:`Store.newest`."""
        records: list[KeyedRecord] = []
        params = {"topic": topic, "part": str(_PARTITION)}
        next_offset: int | None = None
        while True:
            status, answer = await self._get("/v1/log-newest", params, 0)
            if status != 200:
                raise LogReadError(f"the store answered {status}: {answer[:200]!r}")
            try:
                page = _NewestPage.model_validate_json(answer)
                records += [_keyed_item(item) for item in page.items]
            except (ValidationError, binascii.Error) as error:
                raise LogReadError(f"the answer is malformed: {error}") from None
            if next_offset is None:
                # Later pages may hold newer records; reading on from here sees
                # whatever the pages missed.
                next_offset = page.end
            if not page.has_more or not page.items:
                return Newest(records, next_offset)
            params["after"] = page.items[-1].key

    def keyed(self, record: bytes) -> KeyedRecord | None:
        """See :meth:`Store.keyed`."""
        if not record or len(record) < 1 + record[0]:
            return None
        end = 1 + record[0]
        try:
            key = record[1:end].decode()
        except UnicodeDecodeError:
            return None
        return KeyedRecord(key, record[end:] or None)

    async def _write(
        self, path: str, params: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        session = self.kernel.get(HttpClients).shared
        timeout = aiohttp.ClientTimeout(total=_ANSWER_SECONDS)
        try:
            async with session.post(
                self._url + path, params=params, timeout=timeout, data=body
            ) as response:
                status, answer = response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            raise LogUnavailableError(
                f"the store can't be reached: {error}",
                retry_after=_RETRY_AFTER_SECONDS,
            ) from None
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise AppendUnknownError(f"the answer is lost: {error!r}") from None
        if status in _NOTHING_DONE:
            raise LogUnavailableError(
                f"the store answered {status}", retry_after=_RETRY_AFTER_SECONDS
            )
        return status, answer

    async def _get(
        self, path: str, params: dict[str, str], wait: float
    ) -> tuple[int, bytes]:
        session = self.kernel.get(HttpClients).shared
        timeout = aiohttp.ClientTimeout(total=_ANSWER_SECONDS + wait)
        try:
            async with session.get(
                self._url + path, params=params, timeout=timeout
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            raise LogReadError(f"the store can't be read: {error!r}") from None


def _keyed_item(item: _Item) -> KeyedRecord:
    value = base64.b64decode(item.value) if item.value else None
    return KeyedRecord(item.key, value)


def _first_kept(answer: bytes) -> int:
    try:
        return _Trimmed.model_validate_json(answer).first
    except ValidationError:
        # Not said; the reader begins anew at the oldest that the store gives.
        return 0


def _page(start: int, answer: bytes) -> Page:
    if len(answer) < _READ_HEADER.size:
        raise LogReadError("the answer is too short")
    end, _ = _READ_HEADER.unpack_from(answer)
    records = []
    at = _READ_HEADER.size
    while at + _LENGTH.size <= len(answer):
        (length,) = _LENGTH.unpack_from(answer, at)
        at += _LENGTH.size
        if at + length > len(answer):
            raise LogReadError("the last record of the answer is cut off")
        records.append(answer[at : at + length])
        at += length
    return Page(start, records, end)
