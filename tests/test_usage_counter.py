"""Which requests count as usage, once each, and for which window."""

import asyncio
from unittest import mock

from cranberryrun import clock
from cranberryrun.exceptions import (
    CranberryrunError,
    TargetFailedError,
    TargetRefusedError,
    TargetUnreachableError,
)
from cranberryrun.fleet.client import Answer, Request, StreamedEvents
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.manifest import Backend, RouteKind
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.requests.streams import Streams
from cranberryrun.usage_counts.counter import UsageCounter
from fakes.deployment import Deployment, batch_route, manifest

from .virtual import VirtualTimeTestCase

WINDOW_SECONDS = 5.0
# The virtual clock starts at 0, in the middle of a window of the wall clock.
BASE_WALL_SECONDS = 1_700_000_002.5
FIRST_WINDOW = 340_000_000
ANSWER = Answer(200, (), b"ok")
HEAD = Answer(200, (("content-type", "text/event-stream"),), b"")


class UsageCounterTest(VirtualTimeTestCase):
    """Requests of workspace ``w`` at three targets, whose answers are scripted.

    A step of the script is an answer, an error, a delay in seconds or an event.
    """

    async def asyncSetUp(self):
        patch = mock.patch("cranberryrun.clock.wall", self.wall)
        patch.start()
        self.addCleanup(patch.stop)
        self.counter = UsageCounter(WINDOW_SECONDS)
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.route = batch_route(
            path_prefix="/x",
            kind=RouteKind.SAFE,
            backends=(Backend("models", 1.0),),
            resumable=True,
        )
        self.deployment.put_manifest(manifest(1, self.route))
        for name in ("t0", "t1", "t2"):
            self.deployment.add_engine(name)
        self.kernel = await self.deployment.start_host()
        self.kernel.get(Forwarder).usage = self.counter
        while len(self.kernel.get(Directory).target_by_id) < 3:
            await asyncio.sleep(0.05)
        self.scripts = []
        targets = self.deployment.targets
        targets.send = self.send
        targets.stream = self.stream
        self.started_at = self.wall()

    def wall(self):
        return BASE_WALL_SECONDS + self.now()

    async def send(self, target, request):
        async for part in self.stream(target, request, None):
            return part

    async def stream(self, target, request, last_event):
        for step in self.scripts.pop(0) if self.scripts else [100.0]:
            if isinstance(step, Exception):
                raise step
            if isinstance(step, float):
                await asyncio.sleep(step)
            else:
                yield step

    async def forward(self, *scripts, workspace="w", seconds=10.0):
        self.scripts = list(scripts)
        deadline = clock.now() + seconds
        request = Request("r", "GET", "/x", (), b"", deadline, workspace)
        try:
            return await self.kernel.get(Forwarder).forward(self.route, request)
        except CranberryrunError as error:
            return error

    async def read(self, *scripts, last_event=None, resumes=None, parts=None):
        self.scripts = list(scripts)
        request = Request("r", "GET", "/x", (), b"", clock.now() + 60.0, "w")
        streams = self.kernel.get(Streams)
        stream = streams.forward(self.route, request, last_event, resumes)
        received = []
        try:
            async for part in stream:
                received.append(part)
                if len(received) == parts:
                    break
        except CranberryrunError as error:
            received.append(error)
        await stream.aclose()
        return received

    def assert_counted(self, window, requests=1):
        """Assert that the requests were counted in the window, counted from the first.

        Windows end after 2.5 s, 7.5 s and so on.
        """
        counts = {FIRST_WINDOW + window: {"w": requests}} if requests else {}
        self.assertEqual(self.counter.take(self.wall()), counts)

    async def until(self, seconds):
        await asyncio.sleep(seconds - self.now())

    async def test_answered_request_counts_in_the_window_of_its_start(self):
        await self.until(2.4)
        await self.forward([0.3, ANSWER])
        self.assert_counted(0)
        await self.forward([0.3, ANSWER])
        self.assert_counted(1)

    async def test_refused_attempts_do_not_count(self):
        """A target that refuses a request, or can't be reached, runs nothing."""
        await self.until(2.4)
        errors = [TargetRefusedError("busy"), TargetUnreachableError("gone")]
        await self.forward(*([0.1, error] for error in errors), [ANSWER])
        self.assert_counted(1)
        await self.forward(*([error] for error in errors * 2))
        self.assert_counted(0, 0)

    async def test_second_attempts_add_nothing(self):
        await self.until(2.4)
        await self.forward([0.2, TargetFailedError("cut")], [ANSWER])
        self.assert_counted(0)

    async def test_hedged_request_counts_once_at_its_first_attempt(self):
        await self.until(2.45)
        answer = await self.forward([5.0, ANSWER], [0.1, ANSWER])
        self.assertEqual(answer, ANSWER)
        self.assertEqual(self.scripts, [])
        self.assert_counted(0)

    async def test_hedged_request_whose_first_attempt_is_refused_counts_later(self):
        await self.until(2.45)
        await self.forward([0.2, TargetRefusedError("busy")], [0.5, ANSWER])
        self.assert_counted(1)

    async def test_request_with_an_unknown_outcome_counts(self):
        for script in ([TargetFailedError("cut")], [100.0]):
            with self.subTest(script=script):
                await self.forward(*([script] * 3), seconds=2.0)
                self.assertEqual(len(self.counter.take(self.wall())), 1)

    async def test_request_whose_caller_left_counts(self):
        task = asyncio.create_task(self.forward([5.0, ANSWER], [5.0, ANSWER]))
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.wait([task])
        self.assert_counted(0)

    async def test_slow_request_counts_before_its_answer(self):
        """Its window would be reported before the answer comes."""
        task = asyncio.create_task(self.forward(*([[8.0, ANSWER]] * 3)))
        await asyncio.sleep(0.9)
        self.assert_counted(0, 0)
        await asyncio.sleep(1.0)
        self.assert_counted(0)
        await task
        self.assert_counted(0, 0)

    async def test_open_request_counts_when_the_process_ends(self):
        task = asyncio.create_task(self.forward([8.0, ANSWER], [8.0, ANSWER]))
        await asyncio.sleep(0.1)
        self.assertEqual(len(self.counter.take(self.wall(), closing=True)), 1)
        task.cancel()

    async def test_request_without_a_workspace_does_not_count(self):
        await self.forward([ANSWER], workspace=None)
        self.assert_counted(0, 0)

    async def test_stream_counts_at_its_first_event(self):
        await self.until(2.4)
        await self.read(
            [HEAD, 0.3, StreamedEvents(1, 1, b""), StreamedEvents(2, 2, b"")]
        )
        self.assert_counted(1)

    async def test_stream_that_goes_on_at_another_target_counts_once(self):
        cut = [HEAD, StreamedEvents(1, 1, b""), TargetFailedError("cut")]
        await self.read(cut, [HEAD, StreamedEvents(2, 2, b"")])
        self.assert_counted(0)

    async def test_stream_whose_caller_leaves_counts(self):
        await self.read([HEAD, StreamedEvents(1, 1, b""), 9.0], parts=2)
        self.assert_counted(0)

    async def test_stream_that_is_taken_up_again_does_not_count(self):
        """It was counted at the host that sent its first event."""
        await self.read([HEAD, StreamedEvents(3, 3, b"")], last_event=2)
        await self.read([HEAD, StreamedEvents(1, 1, b"")], resumes="r0")
        self.assert_counted(0, 0)

    async def test_stream_that_is_refused_or_lost_before_its_first_event(self):
        refused = [TargetRefusedError("busy")]
        await self.read(refused, refused, refused)
        self.assert_counted(0, 0)
        await self.read([HEAD, TargetFailedError("cut")], refused, refused)
        self.assert_counted(0)

    async def test_answer_that_is_no_stream_counts(self):
        await self.read([Answer(404, (), b"none")])
        self.assert_counted(0)
