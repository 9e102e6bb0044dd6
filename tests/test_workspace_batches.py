"""Batches belong to the workspace whose key submitted them, at every host."""

import asyncio
import json
from dataclasses import replace
from unittest.mock import patch

from cranberryrun.batches.log import INDEX_TOPIC, BatchLog
from cranberryrun.batches.models import Piece, Result
from cranberryrun.batches.records import Accepted, Listed, Progressed
from cranberryrun.batches.service import Batches
from cranberryrun.batches.table import BatchTable
from cranberryrun.exceptions import LogReadError
from cranberryrun.fleet.lease import Lease
from cranberryrun.requests.fingerprint import fingerprint_of
from cranberryrun.workspaces.access import Caller
from cranberryrun.workspaces.keyring import Keyring, Workspace
from fakes.deployment import Deployment, batch, manifest
from standins.platform_target import PlatformTarget

from .test_crashes import request
from .test_platform_host import TARGET_TOPIC, route, submission
from .test_workspaces import (
    BLUE,
    KEY,
    KEYS,
    RED,
    RED_2,
    WORKSPACE,
    WorkspaceTestCase,
    keyed_manifest,
)
from .virtual import VirtualTimeTestCase

PATHS = (
    ("GET", "/v1/lots/b1"),
    ("GET", "/v1/items/b1?id=item-1"),
    ("DELETE", "/v1/lots/b1"),
)


class BatchTestCase(WorkspaceTestCase):
    async def call(self, method, path, key=None, batch_id="r1", url=None, **options):
        headers = {KEY: key} if key is not None else {}
        status, _, body = await self.request(
            method, path, batch_id, url=url, headers=headers, **options
        )
        return status, body

    async def submit(self, key=RED, url=None, path="/rollout/b", **fields):
        body = submission(**fields)
        status, _ = await self.call("POST", path, key, "b1", url, json=body)
        return status

    async def complete(self, key=RED, url=None):
        """Wait until all items of the batch have results."""
        async with asyncio.timeout(5.0):
            while True:
                status, body = await self.call("GET", "/v1/lots/b1", key, url=url)
                self.assertEqual(status, 200)
                page = json.loads(body)
                if page["next"] == page["total"]:
                    return page["results"]
                await asyncio.sleep(0.02)


class OwnerTest(BatchTestCase):
    async def test_any_key_of_the_workspace_works_at_any_host(self):
        _, other_url, _ = await self.start_host("host-2")
        self.assertEqual(await self.submit(RED), 202)
        self.assertEqual(await self.submit(RED_2, other_url), 202)
        self.assertEqual(len(await self.complete(RED_2, other_url)), 4)
        for method, path in PATHS:
            status, _ = await self.call(method, path, RED_2, url=other_url)
            self.assertEqual(status, 200)
        names = {request.get(WORKSPACE) for request in self.engine.requests}
        self.assertEqual(names, {"red"})

    async def test_other_workspaces_get_the_answer_for_no_batch(self):
        _, other_url, _ = await self.start_host("host-2")
        await self.submit(RED)
        for url in (self.url, other_url):
            for method, path in PATHS:
                answer = await self.call(method, path, BLUE, url=url)
                absent = path.replace("b1", "b2")
                status, body = await self.call(method, absent, BLUE, url=url)
                self.assertEqual(answer, (status, body.replace(b"b2", b"b1")))
                self.assertEqual(status, 404)
                for key in (None, "other"):
                    status, _ = await self.call(method, path, key, url=url)
                    self.assertEqual(status, 401)
                    status, _ = await self.call(method, absent, key, url=url)
                    self.assertEqual(status, 401)
        # Nobody of them ended it.
        self.assertEqual(len(await self.complete()), 4)
        self.assertIn('reason="other_workspace"', self.scraped())

    async def test_id_of_another_workspace_is_not_accepted(self):
        """Neither at the host that has the batch nor at one that has not read it."""
        _, other_url, _ = await self.start_host("host-2")
        await self.submit(RED)
        for url in (self.url, other_url):
            self.assertEqual(await self.submit(BLUE, url, items=2), 404)
            status = await self.submit(None, url, path="/openroll/b", items=2)
            self.assertEqual(status, 404)
            self.assertEqual((await self.call(*PATHS[0], BLUE, url=url))[0], 404)
        opened = list(self.store.records_by_topic[INDEX_TOPIC])
        self.assertEqual(await self.submit(BLUE, items=2), 404)
        self.assertEqual(self.store.records_by_topic[INDEX_TOPIC], opened)
        self.assertEqual(len(await self.complete(RED, other_url)), 4)

    async def test_batch_of_a_public_route_is_open_to_all(self):
        _, other_url, _ = await self.start_host("host-2")
        self.assertEqual(await self.submit(None, path="/openroll/b"), 202)
        for url in (other_url, self.url):
            for key in (None, "other", BLUE):
                self.assertEqual(len(await self.complete(key, url)), 4)
        names = {request.get(WORKSPACE) for request in self.engine.requests}
        self.assertEqual(names, {None})
        self.assertEqual((await self.call("DELETE", "/v1/lots/b1"))[0], 200)

    async def test_known_key_on_a_public_route_owns_the_batch(self):
        await self.submit(RED, path="/openroll/b")
        self.assertEqual((await self.call(*PATHS[0], BLUE))[0], 404)
        self.assertEqual(len(await self.complete(RED_2)), 4)

    async def test_revoked_key_ends_no_batch(self):
        self.engine.event_seconds = 0.1
        await self.submit(RED)
        await self.put_manifest(keyed_manifest(3, KEYS | {"red": [RED_2]}))
        self.assertEqual((await self.call(*PATHS[0], RED))[0], 401)
        self.assertEqual(await self.submit(RED), 401)
        results = await self.complete(RED_2)
        self.assertEqual({result["state"] for result in results}, {"succeeded"})

    async def test_store_that_is_away_does_not_tell_which_batches_exist(self):
        await self.submit(RED)
        await self.complete(RED)
        self.store.mode = "busy"
        for key in (BLUE, None):
            for path in ("/v1/lots/b1", "/v1/lots/b2"):
                status, _ = await self.call("GET", path, key)
                self.assertEqual(status, 503)
        self.assertEqual(await self.submit(BLUE), 503)
        self.assertEqual(len(await self.complete(RED)), 4)

    async def test_own_headers_of_an_item_name_no_workspace(self):
        items = submission()["items"]
        items[0]["headers"] |= {WORKSPACE.lower(): "blue", KEY: BLUE}
        body = {"model": "m", "items": items}
        await self.call("POST", "/rollout/b", RED, "b1", json=body)
        await self.complete(RED)
        for sent in self.engine.requests:
            named = {value for name, value in sent.items() if "tenant" in name.lower()}
            self.assertEqual(named, {"red"})
            self.assertNotIn(BLUE, json.dumps(sent))

    async def test_reward_calls_carry_neither_key_nor_workspace(self):
        scorer = PlatformTarget("s0", "scores")
        await scorer.start()
        self.addAsyncCleanup(scorer.stop)
        self.store.put(TARGET_TOPIC, "s0", scorer.entry())
        scoring = route("score", "safe", "scores")
        value = keyed_manifest(3)
        value["routes"].append(scoring)
        await self.put_manifest(value)
        items = submission(items=1)["items"]
        items[0]["scorer"] = {
            "id": "score-1",
            "host": scoring["host"],
            "path": "/score/1",
        }
        body = {"model": "m", "items": items}
        await self.call("POST", "/rollout/b", RED, "b1", json=body)
        await self.complete(RED)
        (sent,) = scorer.requests
        self.assertNotIn(WORKSPACE, sent)
        self.assertNotIn(KEY, sent)


class UnreadTopicTest(VirtualTimeTestCase):
    async def test_submission_is_accepted_when_its_topic_can_not_be_read_in_time(self):
        """A trainer that gets an error submits again, and its step comes late."""
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        deployment.put_manifest(manifest())
        host = await deployment.start_host()
        await asyncio.sleep(1.0)
        keyring = Keyring([(Workspace("red"), ["r1"])])
        caller = Caller.identify(replace(manifest(), keyring=keyring), "r1")

        async def load_slowly(log, batch_ids):
            await asyncio.sleep(10.0)

        for number, load in enumerate((load_slowly, LogReadError("down"))):
            options = {"side_effect": load} if number else {"new": load}
            with patch.object(BatchLog, "load", **options):
                started_at = self.now()
                value = batch(f"b{number}", workspace="red")
                await host.get(Batches).submit(value, started_at + 5.0, caller)
                self.assertLess(self.now() - started_at, 0.6)
            results = await host.get(Batches).results(value.id, 0, 0, caller)
            self.assertEqual(results.total, 4)


class HolderTest(VirtualTimeTestCase):
    async def test_items_keep_their_workspace_under_a_new_holder(self):
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        deployment.put_manifest(manifest())
        engine = deployment.add_engine("e0", gap=0.1)
        deployment.targets.events_by_item = {f"b1-g0-{n}": 40 for n in range(2)}
        first = await deployment.start_host("host-1")
        await asyncio.sleep(1.0)
        second = await deployment.start_host("host-2")
        await deployment.submit(first, batch(workspace="red"))
        await asyncio.sleep(2.0)
        await first.stop()
        deployment.kernels.remove(first)
        results = await deployment.results(second, "b1", 20.0)
        self.assertTrue(second.get(Lease).held)
        self.assertEqual(len(results), 4)
        runs = deployment.targets.workspaces_by_item
        self.assertEqual({name for names in runs.values() for name in names}, {"red"})
        # The second holder found the outputs that the first one recorded.
        self.assertTrue(any(done for _, done in engine.runs))


class CarryOverTest(VirtualTimeTestCase):
    """A batch with the items of another workspace gets none of its work."""

    async def asyncSetUp(self):
        self.table = BatchTable(120.0)
        self.red = batch("b1", workspace="red", submitted_at=100.0)
        self.item = self.red.items[0]
        self.table.apply(Accepted(self.red))

    def later(self, **changes):
        value = replace(self.red, id="b2", submitted_at=104.0, **changes)
        self.table.apply(Accepted(value))
        return value

    async def test_results_are_carried_over_within_a_workspace_only(self):
        result = Result(self.item.id, True, "secret", (1,))
        self.table.apply(Listed("b1", [result]))
        for workspace in ("blue", None):
            other = self.later(workspace=workspace)
            self.assertIsNone(self.table.earlier_state(other, self.item))
            self.table.remove(self.table.state_by_id["b2"])
        own = self.later()
        self.assertEqual(self.table.earlier_state(own, self.item).batch.id, "b1")

    async def test_items_of_another_workspace_do_not_hide_earlier_ones(self):
        self.later(workspace="blue")
        third = replace(self.red, id="b3", submitted_at=108.0)
        self.table.apply(Accepted(third))
        self.assertEqual(self.table.earlier_state(third, self.item).batch.id, "b1")

    async def test_recorded_outputs_belong_to_a_workspace(self):
        self.later(workspace="blue")
        for name in ("red", "blue"):
            progress = Progressed(
                "b1", self.item.id, f"{name}-0", 0, [name], [1], workspace=name
            )
            self.table.apply(progress)
        for name in ("red", "blue"):
            output = self.table.output_by_item[name, self.item.id]
            self.assertEqual(output.pieces, [Piece(name, 1)])
        self.assertNotIn(self.item.id, self.table.output_by_item)


class FingerprintTest(VirtualTimeTestCase):
    async def test_callers_are_told_apart_by_workspace(self):
        names = (None, "red", "blue")
        prints = {fingerprint_of(request(workspace=name)) for name in names}
        self.assertEqual(len(prints), 3)
        forged = (("Host", "site.example"), ("workspace", "red"))
        self.assertNotEqual(
            fingerprint_of(request(headers=forged)),
            fingerprint_of(request(workspace="red")),
        )
