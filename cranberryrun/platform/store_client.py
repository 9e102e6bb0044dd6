"""Calls the platform's store over HTTP."""

from __future__ import annotations

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
# The store answers within some milliseconds, or 60 times that when it is slow. A later
# answer counts as lost, and its connection is closed.
_READ_TIMEOUT_SECONDS = 0.6
# A page of this size takes 0.05 s on the slowest link of a host, 60 Mbit/s.
_PAGE_MAX_KB = 256
# Connecting takes some milliseconds even over the longest link, but hangs where the
# neighbour is gone.
_CONNECT_TIMEOUT_SECONDS = 0.4
# Ends a call whose answer arrives in small pieces and so never hits the read timeout.
_CALL_TIMEOUT_SECONDS = 3.0
# The probe tests only whether the store answers this host; its topic does not matter.
_PROBE_PATH = f"/v1/log-read?topic=lease&part={_PARTITION}&from=0&max-kb=1"
_RETRY_AFTER_SECONDS = 0.2
_RECORD_LENGTH = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")
# The store did not apply the call: rate limit exceeded, not serving, or full.
_NOT_APPLIED_STATUSES = frozenset({429, 503, 507})


class _Answer(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _AppendAnswer(_Answer):
    offset: int


class _GapAnswer(_Answer):
    # The oldest offset that the store still keeps.
    first: int = 0


class _Item(_Answer):
    key: str
    # Base64; absent or empty if the key was removed.
    value: str | None = None
    offset: int


class _NewestPage(_Answer):
    items: list[_Item] = []
    has_more: bool = Field(False, alias="has-more")
    # The offset after the newest record of the topic when the page was read.
    end: int


class StoreClient(Store):
    """Calls the store, with one attempt on each path.

    :class:`StorePaths` decides whether a call goes directly to the store or through a
    neighbour.
    """

    requires = ("http", "store_paths")

    async def append(
        self, topic: str, records: list[bytes], at: int | None = None
    ) -> int:
        """See :meth:`Store.append`."""
        body = b"".join(_RECORD_LENGTH.pack(len(record)) + record for record in records)
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
                return _AppendAnswer.model_validate_json(answer).offset
            except ValidationError as error:
                raise AppendUnknownError(
                    f"the store's answer to an append to {topic} is malformed: {error}"
                ) from None
        raise AppendUnknownError(
            f"the store answered {status} to an append to {topic}: {answer[:200]!r}"
        )

    async def put(
        self, topic: str, key: str, value: bytes, at: int | None = None
    ) -> None:
        """See :meth:`Store.put`."""
        encoded_key = key.encode()
        record = bytes([len(encoded_key)]) + encoded_key + value
        await self.append(topic, [record], at)

    async def read(self, topic: str, start: int, wait: float) -> Page:
        """See :meth:`Store.read`."""
        params = {
            "topic": topic,
            "part": str(_PARTITION),
            "from": str(start),
            "max-kb": str(_PAGE_MAX_KB),
        }
        if wait > 0:
            params["wait-ms"] = str(int(wait * 1000))
        status, answer = await self._get("/v1/log-read", params, wait)
        if status == 410:
            raise LogGapError(
                f"records of topic {topic} from offset {start} were deleted",
                first=_oldest_kept_offset(answer),
            )
        if status != 200:
            raise LogReadError(
                f"the store answered {status} to a read of {topic}: {answer[:200]!r}"
            )
        return _decode_page(start, answer)

    async def trim(self, topic: str, before: int) -> None:
        """See :meth:`Store.trim`."""
        body = {"topic": topic, "part": _PARTITION, "before": before}
        status, answer = await self._write(
            "/v1/log-trim", {}, json.dumps(body).encode()
        )
        if status != 200:
            raise AppendUnknownError(
                f"the store answered {status} to a trim of {topic}: {answer[:200]!r}"
            )

    async def newest(self, topic: str) -> NewestRecords:
        """See :meth:`Store.newest`."""
        records: list[KeyedRecord] = []
        params = {"topic": topic, "part": str(_PARTITION)}
        next_offset: int | None = None
        while True:
            status, answer = await self._get("/v1/log-newest", params, 0)
            if status != 200:
                raise LogReadError(
                    f"the store answered {status} for the newest records of {topic}: "
                    f"{answer[:200]!r}"
                )
            try:
                page = _NewestPage.model_validate_json(answer)
                records += [_decode_item(item) for item in page.items]
            except (ValidationError, binascii.Error) as error:
                raise LogReadError(
                    f"the newest records of {topic} are malformed: {error}"
                ) from None
            if next_offset is None:
                # Records may be appended while the pages are read. Reading on from the
                # end of the first page returns every record that the pages miss.
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
            return await self.send_call(address, method, target, body, wait)

        return await self.kernel.get(StorePaths).call(
            send, self._probe, repeatable=method == "GET"
        )

    async def _probe(self) -> tuple[int, bytes]:
        direct = self.kernel.get(StorePaths).direct
        return await self.send_call(direct, "GET", _PROBE_PATH, b"")

    async def send_call(
        self, address: str, method: str, target: str, body: bytes, wait: float = 0.0
    ) -> tuple[int, bytes]:
        """Send one call to the store or to a neighbour; return status and body.

        :param address: IP and port of the store or the neighbour.
        :param wait: how long the store may hold the call open, in seconds.
        :raises LogReadError: a read failed.
        :raises LogUnavailableError: a write was not applied.
        :raises AppendUnknownError: a write may or may not have been applied.
        """
        clients = self.kernel.get(HttpClients)
        try:
            async with clients.session_for(method).request(
                method,
                URL(f"http://{address}{target}", encoded=True),
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=_CALL_TIMEOUT_SECONDS + wait,
                    sock_connect=_CONNECT_TIMEOUT_SECONDS,
                    sock_read=_READ_TIMEOUT_SECONDS + wait,
                ),
                data=body or None,
            ) as response:
                status = response.status
                answer = await clients.read(response)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _not_applied_error(method, f"can't connect to {address}: {error}")
        except Exception as error:
            reason = f"no complete answer from {address}: {error!r}"
            if method == "GET":
                raise LogReadError(reason) from None
            raise AppendUnknownError(reason) from None
        if status in _NOT_APPLIED_STATUSES:
            raise _not_applied_error(method, f"{address} answered {status}")
        return status, answer


def _not_applied_error(method: str, reason: str) -> LogReadError | LogUnavailableError:
    if method == "GET":
        return LogReadError(reason)
    return LogUnavailableError(reason, retry_after=_RETRY_AFTER_SECONDS)


def _decode_item(item: _Item) -> KeyedRecord:
    value = base64.b64decode(item.value) if item.value else None
    return KeyedRecord(item.key, value)


def _oldest_kept_offset(answer: bytes) -> int:
    try:
        return _GapAnswer.model_validate_json(answer).first
    except ValidationError:
        # The store did not name the offset; from 0 the reader restarts at the oldest
        # record that the store returns.
        return 0


def _decode_page(start: int, answer: bytes) -> Page:
    if len(answer) < _PAGE_HEADER.size:
        raise LogReadError("the store's answer to a read is shorter than its header")
    end, _ = _PAGE_HEADER.unpack_from(answer)
    records = []
    position = _PAGE_HEADER.size
    while position + _RECORD_LENGTH.size <= len(answer):
        (length,) = _RECORD_LENGTH.unpack_from(answer, position)
        position += _RECORD_LENGTH.size
        if position + length > len(answer):
            raise LogReadError("the last record in the store's answer is truncated")
        records.append(answer[position : position + length])
        position += length
    return Page(start, records, end)
