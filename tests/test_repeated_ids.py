"""Requests that are sent to a target again under the id that they had.

The target sends a second copy of each answer, late: on a connection that is used again,
where the answer to the next request is due. The id does not tell that copy from the
answer to the repeated request.
"""

import asyncio
from contextlib import suppress

from cranberryrun import clock
from cranberryrun.batches.models import Item
from cranberryrun.exceptions import TargetFailedError, TargetRefusedError
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.client import (
    LoadOrder,
    OrderRefusedError,
    Request,
    RunFailedError,
    TargetClient,
)
from cranberryrun.fleet.directory import Directory, Target
from fakes.deployment import reward_call

from .doubles import report
from .test_platform_host import (
    ATTEMPT_ID,
    DEADLINE_MS,
    HOST_NAME,
    TARGET_TOPIC,
    PlatformTestCase,
)

SIGNATURE = "X-Cranberryrun-Server-Signature"
REFUSED = "503 Service Unavailable"
EVENTS = b"id: 1\ndata: %s\n\nid: 2\ndata: end\n\n"


class CopyingTarget:
    """Sends each answer twice, the second time before the next one on its connection.

    ``executed`` has the ids of the requests that ran, and ``connections`` how many
    connections were made.

    :param answers: status and body of the answers to come; the last one is used again.
    :param copies_left: how many copies are sent.
    """

    def __init__(self, *answers, copies_left=1):
        self._answers = list(answers)
        self._copies_left = copies_left
        self._servers = []
        self.executed = []
        self.connections = 0

    async def start(self):
        self._servers.append(await asyncio.start_server(self._serve, "127.0.0.1", 0))
        port = self._servers[0].sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self):
        self._servers[0].close()

    async def _serve(self, reader, writer):
        self.connections += 1
        owed = b""
        with suppress(EOFError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.lower().split(": ", 1)
                    for line in head.splitlines()[1:]
                    if ": " in line
                )
                await reader.readexactly(int(fields.get("content-length", 0)))
                request_id = fields.get(ATTEMPT_ID.lower())
                answer = self._answer(request_id)
                if self._copies_left and owed:
                    self._copies_left -= 1
                    writer.write(owed)
                writer.write(answer)
                owed = answer
        writer.close()

    def _answer(self, request_id):
        status, body = (
            self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]
        )
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        if request_id is not None:
            lines.append(f"{ATTEMPT_ID}: {request_id}")
            lines.append(f"{SIGNATURE}: score-{body.decode()[:3]}")
            lines.append("X-Cranberryrun-Weight-Versions: 1")
        if body.startswith(b"id: "):
            lines.append("Content-Type: text/event-stream")
        if status == REFUSED:
            lines.append("X-Cranberryrun-Not-Executed: 1")
        else:
            self.executed.append(request_id)
        return "\r\n".join([*lines, "", ""]).encode() + body


class RepeatedIdTestCase(PlatformTestCase):
    @property
    def client(self):
        return self.host.kernel.get(TargetClient)

    async def start_target(self, *answers, **options):
        self.copying = CopyingTarget(*answers, **options)
        await self.copying.start()
        self.addCleanup(self.copying.stop)
        address = Address.parse(self.copying.address)
        return Target("c0", "portal", address, "a", 4, False, 1, 1, {"m": 1})

    def forwarded(self, request_id):
        headers = ((ATTEMPT_ID, request_id), ("Host", HOST_NAME))
        deadline = clock.now() + 2.0
        return Request(request_id, "POST", "/hold/x", headers, b"", deadline)

    async def run_item(self, target, item_id="i1", done=0):
        item = Item(item_id, "g", "/rollout/1", {}, b"x", 20.0)
        deadline = clock.now() + 2.0
        return [
            piece.text
            async for piece in self.client.run(
                target, HOST_NAME, item, 1, done, deadline
            )
        ]


class RepeatedIdTest(RepeatedIdTestCase):
    async def test_request_that_was_refused_is_not_refused_by_a_copy(self):
        """Guards against requests that run twice, or are called refused and run."""
        target = await self.start_target((REFUSED, b""), ("200 OK", b"mine"))
        with self.assertRaises(TargetRefusedError):
            await self.client.send(target, self.forwarded("r1"))
        answer = await self.client.send(target, self.forwarded("r1"))
        self.assertEqual((answer.status, answer.body), (200, b"mine"))
        self.assertEqual(self.copying.executed, ["r1"])

    async def test_stream_that_is_resumed_gets_its_own_events(self):
        target = await self.start_target(
            ("200 OK", EVENTS % b"old"), ("200 OK", EVENTS % b"new")
        )
        for text in (b"old", b"new"):
            parts = [
                part
                async for part in self.client.stream(target, self.forwarded("r1"), None)
            ]
            self.assertIn(text, parts[1].raw)

    async def test_item_that_was_refused_is_not_refused_by_a_copy(self):
        """Guards against items that run at two engines at the same time."""
        target = await self.start_target(
            (REFUSED, b""), ("200 OK", EVENTS % b"mine"), copies_left=2
        )
        with self.assertRaises(TargetRefusedError):
            await self.run_item(target)
        self.assertEqual(await self.run_item(target), ["mine", "end"])

    async def test_item_that_is_run_anew_gets_no_earlier_text(self):
        """Guards against texts of weights that the item may not use any more."""
        target = await self.start_target(
            ("200 OK", EVENTS % b"old"), ("200 OK", EVENTS % b"new")
        )
        self.assertEqual(await self.run_item(target), ["old", "end"])
        self.assertEqual(await self.run_item(target), ["new", "end"])

    async def test_reward_call_that_failed_is_not_failed_by_a_copy(self):
        target = await self.start_target(
            ("500 Internal Server Error", b"bad"), ("200 OK", b"yes")
        )
        call = reward_call("i1")
        with self.assertRaises(RunFailedError):
            await self.client.score(target, call, clock.now() + 1.0)
        score = await self.client.score(target, call, clock.now() + 1.0)
        self.assertEqual(score, "score-yes")

    async def test_copy_of_a_report_makes_only_the_next_one_old(self):
        """Guards against a connection on which each report is that of the last call."""
        answers = [("200 OK", report(number)) for number in (1, 2, 3, 4)]
        target = await self.start_target(*answers)
        sequences = []
        for _ in answers:
            sequences.append((await self.client.report(target)).sequence)
            # The answer that was due arrives on an idle connection.
            await asyncio.sleep(0.05)
        self.assertEqual(sequences, [1, 1, 3, 4])

    async def test_order_is_not_accepted_by_a_copy(self):
        """Guards against engines that are thought to load what they refused."""
        for first in (("200 OK", report(1)), ("202 Accepted", b"")):
            with self.subTest(first=first[0]):
                target = await self.start_target(first, ("409 Conflict", b""))
                order = LoadOrder("m", 2, "host-1", 99, 0, True)
                if first[1]:
                    await self.client.report(target)
                else:
                    await self.client.order(target, order)
                with self.assertRaises(OrderRefusedError):
                    await self.client.order(target, order)

    async def test_copy_of_a_report_is_no_answer_to_a_request(self):
        """Guards against answers without an id, which belong to reports and orders."""
        for copied in (("503 Service Unavailable", b""), ("404 Not Found", b"{}")):
            target = await self.start_target(copied, ("200 OK", b"mine"))
            with suppress(TargetFailedError, TargetRefusedError):
                await self.client.report(target)
            with self.assertRaises(TargetFailedError):
                await self.client.send(target, self.forwarded("r1"))
            self.assertEqual(self.copying.executed[-1:], ["r1"])

    async def test_neighbour_that_passes_calls_on_repeats_no_id(self):
        """Guards against copies between a target and the host that relays a call."""
        await self.start_target((REFUSED, b""), ("200 OK", b"mine"))
        entry = self.portals[0].entry() | {"address": self.copying.address}
        self.store.put(TARGET_TOPIC, "c0", entry)
        directory = self.host.kernel.get(Directory)
        await self.wait_until(lambda: "c0" in directory.target_by_id)
        neighbour = self.host._settings.peer_address
        headers = {ATTEMPT_ID: "r1", DEADLINE_MS: "2000", "Host": HOST_NAME}
        statuses = []
        for _ in range(2):
            url = f"http://{neighbour}/relay/c0/hold/x"
            async with self.session.post(url, headers=headers) as response:
                statuses.append(response.status)
        self.assertEqual(statuses, [503, 200])


class ConnectionUseTest(RepeatedIdTestCase):
    async def test_connection_that_had_a_foreign_answer_is_not_used_again(self):
        """Guards against one copy that makes request after request fail.

        A refusal has no body, so its connection is idle as soon as it was read.
        """
        target = await self.start_target((REFUSED, b""), ("200 OK", b"mine"))
        with self.assertRaises(TargetRefusedError):
            await self.client.send(target, self.forwarded("r0"))
        with self.assertRaises(TargetFailedError):
            await self.client.send(target, self.forwarded("r1"))
        for request_id in ("r2", "r3"):
            answer = await self.client.send(target, self.forwarded(request_id))
            self.assertEqual(answer.body, b"mine")
        self.assertEqual(self.copying.connections, 2)

    async def test_other_ids_use_connections_again(self):
        target = await self.start_target(("200 OK", b"mine"), copies_left=0)
        for number in range(20):
            await self.client.send(target, self.forwarded(f"r{number}"))
        self.assertEqual(self.copying.connections, 1)
        # The same ids again need one more, which is kept as well.
        for number in range(20):
            await self.client.send(target, self.forwarded(f"r{number}"))
        self.assertEqual(self.copying.connections, 2)

    async def test_reports_use_connections_of_other_requests(self):
        """Guards against a new connection for each report."""
        target = await self.start_target(("200 OK", report(0)), copies_left=0)
        for number in range(10):
            await self.client.send(target, self.forwarded(f"r{number}"))
            await self.client.report(target)
            await self.client.report(target)
        self.assertEqual(self.copying.connections, 1)

    async def test_connection_is_closed_after_many_ids(self):
        """Guards against memory that grows with the age of a connection."""
        target = await self.start_target(("200 OK", b"mine"), copies_left=0)
        for number in range(1100):
            await self.client.send(target, self.forwarded(f"r{number}"))
        self.assertEqual(self.copying.connections, 3)
