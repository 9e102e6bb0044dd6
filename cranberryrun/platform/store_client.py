"""The platform's store over HTTP."""

from __future__ import annotations

import asyncio
import base64
import binascii
import json
import struct
from urllib.parse import urlencode

import aiohttp
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from yarl import URL

from ..exceptions import (
    AppendConflictError,
    AppendUnknownError,
    LogGapError,
    LogReadError,
    LogUnavailableError,
)
from ..fleet.store_paths import StorePaths
from ..http import HttpClients
from ..store import KeyedRecord, NewestRecords, Page, Store

_PARTITION = 0
# The store answers within some milliseconds, or 60 times that when it is slow; an
# answer that is this late is lost, and its connection with it.
_ANSWER_SECONDS = 0.6
# A page of this size takes 0.05 s on the slowest links of the hosts, 60 Mbit/s.
_READ_KB = 256
# A call that trickles is given up after this, in seconds.
_CALL_SECONDS = 3.0
# Any topic will do to see whether the store serves this host.
_PROBE_TARGET = f"/v1/log-read?topic=lease&part={_PARTITION}&from=0&max-kb=1"
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

    A call goes to the store or to a neighbour, as :class:`StorePaths` says.
    """

    requires = ("http", "store_paths")

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

    async def trim(self, topic: str, before: int) -> None:
        """See :meth:`Store.trim`."""
        call = {"topic": topic, "part": _PARTITION, "before": before}
        status, answer = await self._write(
            "/v1/log-trim", {}, json.dumps(call).encode()
        )
        if status != 200:
            raise AppendUnknownError(f"the store answered {status}: {answer[:200]!r}")

    async def newest(self, topic: str) -> NewestRecords:
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
                return NewestRecords(records, next_offset)
            params["after"] = page.items[-1].key

    def parse_keyed_record(self, record: bytes) -> KeyedRecord | None:
        """See :meth:`Store.parse_keyed_record`."""
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
        return await self._call("POST", path, params, body)

    async def _get(
        self, path: str, params: dict[str, str], wait: float
    ) -> tuple[int, bytes]:
        return await self._call("GET", path, params, b"", wait)

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        body: bytes,
        wait: float = 0.0,
    ) -> tuple[int, bytes]:
        target = f"{path}?{urlencode(params)}"

        async def send(address: str) -> tuple[int, bytes]:
            return await self.exchange(address, method, target, body, wait)

        return await self.kernel.get(StorePaths).call(send, self._probe)

    async def _probe(self) -> tuple[int, bytes]:
        direct = self.kernel.get(StorePaths).direct
        return await self.exchange(direct, "GET", _PROBE_TARGET, b"")

    async def exchange(
        self, address: str, method: str, target: str, body: bytes, wait: float = 0.0
    ) -> tuple[int, bytes]:
        """Make one call, at the store or at a neighbour; return status and answer.

        :param wait: how long the call itself may be kept waiting, in seconds.
        :raises LogReadError: a reading call came to nothing.
        :raises LogUnavailableError: nothing was done by a writing call.
        :raises AppendUnknownError: nobody can tell what a writing call did.
        """
        try:
            async with self.kernel.get(HttpClients).shared.request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                timeout=aiohttp.ClientTimeout(
                    total=_CALL_SECONDS + wait, sock_read=_ANSWER_SECONDS + wait
                ),
                data=body or None,
            ) as response:
                status, answer = response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            raise _nothing_done(method, f"{address} can't be reached: {error}")
        except (aiohttp.ClientError, asyncio.TimeoutError) as error:
            reason = f"the answer of {address} is lost: {error!r}"
            if method == "GET":
                raise LogReadError(reason) from None
            raise AppendUnknownError(reason) from None
        if status in _NOTHING_DONE:
            raise _nothing_done(method, f"{address} answered {status}")
        return status, answer


def _nothing_done(method: str, reason: str) -> LogReadError | LogUnavailableError:
    if method == "GET":
        return LogReadError(reason)
    return LogUnavailableError(reason, retry_after=_RETRY_AFTER_SECONDS)


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
