"""A trainer: it submits batches, reads their results and ends them."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import Any

import aiohttp
from rig import DEADLINE_MS, ID, ROUTE_HOST, CannotRun, Host, Record

_ATTEMPT_SECONDS = 5.0


class Batch:
    """A batch submission; ``results`` are those read so far, by their positions.

    :param groups: the ids of the items of each group, by the id of the group.
    """

    def __init__(
        self,
        batch_id: str,
        model: str,
        groups: dict[str, list[str]],
        *,
        step: int,
        min_version: int,
        wanted: int,
    ) -> None:
        self.id = batch_id
        self.model = model
        self.groups = groups
        self.accepted_at = 0.0
        self.ended_at = 0.0
        self.results: list[dict[str, Any]] = []
        self.body = {
            "step": step,
            "model": model,
            "min-version": min_version,
            "group-count": wanted,
            "items": [
                {
                    "id": item,
                    "path": f"/{model}/{item}",
                    "headers": {
                        "X-Cranberryrun-Model": model,
                        "X-Cranberryrun-Token-Usage": "16,400",
                        "X-Cranberryrun-Prefix-Hash": f"{number:x}:16",
                    },
                    "body": base64.b64encode(item.encode()).decode(),
                    "tokens": 416,
                    "group-id": group,
                }
                for number, (group, items) in enumerate(groups.items(), 1)
                for item in items
            ],
        }

    def complete_groups(self) -> int:
        """Return how many groups have all their results."""
        listed = {result["id"] for result in self.results}
        return sum(listed.issuperset(items) for items in self.groups.values())


class Trainer:
    """Calls hosts as the pages allow, each call on a new channel."""

    def __init__(self, record: Record, hosts: list[Host]) -> None:
        self.record = record
        self._hosts = hosts

    async def _call(
        self,
        host: Host,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        **options: Any,
    ) -> tuple[int, Any]:
        """Return the status and the body; status 0 if there was no answer."""
        connector = aiohttp.TCPConnector(force_close=True)
        timeout = aiohttp.ClientTimeout(total=_ATTEMPT_SECONDS, sock_connect=1.0)
        try:
            async with aiohttp.ClientSession(
                connector=connector, timeout=timeout
            ) as session:
                async with session.request(
                    method,
                    f"http://{host.front}{path}",
                    headers={"Host": ROUTE_HOST, **(headers or {})},
                    **options,
                ) as response:
                    if response.status == 200 and method == "GET":
                        return response.status, await response.json()
                    await response.read()
                    return response.status, None
        except (aiohttp.ClientError, TimeoutError):
            return 0, None

    async def submit(self, batch: Batch, first: int = 0) -> None:
        """Submit a batch until it is accepted, each time at the next host."""
        for attempt in range(20):
            host = self._hosts[(first + attempt) % len(self._hosts)]
            status, _ = await self._call(
                host,
                "POST",
                f"/{batch.model}/{batch.id}",
                {ID: batch.id, DEADLINE_MS: "4000"},
                json=batch.body,
            )
            self.record.write(
                f"batch {batch.id} ({len(batch.body['items'])} items) to {host.name}: "
                f"{status}"
            )
            if status == 202:
                batch.accepted_at = self.record.now()
                return
            await asyncio.sleep(0.3)
        raise CannotRun(f"batch {batch.id} was not accepted")

    async def read_from(self, batch: Batch, host: Host, after: int) -> tuple[int, Any]:
        """Read a batch from a position on; return the status and the page."""
        return await self._call(host, "GET", f"/v1/lots/{batch.id}?after={after}")

    async def read(self, batch: Batch, host: Host, wait_ms: int = 500) -> int:
        """Read what is new of a batch; return the status."""
        status, page = await self._call(
            host,
            "GET",
            f"/v1/lots/{batch.id}?after={len(batch.results)}",
            {"X-Cranberryrun-Wait-Ms": str(wait_ms)},
        )
        if status == 200:
            for result in page["results"]:
                self.record.write(
                    f"batch {batch.id} lists {result['id']} as {result['state']}, "
                    f"versions {result.get('versions')}"
                )
            batch.results += page["results"]
        return status

    async def read_until(self, batch: Batch, groups: int, seconds: float) -> None:
        """Read until so many groups are complete, or for so long."""
        deadline = time.monotonic() + seconds
        number = 0
        while batch.complete_groups() < groups and time.monotonic() < deadline:
            host = self._hosts[number % len(self._hosts)]
            if await self.read(batch, host) != 200:
                await asyncio.sleep(0.2)
            number += 1

    async def end(self, batch: Batch, host: Host) -> int:
        """Send the end of a batch to a host once; return the status."""
        status, _ = await self._call(
            host, "DELETE", f"/v1/lots/{batch.id}", {DEADLINE_MS: "4000"}
        )
        if status == 200:
            batch.ended_at = self.record.now()
        self.record.write(f"end of batch {batch.id} at {host.name}: {status}")
        return status
