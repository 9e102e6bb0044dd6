"""Callers: plain requests over kept connections, and a trainer of batches."""

from __future__ import annotations

import asyncio
import base64
import random
from typing import Any

import aiohttp

from .history import BatchSeen, History
from .world import HOST_NAME, MODEL, ROLLOUT, SAFE, UNSAFE, World

_CALL_SECONDS = 2.5
_PAUSE_SECONDS = 0.05
_GROUPS, _GROUP_SIZE = 4, 3
# The trainer gives a step up after this; the batch's results are due after 7.5 s.
_STEP_SECONDS = 12.0
_READ_SECONDS = 0.3


class Callers:
    """Keeps asking until it is told to stop; each kind has tasks of its own."""

    def __init__(self, world: World, history: History, rng: random.Random) -> None:
        self._world = world
        self._history = history
        self._rng = rng
        self._stopping = False
        self._session: aiohttp.ClientSession

    async def run(self, pollers: int) -> None:
        """Serve all callers until :meth:`stop`."""
        async with aiohttp.ClientSession() as self._session:
            polls = [
                self._poll(number, UNSAFE if number % 3 == 0 else SAFE)
                for number in range(pollers)
            ]
            await asyncio.gather(self._train(), *polls)

    def stop(self) -> None:
        """Let every caller end after what it has begun."""
        self._stopping = True

    def _front(self) -> str:
        return self._rng.choice(self._world.hosts).front

    async def _poll(self, number: int, route: str) -> None:
        front, count = self._front(), 0
        while not self._stopping:
            count += 1
            attempt = f"{route}-{number}-{count}"
            if not await self._ask(front, route, attempt):
                front = self._front()
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * _PAUSE_SECONDS)

    async def _ask(self, front: str, route: str, attempt: str) -> bool:
        """Send one request; say whether the connection may be used on."""
        status: int | None = None
        try:
            async with self._request(
                "POST", front, f"/{route}/x", attempt, data=attempt.encode()
            ) as response:
                body = await response.read()
                status = response.status
                headers = dict(response.headers)
                self._history.answered(attempt, status, body, headers)
        except (aiohttp.ClientError, TimeoutError) as error:
            self._history.statuses[type(error).__name__] += 1
        if route == UNSAFE:
            self._history.unsafe_statuses[attempt].append(status)
        return status == 200

    def _request(
        self, method: str, front: str, path: str, attempt: str, **options: Any
    ) -> Any:
        headers = {
            "Host": HOST_NAME,
            "X-Cranberryrun-Attempt-Id": attempt,
            "X-Cranberryrun-Deadline-Ms": str(int(_CALL_SECONDS * 1000)),
        }
        return self._session.request(
            method,
            f"http://{front}{path}",
            headers=headers | options.pop("headers", {}),
            timeout=aiohttp.ClientTimeout(total=_CALL_SECONDS + 1.0),
            **options,
        )

    async def _train(self) -> None:
        step = 0
        while not self._stopping:
            await self.step(f"step-{step}", max(1, step))
            self._world.name_weights(step + 2)
            step += 1

    async def step(self, batch_id: str, min_version: int = 1) -> bool:
        """Have one step made; say whether all its results came."""
        items = [
            {
                "id": f"{batch_id}-g{group}-{index}",
                "group-id": f"{batch_id}-g{group}",
                "path": f"/{ROLLOUT}/1",
                "headers": {"X-Cranberryrun-Model": MODEL},
                "body": base64.b64encode(b"prompt").decode(),
                "tokens": 30,
            }
            for group in range(_GROUPS)
            for index in range(_GROUP_SIZE)
        ]
        ids = frozenset(item["id"] for item in items)
        batch = BatchSeen(batch_id, min_version, ids)
        self._history.batch_by_id[batch_id] = batch
        body = {
            "step": min_version,
            "model": MODEL,
            "min-version": batch.min_version,
            "group-count": _GROUPS,
            "items": items,
        }
        loop = asyncio.get_running_loop()
        until = loop.time() + _STEP_SECONDS
        while not batch.accepted and loop.time() < until:
            status, _ = await self._call(
                "POST", f"/{ROLLOUT}/s", batch_id, until, json=body
            )
            batch.accepted = status == 202
        while len(batch.by_position) < len(ids) and loop.time() < until:
            await self.read(batch, len(batch.by_position), until)
            await asyncio.sleep(_READ_SECONDS)
        whole = len(batch.by_position) == len(ids)
        self._history.steps_whole += whole
        self._history.steps_short += not whole
        if batch.accepted:
            await self._end(batch, loop.time() + _STEP_SECONDS)
        return whole

    async def read(self, batch: BatchSeen, after: int, until: float) -> bool:
        """Read results from a position on; say whether they could be read."""
        status, page = await self._call(
            "GET", f"/v1/lots/{batch.id}?after={after}", batch.id, until
        )
        if status == 404 and batch.accepted:
            self._history.broken(f"{batch.id}: accepted, and then not found")
        if status != 200:
            return False
        self._history.read(batch, after, page)
        return True

    async def read_everywhere(self, until: float) -> None:
        """Read every accepted batch from its start, at every host."""
        # The trainer goes on meanwhile.
        for batch in list(self._history.batch_by_id.values()):
            if not batch.accepted:
                continue
            for host in self._world.hosts:
                await self._read_whole(batch, host.front, until)

    async def _read_whole(self, batch: BatchSeen, front: str, until: float) -> None:
        loop = asyncio.get_running_loop()
        after, known = 0, len(batch.by_position)
        while after < known:
            if loop.time() > until:
                self._history.broken(f"{batch.id}: {after} of {known} read at {front}")
                return
            path = f"/v1/lots/{batch.id}?after={after}"
            status, page = await self._once("GET", front, path, batch.id)
            if status != 200 or not page["results"]:
                await asyncio.sleep(_READ_SECONDS)
                continue
            self._history.read(batch, after, page)
            after = page["next"]

    async def _end(self, batch: BatchSeen, until: float) -> None:
        status, _ = await self._call(
            "DELETE", f"/v1/lots/{batch.id}", batch.id, until, again=True
        )
        if status == 200:
            batch.ended_at = asyncio.get_running_loop().time()

    async def _call(
        self,
        method: str,
        path: str,
        attempt: str,
        until: float,
        again: bool = False,
        **options: Any,
    ) -> tuple[int | None, Any]:
        """Call random hosts until one answers, or just one without ``again``."""
        loop = asyncio.get_running_loop()
        while True:
            status, answer = await self._once(
                method, self._front(), path, attempt, **options
            )
            done = status is not None and status < 500
            if done or not again or loop.time() > until:
                return status, answer
            await asyncio.sleep(_READ_SECONDS)

    async def _once(
        self, method: str, front: str, path: str, attempt: str, **options: Any
    ) -> tuple[int | None, Any]:
        try:
            async with self._request(
                method, front, path, attempt, **options
            ) as response:
                self._history.statuses[f"batch {method} {response.status}"] += 1
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._history.statuses[f"batch {type(error).__name__}"] += 1
            return None, None
