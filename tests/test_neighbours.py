"""When a host reads where the other hosts are."""

import asyncio
from unittest.mock import patch

from cranberryrun.fleet import neighbours
from cranberryrun.fleet.neighbours import Neighbours

from .test_platform_host import PlatformTestCase


class NeighboursTest(PlatformTestCase):
    """Guards against LIMIT: new hosts could not ask the holder for some seconds."""

    async def test_missing_address_is_read_at_once(self):
        with patch.object(neighbours, "_REFRESH_SECONDS", 600.0):
            other, _, _ = await self.start_host("host-2")
            known = other.kernel.get(Neighbours)
            self.assertIsNone(known.host_count)
            await self.wait_until(lambda: known.address_of("host-1"), seconds=2.0)
            self.assertEqual(known.host_count, 2)

    async def test_host_that_is_gone_is_sought_once(self):
        known = self.host.kernel.get(Neighbours)
        reads = 0

        def count(_):
            nonlocal reads
            reads += 1

        with (
            patch.object(neighbours, "_REFRESH_SECONDS", 600.0),
            patch.object(neighbours, "_MIN_REFRESH_SECONDS", 0.0),
            patch.object(known, "_replace_neighbours", count),
        ):
            await self.wait_until(
                lambda: known.address_of("gone") or known.host_count, seconds=8.0
            )
            before = reads
            for _ in range(20):
                known.address_of("gone")
                await asyncio.sleep(0.02)
        self.assertLessEqual(reads, before + 1)
