"""The virtual clock that other tests rely on."""

import asyncio
import time

from .virtual import VirtualTimeTestCase


class VirtualClockTest(VirtualTimeTestCase):
    async def test_virtual_hour_passes_without_waiting(self):
        wall_start = time.monotonic()
        start = self.now()
        await asyncio.sleep(3600)
        self.assertAlmostEqual(self.now() - start, 3600, delta=1)
        self.assertLess(time.monotonic() - wall_start, 5)
