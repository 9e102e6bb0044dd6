"""Calls of the lease holder to targets whose answers are not valid HTTP."""

import asyncio
import json

from cranberryrun.events import Events
from cranberryrun.fleet.directory import Directory
from standins.platform_target import PlatformTarget

from .test_broken_answers_hosts import FAULTS, BrokenTargetTestCase
from .test_platform_host import HOST_NAME, OPERATOR_TOPIC, submission

# In which a reward call would be scored or given up if its answer were believed.
ANSWER_SECONDS = 0.3


class HolderTest(BrokenTargetTestCase):
    def events(self, name, **fields):
        """Return the fields of the events called ``name`` that have ``fields``."""
        return [
            event.fields
            for event in self.host.kernel.get(Events).after(-1)
            if event.kind.name == name and fields.items() <= event.fields.items()
        ]

    async def results(self, batch_id):
        _, _, body = await self.request("GET", f"/v1/lots/{batch_id}?after=0")
        return json.loads(body)["results"]

    async def test_reward_call_is_scored_by_another_target(self):
        sound = PlatformTarget("s0", "faulty")
        await sound.start()
        self.addAsyncCleanup(sound.stop)
        for number, fault in enumerate(FAULTS):
            with self.subTest(fault=fault):
                async with self.broken_target(fault, self.host, claims=True) as target:
                    await self.check_reward_call(number, target, sound)
                await self.register("s0", None, [self.host])

    async def check_reward_call(self, number, target, sound):
        """Check a call whose only target is broken until ``sound`` is added."""
        batch_id, call_id = f"batch-{number}", f"call-{number}"
        items = submission(items=1)["items"]
        items[0]["id"] = f"item-{number}"
        items[0]["scorer"] = {"id": call_id, "host": HOST_NAME, "path": "/again/1"}
        batch = {"model": "m", "items": items, "group-count": 1}
        status, _, _ = await self.request("POST", "/rollout/b", batch_id, json=batch)
        self.assertEqual(status, 202)
        await self.wait_until(lambda: call_id in target.requests)
        await asyncio.sleep(ANSWER_SECONDS)
        self.assertEqual(await self.results(batch_id), [])
        await self.register("s0", sound.entry(), [self.host])
        async with asyncio.timeout(10.0):
            while not (results := await self.results(batch_id)):
                await asyncio.sleep(0.05)
        self.assertEqual(results[0]["state"], "succeeded")
        self.assertIn(call_id, sound.executed_requests)
        failure, *_ = self.events(
            "reward_call_failed", target=target.id, request=call_id
        )
        self.assertIn("MalformedAnswerError", failure["reason"])

    async def test_report_leads_to_no_order_and_others_get_theirs(self):
        target_by_id = self.host.kernel.get(Directory).target_by_id
        for version, fault in enumerate(FAULTS, start=2):
            with self.subTest(fault=fault):
                async with self.broken_target(
                    fault, self.host, claims=True, service="lm"
                ) as target:
                    announced = {"model": "m", "version": version}
                    self.store.put(OPERATOR_TOPIC, "version/m", announced)
                    await self.wait_until(lambda: self.engine.version == version, 10.0)
                    await self.wait_until(
                        lambda: self.events("order_refused", engine=target.id), 10.0
                    )
                    refusal = self.events("order_refused", engine=target.id)[0]
                    self.assertIn("MalformedAnswerError", refusal["reason"])
                    self.assertEqual(self.events("order_sent", engine=target.id), [])
                    self.assertFalse(target_by_id[target.id].draining)
