"""Talk between hosts, over thrift: views, records, snapshots, keyed calls, events."""

from __future__ import annotations

import asyncio
import random
import struct
from collections import defaultdict
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.contrib.aio.client import TAsyncClient
from thriftpy2.contrib.aio.rpc import make_client
from thriftpy2.thrift import TException
from thriftpy2.transport import TTransportException

from . import clock
from .exceptions import PeerError, PeerRefusedError
from .kernel import Service
from .membership import HostEntry, Membership
from .peer_server import PeerServer
from .security import peer_client_context, peer_server_context
from .settings import Settings
from .views import Fact, FactKind

wire = thriftpy2.load(
    str(Path(__file__).with_name("peers.thrift")), module_name="peers_thrift"
)

_MAX_FACTS = 256
_MAX_IDLE_CLIENTS = 4
_CONFIRM_PAUSE_SECONDS = 0.2
_CLIENT_IDLE_MS = 3_600_000
_MAX_PAGE_ROWS = 10_000
_MAX_NAME_CHARACTERS = 300
_KNOWN_KINDS = frozenset(int(kind) for kind in FactKind)


# What a peer that answers wrongly makes the library raise is among these.
_CALL_FAILURES = (
    TException,
    OSError,
    EOFError,
    asyncio.TimeoutError,
    ValueError,
    TypeError,
    AttributeError,
    struct.error,
)


def _was_refused(error: BaseException) -> bool:
    if not isinstance(error, TTransportException):
        return False
    return error.type == TTransportException.NOT_OPEN


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
    """Return thrift structs as facts; those of no valid form are passed over."""
    return [
        Fact(FactKind(fact.kind), fact.name, fact.incarnation, fact.value)
        for fact in facts or []
        if _is_valid(fact)
    ]


def _is_valid(fact: Any) -> bool:
    if fact.kind not in _KNOWN_KINDS or not isinstance(fact.name, str):
        return False
    if not 1 <= len(fact.name) <= _MAX_NAME_CHARACTERS:
        return False
    return isinstance(fact.incarnation, int) and isinstance(fact.value, int)


def _bounded(limit: int | None) -> int:
    return min(max(limit or 0, 0), _MAX_PAGE_ROWS)


class PeerHandler:
    """Serves the peers' calls. Other services put their handlers in here."""

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    async def exchange(self, mine: Any) -> Any:
        """Take a peer's news in and return this host's."""
        return self._peers.answer_exchange(mine)

    async def records(self, start: int, limit: int) -> Any:
        """Return kept records of the configuration from offset ``start`` on."""
        return await self._peers.handler_by_call["records"](start or 0, _bounded(limit))

    async def snapshot(self) -> Any:
        """Return the whole configuration and view."""
        return await self._peers.handler_by_call["snapshot"]()

    async def call(self, call: Any) -> Any:
        """Run a keyed call that this host owns and return its answer."""
        return await self._peers.handler_by_call["call"](call)

    async def events(self, after: int, limit: int, selection: str) -> Any:
        """Return a page of the time line after event number ``after``."""
        return await self._peers.handler_by_call["events"](
            -1 if after is None else after, _bounded(limit), selection or "{}"
        )


class Peers(Service):
    """Serves this host's peers and exchanges views with some of them at a time."""

    name = "peers"
    requires = ("membership",)

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__()
        self._settings = settings
        self._rng = rng
        self._server = PeerServer(wire.Peer, PeerHandler(self))
        self._confirming_ids: set[str] = set()
        self._idle_by_address: dict[tuple[str, int], list[TAsyncClient]] = defaultdict(
            list
        )
        self.handler_by_call: dict[str, Any] = {}
        self._tls = peer_client_context(settings.tls)

    async def start(self) -> None:
        """Listen, then begin to exchange views."""
        await self._server.start(
            self._settings.ip,
            self._settings.peer_port,
            peer_server_context(self._settings.tls),
        )
        self.supervise(self._exchange_forever)

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await super().stop()
        await self._server.stop()
        for clients in self._idle_by_address.values():
            for client in clients:
                client.close()

    def answer_exchange(self, theirs: Any) -> Any:
        """Take a peer's facts in and return this host's news, or all it has.

        What a peer asks says nothing of now: it may have lain unread in a pause.
        """
        self._take(theirs)
        send_all = bool(theirs.all_facts)
        return self._exchange_message(theirs.sender, send_all=send_all)

    def _take(self, theirs: Any) -> None:
        """Take in what a peer says; :raises PeerError: it has no valid form."""
        numbers = (theirs.incarnation, theirs.offset, theirs.digest)
        if not isinstance(theirs.sender, str) or None in numbers:
            raise PeerError("an exchange has no valid form")
        membership = self.kernel.get(Membership)
        membership.learn(from_wire(theirs.facts))
        membership.note_offset(theirs.sender, theirs.incarnation, theirs.offset)

    def _exchange_message(
        self, peer_id: str, send_all: bool = False, ask_all: bool = False
    ) -> Any:
        membership = self.kernel.get(Membership)
        views = membership.views
        facts = (
            views.exchangeable_facts() if send_all else views.take_updates(_MAX_FACTS)
        )
        about_peer = views.get(FactKind.HOST, peer_id)
        if about_peer and about_peer.value % 2 == 1 and about_peer not in facts:
            # A peer that was away must learn what is said of it, to refute it.
            facts.append(about_peer)
        return wire.Exchange(
            sender=membership.id,
            incarnation=membership.incarnation,
            zone=self._settings.zone,
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
        except _CALL_FAILURES as error:
            if client is not None:
                client.close()
            if _was_refused(error):
                raise PeerRefusedError(f"{entry.id}: nothing listens") from None
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
            timeout=_CLIENT_IDLE_MS,
            connect_timeout=int(limit * 1000),
            ssl_context=self._tls,
        )

    async def exchange_with(self, entry: HostEntry, everything: bool = False) -> bool:
        """Exchange views with one peer; say whether it answered.

        Only news goes over, unless ``everything`` is asked for or the views turn
        out to differ with no news left to pass on.
        """
        membership = self.kernel.get(Membership)
        try:
            await self._exchange(entry, everything)
        except PeerRefusedError:
            membership.suspect(entry.id)
            return False
        except PeerError:
            self._confirm_silence(entry)
            return False
        return True

    async def _exchange(self, entry: HostEntry, everything: bool = False) -> None:
        membership = self.kernel.get(Membership)
        message = self._exchange_message(
            entry.id, send_all=everything, ask_all=everything
        )
        asked_at = clock.now()
        theirs = await self.call(entry, "exchange", message)
        self._take(theirs)
        membership.met(entry, theirs.sender, theirs.zone, asked_at)
        views = membership.views
        if everything or theirs.digest == views.digest:
            membership.record_sync(theirs.sender, asked_at)
            return
        # A host that was away can't wait until its own news has gone round.
        away = membership.peer_sync_age() > self._settings.timing.view_limit
        if not theirs.facts and (views.all_sent or away):
            await self._exchange(entry, everything=True)

    def _confirm_silence(self, entry: HostEntry) -> None:
        """Suspect a peer only if it stays silent for the settings' time."""
        if entry.id in self._confirming_ids:
            return
        self._confirming_ids.add(entry.id)
        self.spawn(self._confirm(entry))

    async def _confirm(self, entry: HostEntry) -> None:
        timing = self._settings.timing
        membership = self.kernel.get(Membership)
        ends_at = clock.now() + timing.suspect_after - timing.peer_timeout
        try:
            while clock.now() < ends_at:
                await asyncio.sleep(_CONFIRM_PAUSE_SECONDS)
                try:
                    await self._exchange(entry)
                    return
                except PeerError:
                    continue
            membership.suspect(entry.id)
        finally:
            self._confirming_ids.discard(entry.id)

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
