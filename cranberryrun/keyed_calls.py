"""Keyed calls: at most one run per idempotency key, over all hosts and retries."""

from __future__ import annotations

import asyncio
import base64
import hashlib
from typing import Any

import xxhash
from multidict import CIMultiDict
from returns.result import Failure, Result, Success

from . import clock
from .call_ledger import (
    AnswerRecord,
    CallLedger,
    IntentRecord,
    KeyEntry,
    LostRecord,
    OutcomeRecord,
    ReleaseRecord,
)
from .call_wire import answer_from_wire, answer_to_wire, call_from_wire, call_to_wire
from .caller_http import problem_answer
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
from .log import Log
from .membership import HostEntry, Membership
from .models import Model
from .partitions import Partition, UnrecordedCall
from .peers import Peers
from .rendezvous import owner_of
from .request_router import RequestRouter
from .services import Answer, Call
from .settings import Settings

_MAX_RECORDED_BODY_BYTES = 64 * 1024
_FORWARD_DEADLINE_SHARE = 0.75  # the rest is for running the call on this host
_INTENT_DEADLINE_SHARE = 0.5  # the rest is for the call itself
_OWNER_CHECK_INTERVAL_SECONDS = 0.25
_KEY_CHECK_TIMEOUT_SECONDS = 0.5
_MIN_FORWARD_SECONDS = 0.001
_WINDOW_SHARE_OF_RETENTION = 0.75  # keys expire before the log drops their records


class KeyedCalls(Service):
    """Runs each keyed call at most once.

    It appends an intent record to the log before it sends a call, and an outcome
    record afterwards. A call continues after its caller has disconnected, so that
    its outcome is recorded.
    """

    name = "calls"
    requires = ("traffic", "log", "peers")

    def __init__(self, settings: Settings, incarnation: int) -> None:
        super().__init__()
        self._settings = settings
        self._prefix = f"{settings.id}/{incarnation}"
        self._count = 0
        self._partition_by_number: dict[int, Partition] = {}
        self._in_flight = 0
        self._pending_final_records = 0

    async def start(self) -> None:
        """Register the handler of calls that peers forward."""
        self.kernel.get(Peers).handler_by_call["call"] = self._handle_forwarded

    @property
    def in_flight(self) -> int:
        """Number of calls in progress on this host, forwarded ones included."""
        return self._in_flight

    @property
    def pending_final_records(self) -> int:
        """Number of ended calls whose final record is not in the log yet."""
        return self._pending_final_records

    async def send(self, call: Call) -> Answer:
        """Run a keyed call at most once and return its answer.

        :raises RefusedError: neither this nor an earlier request of the key was run.
        :raises OutcomeUnknownError: this or an earlier request of the key may have
            been run.
        :raises KeyReusedError: the key was already used for a different request.
        """
        self.kernel.get(RequestRouter).service(call.service)
        return await self._run_detached(self._route(call))

    async def _run_detached(self, coroutine: Any) -> Answer:
        """Run ``coroutine`` to its end, also if the caller of this is cancelled."""
        task = self.spawn(self._as_result(coroutine))
        result = await asyncio.shield(task)
        if isinstance(result, Failure):
            raise result.failure()
        return result.unwrap()

    async def _as_result(self, coroutine: Any) -> Result[Answer, CranberryrunError]:
        self._in_flight += 1
        try:
            return Success(await coroutine)
        except CranberryrunError as error:
            return Failure(error)
        finally:
            self._in_flight -= 1

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
            return await self._run_after_owner_failure(number, call)

    async def _run_after_owner_failure(self, number: int, call: Call) -> Answer:
        """Run a call that its owner may have received; the log decides who runs it.

        A refusal is raised as :class:`OutcomeUnknownError`, since an owner that is
        only paused may still run the call later.
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
        return xxhash.xxh3_64_intdigest(_key_hash(call).encode()) % count

    async def _forward(self, entry: HostEntry, call: Call) -> Answer:
        """Have the owner run the call.

        :raises PeerError: the owner does not answer, or is suspected meanwhile.
        """
        self.kernel.get(Events).emit(
            "call_forwarded", request=call.request, peer=entry.id
        )
        seconds_left = max(
            _MIN_FORWARD_SECONDS,
            (call.deadline - clock.now()) * _FORWARD_DEADLINE_SHARE,
        )
        peers = self.kernel.get(Peers)
        reply_task = asyncio.ensure_future(
            peers.call(
                entry, "call", call_to_wire(call, seconds_left), timeout=seconds_left
            )
        )
        membership = self.kernel.get(Membership)
        try:
            while not reply_task.done():
                await asyncio.wait({reply_task}, timeout=_OWNER_CHECK_INTERVAL_SECONDS)
                if not reply_task.done() and membership.is_suspected(entry.id):
                    raise PeerError(
                        f"host {entry.id} is suspected and did not answer the call"
                    )
        finally:
            reply_task.cancel()
        return answer_from_wire(reply_task.result())

    async def _handle_forwarded(self, forwarded: Any) -> Any:
        call = call_from_wire(forwarded)
        try:
            answer = await self._run_detached(
                self._run(self._partition_number(call), call)
            )
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

    def _ledger(self) -> CallLedger:
        retention = self._settings.log.retention
        window = self._settings.timing.key_window
        return CallLedger(
            min(window, retention * _WINDOW_SHARE_OF_RETENTION), retention
        )

    async def _run(self, number: int, call: Call) -> Answer:
        partition = self._partition(number)
        key = _key_hash(call)
        while True:
            if key in partition.unrecorded_by_key:
                return await _wait_for_answer(partition.unrecorded_by_key[key], call)
            current = partition.ledger.by_key.get(key)
            if current is not None and current.holder is not None:
                answer = await self._answer_repeat(partition, call, current)
                if answer is not None:
                    return answer
                continue
            self._check_key_limit(partition, key)
            intent = self._next_intent_id()
            try:
                await self._record_intent(partition, key, intent, call)
            except RefusedError as error:
                return await self._handle_unrecorded(
                    partition, key, intent, call, error
                )
            entry = partition.ledger.by_key.get(key)
            if entry is not None and entry.holder == intent:
                return await self._run_as_holder(partition, key, intent, call)

    def _next_intent_id(self) -> str:
        self._count += 1
        return f"{self._prefix}/{self._count}"

    def _check_key_limit(self, partition: Partition, key: str) -> None:
        keys = partition.ledger.by_key
        if len(keys) < self._settings.limits.keys_per_partition or key in keys:
            return
        raise OverloadedError(
            "the partition's limit of remembered idempotency keys is reached",
            retry_after=60,
        )

    async def _record_intent(
        self, partition: Partition, key: str, intent: str, call: Call
    ) -> None:
        """Append the intent record and wait until it is read back from the log.

        :raises RefusedError: the record was not read back in time.
        """
        if clock.now() >= call.deadline:
            raise DeadlineError("the deadline passed before the intent was recorded")
        record = IntentRecord(key=key, id=intent, digest=call.digest())
        deadline = self._intent_deadline(call)
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
            raise LogUnavailableError(
                "the intent record was not read back from the log in time",
                retry_after=2,
            )

    def _intent_deadline(self, call: Call) -> float:
        """Return the time until which to wait for the intent record.

        A service that sends calls in an outage of the log keeps part of the
        deadline for the call itself.
        """
        if self._outage_policy(call) == "refuse":
            return call.deadline
        return clock.now() + (call.deadline - clock.now()) * _INTENT_DEADLINE_SHARE

    def _outage_policy(self, call: Call) -> str:
        return self.kernel.get(RequestRouter).service(call.service).spec.on_log_outage

    async def _handle_unrecorded(
        self,
        partition: Partition,
        key: str,
        intent: str,
        call: Call,
        error: RefusedError,
    ) -> Answer:
        """Apply the service's ``on_log_outage`` to a call that can't be recorded."""
        if isinstance(error, LogUnavailableError):
            if self._outage_policy(call) == "send_once":
                return await self._send_unrecorded(partition, key, intent, call)
            self._release_key(partition, key, intent)
        if await self._key_is_free(partition, key):
            raise error
        raise CallUnrecordedError(
            "this request was not run; the log can't show now whether an earlier "
            f"request of its key was run ({error.detail}); retry with the same key",
            this_request_run=False,
            retry_after=error.retry_after or 1,
        )

    async def _key_is_free(self, partition: Partition, key: str) -> bool:
        """Return whether the log is readable and shows no earlier call of the key."""
        try:
            async with asyncio.timeout(_KEY_CHECK_TIMEOUT_SECONDS):
                await partition.catch_up()
        except (LogReadError, TimeoutError):
            return False
        entry = partition.ledger.by_key.get(key)
        return entry is None or entry.holder is None

    async def _send_unrecorded(
        self, partition: Partition, key: str, intent: str, call: Call
    ) -> Answer:
        """Send a call without an intent record; only this host knows of the call."""
        unrecorded = partition.unrecorded_by_key
        if key in unrecorded:
            return await _wait_for_answer(unrecorded[key], call)
        if len(unrecorded) >= self._settings.limits.keys_per_partition:
            raise OverloadedError(
                "too many calls are waiting to be recorded", retry_after=5
            )
        entry = UnrecordedCall(call.digest())
        unrecorded[key] = entry
        record = IntentRecord(key=key, id=intent, digest=entry.digest)
        try:
            entry.answer = await self.kernel.get(RequestRouter).send(call)
        except RefusedError:
            del unrecorded[key]
            self._release_key(partition, key, intent)
            raise
        except CranberryrunError:
            self._append_in_background(
                partition, record, LostRecord(key=key, id=intent)
            )
            raise
        finally:
            entry.ended.set()
        self._append_in_background(
            partition, record, _outcome_record(key, intent, entry.answer)
        )
        return entry.answer

    async def _run_as_holder(
        self, partition: Partition, key: str, intent: str, call: Call
    ) -> Answer:
        self.kernel.get(Events).emit("call_first", request=call.request)
        try:
            answer = await self.kernel.get(RequestRouter).send(call)
        except RefusedError:
            self._append_in_background(partition, ReleaseRecord(key=key, id=intent))
            raise
        except CranberryrunError:
            self._append_in_background(partition, LostRecord(key=key, id=intent))
            raise
        self._append_in_background(partition, _outcome_record(key, intent, answer))
        return answer

    def _append_in_background(self, partition: Partition, *records: Model) -> None:
        self._pending_final_records += 1
        self.spawn(self._append_final_records(partition, list(records)))

    def _release_key(self, partition: Partition, key: str, intent: str) -> None:
        """Free the key for other requests, even if the intent is appended later."""
        partition.abandon(key, intent)
        self._append_in_background(partition, ReleaseRecord(key=key, id=intent))

    async def _append_final_records(
        self, partition: Partition, records: list[Model]
    ) -> None:
        try:
            offset = await partition.append_until_done(records)
        finally:
            self._pending_final_records -= 1
        last = records[-1]
        if isinstance(last, OutcomeRecord):
            self.kernel.get(Events).emit("call_outcome", key=last.key)
        if len(records) == 1:
            return
        # Until the ledger has applied these records, only ``unrecorded_by_key`` can
        # answer a repeat.
        while not await partition.wait_for(
            lambda: partition.ledger.offset > offset, clock.now() + 60
        ):
            continue
        partition.unrecorded_by_key.pop(last.key, None)

    async def _answer_repeat(
        self, partition: Partition, call: Call, entry: KeyEntry
    ) -> Answer | None:
        """Return the answer of the key's holder, or None once the key is released."""
        if entry.digest != call.digest():
            raise KeyReusedError("the idempotency key was used for a different request")
        self.kernel.get(Events).emit("call_repeat", request=call.request)
        holder = entry.holder

        def ended() -> bool:
            return entry.is_finished or entry.holder != holder

        if not await partition.wait_for(ended, call.deadline) or entry.lost:
            raise OutcomeUnknownError(
                "the outcome of an earlier request of this key is not known",
                retry_after=2,
            )
        if entry.outcome_offset is None:
            return None
        try:
            return _answer_from_record(await partition.read_answer(entry))
        except LogReadError as error:
            raise AnswerNotKeptError(
                f"the call was run; its answer can't be read now: {error.detail}",
                retry_after=2,
            ) from None


def _key_hash(call: Call) -> str:
    """Return the hash that stands for the key in the log; no caller text is stored."""
    text = "\0".join((call.service, call.caller, call.key))
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _outcome_record(key: str, intent: str, answer: Answer) -> OutcomeRecord:
    body: str | None = None
    if len(answer.body) <= _MAX_RECORDED_BODY_BYTES:
        body = base64.b64encode(answer.body).decode()
    record = AnswerRecord(
        status=answer.status, headers=list(answer.headers.items()), body=body
    )
    return OutcomeRecord(key=key, id=intent, answer=record)


def _answer_from_record(answer: AnswerRecord) -> Answer:
    if answer.body is None:
        raise AnswerNotKeptError(
            "the call was run; its answer was too large to be recorded",
            answered=answer.status,
        )
    headers = CIMultiDict(answer.headers)
    return Answer(answer.status, headers, base64.b64decode(answer.body))


async def _wait_for_answer(earlier: UnrecordedCall, call: Call) -> Answer:
    if earlier.digest != call.digest():
        raise KeyReusedError("the idempotency key was used for a different request")
    try:
        async with asyncio.timeout_at(call.deadline):
            await earlier.ended.wait()
    except TimeoutError:
        pass
    if earlier.answer is None:
        raise OutcomeUnknownError(
            "the outcome of an earlier request of this key is not known", retry_after=2
        )
    return earlier.answer
