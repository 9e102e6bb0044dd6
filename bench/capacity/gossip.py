"""Cost of exchanging views among many hosts, and the time until all know a fact.

The views and the thrift codec are the real ones. The network between the hosts is
left out, so that 410 hosts fit into one process.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from thriftpy2.utils import deserialize, serialize

from cranberryrun.peers import facts_from_wire, facts_to_wire, wire
from cranberryrun.views import Fact, FactKind, Views

from .slopes import Point, Slope, allocated_bytes

HOST_COUNTS = (10, 50, 100, 200)
ROUNDS = 86
WARM_UP_ROUNDS = 4
PEERS_PER_ROUND = 2
MAX_FACTS = 256
ROUND_SECONDS = 1.0
TCP_OVERHEAD_BYTES = 2 * 66
VERSIONS_PER_DAY = 4 * 24 * 60 / 11
STEPS_PER_DAY = 4 * 24 * 60 / 11
RESTARTS_PER_DAY = 137
DAY_SECONDS = 86_400
MAX_PROPAGATION_ROUNDS = 120


@dataclass(slots=True)
class ExchangeCosts:
    """The bytes and messages that all hosts sent, and the CPU time of the exchanges."""

    sent_bytes: int = 0
    messages: int = 0
    cpu_seconds: float = 0.0


class Fleet:
    """The views of ``size`` hosts and the exchanges between them."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.names = [f"host-{n:03}" for n in range(size)]
        self.views_by_name = {name: Views() for name in self.names}
        self.costs = ExchangeCosts()
        host_facts = [Fact(FactKind.HOST, name, 1, 0) for name in self.names]
        self.offset = 1
        for views in self.views_by_name.values():
            views.merge(host_facts, size)
            while views.take_updates(MAX_FACTS):
                continue

    def change(self, offset: int) -> None:
        """Let one host append a change and exchange views with all others about it."""
        self.offset = offset
        name = self.rng.choice(self.names)
        for peer in self.names:
            if peer != name:
                self._exchange(name, peer)

    def restart(self, incarnation: int) -> None:
        """Restart one host, which announces itself with a new incarnation."""
        name = self.rng.choice(self.names)
        fact = Fact(FactKind.HOST, name, incarnation, 0)
        self.views_by_name[name].merge([fact], len(self.names))

    def announce(self, version: int) -> None:
        """Let one host learn of a new version or step."""
        name = self.rng.choice(self.names)
        fact = Fact(FactKind.VERSION, f"workload-{version % 4}", 0, version)
        self.views_by_name[name].merge([fact], len(self.names))

    def run_round(self) -> None:
        """Let every host exchange views with ``PEERS_PER_ROUND`` peers."""
        started_at = time.process_time()
        for name in self.names:
            others = self.rng.sample(self.names, PEERS_PER_ROUND + 1)
            peers = [other for other in others if other != name][:PEERS_PER_ROUND]
            for peer in peers:
                self._exchange(name, peer)
        self.costs.cpu_seconds += time.process_time() - started_at

    def _exchange(self, name: str, peer: str, exchange_all: bool = False) -> None:
        """Exchange recent facts; then all facts if the digests differ.

        All facts are exchanged only if neither host has recent facts left to send.
        """
        views = self.views_by_name[name]
        peer_views = self.views_by_name[peer]
        self._deliver(self._serialize_message(name, exchange_all, exchange_all), peer)
        reply = self._serialize_message(peer, exchange_all, False)
        self._deliver(reply, name)
        digests_differ = views.digest != peer_views.digest
        if (
            digests_differ
            and views.all_sent
            and peer_views.all_sent
            and not exchange_all
        ):
            self._exchange(name, peer, exchange_all=True)

    def _serialize_message(self, name: str, send_all: bool, request_all: bool) -> bytes:
        """Return the serialized message of host ``name``, and add it to the costs."""
        views = self.views_by_name[name]
        facts = views.all() if send_all else views.take_updates(MAX_FACTS)
        message = wire.Exchange(
            sender=name,
            incarnation=1_700_000_000_000,
            zone="zone-a",
            facts=facts_to_wire(facts),
            all_facts=request_all,
            offset=self.offset,
            digest=views.digest,
        )
        data = serialize(message)
        self.costs.sent_bytes += len(data) + TCP_OVERHEAD_BYTES
        self.costs.messages += 1
        return data

    def _deliver(self, data: bytes, name: str) -> None:
        message = deserialize(wire.Exchange(), data)
        self.views_by_name[name].merge(facts_from_wire(message.facts), len(self.names))

    def rounds_until_known(self, fact: Fact) -> int:
        """Run rounds until every host has ``fact``, and return their number."""
        for count in range(MAX_PROPAGATION_ROUNDS):
            if all(
                (views.get(*fact.key) or fact).rank >= fact.rank
                and views.get(*fact.key) is not None
                for views in self.views_by_name.values()
            ):
                return count
            self.run_round()
        return MAX_PROPAGATION_ROUNDS


def _occurs(rate_per_day: float, rng: random.Random) -> bool:
    return rng.random() < rate_per_day * ROUND_SECONDS / DAY_SECONDS


def run_fleet(size: int, seed: int = 1) -> Fleet:
    """Run a fleet at the rates of the target size; costs exclude the warm-up."""
    fleet = Fleet(size, seed)
    rng = random.Random(seed + 1)
    number = 2
    for n in range(WARM_UP_ROUNDS + ROUNDS):
        if n == WARM_UP_ROUNDS:
            fleet.costs = ExchangeCosts()
        number += 1
        # 1,000 changes a day are one in 86 s, which is the length of the measurement.
        if n == WARM_UP_ROUNDS:
            fleet.change(number)
        if _occurs(VERSIONS_PER_DAY + STEPS_PER_DAY, rng):
            fleet.announce(number)
        if _occurs(RESTARTS_PER_DAY, rng):
            fleet.restart(number)
        fleet.run_round()
    return fleet


def measure() -> list[Slope]:
    """Return the slopes of the exchange of views over the number of hosts."""
    sent: list[Point] = []
    cpu: list[Point] = []
    propagation: list[Point] = []
    memory: list[Point] = []
    seconds = ROUNDS * ROUND_SECONDS
    for size in HOST_COUNTS:
        fleet = run_fleet(size)
        host_seconds = size * seconds
        # Every byte sent is also received, so a host handles twice what it sends.
        sent.append(Point(size, 2 * fleet.costs.sent_bytes / host_seconds))
        cpu.append(Point(size, 100 * fleet.costs.cpu_seconds / host_seconds))
        fact = Fact(FactKind.VERSION, "news", 0, 1)
        fleet.views_by_name[fleet.names[0]].merge([fact], size)
        propagation.append(Point(size, fleet.rounds_until_known(fact) * ROUND_SECONDS))
        memory.append(Point(size, allocated_bytes(lambda: _build_views(size)) / 1024))
    return [
        Slope("views: sent and received", "bytes/s", "hosts", sent),
        Slope("views: processor", "% of a core", "hosts", cpu),
        Slope("views: news at every host", "s", "hosts", propagation),
        Slope("views: memory", "KiB", "hosts", memory),
    ]


def _build_views(size: int) -> Views:
    views = Views()
    for n in range(size):
        name = f"host-{n:03}"
        views.merge([Fact(FactKind.HOST, name, 1_700_000_000_000, 0)], size)
    return views
