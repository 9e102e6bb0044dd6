"""Stand-in for a trainer: submits batches, reads their results and ends them."""

from __future__ import annotations

import asyncio
import base64
import json
import secrets
from dataclasses import dataclass, field
from typing import Any

from wire import Answer, ChannelClosed, call

RETRY_SECONDS = 0.2


@dataclass
class Batch:
    """A submitted batch and what was read of it."""

    id: str
    step: int
    groups: dict[str, list[str]]
    body: bytes
    results: list[dict[str, Any]] = field(default_factory=list)

    @property
    def items(self) -> list[str]:
        """The ids of all items."""
        return [item for items in self.groups.values() for item in items]

    def result(self, item: str) -> dict[str, Any] | None:
        """Return the result of an item that was read."""
        return next((each for each in self.results if each["id"] == item), None)


class Trainer:
    """Makes each call on a connection of its own, at one host after the other."""

    def __init__(
        self, note: Any, hosts: list[str], name: str, prefix: str, model: str
    ) -> None:
        self._note = note
        self._hosts = hosts
        self._turn = 0
        self._name = name
        self._prefix = prefix
        self._model = model

    def next_host(self) -> str:
        """Return the address of the host for the next call."""
        self._turn += 1
        return self._hosts[self._turn % len(self._hosts)]

    async def _call(
        self, method: str, path: str, headers: dict[str, str], body: bytes = b""
    ) -> Answer | None:
        try:
            headers = {"Host": self._name} | headers
            return await call(self.next_host(), method, path, headers, body, 2.5)
        except ChannelClosed as error:
            self._note(f"{method} {path}: no answer: {error}")
            return None

    async def submit(
        self,
        step: int,
        lengths: list[list[int]],
        min_version: int,
        wanted: int,
        body_of: Any = None,
    ) -> Batch:
        """Submit a batch until it is accepted.

        :param lengths: the output tokens of the items of each group.
        """
        groups: dict[str, list[str]] = {}
        items = []
        for tokens_of_group in lengths:
            group = secrets.token_hex(5)
            prompt = secrets.token_hex(4)
            for tokens in tokens_of_group:
                item = secrets.token_hex(8)
                groups.setdefault(group, []).append(item)
                items.append(
                    {
                        "id": item,
                        "path": f"{self._prefix}{step}/{item[:4]}",
                        "headers": {
                            "X-Cranberryrun-Model": self._model,
                            "X-Cranberryrun-Token-Usage": f"1016,{tokens}",
                            "X-Cranberryrun-Prefix-Hash": f"{prompt}:1000,{item}:16",
                        },
                        "body": base64.b64encode(item.encode()).decode(),
                        "tokens": 1016 + tokens,
                        "group-id": group,
                    }
                )
        body = {
            "step": step,
            "model": self._model,
            "min-version": min_version,
            "group-count": wanted,
            "items": items,
        }
        batch = Batch(secrets.token_hex(8), step, groups, json.dumps(body).encode())
        await self.resubmit(batch)
        return batch

    async def resubmit(self, batch: Batch) -> None:
        """Submit a batch, again if need be, until it is accepted."""
        path = f"{self._prefix}{batch.id[:6]}"
        headers = {
            "X-Cranberryrun-Attempt-Id": batch.id,
            "X-Cranberryrun-Deadline-Ms": "12000",
            "Content-Type": "application/json",
        }
        while True:
            answer = await self._call("POST", path, headers, batch.body)
            status = answer.status if answer is not None else None
            self._note(f"step {batch.step}: batch {batch.id} submitted: {status}")
            if status == 202:
                return
            await asyncio.sleep(RETRY_SECONDS)

    async def read(self, batch: Batch, seconds: float, count: int) -> bool:
        """Read results until there are ``count``; return False if time is up."""
        deadline = asyncio.get_running_loop().time() + seconds
        while len(batch.results) < count:
            if asyncio.get_running_loop().time() > deadline:
                return False
            path = f"/v1/lots/{batch.id}?after={len(batch.results)}"
            answer = await self._call("GET", path, {"X-Cranberryrun-Wait-Ms": "1000"})
            if answer is None or answer.status != 200:
                await asyncio.sleep(RETRY_SECONDS)
                continue
            for result in json.loads(answer.body)["results"]:
                batch.results.append(result)
                self._note(
                    f"step {batch.step}: result {len(batch.results) - 1}: "
                    f"{result['id']} {result['state']} versions {result['versions']}"
                )
        return True

    async def end(self, batch: Batch) -> None:
        """End a batch."""
        while True:
            answer = await self._call("DELETE", f"/v1/lots/{batch.id}", {})
            status = answer.status if answer is not None else None
            self._note(f"step {batch.step}: end of batch {batch.id}: {status}")
            if status == 200:
                return
            await asyncio.sleep(RETRY_SECONDS)
