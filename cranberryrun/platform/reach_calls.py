"""Calls that show whether this host and its neighbours reach targets."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web

from ..fleet.address import Address
from ..fleet.directory import Target
from ..fleet.neighbours import Neighbours
from ..fleet.reach_client import ReachClient
from ..fleet.target_paths import TargetPaths
from ..http import HttpClients

REACH_PATH = "/reach"
_CONNECT_TIMEOUT_SECONDS = 0.2
# A neighbour may have to connect to a target before it answers.
_ASK_TIMEOUT_SECONDS = 0.4


class HttpReachClient(ReachClient):
    """Connects over TCP, and asks neighbours over HTTP."""

    requires = ("http", "neighbours")

    async def connects(self, target: Target) -> bool:
        """See :meth:`ReachClient.connects`."""
        return await self.connects_to(target.address)

    async def connects_to(self, address: Address) -> bool:
        """See :meth:`ReachClient.connects_to`."""
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(address.ip, address.port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    async def reaches_targets(self, host: str) -> bool:
        """See :meth:`ReachClient.reaches_targets`."""
        address = self.kernel.get(Neighbours).address_of(host)
        if address is None:
            return False
        try:
            async with self.kernel.get(HttpClients).reads.get(
                f"http://{address}{REACH_PATH}",
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=_ASK_TIMEOUT_SECONDS),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, asyncio.TimeoutError):
            # The neighbour may have ended; another one is asked beside it.
            return False


async def serve_reach(paths: TargetPaths) -> web.Response:
    """Answer another host's question whether this one reaches targets."""
    return web.Response(status=200 if await paths.reaches_targets() else 503)
