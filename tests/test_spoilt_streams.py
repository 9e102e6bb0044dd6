"""Engines in trouble whose streams have something else than their events.

What an engine spoils never becomes part of an answer that looks whole. Forms that the
event stream format allows are served as usual.
"""

import asyncio
import itertools
import json
import random

import aiohttp

from cranberryrun.fleet.directory import Directory
from standins.spoiling_target import SpoilingTarget, endless

from .test_event_parser import MALFORMED_BLOCKS
from .test_platform_host import (
    ATTEMPT_ID,
    DEADLINE_MS,
    OPERATOR_TOPIC,
    TARGET_TOPIC,
    PlatformTestCase,
    manifest,
    route,
    submission,
)

EVENTS = 6
JUNK = random.Random(1).randbytes(65_536)


def event(number, text="wrong"):
    return b"id: %d\ndata: %s\n\n" % (number, text.encode())


def number_of(part):
    return int(part.split()[1])


# What stands in place of the second half of the events of an answer.
SPOILT_HALVES = {
    **{
        name: (lambda half, block=block: [block])
        for name, block in MALFORMED_BLOCKS.items()
    },
    "junk without end": lambda half: endless(JUNK),
    "blocks without end": lambda half: endless(b"?\n\n" * 1000),
    "comments without end": lambda half: endless(b":\n\n" * 1000),
    "blank lines without end": lambda half: endless(b"\n" * 1000),
    "numbered events without end": lambda half: (
        event(number, "x" * 1000) for number in itertools.count(number_of(half[0]))
    ),
    "event left out": lambda half: half[1:],
    "event without data": lambda half: [half[0].replace(b"data", b"note"), *half[1:]],
    "event repeated": lambda half: [half[0], *half],
    "events in another order": lambda half: [half[1], half[0], *half[2:]],
    "number too high": lambda half: [event(900), *half],
    "number too low": lambda half: [event(1), *half],
}


# An event was sent twice, and nothing shows which of the two is wrong.
CONFLICTS = {"number too low"}


def once(form):
    """Return a form that is like ``form`` for one answer of any engine."""
    forms = iter([form])
    return lambda sound: next(forms, list)(sound)


def spoil_half(spoilt_half):
    def form(sound):
        middle = len(sound) // 2
        return itertools.chain(sound[:middle], spoilt_half(sound[middle:]))

    return form


def spoil_all(spoilt_half):
    return spoilt_half


def with_ends(sound, end):
    return [part.replace(b"\n", end) for part in sound]


# Forms of an answer that the event stream format allows.
SOUND_FORMS = {
    "CR LF": lambda sound: with_ends(sound, b"\r\n"),
    "comments": lambda sound: [b": note\n\n" + part for part in sound],
    "comment at the end": lambda sound: [*sound, b": end\n\n"],
    "blank lines at the end": lambda sound: [*sound, b"\n\n"],
    "event types": lambda sound: [b"event: token\n" + part for part in sound],
    "further fields": lambda sound: [b"tokens: 3\n" + part for part in sound],
    "data before the number": lambda sound: [
        b"\n".join([*reversed(part.split(b"\n")[:2]), b"", b""]) for part in sound
    ],
    "single bytes": lambda sound: [bytes([byte]) for byte in b"".join(sound)],
    "one piece": lambda sound: [b"".join(sound)],
}


class SpoiltStreamTestCase(PlatformTestCase):
    """Two engines; ``spoiling`` is one of them, or both."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store.put(TARGET_TOPIC, "e0", None)
        self.engines = [SpoilingTarget(f"s{n}", "lm", "m") for n in range(2)]
        for engine in self.engines:
            await engine.start()
            self.addAsyncCleanup(engine.stop)
            self.store.put(TARGET_TOPIC, engine.id, engine.entry())
        routes = [
            route("live", "streaming", "lm"),
            route("resumed", "streaming", "lm", resumable=True),
        ]
        self.store.put(OPERATOR_TOPIC, "config", manifest(2, routes=routes))
        directory = self.host.kernel.get(Directory)
        await self.wait_until(
            lambda: directory.manifest.version == 2
            and {"s0", "s1"} <= directory.target_by_id.keys()
            and "e0" not in directory.target_by_id
        )

    def spoil(self, form, answers, engines=None):
        for engine in engines or self.engines:
            engine.form, engine.spoilt_answers = form, answers
            engine.resumed_after.clear()

    def requests(self):
        return sorted(after for each in self.engines for after in each.resumed_after)

    def text(self, attempt_id, first=1):
        return "\n".join(f"{attempt_id}/{n}" for n in range(first, EVENTS + 1))


class SpoiltItemTest(SpoiltStreamTestCase):
    batch_count = 0

    async def assert_item_is_whole(self):
        """Run an item, whose result must be all of its events."""
        self.batch_count += 1
        batch_id, item_id = f"b{self.batch_count}", f"i{self.batch_count}"
        batch = submission(items=1, size=1)
        batch["items"][0] |= {"id": item_id, "group-id": item_id}
        await self.request("POST", "/rollout/b", batch_id, json=batch)
        path, headers = f"/v1/lots/{batch_id}?after=0", {
            "X-Cranberryrun-Wait-Ms": "300"
        }
        results = []
        async with asyncio.timeout(10.0):
            while not results:
                _, _, body = await self.request("GET", path, headers=headers)
                results = json.loads(body)["results"]
        await self.request("DELETE", f"/v1/lots/{batch_id}")
        self.assertEqual(results[0]["state"], "succeeded")
        self.assertEqual(results[0]["text"], self.text(item_id))

    async def assert_whole(self, forms, spoilt_part):
        for name, form in forms.items():
            with self.subTest(name=name):
                self.spoil(once(spoilt_part(form)), None)
                await self.assert_item_is_whole()

    async def test_text_is_whole_after_the_half_of_an_answer_was_spoilt(self):
        """Junk counted as events: the next engine went on behind it (review/11)."""
        await self.assert_whole(SPOILT_HALVES, spoil_half)

    async def test_text_is_whole_after_a_whole_answer_was_spoilt(self):
        await self.assert_whole(SPOILT_HALVES, spoil_all)

    async def test_nothing_of_a_spoilt_run_is_kept(self):
        """A run without end left its pieces, and the next one went on behind them."""
        self.spoil(spoil_half(SPOILT_HALVES["numbered events without end"]), 1)
        await self.assert_item_is_whole()
        # Each engine spoilt an answer.
        self.assertEqual(self.requests(), [0, 0, 0])

    async def test_pieces_of_the_run_before_are_kept(self):
        cut = spoil_half(lambda half: [b"id: 4\nda"])
        self.spoil(cut, 1, self.engines[:1])
        self.spoil(spoil_half(SPOILT_HALVES["no number"]), 1, self.engines[1:])
        await self.assert_item_is_whole()

    async def test_sound_forms_are_taken_at_once(self):
        for name, form in SOUND_FORMS.items():
            with self.subTest(name=name):
                self.spoil(form, None)
                await self.assert_item_is_whole()
                self.assertEqual(self.requests(), [0])


class SpoiltAnswerTest(SpoiltStreamTestCase):
    async def read(self, path, attempt_id, last_event=None):
        """Return the events that the caller got, and whether the answer ended whole."""
        headers = {"Host": "site.example", ATTEMPT_ID: attempt_id, DEADLINE_MS: "3000"}
        if last_event is not None:
            headers["Last-Event-Id"] = str(last_event)
        body = b""
        url = self.url + path
        try:
            async with asyncio.timeout(4.0):
                async with self.session.post(url, headers=headers) as response:
                    async for chunk in response.content.iter_any():
                        body += chunk
            whole = response.status == 200
        except (aiohttp.ClientPayloadError, TimeoutError):
            whole = False
        return body, whole

    def events(self, attempt_id, first=1):
        lines = self.text(attempt_id, first).split("\n")
        return b"".join(event(number, text) for number, text in enumerate(lines, first))

    async def test_stream_goes_on_at_the_other_engine_behind_the_last_sound_event(self):
        for spoilt_part, last, (name, spoilt_half) in itertools.product(
            (spoil_half, spoil_all), (None, 2), SPOILT_HALVES.items()
        ):
            if name == "numbered events without end":
                # Nothing shows that they are wrong but the end of the stream.
                continue
            with self.subTest(name=name, part=spoilt_part.__name__, last=last):
                self.spoil(once(spoilt_part(spoilt_half)), None)
                body, whole = await self.read("/resumed/x", "s1", last)
                if name in CONFLICTS and last is None:
                    self.assertFalse(whole)
                    continue
                self.assertTrue(whole)
                self.assertEqual(body, self.events("s1", (last or 0) + 1))

    async def test_stream_that_may_not_go_on_is_broken_off(self):
        for spoilt_part in (spoil_half, spoil_all):
            for name, spoilt_half in SPOILT_HALVES.items():
                if name in ("event left out", "numbered events without end"):
                    # Numbers need only increase.
                    continue
                with self.subTest(name=name, part=spoilt_part.__name__):
                    self.spoil(spoilt_part(spoilt_half), None)
                    _, whole = await self.read("/live/x", "s1")
                    self.assertFalse(whole)
                    self.assertEqual(len(self.requests()), 1)

    async def test_sound_forms_are_passed_on_unchanged(self):
        for path, (name, form) in itertools.product(
            ("/live/x", "/resumed/x"), SOUND_FORMS.items()
        ):
            with self.subTest(name=name, path=path):
                self.spoil(form, None)
                body, whole = await self.read(path, "s1")
                self.assertTrue(whole)
                sound = [event(n + 1, f"s1/{n + 1}") for n in range(EVENTS)]
                self.assertEqual(body, b"".join(form(sound)))
                self.assertEqual(self.requests(), [0])

    async def test_numbers_with_gaps_are_served(self):
        def with_gaps(sound):
            return [event(10 * number_of(part)) for part in sound]

        expected = b"".join(event(10 * number) for number in range(1, EVENTS + 1))
        for path in ("/live/x", "/resumed/x", "/resumed/x"):
            self.spoil(with_gaps, None)
            body, whole = await self.read(path, "s1")
            self.assertTrue(whole)
            self.assertEqual(body, expected)
        # The gaps of this software are known by now.
        self.assertEqual(self.requests(), [0])

    async def test_nothing_goes_on_behind_a_number_that_was_wrong(self):
        self.store.put(TARGET_TOPIC, "s1", None)
        directory = self.host.kernel.get(Directory)
        await self.wait_until(lambda: "s1" not in directory.target_by_id)
        self.spoil(lambda sound: [event(900), *sound], 1)
        _, whole = await self.read("/resumed/x", "s1")
        self.assertFalse(whole)
        self.assertEqual(self.requests(), [0])
