"""Keyed calls: each runs at most once, whatever host it comes to and how often."""

from __future__ import annotations

import asyncio
import base64
import hashlib
from typing import Any

import xxhash
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from . import clock
from .call_wire import answer_from_wire, answer_to_wire, from_wire, to_wire
from .events import Events
from .exceptions import (
    AnswerNotKeptError,
    AppendUnknownError,
    CallUnrecordedError,
    CranberryrunError,
    DeadlineError,
    KeyReusedError,
    LogReadError,
    LogUnavailableError,
    OutcomeUnknownError,
    OverloadedError,
    PeerError,
    PeerRefusedError,
    RefusedError,
)
from .kernel import Service
from .ledger import (
    AnswerRecord,
    IntentRecord,
    KeyEntry,
    Ledger,
    LostRecord,
    OutcomeRecord,
    ReleaseRecord,
)
from .log import Log
from .membership import HostEntry, Membership
from .models import Model
from .partitions import Partition, Unrecorded
from .peers import Peers
from .relay import problem_answer
from .rendezvous import owner_of
from .services import Answer, Call
from .settings import Settings
from .traffic import Traffic

_MAX_KEPT_BODY_BYTES = 64 * 1024
_FORWARD_SHARE = 0.75
_RECORD_SHARE = 0.5
_OWNER_CHECK_SECONDS = 0.25
_CHECK_SECONDS = 0.5
_MIN_SECONDS = 0.001
_WINDOW_SHARE_OF_RETENTION = 0.75


class Calls(Service):
    """Records an intent before a keyed call is sent, and its outcome after.

    A call goes on when its caller has gone, so that its outcome is recorded.
    """

    name = "calls"
    requires = ("traffic", "log", "peers")

    def __init__(self, settings: Settings, incarnation: int) -> None:
        super().__init__()
        self._settings = settings
        self._prefix = f"{settings.id}/{incarnation}"
        self._count = 0
        self._partition_by_number: dict[int, Partition] = {}
        self._running = 0
        self._recording = 0

    async def start(self) -> None:
        """Serve the calls that peers forward."""
        self.kernel.get(Peers).handler_by_call["call"] = self._serve

    @property
    def in_flight(self) -> int:
        """How many calls run here, those of peers too."""
        return self._running

    @property
    def recording(self) -> int:
        """How many ends of calls still have to be appended to the log."""
        return self._recording

    async def send(self, call: Call) -> Answer:
        """Run a keyed call at most once and return its answer.

        :raises RefusedError: it was not run, nor an earlier one of its key.
        :raises OutcomeUnknownError: it, or an earlier one of its key, may have been.
        :raises KeyReusedError: the key came with another request before.
        """
        self.kernel.get(Traffic).service(call.service)
        return await self._detached(self._route(call))

    async def _detached(self, work: Any) -> Answer:
        """Return the answer of ``work``, which goes on if this is cancelled."""
        task = self.spawn(self._settle(work))
        result = await asyncio.shield(task)
        if isinstance(result, Failure):
            raise result.failure()
        return result.unwrap()

    async def _settle(self, work: Any) -> Result[Answer, CranberryrunError]:
        self._running += 1
        try:
            return Success(await work)
        except CranberryrunError as error:
            return Failure(error)
        finally:
            self._running -= 1

    async def _route(self, call: Call) -> Answer:
        membership = self.kernel.get(Membership)
        number = self._partition_number(call)
        owner = owner_of(membership.live_ids(), f"calls/{number}")
        entry = membership.entry_by_id.get(owner or "")
        if entry is None or owner == membership.id:
            return await self._run(number, call)
        try:
            return await self._forward(entry, call)
        except PeerRefusedError:
            return await self._run(number, call)
        except PeerError:
            return await self._run_after_silence(number, call)

    async def _run_after_silence(self, number: int, call: Call) -> Answer:
        """Run a call that its owner may have got; the log decides who does.

        No refusal is true of it, for a paused owner may run it later.
        """
        try:
            return await self._run(number, call)
        except (RefusedError, CallUnrecordedError) as error:
            raise OutcomeUnknownError(
                "another host may have run the call, or may still run it: "
                f"{error.detail}",
                retry_after=error.retry_after or 1,
            ) from None

    def _partition_number(self, call: Call) -> int:
        count = self._settings.limits.key_partitions
        return xxhash.xxh3_64_intdigest(_key(call).encode()) % count

    async def _forward(self, entry: HostEntry, call: Call) -> Answer:
        """Have the owner run the call; :raises PeerError: if it doesn't answer."""
        self.kernel.get(Events).emit(
            "call_forwarded", request=call.request, peer=entry.id
        )
        left = max(_MIN_SECONDS, (call.deadline - clock.now()) * _FORWARD_SHARE)
        peers = self.kernel.get(Peers)
        asking = asyncio.ensure_future(
            peers.call(entry, "call", to_wire(call, left), timeout=left)
        )
        membership = self.kernel.get(Membership)
        try:
            while not asking.done():
                await asyncio.wait({asking}, timeout=_OWNER_CHECK_SECONDS)
                if not asking.done() and membership.is_suspected(entry.id):
                    raise PeerError(f"{entry.id} is silent")
        finally:
            asking.cancel()
        return answer_from_wire(asking.result())

    async def _serve(self, forwarded: Any) -> Any:
        call = from_wire(forwarded)
        try:
            answer = await self._detached(self._run(self._partition_number(call), call))
        except CranberryrunError as error:
            answer = problem_answer(error)
        return answer_to_wire(answer)

    def _partition(self, number: int) -> Partition:
        partition = self._partition_by_number.get(number)
        if partition is None:
            partition = Partition(
                self.kernel.get(Log),
                f"calls-{number}",
                self._ledger(),
                self._settings.timing.log_wait,
            )
            self._partition_by_number[number] = partition
            self.supervise(partition.tail)
            self.supervise(partition.write)
        return partition

    def _ledger(self) -> Ledger:
        retention = self._settings.log.retention
        window = self._settings.timing.key_window
        return Ledger(min(window, retention * _WINDOW_SHARE_OF_RETENTION), retention)

    async def _run(self, number: int, call: Call) -> Answer:
        partition = self._partition(number)
        key = _key(call)
        while True:
            if key in partition.unrecorded_by_key:
                return await _earlier_answer(partition.unrecorded_by_key[key], call)
            known = partition.ledger.by_key.get(key)
            if known is not None and known.holder is not None:
                answer = await self._repeat(partition, call, known)
                if answer is not None:
                    return answer
                continue
            self._check_room(partition, key)
            intent = self._next_intent()
            try:
                await self._record_intent(partition, key, intent, call)
            except RefusedError as error:
                return await self._unrecorded(partition, key, intent, call, error)
            entry = partition.ledger.by_key.get(key)
            if entry is not None and entry.holder == intent:
                return await self._run_first(partition, key, intent, call)

    def _next_intent(self) -> str:
        self._count += 1
        return f"{self._prefix}/{self._count}"

    def _check_room(self, partition: Partition, key: str) -> None:
        keys = partition.ledger.by_key
        if len(keys) < self._settings.limits.keys_per_partition or key in keys:
            return
        raise OverloadedError("too many keys are remembered", retry_after=60)

    async def _record_intent(
        self, partition: Partition, key: str, intent: str, call: Call
    ) -> None:
        """Append the intent and read it back.

        :raises RefusedError: it won't be seen in time.
        """
        if clock.now() >= call.deadline:
            raise DeadlineError("the deadline passed before the intent was recorded")
        record = IntentRecord(key=key, id=intent, digest=call.digest())
        deadline = self._record_deadline(call)
        offset: int | None = None
        try:
            offset = await partition.append([record], deadline)
        except AppendUnknownError:
            pass
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

        if not await partition.wait_for(read_back, deadline):
            raise LogUnavailableError("the intent was not read back", retry_after=2)

    def _record_deadline(self, call: Call) -> float:
        """Return until when to wait for the log."""
        if self._on_outage(call) == "refuse":
            return call.deadline
        return clock.now() + (call.deadline - clock.now()) * _RECORD_SHARE

    def _on_outage(self, call: Call) -> str:
        return self.kernel.get(Traffic).service(call.service).spec.on_log_outage

    async def _unrecorded(
        self,
        partition: Partition,
        key: str,
        intent: str,
        call: Call,
        error: RefusedError,
    ) -> Answer:
        """Do with a call that can't be recorded what its service says."""
        if isinstance(error, LogUnavailableError):
            if self._on_outage(call) == "send_once":
                return await self._send_unrecorded(partition, key, intent, call)
            self._release(partition, key, intent)
        if await self._is_free(partition, key):
            raise error
        raise CallUnrecordedError(
            "this request was not run; whether an earlier one of its key was "
            f"can't be told now ({error.detail}): ask again with the key",
            this_request_run=False,
            retry_after=error.retry_after or 1,
        )

    async def _is_free(self, partition: Partition, key: str) -> bool:
        """Say whether the log can be read and shows no earlier call of the key."""
        try:
            async with asyncio.timeout(_CHECK_SECONDS):
                await partition.catch_up()
        except (LogReadError, TimeoutError):
            return False
        entry = partition.ledger.by_key.get(key)
        return entry is None or entry.holder is None

    async def _send_unrecorded(
        self, partition: Partition, key: str, intent: str, call: Call
    ) -> Answer:
        """Send a call with no intent in the log; this host alone remembers it."""
        held = partition.unrecorded_by_key
        if key in held:
            return await _earlier_answer(held[key], call)
        if len(held) >= self._settings.limits.keys_per_partition:
            raise OverloadedError("too many calls are not recorded", retry_after=5)
        entry = Unrecorded(call.digest())
        held[key] = entry
        record = IntentRecord(key=key, id=intent, digest=entry.digest)
        try:
            entry.answer = await self.kernel.get(Traffic).send(call)
        except RefusedError:
            del held[key]
            self._release(partition, key, intent)
            raise
        except CranberryrunError:
            self._end_later(partition, record, LostRecord(key=key, id=intent))
            raise
        finally:
            entry.ended.set()
        self._end_later(partition, record, _outcome(key, intent, entry.answer))
        return entry.answer

    async def _run_first(
        self, partition: Partition, key: str, intent: str, call: Call
    ) -> Answer:
        self.kernel.get(Events).emit("call_first", request=call.request)
        try:
            answer = await self.kernel.get(Traffic).send(call)
        except RefusedError:
            self._end_later(partition, ReleaseRecord(key=key, id=intent))
            raise
        except CranberryrunError:
            self._end_later(partition, LostRecord(key=key, id=intent))
            raise
        self._end_later(partition, _outcome(key, intent, answer))
        return answer

    def _end_later(self, partition: Partition, *records: Model) -> None:
        self._recording += 1
        self.spawn(self._end(partition, list(records)))

    def _release(self, partition: Partition, key: str, intent: str) -> None:
        """Let another request have the key, also if the intent arrives late."""
        partition.abandon(key, intent)
        self._end_later(partition, ReleaseRecord(key=key, id=intent))

    async def _end(self, partition: Partition, records: list[Model]) -> None:
        try:
            offset = await partition.append_until_done(records)
        finally:
            self._recording -= 1
        last = records[-1]
        if isinstance(last, OutcomeRecord):
            self.kernel.get(Events).emit("call_outcome", key=last.key)
        if len(records) == 1:
            return
        # From here on the ledger remembers what this host alone did.
        while not await partition.wait_for(
            lambda: partition.ledger.offset > offset, clock.now() + 60
        ):
            continue
        partition.unrecorded_by_key.pop(last.key, None)

    async def _repeat(
        self, partition: Partition, call: Call, entry: KeyEntry
    ) -> Answer | None:
        """Answer a call whose key is held; None once the key is free again."""
        if entry.digest != call.digest():
            raise KeyReusedError("the idempotency key came with another request")
        self.kernel.get(Events).emit("call_repeat", request=call.request)
        holder = entry.holder

        def ended() -> bool:
            return entry.settled or entry.holder != holder

        if not await partition.wait_for(ended, call.deadline) or entry.lost:
            raise OutcomeUnknownError(
                "an earlier request of this key has no known outcome", retry_after=2
            )
        if entry.outcome_offset is None:
            return None
        try:
            return _recorded(await partition.answer_of(entry))
        except LogReadError as error:
            raise AnswerNotKeptError(
                f"the call was run; its answer can't be read now: {error.detail}",
                retry_after=2,
            ) from None


def _key(call: Call) -> str:
    """Return what stands for the key in the log: no caller's words do."""
    text = "\0".join((call.service, call.caller, call.key))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _outcome(key: str, intent: str, answer: Answer) -> OutcomeRecord:
    body: str | None = None
    if len(answer.body) <= _MAX_KEPT_BODY_BYTES:
        body = base64.b64encode(answer.body).decode()
    record = AnswerRecord(
        status=answer.status, headers=list(answer.headers.items()), body=body
    )
    return OutcomeRecord(key=key, id=intent, answer=record)


def _recorded(answer: AnswerRecord) -> Answer:
    if answer.body is None:
        raise AnswerNotKeptError(
            "the call was run; its answer was too large to be kept",
            answered=answer.status,
        )
    headers = CIMultiDict(answer.headers)
    return Answer(answer.status, headers, base64.b64decode(answer.body))


async def _earlier_answer(earlier: Unrecorded, call: Call) -> Answer:
    if earlier.digest != call.digest():
        raise KeyReusedError("the idempotency key came with another request")
    try:
        async with asyncio.timeout_at(call.deadline):
            await earlier.ended.wait()
    except TimeoutError:
        pass
    if earlier.answer is None:
        raise OutcomeUnknownError(
            "an earlier request of this key has no known outcome", retry_after=2
        )
    return earlier.answer
