"""Keyed calls: each runs at most once, whatever host it comes to and how often."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import xxhash

from . import clock
from .configuration import Configuration
from .events import Events
from .exceptions import (
    AppendUnknownError,
    CranberryrunError,
    KeyReusedError,
    LogReadError,
    LogUnavailableError,
    OutcomeUnknownError,
    PeerError,
    RefusedError,
)
from .kernel import Service
from .ledger import KeyEntry, Ledger
from .log import Log
from .membership import HostEntry, Membership
from .peers import Peers, wire
from .rendezvous import owner_of
from .services import Answer, Call
from .settings import Settings
from .traffic import Traffic

_READ_LIMIT = 500
_RETRY_SECONDS = 0.5
_MAX_KEPT_BODY_BYTES = 64 * 1024
_LOCAL_MARGIN_SECONDS = 0.5


class Partition:
    """One partition's stream: its ledger, a tail, and appends that go together."""

    def __init__(self, log: Log, stream: str, wait: float) -> None:
        self._log = log
        self._stream = stream
        self._wait = wait
        self.ledger = Ledger()
        self.changed = asyncio.Condition()
        self._queue: list[tuple[dict[str, Any], asyncio.Future[int]]] = []
        self._queued = asyncio.Event()

    async def tail(self) -> None:
        """Follow the stream for ever."""
        while True:
            try:
                batch = await self._log.read(
                    self._stream, self.ledger.offset + 1, _READ_LIMIT, self._wait
                )
            except LogReadError:
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            async with self.changed:
                for record in batch.records:
                    self.ledger.apply(record.offset, record.value)
                self.changed.notify_all()

    async def write(self) -> None:
        """Append what is queued, several records at a time, for ever."""
        while True:
            await self._queued.wait()
            self._queued.clear()
            batch, self._queue = self._queue, []
            try:
                first = await self._log.append(
                    self._stream, [value for value, _ in batch]
                )
            except CranberryrunError as error:
                for _, future in batch:
                    if not future.done():
                        future.set_exception(error)
                continue
            for n, (_, future) in enumerate(batch):
                if not future.done():
                    future.set_result(first + n)

    async def append(self, value: dict[str, Any]) -> int:
        """Append one record; errors as in :meth:`Log.append`."""
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.append((value, future))
        self._queued.set()
        return await future

    async def wait_for(self, condition, deadline: float) -> bool:
        """Wait until ``condition()`` holds; false if the deadline comes first."""
        try:
            async with asyncio.timeout(max(0.0, deadline - clock.now())):
                async with self.changed:
                    await self.changed.wait_for(condition)
        except TimeoutError:
            return False
        return True


class Calls(Service):
    """Records an intent before a keyed call is sent, and its outcome after."""

    name = "calls"
    requires = ("traffic", "log", "peers")

    def __init__(self, settings: Settings, incarnation: int) -> None:
        super().__init__()
        self._settings = settings
        self._prefix = f"{settings.id}/{incarnation}"
        self._count = 0
        self._partition_by_number: dict[int, Partition] = {}

    async def start(self) -> None:
        """Serve the calls that peers forward."""
        self.kernel.get(Peers).handler_by_call["call"] = self._serve

    async def send(self, call: Call) -> Answer:
        """Run a keyed call at most once and return its answer.

        :raises RefusedError: this request was not run.
        :raises OutcomeUnknownError: it, or an earlier one of its key, may have been.
        :raises KeyReusedError: the key came with another request before.
        """
        self.kernel.get(Traffic).service(call.service)
        membership = self.kernel.get(Membership)
        number = self._partition_number(call)
        owner = owner_of(membership.live_ids(), f"calls/{number}")
        entry = membership.entry_by_id.get(owner or "")
        if entry is None or owner == membership.id:
            return await self._run(number, call)
        try:
            return await self._forward(entry, call)
        except PeerError:
            # The log decides whether the owner got as far as its intent.
            return await self._run(number, call)

    def _partition_number(self, call: Call) -> int:
        return (
            xxhash.xxh3_64_intdigest(_key(call).encode())
            % self._settings.limits.key_partitions
        )

    async def _forward(self, entry: HostEntry, call: Call) -> Answer:
        self.kernel.get(Events).emit(
            "call_forwarded", request=call.request, peer=entry.id
        )
        left = call.deadline - clock.now()
        reply = await self.kernel.get(Peers).call(
            entry,
            "call",
            wire.KeyedCall(
                service_name=call.service,
                method=call.method,
                path=call.path,
                key=call.key,
                caller=call.caller,
                request=call.request,
                headers=dict(call.headers),
                body=call.body,
                deadline_seconds=max(0.1, left - _LOCAL_MARGIN_SECONDS),
            ),
            timeout=max(0.1, left),
        )
        return Answer(reply.status, dict(reply.headers), reply.body)

    async def _serve(self, forwarded: Any) -> Any:
        call = Call(
            service=forwarded.service_name,
            method=forwarded.method,
            path=forwarded.path,
            request=forwarded.request,
            caller=forwarded.caller,
            deadline=clock.now() + forwarded.deadline_seconds,
            headers=forwarded.headers or {},
            body=forwarded.body or b"",
            key=forwarded.key,
        )
        try:
            answer = await self._run(self._partition_number(call), call)
        except CranberryrunError as error:
            answer = problem_answer(error)
        return wire.KeyedReply(
            status=answer.status, headers=answer.headers, body=answer.body
        )

    def _partition(self, number: int) -> Partition:
        partition = self._partition_by_number.get(number)
        if partition is None:
            partition = Partition(
                self.kernel.get(Log), f"calls-{number}", self._settings.timing.log_wait
            )
            self._partition_by_number[number] = partition
            self.supervise(partition.tail)
            self.supervise(partition.write)
        return partition

    async def _run(self, number: int, call: Call) -> Answer:
        partition = self._partition(number)
        key = _key(call)
        known = partition.ledger.by_key.get(key)
        if known is not None and known.holder is not None:
            return await self._repeat(partition, call, known)
        intent = f"{self._prefix}/{self._count}"
        self._count += 1
        try:
            await self._record_intent(partition, key, intent, call)
        except LogUnavailableError:
            spec = self.kernel.get(Traffic).service(call.service).spec
            if spec.on_log_outage == "send_once":
                return await self.kernel.get(Traffic).send(call)
            raise
        entry = partition.ledger.by_key[key]
        if entry.holder != intent:
            return await self._repeat(partition, call, entry)
        return await self._run_first(partition, key, intent, call)

    async def _record_intent(
        self, partition: Partition, key: str, intent: str, call: Call
    ) -> None:
        """Append the intent and read it back.

        :raises LogUnavailableError: the call will certainly not be run for it.
        """
        record = {
            "record": "intent",
            "key": key,
            "id": intent,
            "digest": call.digest(),
        }
        try:
            offset = await partition.append(record)
        except AppendUnknownError:
            offset = None
        else:
            self.kernel.get(Events).emit(
                "call_intent", request=call.request, offset=offset
            )
        ledger = partition.ledger

        def read_back() -> bool:
            if offset is not None:
                return ledger.offset >= offset
            entry = ledger.by_key.get(key)
            return entry is not None and entry.holder is not None

        if not await partition.wait_for(read_back, call.deadline):
            self._release_later(partition, key, intent)
            raise LogUnavailableError(
                "the intent was not read back before the deadline", retry_after=2
            )

    async def _run_first(
        self, partition: Partition, key: str, intent: str, call: Call
    ) -> Answer:
        self.kernel.get(Events).emit("call_first", request=call.request)
        try:
            answer = await self.kernel.get(Traffic).send(call)
        except RefusedError:
            self._release_later(partition, key, intent)
            raise
        body = answer.body if len(answer.body) <= _MAX_KEPT_BODY_BYTES else None
        outcome = {
            "status": answer.status,
            "headers": answer.headers,
            "body": None if body is None else base64.b64encode(body).decode(),
        }
        record = {"record": "outcome", "key": key, "id": intent, "answer": outcome}
        self._append_later(partition, record)
        return answer

    def _release_later(self, partition: Partition, key: str, intent: str) -> None:
        record = {"record": "release", "key": key, "id": intent}
        self._append_later(partition, record)

    def _append_later(self, partition: Partition, record: dict[str, Any]) -> None:
        self.spawn(self._append_until_done(partition, record))

    async def _append_until_done(
        self, partition: Partition, record: dict[str, Any]
    ) -> None:
        # A record that is appended twice changes nothing the second time.
        while True:
            try:
                await partition.append(record)
            except CranberryrunError:
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            if record["record"] == "outcome":
                self.kernel.get(Events).emit("call_outcome", key=record["key"])
            return

    async def _repeat(
        self, partition: Partition, call: Call, entry: KeyEntry
    ) -> Answer:
        """Answer a call whose key is held: with the outcome, once it is known."""
        if entry.digest != call.digest():
            raise KeyReusedError("the idempotency key came with another request")
        self.kernel.get(Events).emit("call_repeat", request=call.request)
        holder = entry.holder

        def settled() -> bool:
            return entry.outcome is not None or entry.holder != holder

        known = await partition.wait_for(settled, call.deadline)
        if not known or entry.outcome is None:
            raise OutcomeUnknownError(
                "an earlier request of this key has no known outcome", retry_after=2
            )
        return _recorded(entry.outcome)

    def ready(self) -> bool:
        """Say whether keyed calls can be recorded now, as far as is known."""
        return self.kernel.get(Configuration).log_up


def _key(call: Call) -> str:
    return f"{call.service}/{call.caller}/{call.key}"


def _recorded(outcome: dict[str, Any]) -> Answer:
    body = outcome["body"]
    if body is None:
        raise OutcomeUnknownError("the call was run; its answer is no longer kept")
    return Answer(outcome["status"], outcome["headers"], base64.b64decode(body))


def problem_answer(error: CranberryrunError) -> Answer:
    """Return ``error`` as an answer with a problem body."""
    headers = {"Content-Type": "application/problem+json"}
    if error.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(error.retry_after)))
    return Answer(error.status, headers, json.dumps(error.problem()).encode())
