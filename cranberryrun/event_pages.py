"""Collects the events of all hosts for the timeline, a page at a time."""

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
from .timeline import EventRow, Selection, merge

_EVENTS_PER_PAGE = 5_000
_MAX_CONCURRENT_PEERS = 12


class EventPages(Service):
    """Serves pages of this host's events to its peers, and gathers theirs."""

    name = "event_pages"
    requires = ("events", "peers")

    async def start(self) -> None:
        """Register the handler that serves events to peers."""
        self.kernel.get(Peers).handler_by_call["events"] = self._serve_page

    async def _serve_page(self, after: int, limit: int, selection: str) -> Any:
        event_filter = Selection(**json.loads(selection))
        page = list(islice(self.kernel.get(Events).after(after, limit), limit))
        rows = [event.as_dict() for event in page]
        rows = [row for row in rows if event_filter.matches(row)]
        last = page[-1].n if page else after
        return wire.EventPage(events=json.dumps(rows, default=str), last=last)

    async def gather(self, selection: Selection) -> tuple[list[EventRow], list[str]]:
        """Return the matching events of all hosts and the ids of silent hosts.

        The events are merged into timeline order. A host is silent if its events
        could not be read.
        """
        events = self.kernel.get(Events)
        rows = [event.as_dict() for event in events.after(-1, limit=events.event_count)]
        rows = [row for row in rows if selection.matches(row)]
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_PEERS)
        silent: list[str] = []

        async def request_events(peer: HostEntry) -> None:
            async with semaphore:
                try:
                    rows.extend(await self._read_events(peer, selection))
                except PeerError:
                    silent.append(peer.id)

        peers = self.kernel.get(Membership).peers()
        await asyncio.gather(*[request_events(peer) for peer in peers])
        return merge(rows), sorted(silent)

    async def _read_events(
        self, peer: HostEntry, selection: Selection
    ) -> list[EventRow]:
        """Return the matching events of a peer.

        :raises PeerError: the peer did not answer, or its answer is invalid.
        """
        selection_json = json.dumps(asdict(selection))
        peers = self.kernel.get(Peers)
        rows: list[EventRow] = []
        after = -1
        while True:
            page = await peers.call(
                peer, "events", after, _EVENTS_PER_PAGE, selection_json
            )
            try:
                rows += json.loads(page.events)
            except (TypeError, ValueError):
                raise PeerError(
                    f"host {peer.id} answered with events that are not valid JSON"
                ) from None
            if page.last <= after:
                return rows
            after = page.last
