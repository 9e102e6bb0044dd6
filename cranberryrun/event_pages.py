"""The time lines of all hosts: pages of them go from host to host."""

from __future__ import annotations

import asyncio
import json
from dataclasses import asdict
from itertools import islice
from typing import Any

from .events import Events
from .exceptions import PeerError
from .kernel import Service
from .membership import HostEntry, Membership
from .peers import Peers, wire
from .timeline import Row, Selection, merge

_PAGE_EVENTS = 5_000
_PEERS_AT_ONCE = 12


class EventPages(Service):
    """Gives pages of this host's events to peers, and gathers theirs."""

    name = "event_pages"
    requires = ("events", "peers")

    async def start(self) -> None:
        """Serve the peers."""
        self.kernel.get(Peers).handler_by_call["events"] = self._serve

    async def _serve(self, after: int, limit: int, selection: str) -> Any:
        chosen = Selection(**json.loads(selection))
        seen = list(islice(self.kernel.get(Events).after(after, limit), limit))
        rows = [event.as_dict() for event in seen]
        rows = [row for row in rows if chosen.takes(row)]
        last = seen[-1].n if seen else after
        return wire.EventPage(events=json.dumps(rows, default=str), last=last)

    async def gather(self, selection: Selection) -> tuple[list[Row], list[str]]:
        """Return the chosen events of all hosts, merged, and who did not answer."""
        events = self.kernel.get(Events)
        rows = [event.as_dict() for event in events.after(-1, limit=events.kept)]
        rows = [row for row in rows if selection.takes(row)]
        gate = asyncio.Semaphore(_PEERS_AT_ONCE)
        silent: list[str] = []

        async def ask(peer: HostEntry) -> None:
            async with gate:
                try:
                    rows.extend(await self._rows_of(peer, selection))
                except PeerError:
                    silent.append(peer.id)

        peers = self.kernel.get(Membership).peers()
        await asyncio.gather(*[ask(peer) for peer in peers])
        return merge(rows), sorted(silent)

    async def _rows_of(self, peer: HostEntry, selection: Selection) -> list[Row]:
        """Return a peer's chosen events; :raises PeerError: it does not answer."""
        text = json.dumps(asdict(selection))
        peers = self.kernel.get(Peers)
        rows: list[Row] = []
        after = -1
        while True:
            page = await peers.call(peer, "events", after, _PAGE_EVENTS, text)
            try:
                rows += json.loads(page.events)
            except (TypeError, ValueError):
                raise PeerError(f"{peer.id} gave events of no valid form") from None
            if page.last <= after:
                return rows
            after = page.last
