"""Talk between hosts, over thrift: views, records, snapshots, keyed calls, events."""

from __future__ import annotations

import asyncio
import json
import random
import socket
from collections import defaultdict
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.contrib.aio.client import TAsyncClient
from thriftpy2.contrib.aio.rpc import make_client, make_server
from thriftpy2.contrib.aio.server import TAsyncServer
from thriftpy2.thrift import TException

from .events import Events
from .exceptions import PeerError
from .kernel import Service
from .membership import HostEntry, Membership
from .settings import Settings
from .views import Fact, FactKind

wire = thriftpy2.load(
    str(Path(__file__).with_name("peers.thrift")), module_name="peers_thrift"
)

_MAX_FACTS = 256
_MAX_IDLE_CLIENTS = 4
_SERVER_IDLE_MS = 3_600_000


def to_wire(facts: list[Fact]) -> list[Any]:
    """Return ``facts`` as thrift structs."""
    return [
        wire.Fact(
            kind=int(fact.kind),
            name=fact.name,
            incarnation=fact.incarnation,
            value=fact.value,
        )
        for fact in facts
    ]


def from_wire(facts: list[Any] | None) -> list[Fact]:
    """Return thrift structs as facts; kinds that are not known are passed over."""
    known = {int(kind) for kind in FactKind}
    return [
        Fact(FactKind(fact.kind), fact.name, fact.incarnation, fact.value)
        for fact in facts or []
        if fact.kind in known
    ]


class PeerHandler:
    """Serves the peers' calls. Other services put their handlers in here."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    async def exchange(self, mine: Any) -> Any:
        return self._peers.answer_exchange(mine)

    async def records(self, start: int, limit: int) -> Any:
        return await self._peers.handler_by_call["records"](start, limit)

    async def snapshot(self) -> Any:
        return await self._peers.handler_by_call["snapshot"]()

    async def call(self, call: Any) -> Any:
        return await self._peers.handler_by_call["call"](call)

    async def events(self, after: int, limit: int) -> Any:
        return await self._peers.handler_by_call["events"](after, limit)


class Peers(Service):
    """Serves this host's peers and exchanges views with some of them at a time."""

    name = "peers"
    requires = ("membership",)

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__()
        self._settings = settings
        self._rng = rng
        self._server: TAsyncServer | None = None
        self._idle_by_address: dict[tuple[str, int], list[TAsyncClient]] = defaultdict(
            list
        )
        self.handler_by_call: dict[str, Any] = {}

    async def start(self) -> None:
        """Listen, then begin to exchange views."""
        self._server = make_server(
            wire.Peer,
            PeerHandler(self),
            self._settings.ip,
            self._settings.peer_port,
            client_timeout=_SERVER_IDLE_MS,
            loop=asyncio.get_running_loop(),
            socket_family=socket.AF_INET,
        )
        self._server.trans.listen()
        self._server.server = await self._server.trans.accept(self._server.handle)
        self.supervise(self._exchange_forever)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await super().stop()
        if self._server is not None and self._server.server is not None:
            self._server.server.close()
        for clients in self._idle_by_address.values():
            for client in clients:
                client.close()

    def answer_exchange(self, theirs: Any) -> Any:
        """Take a peer's facts in and return this host's news, or all it has."""
        self._take(theirs)
        return self._exchange_message(send_all=bool(theirs.all_facts))

    def _take(self, theirs: Any) -> None:
        membership = self.kernel.get(Membership)
        membership.learn(from_wire(theirs.facts))
        membership.note_offset(theirs.sender, theirs.incarnation, theirs.offset)
        membership.heard_from(theirs.sender)

    def _exchange_message(self, send_all: bool = False, ask_all: bool = False) -> Any:
        membership = self.kernel.get(Membership)
        views = membership.views
        facts = views.all() if send_all else views.take(_MAX_FACTS)
        return wire.Exchange(
            sender=membership.id,
            incarnation=membership.incarnation,
            facts=to_wire(facts),
            all_facts=ask_all,
            offset=membership.offset_of(membership.id),
            digest=views.digest,
        )

    async def call(
        self, entry: HostEntry, method: str, *args: Any, timeout: float | None = None
    ) -> Any:
        """Call ``method`` at a peer and return its answer.

        :param timeout: in seconds; the settings' limit if not given.
        :raises PeerError: if there is no answer in time.
        """
        address = (entry.ip, entry.peer_port)
        limit = timeout or self._settings.timing.peer_timeout
        client: TAsyncClient | None = None
        try:
            async with asyncio.timeout(limit):
                client = await self._client(address, limit)
                answer = await getattr(client, method)(*args)
        except (TException, OSError, EOFError, asyncio.TimeoutError) as error:
            if client is not None:
                client.close()
            raise PeerError(f"{entry.id}: {method}: {error!r}") from None
        except asyncio.CancelledError:
            if client is not None:
                client.close()
            raise
        idle = self._idle_by_address[address]
        if len(idle) < _MAX_IDLE_CLIENTS:
            idle.append(client)
        else:
            client.close()
        return answer

    async def _client(self, address: tuple[str, int], limit: float) -> TAsyncClient:
        idle = self._idle_by_address[address]
        while idle:
            client = idle.pop()
            reader = client._iprot.trans._trans.reader
            if reader is not None and not reader.at_eof():
                return client
            client.close()
        return await make_client(
            wire.Peer,
            address[0],
            address[1],
            timeout=_SERVER_IDLE_MS,
            connect_timeout=int(limit * 1000),
        )

    async def exchange_with(self, entry: HostEntry, everything: bool = False) -> bool:
        """Exchange views with one peer; say whether it answered.

        Only news goes over, unless ``everything`` is asked for or the views turn
        out to differ with no news left to pass on.
        """
        message = self._exchange_message(send_all=everything, ask_all=everything)
        try:
            theirs = await self.call(entry, "exchange", message)
        except PeerError:
            self.kernel.get(Membership).suspect(entry.id)
            return False
        self._take(theirs)
        views = self.kernel.get(Membership).views
        differ = theirs.digest != views.digest
        if differ and views.quiet and not theirs.facts and not everything:
            return await self.exchange_with(entry, everything=True)
        return True

    async def ask_offsets(self, host_ids: list[str]) -> None:
        """Exchange with the named peers, some at a time, to learn their offsets."""
        gate = asyncio.Semaphore(self._settings.limits.spread_at_once)

        async def ask(entry: HostEntry) -> None:
            async with gate:
                await self.exchange_with(entry)

        entries = self.kernel.get(Membership).entry_by_id
        known = [entries[host_id] for host_id in host_ids if host_id in entries]
        await asyncio.gather(*[ask(entry) for entry in known])

    async def spread_now(self) -> list[str]:
        """Exchange with every peer that is live, at once; return who answered."""
        peers = self.kernel.get(Membership).live_peers()
        limit = self._settings.limits.spread_at_once
        chosen = self._rng.sample(peers, min(limit, len(peers)))
        answered = await asyncio.gather(*[self.exchange_with(peer) for peer in chosen])
        return [peer.id for peer, ok in zip(chosen, answered) if ok]

    async def _exchange_forever(self) -> None:
        membership = self.kernel.get(Membership)
        while True:
            await asyncio.sleep(
                self._settings.timing.peer_exchange * self._rng.uniform(0.8, 1.2)
            )
            peers = membership.peers()
            count = min(self._settings.limits.peers_per_exchange, len(peers))
            for entry in self._rng.sample(peers, count):
                await self.exchange_with(entry)


class EventPages(Service):
    """Gives a page of this host's time line to a peer."""

    name = "event_pages"
    requires = ("events", "peers")

    async def start(self) -> None:
        """Put the handler in."""
        self.kernel.get(Peers).handler_by_call["events"] = self._events

    async def _events(self, after: int, limit: int) -> Any:
        rows = [
            event.as_dict() for event in self.kernel.get(Events).after(after, limit)
        ]
        last = rows[-1]["n"] if rows else after
        return wire.EventPage(events=json.dumps(rows, default=str), last=last)
