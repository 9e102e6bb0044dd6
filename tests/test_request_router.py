"""Tests of request routing: the chosen target, retries and the reported error."""

import asyncio
import random
import unittest

from cranberryrun.exceptions import (
    CallerGoneError,
    CranberryrunError,
    DeadlineError,
    HostListError,
    InvalidInputError,
    NoTargetError,
    NotFoundError,
    TargetFailedError,
    TargetRefusedError,
    TargetTimeoutError,
    TargetUnreachableError,
    TruncatedAnswerError,
)
from cranberryrun.models import ServiceTarget
from cranberryrun.pause_detector import PauseDetector
from cranberryrun.peers import Peers
from cranberryrun.retries import RetryBudget, RetryState
from cranberryrun.routing import LeastLoaded
from cranberryrun.services import Answer, Call, ServiceClient, Sink
from cranberryrun.targets import Targets
from cranberryrun.views import LEAVING, Fact, FactKind

from .doubles import (
    ListSink,
    RawTarget,
    ScriptedEngine,
    StubMembership,
    TrafficHost,
    answer,
    drop,
    refuse,
    settings,
)
from .virtual import VirtualTimeTestCase

PROMPT = b'{"group": "g", "prompt": "hello", "samples": 1}'


class ScriptedClient(ServiceClient):
    """Answers after ``seconds``, or raises the next error of ``script``."""

    def __init__(self, seconds: float = 0.1, *script: Exception | None) -> None:
        self.seconds = seconds
        self.script = list(script)
        self.calls: list[Call] = []

    async def send(
        self,
        call: Call,
        repeatable: bool,
        idle_timeout: float,
        sink: Sink | None = None,
    ) -> Answer:
        self.calls.append(call)
        seconds_left = call.deadline - asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(min(seconds_left, idle_timeout)):
                await asyncio.sleep(self.seconds)
        except TimeoutError:
            raise TargetTimeoutError("silent") from None
        error = self.script.pop(0) if self.script else None
        if error is not None:
            raise error
        return Answer(200, {}, b"ok")


class CrashingClient(ScriptedClient):
    """A target that each call ends; it is back after 3.5 s."""

    def __init__(self) -> None:
        super().__init__()
        self.back_at = 0.0

    async def send(self, call: Call, *options: object, **more: object) -> Answer:
        now = asyncio.get_running_loop().time()
        if now < self.back_at:
            raise TargetUnreachableError("the target refused the connection")
        self.calls.append(call)
        self.back_at = now + 3.5
        raise TargetFailedError("the target closed the connection")


def target(name: str, zone: str = "z1") -> ServiceTarget:
    """Return a declared target."""
    return ServiceTarget(id=name, url="http://127.0.0.1:1", zone=zone)


class RoutingTests(VirtualTimeTestCase):
    """The choice of the target of a request, on the virtual clock."""

    async def asyncSetUp(self) -> None:
        self.host = TrafficHost()
        await self.host.__aenter__()
        self.addAsyncCleanup(self.host.__aexit__)

    def _clients(self, **clients: ScriptedClient) -> None:
        self.host.traffic.client_by_id.update(clients)
        targets = [target(name, f"z{name[-1]}") for name in clients]
        self.host.declare(*targets)

    async def test_target_in_the_same_zone_is_preferred(self) -> None:
        near, far = ScriptedClient(), ScriptedClient()
        self._clients(t1=near, t2=far)
        for _ in range(10):
            await self.host.send()
        self.assertEqual((len(near.calls), len(far.calls)), (10, 0))

    async def test_leaving_target_gets_no_requests(self) -> None:
        near, far = ScriptedClient(), ScriptedClient()
        self._clients(t1=near, t2=far)
        self.host.membership.learn([Fact(FactKind.TARGET, "t1", 0, LEAVING)])
        for _ in range(10):
            await self.host.send()
        self.assertEqual((len(near.calls), len(far.calls)), (0, 10))
        self.host.membership.learn([Fact(FactKind.TARGET, "t2", 0, LEAVING)])
        with self.assertRaises(NoTargetError) as caught:
            await self.host.send()
        self.assertTrue(caught.exception.problem()["not_run"])
        self.assertTrue(caught.exception.retry_after)

    async def test_call_that_ends_its_targets_is_not_sent_on(self) -> None:
        """Guards against BUDGET: one request ended each engine that came back."""
        clients = [CrashingClient() for _ in range(3)]
        self._clients(t1=clients[0], t2=clients[1], t3=clients[2])
        for _ in range(200):
            with self.assertRaises(CranberryrunError):
                await self.host.send("GET")
            await asyncio.sleep(0.25)
        # Three crashes, and three sends more.
        self.assertLessEqual(sum(len(client.calls) for client in clients), 6)

    async def test_unresponsive_target_gets_no_requests_after_a_few_seconds(
        self,
    ) -> None:
        unresponsive, good = ScriptedClient(seconds=3600), ScriptedClient()
        self._clients(t1=unresponsive, t2=good)
        first = asyncio.create_task(self.host.send("POST", seconds=60))
        await asyncio.sleep(4)
        for _ in range(20):
            await self.host.send("POST")
        self.assertEqual((len(unresponsive.calls), len(good.calls)), (1, 20))
        first.cancel()

    async def test_repeatable_request_is_retried_when_its_target_is_unresponsive(
        self,
    ) -> None:
        unresponsive, good = ScriptedClient(seconds=3600), ScriptedClient()
        self._clients(t1=unresponsive, t2=good)
        answer = await self.host.send("GET", seconds=10)
        self.assertEqual(answer.status, 200)
        self.assertLess(self.now(), 5)

    async def test_slow_target_does_not_count_as_unresponsive(self) -> None:
        slow = ScriptedClient(seconds=8)
        self._clients(t1=slow)
        tasks = []
        for _ in range(5):
            tasks.append(asyncio.create_task(self.host.send("POST", seconds=60)))
            await asyncio.sleep(4)
        answers = await asyncio.gather(*tasks)
        self.assertEqual([answer.status for answer in answers], [200] * 5)

    async def test_target_that_streams_a_long_answer_is_not_unresponsive(self) -> None:
        class Streaming(ScriptedClient):
            async def send(self, call, repeatable, idle_timeout, sink=None):
                if call.path != "long":
                    return await super().send(call, repeatable, idle_timeout, sink)
                await sink.begin(200, {}, None)
                for _ in range(60):
                    await asyncio.sleep(1)
                    await sink.write(b"part")
                return Answer(200, {}, streamed=True)

        streaming, other = Streaming(), ScriptedClient()
        self._clients(t1=streaming, t2=other)
        long = self.host.send("POST", path="long", sink=ListSink(), seconds=90)
        task = asyncio.create_task(long)
        await asyncio.sleep(10)
        state = self.host.traffic._targets_by_service["s"].by_id["t1"]
        self.assertFalse(state.is_unresponsive(3))
        await task
        self.assertLess(state.mean_seconds, 1)

    async def test_failing_target_is_probed_once_after_its_cooldown(self) -> None:
        failing = ScriptedClient(0.1, *[TargetFailedError("x")] * 2)
        good = ScriptedClient()
        self._clients(t1=failing, t2=good)
        with self.assertRaises(TargetFailedError):
            await self.host.send("POST")
        await self.host.send("POST")
        self.assertEqual(len(failing.calls), 1)
        await asyncio.sleep(1)
        results = await asyncio.gather(
            *[self.host.send("POST") for _ in range(5)], return_exceptions=True
        )
        self.assertEqual(len(failing.calls), 2)
        failures = [result for result in results if isinstance(result, Exception)]
        self.assertEqual(len(failures), 1)
        await asyncio.sleep(5)
        await self.host.send("POST")
        self.assertEqual(len(self.host.events_named("target_failed")), 1)
        self.assertEqual(len(self.host.events_named("target_back")), 1)

    async def test_failing_target_is_probed_by_one_request_at_a_time(self) -> None:
        failing = ScriptedClient(1, TargetFailedError("x"))
        self._clients(t1=failing)
        with self.assertRaises(TargetFailedError):
            await self.host.send("POST")
        results = await asyncio.gather(
            *[self.host.send("POST") for _ in range(5)], return_exceptions=True
        )
        refused = [result for result in results if isinstance(result, NoTargetError)]
        self.assertEqual((len(refused), len(failing.calls)), (4, 2))

    async def test_one_refusal_does_not_start_a_cooldown(self) -> None:
        busy = ScriptedClient(0.1, TargetRefusedError("busy"))
        self._clients(t1=busy)
        self.assertEqual((await self.host.send("POST")).status, 200)
        self.assertEqual(len(busy.calls), 2)

    async def test_short_deadline_of_a_caller_is_no_failure_of_the_target(self) -> None:
        self._clients(t1=ScriptedClient(seconds=1))
        for _ in range(5):
            with self.assertRaises(TargetTimeoutError):
                await self.host.send("POST", seconds=0.5)
        self.assertEqual(self.host.events_named("target_failed"), [])
        with self.assertRaises(DeadlineError):
            await self.host.send("POST", seconds=0)

    async def test_unknown_service_raises_not_found_error(self) -> None:
        with self.assertRaises(NotFoundError):
            await self.host.send(service="none")

    async def test_deadline_is_passed_to_the_client(self) -> None:
        client = ScriptedClient()
        self._clients(t1=client)
        await self.host.send(seconds=2)
        self.assertEqual(client.calls[0].deadline, 2)

    async def test_removed_target_is_forgotten(self) -> None:
        targets = Targets(lambda declared: ScriptedClient(), 3)
        targets.apply_declared([target("t1"), target("t2")])
        remaining = targets.by_id["t1"]
        targets.apply_declared([target("t1")])
        self.assertEqual(targets.by_id, {"t1": remaining})
        policy = LeastLoaded(random.Random(1))
        self.assertIs(
            targets.choose(policy, "z1", lambda target_id: False, {"t1"}), remaining
        )


class RetryTests(VirtualTimeTestCase):
    """When a request is retried, and which error is raised in the end."""

    async def asyncSetUp(self) -> None:
        self.host = TrafficHost()
        await self.host.__aenter__()
        self.addAsyncCleanup(self.host.__aexit__)
        self.first = ScriptedClient()
        self.second = ScriptedClient()
        self.host.traffic.client_by_id = {"t1": self.first, "t2": self.second}
        self.host.declare(target("t1", "z1"), target("t2", "z2"))

    def _counts(self) -> tuple[int, int]:
        return len(self.first.calls), len(self.second.calls)

    async def test_request_that_was_not_run_is_retried_on_another_target(self) -> None:
        for error in (TargetRefusedError("x"), TargetUnreachableError("x")):
            self.first.script = [error]
            self.assertEqual((await self.host.send("POST")).status, 200)
            await asyncio.sleep(20)
        self.assertEqual(self._counts(), (2, 2))
        self.assertEqual(len(self.host.events_named("request_retried")), 2)

    async def test_request_that_may_have_run_is_retried_only_if_repeatable(
        self,
    ) -> None:
        self.first.script = [TargetFailedError("x")]
        with self.assertRaises(TargetFailedError):
            await self.host.send("POST")
        self.assertEqual(self._counts(), (1, 0))
        await asyncio.sleep(20)
        self.first.script = [TargetFailedError("x")]
        self.assertEqual((await self.host.send("GET")).status, 200)
        self.assertEqual(self._counts(), (2, 1))

    async def test_keyed_call_is_never_retried_after_a_failure(self) -> None:
        self.first.script = [TargetFailedError("x")]
        with self.assertRaises(TargetFailedError):
            await self.host.send("GET", key="k")
        self.assertEqual(self._counts(), (1, 0))

    async def test_later_refusal_does_not_hide_an_earlier_run(self) -> None:
        for later in (TargetRefusedError("x"), TargetUnreachableError("x")):
            with self.subTest(later.code):
                self.first.script = [TargetFailedError("x")]
                self.second.script = [later] * 3
                with self.assertRaises(TargetFailedError) as caught:
                    await self.host.send("GET")
                self.assertNotIn("not_run", caught.exception.problem())
                await asyncio.sleep(20)

    async def test_missing_target_does_not_hide_an_earlier_run(self) -> None:
        self.first.script = [TargetFailedError("x")]

        def leave(*error: object) -> None:
            facts = [
                Fact(FactKind.TARGET, target_id, 0, LEAVING)
                for target_id in ("t1", "t2")
            ]
            self.host.membership.learn(facts)

        asyncio.get_running_loop().call_later(0.05, leave)
        with self.assertRaises(TargetFailedError):
            await self.host.send("GET")

    async def test_retry_budget_limits_retries_in_an_outage(self) -> None:
        self.first.script = [TargetUnreachableError("x")] * 1000
        self.second.script = [TargetUnreachableError("x")] * 1000
        sent = 300
        for _ in range(sent):
            with self.assertRaises((TargetUnreachableError, NoTargetError)):
                await self.host.send("GET")
        share = self.host.settings.limits.retry_share
        self.assertLessEqual(sum(self._counts()), sent * (1 + share) + 10)

    def test_number_of_attempts_is_limited(self) -> None:
        attempts = RetryState(True, RetryBudget(1.0))
        errors = [TargetFailedError("x") for _ in range(3)]
        self.assertEqual(
            [attempts.should_retry(error) for error in errors], [True, True, False]
        )
        self.assertIs(attempts.final_error(TargetRefusedError("x")), errors[2])
        gone = CallerGoneError("x")
        self.assertIs(attempts.final_error(gone), gone)
        self.assertFalse(RetryState(True, RetryBudget(1.0)).should_retry(gone))


class EngineRequestTests(VirtualTimeTestCase):
    """Requests that an engine of a pool answers."""

    async def asyncSetUp(self) -> None:
        self.host = TrafficHost()
        await self.host.__aenter__()
        self.addAsyncCleanup(self.host.__aexit__)

    def _declare(self, *engines: ScriptedEngine, **fields: object) -> None:
        for n, engine in enumerate(engines):
            self.host.engines.add(f"e{n}", engine)
        self.host.declare(pool="p1", **fields)

    async def test_pieces_are_passed_on_as_they_arrive(self) -> None:
        self._declare(ScriptedEngine(5))
        sink = ListSink()
        task = asyncio.create_task(self.host.send("POST", body=PROMPT, sink=sink))
        await asyncio.sleep(0.35)
        self.assertEqual(len(sink.parts), 3)
        self.assertTrue((await task).streamed)
        self.assertEqual(len(sink.parts), 5)

    async def test_interrupted_stream_is_resumed_without_gaps_or_duplicates(
        self,
    ) -> None:
        engine = ScriptedEngine(6, cuts={0, 2, 5})
        self._declare(engine)
        answer = await self.host.send("POST", body=PROMPT, seconds=60)
        texts = [line.split(b'"')[3] for line in answer.body.splitlines()]
        self.assertEqual(b"".join(texts), b"0 1 2 3 4 5 ")
        self.assertEqual(engine.resumed, [0, 2, 5])
        self.assertEqual((len(engine.started), engine.cancelled), (1, []))

    async def test_answer_is_truncated_when_its_stream_cannot_be_resumed(self) -> None:
        class UnresumableEngine(ScriptedEngine):
            async def resume(self, stream, start):
                self.cuts.add(start)
                async for piece in super().resume(stream, start):
                    yield piece

        engine = UnresumableEngine(6, cuts={3})
        self._declare(engine, repeatable=["POST"])
        sink = ListSink()
        with self.assertRaises(TruncatedAnswerError):
            await self.host.send("POST", body=PROMPT, sink=sink, seconds=60)
        await asyncio.sleep(0)
        self.assertEqual((len(sink.parts), len(engine.started)), (3, 1))
        self.assertEqual(engine.cancelled, [engine.started[0].stream])

    async def test_stream_is_cancelled_when_the_caller_disconnects(self) -> None:
        class DisconnectedSink(ListSink):
            async def write(self, data: bytes) -> None:
                raise CallerGoneError("gone")

        engine = ScriptedEngine(50)
        self._declare(engine)
        with self.assertRaises(CallerGoneError):
            await self.host.send("POST", body=PROMPT, sink=DisconnectedSink())
        task = asyncio.create_task(self.host.send("POST", body=PROMPT))
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.sleep(0.1)
        self.assertEqual(engine.cancelled, [order.stream for order in engine.started])
        self.assertEqual(self.host.engines.by_name["e0"].in_flight, 0)

    async def test_stream_is_cancelled_at_the_deadline(self) -> None:
        engine = ScriptedEngine(50)
        self._declare(engine)
        with self.assertRaises(TargetFailedError):
            await self.host.send("POST", body=PROMPT, seconds=1)
        await asyncio.sleep(0)
        self.assertEqual(len(engine.cancelled), 1)
        self.assertTrue(self.host.engines.by_name["e0"].health.usable())

    async def test_equal_requests_never_share_a_stream(self) -> None:
        engine = ScriptedEngine(2)
        self._declare(engine)
        await asyncio.gather(
            *[self.host.send("POST", body=PROMPT, request="same") for _ in range(3)]
        )
        self.assertEqual(len({order.stream for order in engine.started}), 3)

    async def test_equal_prompts_go_to_one_engine(self) -> None:
        engines = [ScriptedEngine(1) for _ in range(4)]
        self._declare(*engines)
        for _ in range(8):
            await self.host.send("POST", body=PROMPT)
        self.assertEqual(
            sorted(len(engine.started) for engine in engines), [0, 0, 0, 8]
        )

    async def test_request_without_a_prompt_is_refused(self) -> None:
        self._declare(ScriptedEngine(1))
        with self.assertRaises(InvalidInputError) as caught:
            await self.host.send("POST", body=b'{"group": "g"}')
        self.assertTrue(caught.exception.problem()["not_run"])


class PauseTests(VirtualTimeTestCase):
    """Stale views are refreshed before requests are sent after a process pause."""

    async def test_stale_views_are_refreshed_once(self) -> None:
        reads = 0

        class CountingMembership(StubMembership):
            async def read_list(self) -> None:
                nonlocal reads
                reads += 1
                await asyncio.sleep(0.5)
                self.apply_host_list([])

        host = TrafficHost()
        pauses = PauseDetector(host.settings)
        membership = CountingMembership(host.settings, 1)
        for service in (pauses, membership, _SilentPeers()):
            host.kernel._by_name[service.name] = service
            service.attach(host.kernel)
        async with host:
            await pauses.refresh_if_stale()
            self.assertEqual(reads, 0)
            await asyncio.sleep(host.settings.timing.view_limit + 1)
            await asyncio.gather(*[pauses.refresh_if_stale() for _ in range(9)])
            self.assertEqual(reads, 1)
            # A paused process sees the clock jump between two ticks of the detector.
            pauses._ticked_at -= 60
            await pauses.refresh_if_stale()
            self.assertEqual(reads, 2)
            self.assertEqual(len(host.events_named("host_paused")), 1)

    async def test_unreachable_host_list_and_peers_delay_requests_only_once(
        self,
    ) -> None:
        class UnreachableListMembership(StubMembership):
            async def read_list(self) -> None:
                await asyncio.sleep(1)
                raise HostListError("down")

        host = TrafficHost()
        pauses = PauseDetector(host.settings)
        for service in (
            pauses,
            UnreachableListMembership(host.settings, 1),
            _SilentPeers(),
        ):
            host.kernel._by_name[service.name] = service
            service.attach(host.kernel)
        async with host:
            delays = []
            for _ in range(5):
                await asyncio.sleep(host.settings.timing.view_limit + 1)
                before = self.now()
                await pauses.refresh_if_stale()
                delays.append(round(self.now() - before))
        self.assertEqual(delays, [1, 0, 0, 0, 0])


class _SilentPeers(Peers):
    """Peers of which none answers."""

    def __init__(self) -> None:
        super().__init__(settings(), random.Random(1))

    async def start(self) -> None:
        return

    async def exchange_with_live_peers(self) -> list[str]:
        return []


class HttpTargetTests(unittest.IsolatedAsyncioTestCase):
    """Complete HTTP requests to targets that record what they received."""

    async def test_refused_request_is_retried_and_dropped_request_is_not(self) -> None:
        async with TrafficHost() as host:
            async with RawTarget(refuse()) as first, RawTarget(answer()) as second:
                host.declare(first.target("t1"), second.target("t2", "z2"))
                self.assertEqual((await host.send("POST", body=b"{}")).body, b"ok")
                self.assertEqual(len(first.requests), 1)
                self.assertEqual(len(second.requests), 1)
            async with RawTarget(drop) as first, RawTarget(answer()) as second:
                host.declare(first.target("t1"), second.target("t2", "z2"))
                with self.assertRaises(TargetFailedError):
                    await host.send("DELETE")
                self.assertEqual(len(first.requests) + len(second.requests), 1)

    async def test_answers_out_of_order_stay_with_their_requests(self) -> None:
        rng = random.Random(3)

        def echo(target: RawTarget):
            async def script(writer: asyncio.StreamWriter) -> None:
                path = target.requests[-1][0].split()[1].encode()
                await asyncio.sleep(rng.uniform(0, 0.05))
                await answer(path)(writer)

            return script

        async with TrafficHost() as host:
            target = RawTarget(drop)
            target._scripts = [echo(target)]
            async with target:
                host.declare(target.target())
                paths = [f"p/{n}" for n in range(40)]
                answers = await asyncio.gather(
                    *[host.send(path=path) for path in paths]
                )
        self.assertEqual([answer.body.decode()[1:] for answer in answers], paths)
