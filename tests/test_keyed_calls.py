"""Tests of keyed calls: at most one run over hosts, races and faults of the log."""

import asyncio
from types import SimpleNamespace

from cranberryrun.events import Events
from cranberryrun.exceptions import (
    AnswerNotKeptError,
    CallUnrecordedError,
    CranberryrunError,
    KeyReusedError,
    LogUnavailableError,
    OutcomeUnknownError,
    OverloadedError,
    PeerError,
    TargetFailedError,
    TargetRefusedError,
)
from cranberryrun.kernel import Kernel
from cranberryrun.keyed_calls import KeyedCalls
from cranberryrun.log import Record
from cranberryrun.membership import HostEntry, Membership
from cranberryrun.models import ServiceSpec, ServiceTarget
from cranberryrun.peers import Peers
from cranberryrun.rendezvous import owner_of
from cranberryrun.request_router import RequestRouter
from cranberryrun.services import Answer, Call, Sink
from cranberryrun.views import LEAVING, Fact, FactKind

from .doubles import MemoryLog, Streams, StubMembership, call, settings
from .virtual import VirtualTimeTestCase

HOSTS = ("h1", "h2", "h3")


class Target:
    """Records the calls it ran; raises the errors of ``script``, one per call."""

    def __init__(self, seconds: float = 0.1) -> None:
        self.seconds = seconds
        self.body = b"held"
        self.script: list[Exception] = []
        self.runs: list[bytes] = []

    async def run(self, call: Call) -> Answer:
        """Run ``call`` and return its answer, or raise the next error."""
        error = self.script.pop(0) if self.script else None
        if isinstance(error, TargetRefusedError):
            raise error
        self.runs.append(call.body)
        await asyncio.sleep(self.seconds)
        if error is not None:
            raise error
        return Answer(201, {"A": "b"}, self.body)


class SingleTargetRouter(RequestRouter):
    """Sends every call to the same target."""

    def __init__(self, target: Target, on_outage: str) -> None:
        super().__init__(settings(), None, None)
        self._target = target
        declared = ServiceTarget(id="t1", url="http://127.0.0.1:1", zone="z1")
        self.spec = ServiceSpec(targets=[declared], on_log_outage=on_outage)

    async def start(self) -> None:
        return

    def service(self, name: str):
        return SimpleNamespace(name=name, spec=self.spec, offset=0)

    async def send(self, call: Call, sink: Sink | None = None) -> Answer:
        return await self._target.run(call)


class LocalPeers(Peers):
    """Passes calls between the hosts of a test in the same process."""

    def __init__(self, fleet: "Fleet", host: str) -> None:
        super().__init__(settings(host), None)
        self._fleet = fleet
        self._host = host

    async def start(self) -> None:
        return

    async def call(self, entry: HostEntry, method: str, *args, timeout=None):
        if entry.id in self._fleet.dead:
            raise PeerError("dead")
        try:
            async with asyncio.timeout(timeout):
                if entry.id in self._fleet.hanging:
                    await asyncio.sleep(3600)
                peer = self._fleet.kernel_by_id[entry.id].get(Peers)
                reply = await peer.handler_by_call[method](*args)
                if entry.id in self._fleet.dead:
                    raise PeerError("died")
                return reply
        except TimeoutError:
            raise PeerError("silent") from None
        except asyncio.CancelledError:
            if entry.id in self._fleet.dead:
                raise PeerError("died") from None
            raise


class Fleet:
    """Hosts that share a log and a target."""

    def __init__(self, on_outage: str = "refuse", **changes) -> None:
        self.target = Target()
        self.streams = Streams()
        self.log_by_id = {host: MemoryLog(self.streams) for host in HOSTS}
        self.kernel_by_id: dict[str, Kernel] = {}
        self.dead: set[str] = set()
        self.hanging: set[str] = set()
        for host in HOSTS:
            host_settings = settings(host, **changes)
            kernel = Kernel()
            for service in (
                Events(host, 1, 1000),
                self.log_by_id[host],
                StubMembership(host_settings, 1),
                LocalPeers(self, host),
                SingleTargetRouter(self.target, on_outage),
                KeyedCalls(host_settings, 1),
            ):
                kernel.register(service)
            self.kernel_by_id[host] = kernel

    async def start(self) -> None:
        """Start the services that the tests use on each host."""
        entries = [HostEntry(id=host, kind="entry", incarnation=1) for host in HOSTS]
        for kernel in self.kernel_by_id.values():
            kernel.get(Membership).apply_host_list(entries)
            await kernel.get(KeyedCalls).start()

    async def stop(self) -> None:
        """Stop all hosts."""
        for kernel in self.kernel_by_id.values():
            await kernel.get(KeyedCalls).stop()

    def set_log_faults(self, **faults) -> None:
        """Set faults of the log on all hosts."""
        for log in self.log_by_id.values():
            for name, value in faults.items():
                setattr(log, name, value)

    async def send(self, host: str = "h1", key: str = "k", **fields) -> Answer:
        """Send a keyed call to ``host``."""
        calls = self.kernel_by_id[host].get(KeyedCalls)
        return await calls.send(call("POST", key=key, **fields))

    def owner(self, key: str = "k") -> str:
        """Return the host that owns the key's partition."""
        calls = self.kernel_by_id["h1"].get(KeyedCalls)
        number = calls._partition_number(call("POST", key=key))
        return owner_of(HOSTS, f"calls/{number}")

    def others(self, key: str = "k") -> list[str]:
        """Return the hosts that do not own the key's partition."""
        return [host for host in HOSTS if host != self.owner(key)]


class CallsTestCase(VirtualTimeTestCase):
    """Starts a fleet on the virtual clock."""

    async def _fleet(self, *args, **changes) -> Fleet:
        fleet = Fleet(*args, **changes)
        await fleet.start()
        self.addAsyncCleanup(fleet.stop)
        return fleet


class AtMostOnceTests(CallsTestCase):
    """At most one run per key."""

    async def test_repeat_gets_the_first_answer_at_any_host(self) -> None:
        fleet = await self._fleet()
        first = await fleet.send("h1")
        for host in HOSTS:
            again = await fleet.send(host)
            self.assertEqual(
                (again.status, again.body, dict(again.headers)),
                (first.status, first.body, {"A": "b"}),
            )
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_race_of_all_hosts_runs_once(self) -> None:
        fleet = await self._fleet()
        answers = await asyncio.gather(*[fleet.send(host) for host in HOSTS * 4])
        self.assertEqual({answer.body for answer in answers}, {b"held"})
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_two_owners_at_once_run_once(self) -> None:
        fleet = await self._fleet()
        # Each host believes that the other two are leaving.
        for host, kernel in fleet.kernel_by_id.items():
            leaving = [Fact(FactKind.HOST, name, 1, LEAVING) for name in HOSTS]
            kernel.get(Membership).learn(
                [fact for fact in leaving if fact.name != host]
            )
        answers = await asyncio.gather(*[fleet.send(host) for host in HOSTS])
        self.assertEqual({answer.body for answer in answers}, {b"held"})
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_key_belongs_to_one_body_and_one_caller(self) -> None:
        fleet = await self._fleet()
        await fleet.send(body=b"1")
        for host in HOSTS:
            with self.assertRaises((KeyReusedError, CranberryrunError)) as caught:
                answer = await fleet.send(host, body=b"2")
                self.assertEqual(answer.status, 422)
                raise KeyReusedError("forwarded")
            self.assertEqual(caught.exception.status, 422)
        await fleet.send(body=b"2", key="k2")
        await fleet.send(body=b"2", caller="a", key="b/c")
        await fleet.send(body=b"2", caller="a/b", key="c")
        self.assertEqual(len(fleet.target.runs), 4)

    async def test_refused_call_frees_its_key(self) -> None:
        fleet = await self._fleet()
        fleet.target.script = [TargetRefusedError("full", retry_after=1)]
        owner = fleet.owner()
        with self.assertRaises(TargetRefusedError):
            await fleet.send(owner)
        self.assertEqual((await fleet.send(owner)).status, 201)
        self.assertEqual(len(fleet.target.runs), 1)
        fleet.target.script = [TargetRefusedError("full", retry_after=1)]
        owner = fleet.owner("k2")
        with self.assertRaises(TargetRefusedError):
            await fleet.send(owner, key="k2")
        await asyncio.sleep(1)
        self.assertEqual((await fleet.send(owner, key="k2", body=b"2")).status, 201)
        self.assertEqual(fleet.target.runs, [b"", b"2"])

    async def test_waiting_repeat_is_run_when_the_first_call_is_refused(self) -> None:
        fleet = await self._fleet()
        owner = fleet.owner()

        class SlowRefusal(Target):
            async def run(self, call: Call) -> Answer:
                if not self.script:
                    self.script.append(None)
                    await asyncio.sleep(1)
                    raise TargetRefusedError("full")
                return await super().run(call)

        slow_refusal = SlowRefusal()
        fleet.kernel_by_id[owner].get(RequestRouter)._target = slow_refusal
        first = asyncio.create_task(fleet.send(owner))
        await asyncio.sleep(0.5)
        second = asyncio.create_task(fleet.send(owner))
        results = await asyncio.gather(first, second, return_exceptions=True)
        self.assertIsInstance(results[0], TargetRefusedError)
        self.assertEqual(results[1].status, 201)

    async def test_failed_call_is_never_run_again(self) -> None:
        fleet = await self._fleet()
        fleet.target.script = [TargetFailedError("cut")]
        owner = fleet.owner()
        with self.assertRaises(TargetFailedError):
            await fleet.send(owner)
        await asyncio.sleep(1)
        before = self.now()
        with self.assertRaises(OutcomeUnknownError):
            await fleet.send(owner)
        self.assertLess(
            self.now() - before,
            1,
            "the lost record is in the log, so the repeat must not wait",
        )
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_call_whose_answer_is_too_large_to_record_is_not_run_again(
        self,
    ) -> None:
        fleet = await self._fleet()
        fleet.target.body = b"x" * 100_000
        owner = fleet.owner()
        self.assertEqual(len((await fleet.send(owner)).body), 100_000)
        await asyncio.sleep(1)
        with self.assertRaises(AnswerNotKeptError) as caught:
            await fleet.send(owner)
        self.assertEqual(caught.exception.problem()["outcome"], "run")
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_call_continues_after_its_caller_disconnects(self) -> None:
        fleet = await self._fleet()
        owner = fleet.owner()
        task = asyncio.create_task(fleet.send(owner))
        await asyncio.sleep(0.05)
        task.cancel()
        calls = fleet.kernel_by_id[owner].get(KeyedCalls)
        self.assertEqual(calls.in_flight, 1)
        await asyncio.sleep(1)
        self.assertEqual((calls.in_flight, calls.pending_final_records), (0, 0))
        self.assertEqual((await fleet.send(owner)).body, b"held")
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_intents_are_appended_in_batches(self) -> None:
        fleet = await self._fleet(limits={"key_partitions": 1})
        owner = fleet.owner()
        keys = [f"k{n}" for n in range(100)]
        await asyncio.gather(*[fleet.send(owner, key=key) for key in keys])
        await asyncio.sleep(1)
        self.assertEqual(len(fleet.target.runs), 100)
        self.assertLess(fleet.log_by_id[owner].appends, 20)

    async def test_too_many_keys_are_refused(self) -> None:
        fleet = await self._fleet(limits={"key_partitions": 1, "keys_per_partition": 2})
        owner = fleet.owner()
        for n in range(2):
            await fleet.send(owner, key=f"k{n}")
        with self.assertRaises(OverloadedError):
            await fleet.send(owner, key="k2")
        self.assertEqual((await fleet.send(owner, key="k1")).status, 201)

    async def test_stream_with_dropped_and_invalid_records_is_read(self) -> None:
        fleet = await self._fleet(limits={"key_partitions": 1})
        fleet.streams["calls-0"] = [Record(5000, 0.0, {"record": "?"})]
        self.assertEqual((await fleet.send("h1")).status, 201)
        self.assertEqual((await fleet.send("h2")).status, 201)
        self.assertEqual(len(fleet.target.runs), 1)


class OwnerTests(CallsTestCase):
    """Owners that crash, hang or leave."""

    async def test_host_runs_the_call_itself_when_the_owner_is_dead(self) -> None:
        fleet = await self._fleet()
        fleet.dead.add(fleet.owner())
        self.assertEqual((await fleet.send(fleet.others()[0])).status, 201)
        self.assertEqual((await fleet.send(fleet.others()[1])).status, 201)
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_call_is_not_run_again_when_the_owner_dies_before_it_replies(
        self,
    ) -> None:
        fleet = await self._fleet()
        task = asyncio.create_task(fleet.send(fleet.others()[0]))
        await asyncio.sleep(0.05)
        fleet.dead.add(fleet.owner())
        self.assertEqual((await task).body, b"held")
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_outcome_is_unknown_when_the_owner_dies_before_recording_it(
        self,
    ) -> None:
        fleet = await self._fleet()
        owner, other = fleet.owner(), fleet.others()[0]
        fleet.target.seconds = 2
        task = asyncio.create_task(fleet.send(other))
        await asyncio.sleep(1)
        fleet.dead.add(owner)
        await fleet.kernel_by_id[owner].get(KeyedCalls).stop()
        with self.assertRaises(OutcomeUnknownError):
            await task
        with self.assertRaises(OutcomeUnknownError):
            await fleet.send(fleet.others()[1])
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_host_runs_the_call_itself_when_the_owner_is_suspected(self) -> None:
        fleet = await self._fleet()
        owner, other = fleet.owner(), fleet.others()[0]
        fleet.hanging.add(owner)
        membership = fleet.kernel_by_id[other].get(Membership)
        loop = asyncio.get_running_loop()
        loop.call_later(1, membership.suspect, owner)
        self.assertEqual((await fleet.send(other, seconds=10)).status, 201)
        self.assertLess(self.now(), 2)

    async def test_leaving_owner_completes_the_calls_forwarded_to_it(self) -> None:
        fleet = await self._fleet()
        owner, other = fleet.owner(), fleet.others()[0]
        fleet.target.seconds = 2
        task = asyncio.create_task(fleet.send(other))
        await asyncio.sleep(1)
        self.assertEqual(fleet.kernel_by_id[owner].get(KeyedCalls).in_flight, 1)
        leaving = Fact(FactKind.HOST, owner, 1, LEAVING)
        fleet.kernel_by_id[other].get(Membership).learn([leaving])
        self.assertEqual((await task).body, b"held")
        self.assertEqual(len(fleet.target.runs), 1)


class LogFaultTests(CallsTestCase):
    """Outages, lost acknowledgements and appends that take effect late."""

    async def test_call_runs_once_when_the_acknowledgement_of_its_intent_is_lost(
        self,
    ) -> None:
        fleet = await self._fleet()
        fleet.set_log_faults(lose=1)
        self.assertEqual((await fleet.send()).status, 201)
        await asyncio.sleep(1)
        self.assertEqual((await fleet.send()).status, 201)
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_call_runs_once_when_the_acknowledgement_of_its_outcome_is_lost(
        self,
    ) -> None:
        fleet = await self._fleet()
        owner = fleet.owner()
        task = asyncio.create_task(fleet.send(owner))
        await asyncio.sleep(0.05)
        fleet.set_log_faults(lose=1)
        await task
        await asyncio.sleep(2)
        self.assertEqual((await fleet.send(owner)).body, b"held")
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_call_in_an_outage_is_refused_with_an_unknown_outcome(self) -> None:
        fleet = await self._fleet()
        owner = fleet.owner()
        fleet.set_log_faults(down=True)
        with self.assertRaises(CallUnrecordedError) as caught:
            await fleet.send(owner)
        problem = caught.exception.problem()
        self.assertNotIn("not_run", problem)
        self.assertEqual(problem["outcome"], "unknown")
        self.assertTrue(problem["retry_after"])
        self.assertEqual(fleet.target.runs, [])
        fleet.set_log_faults(down=False)
        await asyncio.sleep(1)
        self.assertEqual((await fleet.send(owner)).status, 201)

    async def test_call_is_reported_as_not_run_when_only_appends_are_refused(
        self,
    ) -> None:
        fleet = await self._fleet()
        owner = fleet.owner()
        log = fleet.log_by_id[owner]

        async def refuse(stream, values):
            raise LogUnavailableError("over its rate", retry_after=1)

        log.append = refuse
        with self.assertRaises(LogUnavailableError) as caught:
            await fleet.send(owner)
        self.assertTrue(caught.exception.problem()["not_run"])
        self.assertEqual(fleet.target.runs, [])

    async def test_intent_that_is_appended_after_its_deadline_is_released(self) -> None:
        fleet = await self._fleet()
        owner = fleet.owner()
        fleet.set_log_faults(delay=30)
        with self.assertRaises(CranberryrunError):
            await fleet.send(owner, seconds=2)
        fleet.set_log_faults(delay=0)
        await asyncio.sleep(60)
        self.assertEqual(fleet.target.runs, [])
        self.assertEqual((await fleet.send(owner)).status, 201)
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_call_is_answered_when_an_outage_begins_after_its_intent(
        self,
    ) -> None:
        fleet = await self._fleet()
        owner = fleet.owner()
        fleet.target.seconds = 1
        task = asyncio.create_task(fleet.send(owner))
        await asyncio.sleep(0.5)
        fleet.set_log_faults(down=True)
        self.assertEqual((await task).status, 201)
        calls = fleet.kernel_by_id[owner].get(KeyedCalls)
        await asyncio.sleep(5)
        self.assertEqual(calls.pending_final_records, 1)
        with self.assertRaises(OutcomeUnknownError):
            await fleet.send(owner)
        fleet.set_log_faults(down=False)
        await asyncio.sleep(5)
        self.assertEqual(calls.pending_final_records, 0)
        self.assertEqual((await fleet.send(owner)).body, b"held")
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_send_once_call_is_recorded_after_the_outage(self) -> None:
        fleet = await self._fleet("send_once")
        owner = fleet.owner()
        fleet.set_log_faults(down=True)
        answers = await asyncio.gather(*[fleet.send(owner) for _ in range(5)])
        self.assertEqual({answer.body for answer in answers}, {b"held"})
        with self.assertRaises(KeyReusedError):
            await fleet.send(owner, body=b"2")
        fleet.set_log_faults(down=False)
        self.assertEqual((await fleet.send(owner)).body, b"held")
        await asyncio.sleep(5)
        for host in HOSTS:
            self.assertEqual((await fleet.send(host)).body, b"held")
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_send_once_call_runs_once_when_its_intent_is_appended_late(
        self,
    ) -> None:
        fleet = await self._fleet("send_once")
        owner = fleet.owner()
        fleet.set_log_faults(delay=10)
        self.assertEqual((await fleet.send(owner, seconds=4)).status, 201)
        fleet.set_log_faults(delay=0)
        for _ in range(4):
            await asyncio.sleep(5)
            self.assertEqual((await fleet.send(owner)).body, b"held")
        self.assertEqual(len(fleet.target.runs), 1)

    async def test_refused_send_once_call_frees_its_key(self) -> None:
        fleet = await self._fleet("send_once")
        owner = fleet.owner()
        fleet.set_log_faults(down=True)
        fleet.target.script = [TargetRefusedError("full")]
        with self.assertRaises(TargetRefusedError):
            await fleet.send(owner)
        self.assertEqual((await fleet.send(owner)).status, 201)
        self.assertEqual(len(fleet.target.runs), 1)
