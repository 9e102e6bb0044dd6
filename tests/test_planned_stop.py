"""A planned stop of a host on the platform while requests keep arriving.

Requests that were just accepted must get their answers. New connections come until the
listener closes, although the load balancer would send none by then.
"""

import asyncio

import aiohttp

from .test_platform_host import ATTEMPT_ID, HOST_NAME, PlatformTestCase

CALLERS = 12


class PlannedStopTest(PlatformTestCase):
    async def call_until_refused(self, counts, reuse):
        """Send requests until the listener is closed; count answers and cut ones."""
        connector = aiohttp.TCPConnector(force_close=not reuse)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                headers = {"Host": HOST_NAME, ATTEMPT_ID: "r"}
                try:
                    async with session.post(
                        self.url + "/hold/x", headers=headers, data=b"hi"
                    ) as response:
                        body = await response.read()
                except aiohttp.ClientConnectorError:
                    return
                except aiohttp.ClientError as error:
                    counts["cut"].append(repr(error))
                    continue
                counts["answered"] += 1
                if response.status == 200 and body != b"answer to hi":
                    counts["cut"].append(f"short body {body!r}")

    async def test_no_request_is_cut_off(self):
        for portal in self.portals:
            portal.answer_seconds = 0.05
        counts = {"answered": 0, "cut": []}
        callers = [
            asyncio.create_task(self.call_until_refused(counts, reuse=number % 2 == 0))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(0.5)
        stop = asyncio.create_task(self.host.drain())
        await asyncio.wait_for(asyncio.gather(*callers), 10.0)
        await stop
        self.assertEqual(counts["cut"], [])
        # Enough to show that requests kept arriving throughout the stop.
        self.assertGreater(counts["answered"], 5 * CALLERS)
