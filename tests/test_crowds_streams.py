"""Crowds of callers that do not read streams, pages of results or bodies of items."""

import asyncio

from .crowds import ROUTE_TIMEOUT_MS, CrowdTestCase, request_head
from .test_platform_host import route, submission


class StreamCrowdTest(CrowdTestCase):
    def manifest(self):
        value = super().manifest()
        value["routes"].append(
            route("live", "streaming", "lm", **{"timeout-ms": ROUTE_TIMEOUT_MS})
        )
        return value

    async def test_unread_streams(self):
        self.engine.events, self.engine.padding = 100, 20_000

        async def act(caller):
            await caller.send(request_head("/live/x") + b"\r\n")
            await asyncio.sleep(6.0)

        await self.crowd(400, act)

    async def test_unread_streams_of_large_events(self):
        self.engine.events, self.engine.padding = 20, 900_000

        async def act(caller):
            await caller.send(request_head("/live/x") + b"\r\n")
            await asyncio.sleep(6.0)

        await self.crowd(100, act)


class PageCrowdTest(CrowdTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine.events, self.engine.padding = 10, 20_000
        url = f"http://{self.front}/rollout/b"
        headers = {"Host": "site.example", "X-Cranberryrun-Attempt-Id": "b1"}
        body = submission(items=8, size=2)
        async with self.session.post(url, headers=headers, json=body) as response:
            self.assertEqual(response.status, 202)
        await self.wait_for_results()

    async def wait_for_results(self):
        headers = {"X-Cranberryrun-Wait-Ms": "500"}
        url = f"http://{self.front}/v1/lots/b1?after=0"
        async with asyncio.timeout(60.0):
            while True:
                async with self.session.get(url, headers=headers) as response:
                    page = await response.json()
                if len(page["results"]) >= 4:
                    return

    async def test_unread_pages_of_results(self):
        request = b"GET /v1/lots/b1?after=0 HTTP/1.1\r\nHost: site.example\r\n\r\n"

        async def act(caller):
            await caller.send(request * 10)
            await asyncio.sleep(5.0)

        await self.crowd(200, act)
