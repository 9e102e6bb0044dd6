"""Calls between hosts over Thrift: views, records, snapshots, keyed calls, events."""

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

_MAX_FACTS_PER_MESSAGE = 256
_MAX_IDLE_CLIENTS_PER_PEER = 4
_PROBE_INTERVAL_SECONDS = 0.2
_CLIENT_IDLE_MS = 3_600_000
_MAX_PAGE_ROWS = 10_000
_MAX_NAME_CHARACTERS = 300
_KNOWN_KINDS = frozenset(int(kind) for kind in FactKind)


# Includes the errors that the Thrift library raises for a malformed answer.
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


def _connection_refused(error: BaseException) -> bool:
    if not isinstance(error, TTransportException):
        return False
    return error.type == TTransportException.NOT_OPEN


def facts_to_wire(facts: list[Fact]) -> list[Any]:
    """Return ``facts`` as Thrift structs."""
    return [
        wire.Fact(
            kind=int(fact.kind),
            name=fact.name,
            incarnation=fact.incarnation,
            value=fact.value,
        )
        for fact in facts
    ]


def facts_from_wire(facts: list[Any] | None) -> list[Fact]:
    """Return Thrift structs as facts; malformed ones are skipped."""
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


def _clamp_page_rows(limit: int | None) -> int:
    return min(max(limit or 0, 0), _MAX_PAGE_ROWS)


class PeerHandler:
    """Serves the calls of peers.

    Most calls go to handlers that other services set in ``Peers.handler_by_call``.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers

    async def exchange(self, mine: Any) -> Any:
        """Merge a peer's facts and return facts of this host."""
        return self._peers.answer_exchange(mine)

    async def records(self, start: int, limit: int) -> Any:
        """Return retained configuration records from offset ``start`` on."""
        return await self._peers.handler_by_call["records"](
            start or 0, _clamp_page_rows(limit)
        )

    async def snapshot(self) -> Any:
        """Return the complete configuration and view."""
        return await self._peers.handler_by_call["snapshot"]()

    async def call(self, call: Any) -> Any:
        """Run a keyed call whose key this host owns and return its answer."""
        return await self._peers.handler_by_call["call"](call)

    async def events(self, after: int, limit: int, selection: str) -> Any:
        """Return a page of this host's events after event number ``after``."""
        return await self._peers.handler_by_call["events"](
            -1 if after is None else after, _clamp_page_rows(limit), selection or "{}"
        )


class Peers(Service):
    """Serves calls of peers and regularly exchanges views with random peers."""

    name = "peers"
    requires = ("membership",)

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        super().__init__()
        self._settings = settings
        self._rng = rng
        self._server = PeerServer(wire.Peer, PeerHandler(self))
        self._probed_ids: set[str] = set()
        self._idle_by_address: dict[tuple[str, int], list[TAsyncClient]] = defaultdict(
            list
        )
        self.handler_by_call: dict[str, Any] = {}
        self._tls = peer_client_context(settings.tls)

    async def start(self) -> None:
        """Listen for peers, then start to exchange views."""
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
        """Merge a peer's facts and return new facts of this host, or all on request.

        This does not count as contact with the peer: its message may have stayed
        unread while this process was paused.
        """
        self._apply_exchange(theirs)
        send_all = bool(theirs.all_facts)
        return self._exchange_message(theirs.sender, send_all=send_all)

    def _apply_exchange(self, theirs: Any) -> None:
        """Apply a peer's exchange message; :raises PeerError: if it is malformed."""
        numbers = (theirs.incarnation, theirs.offset, theirs.digest)
        if not isinstance(theirs.sender, str) or None in numbers:
            raise PeerError(
                "an exchange message lacks its sender, incarnation, offset or digest"
            )
        membership = self.kernel.get(Membership)
        membership.learn(facts_from_wire(theirs.facts))
        membership.record_offset(theirs.sender, theirs.incarnation, theirs.offset)

    def _exchange_message(
        self, peer_id: str, send_all: bool = False, ask_all: bool = False
    ) -> Any:
        membership = self.kernel.get(Membership)
        views = membership.views
        facts = (
            views.exchangeable_facts()
            if send_all
            else views.take_updates(_MAX_FACTS_PER_MESSAGE)
        )
        fact_of_peer = views.get(FactKind.HOST, peer_id)
        if fact_of_peer and fact_of_peer.value % 2 == 1 and fact_of_peer not in facts:
            # A peer that was unreachable must learn of its suspicion to refute it.
            facts.append(fact_of_peer)
        return wire.Exchange(
            sender=membership.id,
            incarnation=membership.incarnation,
            zone=self._settings.zone,
            facts=facts_to_wire(facts),
            all_facts=ask_all,
            offset=membership.offset_of(membership.id),
            digest=views.digest,
        )

    async def call(
        self, entry: HostEntry, method: str, *args: Any, timeout: float | None = None
    ) -> Any:
        """Call ``method`` at a peer and return its answer.

        :param timeout: in seconds; ``timing.peer_timeout`` if not given.
        :raises PeerRefusedError: if the peer refused the connection.
        :raises PeerError: if the call failed or got no answer in time.
        """
        address = (entry.ip, entry.peer_port)
        limit = timeout or self._settings.timing.peer_timeout
        client: TAsyncClient | None = None
        try:
            async with asyncio.timeout(limit):
                client = await self._get_client(address, limit)
                answer = await getattr(client, method)(*args)
        except _CALL_FAILURES as error:
            if client is not None:
                client.close()
            if _connection_refused(error):
                raise PeerRefusedError(
                    f"host {entry.id} refused the connection"
                ) from None
            raise PeerError(
                f"call {method} to host {entry.id} failed: {error!r}"
            ) from None
        except asyncio.CancelledError:
            if client is not None:
                client.close()
            raise
        idle = self._idle_by_address[address]
        if len(idle) < _MAX_IDLE_CLIENTS_PER_PEER:
            idle.append(client)
        else:
            client.close()
        return answer

    async def _get_client(self, address: tuple[str, int], limit: float) -> TAsyncClient:
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

    async def exchange_with(self, entry: HostEntry, full: bool = False) -> bool:
        """Exchange views with one peer and return whether it answered.

        Only new facts are sent, unless ``full`` is set or the digests differ while
        neither side has new facts to send.
        """
        membership = self.kernel.get(Membership)
        try:
            await self._exchange(entry, full)
        except PeerRefusedError:
            membership.suspect(entry.id)
            return False
        except PeerError:
            self._start_probing(entry)
            return False
        return True

    async def _exchange(self, entry: HostEntry, full: bool = False) -> None:
        membership = self.kernel.get(Membership)
        message = self._exchange_message(entry.id, send_all=full, ask_all=full)
        asked_at = clock.now()
        theirs = await self.call(entry, "exchange", message)
        self._apply_exchange(theirs)
        membership.record_peer_answer(entry, theirs.sender, theirs.zone, asked_at)
        views = membership.views
        if full or theirs.digest == views.digest:
            membership.record_sync(theirs.sender, asked_at)
            return
        # A host that lost contact can't wait until all of its own facts are sent.
        is_stale = membership.peer_sync_age() > self._settings.timing.view_limit
        if not theirs.facts and (views.all_sent or is_stale):
            await self._exchange(entry, full=True)

    def _start_probing(self, entry: HostEntry) -> None:
        """Suspect a peer if it does not answer for ``timing.suspect_after`` seconds."""
        if entry.id in self._probed_ids:
            return
        self._probed_ids.add(entry.id)
        self.spawn(self._probe(entry))

    async def _probe(self, entry: HostEntry) -> None:
        timing = self._settings.timing
        membership = self.kernel.get(Membership)
        ends_at = clock.now() + timing.suspect_after - timing.peer_timeout
        try:
            while clock.now() < ends_at:
                await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
                try:
                    await self._exchange(entry)
                    return
                except PeerError:
                    continue
            membership.suspect(entry.id)
        finally:
            self._probed_ids.discard(entry.id)

    async def ask_offsets(self, host_ids: list[str]) -> None:
        """Exchange views with the named peers to learn their applied offsets.

        At most ``limits.spread_at_once`` exchanges run at the same time.
        """
        semaphore = asyncio.Semaphore(self._settings.limits.spread_at_once)

        async def ask(entry: HostEntry) -> None:
            async with semaphore:
                await self.exchange_with(entry)

        entries = self.kernel.get(Membership).entry_by_id
        known = [entries[host_id] for host_id in host_ids if host_id in entries]
        await asyncio.gather(*[ask(entry) for entry in known])

    async def exchange_with_live_peers(self) -> list[str]:
        """Exchange views with the live peers at the same time.

        :returns: the ids of those that answered. Of more than
            ``limits.spread_at_once`` live peers, a random sample is chosen.
        """
        peers = self.kernel.get(Membership).live_peers()
        limit = self._settings.limits.spread_at_once
        chosen = self._rng.sample(peers, min(limit, len(peers)))
        results = await asyncio.gather(*[self.exchange_with(peer) for peer in chosen])
        return [peer.id for peer, ok in zip(chosen, results) if ok]

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
