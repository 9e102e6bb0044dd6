"""Load of a soak run: plain requests over persistent connections and batches."""

from __future__ import annotations

import asyncio
import base64
import random
from typing import Any

import aiohttp

from .history import History, ObservedBatch, score_id
from .testbed import HOST_NAME, MODEL, ROLLOUT, SAFE, UNSAFE, Testbed
from .workspaces import KEY, WORKSPACE, Workspaces

_REQUEST_DEADLINE_SECONDS = 2.5
_REQUEST_INTERVAL_SECONDS = 0.05
_GROUP_COUNT, _GROUP_SIZE = 4, 3
# Longer than the run deadline of the batch, 7.5 s (``run-deadline-ms``).
_STEP_TIMEOUT_SECONDS = 12.0
# Its items take 16 s, and may be interrupted.
_LONG_STEP_SECONDS = 60.0
_POLL_INTERVAL_SECONDS = 0.3
_FOREIGN_CALL_INTERVAL_SECONDS = 0.2
# What may be repeated follows from the route, not from the method.
_METHODS = ("POST", "PUT", "DELETE")


def _reward_call(item: str, group: int) -> dict[str, Any]:
    """Return the field of an item with its reward call; every second group has one."""
    if group % 2:
        return {}
    return {
        "scorer": {
            "id": score_id(item),
            "host": HOST_NAME,
            "path": f"/{SAFE}/score",
            "body": base64.b64encode(item.encode()).decode(),
        }
    }


class Callers:
    """Sends requests and batches until stopped; each request loop has its own task."""

    def __init__(self, testbed: Testbed, history: History, rng: random.Random) -> None:
        self._testbed = testbed
        self._history = history
        self._rng = rng
        self._stopping = False
        self._workspaces = testbed.workspaces
        self._session: aiohttp.ClientSession

    async def run(self, request_loops: int) -> None:
        """Run the trainer and ``request_loops`` callers until :meth:`stop`."""
        async with aiohttp.ClientSession() as self._session:
            loops = [
                self._send_requests(number, UNSAFE if number % 3 == 0 else SAFE)
                for number in range(request_loops)
            ]
            if self._workspaces is not None:
                loops.append(self._call_foreign_batches(self._workspaces))
            await asyncio.gather(self._run_steps(), *loops)

    def stop(self) -> None:
        """Stop each caller after its current request or step."""
        self._stopping = True

    def _random_front_address(self) -> str:
        return self._rng.choice(self._testbed.hosts).front_address

    async def _send_requests(self, number: int, route: str) -> None:
        front_address, count = self._random_front_address(), 0
        while not self._stopping:
            count += 1
            attempt_id = f"{route}-{number}-{count}"
            method = _METHODS[count % len(_METHODS)]
            if not await self._send_request(front_address, method, route, attempt_id):
                front_address = self._random_front_address()
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * _REQUEST_INTERVAL_SECONDS)

    async def _send_request(
        self, front_address: str, method: str, route: str, attempt_id: str
    ) -> bool:
        """Send one request; return whether the next one may go to the same host."""
        status: int | None = None
        key = self._choose_key(attempt_id)
        try:
            async with self._open_request(
                method,
                front_address,
                f"/{route}/x",
                attempt_id,
                key,
                data=attempt_id.encode(),
            ) as response:
                body = await response.read()
                status = response.status
                headers = dict(response.headers)
                self._check_key(attempt_id, key, status)
                self._history.check_response(attempt_id, status, body, headers)
        except aiohttp.ClientResponseError as error:
            self._history.add_violation(
                f"{attempt_id}: the response is not valid HTTP: {error.message!r}"
            )
        except (aiohttp.ClientError, TimeoutError) as error:
            self._history.statuses[type(error).__name__] += 1
        if route == UNSAFE:
            self._history.unsafe_statuses[attempt_id].append(status)
        return status == 200

    def _choose_key(self, attempt_id: str) -> str | None:
        """Return the key for a request, which may be unknown; None for no key."""
        if self._workspaces is None:
            return None
        key = self._workspaces.any_key()
        self._history.key_by_attempt[attempt_id] = key
        return key

    def _check_key(self, attempt_id: str, key: str | None, status: int) -> None:
        if self._workspaces is not None and self._workspaces.is_permanent(key):
            self._history.check_permanent_key(attempt_id, status)

    def _own_key(self, batch: ObservedBatch) -> str | None:
        if self._workspaces is None or batch.workspace is None:
            return None
        return self._workspaces.own_key(batch.workspace)

    async def _call_foreign_batches(self, workspaces: Workspaces) -> None:
        """Call for batches without a key of their workspace."""
        while not self._stopping:
            await asyncio.sleep(_FOREIGN_CALL_INTERVAL_SECONDS)
            batches = [b for b in self._history.batch_by_id.values() if b.accepted]
            if not batches:
                continue
            batch = workspaces.rng.choice(batches[-3:])
            method = workspaces.rng.choice(["GET", "DELETE"])
            path = f"/v1/lots/{batch.id}"
            if method == "GET" and workspaces.rng.random() < 0.5:
                path = f"/v1/items/{batch.id}?id={min(batch.items)}"
            address = workspaces.rng.choice(self._testbed.hosts).front_address
            key = workspaces.foreign_key(batch.workspace)
            status, _ = await self._call_host(method, address, path, batch.id, key)
            if status is not None:
                self._history.check_foreign_call(batch, f"{method} {path}", status)

    def _open_request(
        self,
        method: str,
        front_address: str,
        path: str,
        attempt_id: str,
        key: str | None,
        **options: Any,
    ) -> Any:
        headers = {
            "Host": HOST_NAME,
            "X-Cranberryrun-Attempt-Id": attempt_id,
            "X-Cranberryrun-Deadline-Ms": str(int(_REQUEST_DEADLINE_SECONDS * 1000)),
        }
        if key is not None:
            headers[KEY] = key
        if self._workspaces is not None:
            # Hosts must not take over the workspace that a caller names.
            headers[WORKSPACE] = self._workspaces.rng.choice(self._workspaces.names)
        return self._session.request(
            method,
            f"http://{front_address}{path}",
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=_REQUEST_DEADLINE_SECONDS + 1.0),
            **options,
        )

    async def run_long_step(self) -> None:
        """Run a step of few long items, and read it at every host before its end."""
        batch_id = "long-step"
        if not await self.run_step(batch_id, groups=1, seconds=_LONG_STEP_SECONDS):
            self._history.add_violation(f"{batch_id} was not complete in time")

    async def _run_steps(self) -> None:
        step = 0
        shape = {"groups": 24, "wanted": 4} if self._testbed.long_steps else {}
        while not self._stopping:
            await self.run_step(f"step-{step}", max(1, step), **shape)
            self._testbed.publish_version(step + 2)
            step += 1

    async def run_step(
        self,
        batch_id: str,
        min_version: int = 1,
        groups: int = _GROUP_COUNT,
        wanted: int | None = None,
        seconds: float = _STEP_TIMEOUT_SECONDS,
    ) -> bool:
        """Run one step as a batch; return whether the results arrived in time.

        :param wanted: how many groups of results the trainer waits for; None for all.
        """
        wanted = groups if wanted is None else wanted
        items = [
            {
                "id": f"{batch_id}-g{group}-{index}",
                "group-id": f"{batch_id}-g{group}",
                "path": f"/{ROLLOUT}/1",
                "headers": {"X-Cranberryrun-Model": MODEL},
                "body": base64.b64encode(b"prompt").decode(),
                "tokens": 30,
                **_reward_call(f"{batch_id}-g{group}-{index}", group),
            }
            for group in range(groups)
            for index in range(_GROUP_SIZE)
        ]
        ids = frozenset(item["id"] for item in items)
        scored = frozenset(item["id"] for item in items if "scorer" in item)
        batch = ObservedBatch(batch_id, min_version, ids, scored)
        if self._workspaces is not None:
            batch.workspace = self._workspaces.rng.choice(self._workspaces.names)
            if self._testbed.long_steps and not batch_id.startswith("step-"):
                # The other steps take all slots that those of later priority wait for.
                batch.workspace = self._workspaces.names[0]
        self._history.batch_by_id[batch_id] = batch
        body = {
            "step": min_version,
            "model": MODEL,
            "min-version": batch.min_version,
            "group-count": wanted,
            "items": items,
        }
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        count = wanted * _GROUP_SIZE
        while not batch.accepted and loop.time() < deadline:
            status, _ = await self._call_any_host(
                "POST", f"/{ROLLOUT}/s", batch, json=body
            )
            batch.accepted = status == 202
        while len(batch.result_by_position) < count and loop.time() < deadline:
            await self.read_page(batch, len(batch.result_by_position))
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
        complete = len(batch.result_by_position) >= count
        self._history.steps_whole += complete
        self._history.steps_short += not complete
        if batch.accepted:
            if self._testbed.long_steps:
                # Hosts that started late, or read nothing of it, have it as well.
                for host in self._testbed.hosts:
                    await self._read_batch(batch, host.front_address, deadline + 5.0)
            await self._delete_batch(batch, loop.time() + _STEP_TIMEOUT_SECONDS)
        return complete

    async def read_page(self, batch: ObservedBatch, after: int) -> bool:
        """Read the results after position ``after``; return whether that succeeded."""
        status, page = await self._call_any_host(
            "GET", f"/v1/lots/{batch.id}?after={after}", batch
        )
        if status == 404 and batch.accepted:
            self._history.add_violation(
                f"{batch.id}: accepted, but then reported as not found"
            )
        if status != 200:
            return False
        self._history.check_page(batch, after, page)
        return True

    async def read_all_batches(self, deadline: float) -> None:
        """Read every accepted batch from its start at every host."""
        # Iterates over a copy because the trainer adds batches at the same time.
        for batch in list(self._history.batch_by_id.values()):
            if not batch.accepted:
                continue
            for host in self._testbed.hosts:
                await self._read_batch(batch, host.front_address, deadline)

    async def _read_batch(
        self, batch: ObservedBatch, front_address: str, deadline: float
    ) -> None:
        loop = asyncio.get_running_loop()
        after, known_results = 0, len(batch.result_by_position)
        while after < known_results:
            if loop.time() > deadline:
                self._history.add_violation(
                    f"{batch.id}: only {after} of {known_results} results"
                    f" could be read at {front_address}"
                )
                return
            path = f"/v1/lots/{batch.id}?after={after}"
            status, page = await self._call_host(
                "GET", front_address, path, batch.id, self._own_key(batch)
            )
            if status != 200 or not page["results"]:
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
                continue
            self._history.check_page(batch, after, page)
            after = page["next"]

    async def _delete_batch(self, batch: ObservedBatch, deadline: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < deadline:
            host = self._rng.choice(self._testbed.hosts)
            status, _ = await self._call_host(
                "DELETE",
                host.front_address,
                f"/v1/lots/{batch.id}",
                batch.id,
                self._own_key(batch),
            )
            if status == 200:
                batch.deleted_at = loop.time()
                self._testbed.enders.append(host)
                return
            if status is not None and status < 500 and status != 401:
                return
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)

    async def _call_any_host(
        self,
        method: str,
        path: str,
        batch: ObservedBatch,
        **options: Any,
    ) -> tuple[int | None, Any]:
        """Call one random host with a key of the batch's workspace."""
        return await self._call_host(
            method,
            self._random_front_address(),
            path,
            batch.id,
            self._own_key(batch),
            **options,
        )

    async def _call_host(
        self,
        method: str,
        front_address: str,
        path: str,
        attempt_id: str,
        key: str | None,
        **options: Any,
    ) -> tuple[int | None, Any]:
        try:
            async with self._open_request(
                method, front_address, path, attempt_id, key, **options
            ) as response:
                self._check_key(attempt_id, key, response.status)
                self._history.statuses[f"batch {method} {response.status}"] += 1
                if path.startswith("/v1/items/"):
                    return response.status, await response.read()
                return response.status, await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            self._history.statuses[f"batch {type(error).__name__}"] += 1
            return None, None
