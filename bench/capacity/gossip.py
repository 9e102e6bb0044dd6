"""Views at many hosts: bytes and processor time a second, and how fast news spreads.

The hosts' views and the thrift codec are the real ones; only the network between
them is left out, so that 410 hosts fit into one process.
"""

from __future__ import annotations

import random
import time
from dataclasses import dataclass

from thriftpy2.utils import deserialize, serialize

from cranberryrun.peers import facts_from_wire, facts_to_wire, wire
from cranberryrun.views import Fact, FactKind, Views

from .slopes import Point, Slope, allocated_bytes

SIZES = (10, 50, 100, 200)
ROUNDS = 86
WARM_UP_ROUNDS = 4
PEERS_A_ROUND = 2
MAX_FACTS = 256
ROUND_SECONDS = 1.0
TCP_OVERHEAD_BYTES = 2 * 66
VERSIONS_A_DAY = 4 * 24 * 60 / 11
STEPS_A_DAY = 4 * 24 * 60 / 11
RESTARTS_A_DAY = 137
DAY_SECONDS = 86_400
MAX_SPREAD_ROUNDS = 120


@dataclass(slots=True)
class Traffic:
    """Bytes and messages of all hosts, and the processor time of all."""

    sent_bytes: int = 0
    messages: int = 0
    seconds: float = 0.0


class Fleet:
    """The views of ``size`` hosts and the exchanges between them."""

    def __init__(self, size: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.names = [f"host-{n:03}" for n in range(size)]
        self.views_by_name = {name: Views() for name in self.names}
        self.traffic = Traffic()
        everyone = [Fact(FactKind.HOST, name, 1, 0) for name in self.names]
        self.offset = 1
        for views in self.views_by_name.values():
            views.merge(everyone, size)
            while views.take_updates(MAX_FACTS):
                continue

    def change(self, offset: int) -> None:
        """Let one host bring a change in and ask all others how far they are."""
        self.offset = offset
        name = self.rng.choice(self.names)
        for peer in self.names:
            if peer != name:
                self._exchange(name, peer)

    def restart(self, incarnation: int) -> None:
        """Let one host come back as a new incarnation."""
        name = self.rng.choice(self.names)
        fact = Fact(FactKind.HOST, name, incarnation, 0)
        self.views_by_name[name].merge([fact], len(self.names))

    def announce(self, version: int) -> None:
        """Let one host hear of a version or a step."""
        name = self.rng.choice(self.names)
        fact = Fact(FactKind.VERSION, f"workload-{version % 4}", 0, version)
        self.views_by_name[name].merge([fact], len(self.names))

    def run_round(self) -> None:
        """Let every host exchange with some peers once."""
        began = time.process_time()
        for name in self.names:
            others = self.rng.sample(self.names, PEERS_A_ROUND + 1)
            peers = [other for other in others if other != name][:PEERS_A_ROUND]
            for peer in peers:
                self._exchange(name, peer)
        self.traffic.seconds += time.process_time() - began

    def _exchange(self, name: str, peer: str, everything: bool = False) -> None:
        mine = self.views_by_name[name]
        theirs = self.views_by_name[peer]
        self._deliver(self._message(name, everything, everything), peer)
        reply = self._message(peer, everything, False)
        self._deliver(reply, name)
        differ = mine.digest != theirs.digest
        if differ and mine.all_sent and theirs.all_sent and not everything:
            self._exchange(name, peer, everything=True)

    def _message(self, name: str, send_all: bool, ask_all: bool) -> bytes:
        views = self.views_by_name[name]
        facts = views.all() if send_all else views.take_updates(MAX_FACTS)
        message = wire.Exchange(
            sender=name,
            incarnation=1_700_000_000_000,
            zone="zone-a",
            facts=facts_to_wire(facts),
            all_facts=ask_all,
            offset=self.offset,
            digest=views.digest,
        )
        data = serialize(message)
        self.traffic.sent_bytes += len(data) + TCP_OVERHEAD_BYTES
        self.traffic.messages += 1
        return data

    def _deliver(self, data: bytes, name: str) -> None:
        message = deserialize(wire.Exchange(), data)
        self.views_by_name[name].merge(facts_from_wire(message.facts), len(self.names))

    def rounds_until_known(self, fact: Fact) -> int:
        """Return how many rounds it takes until every host has ``fact``."""
        for count in range(MAX_SPREAD_ROUNDS):
            if all(
                (views.get(*fact.key) or fact).rank >= fact.rank
                and views.get(*fact.key) is not None
                for views in self.views_by_name.values()
            ):
                return count
            self.run_round()
        return MAX_SPREAD_ROUNDS


def _due(rate_a_day: float, rng: random.Random) -> bool:
    return rng.random() < rate_a_day * ROUND_SECONDS / DAY_SECONDS


def run_fleet(size: int, seed: int = 1) -> Fleet:
    """Run a fleet with the target's rates of news; traffic excludes the warm-up."""
    fleet = Fleet(size, seed)
    rng = random.Random(seed + 1)
    number = 2
    for n in range(WARM_UP_ROUNDS + ROUNDS):
        if n == WARM_UP_ROUNDS:
            fleet.traffic = Traffic()
        number += 1
        # 1,000 changes a day are one in 86 s, which is the measured window.
        if n == WARM_UP_ROUNDS:
            fleet.change(number)
        if _due(VERSIONS_A_DAY + STEPS_A_DAY, rng):
            fleet.announce(number)
        if _due(RESTARTS_A_DAY, rng):
            fleet.restart(number)
        fleet.run_round()
    return fleet


def measure() -> list[Slope]:
    """Return the slopes of the exchange of views over the number of hosts."""
    sent: list[Point] = []
    busy: list[Point] = []
    spread: list[Point] = []
    memory: list[Point] = []
    seconds = ROUNDS * ROUND_SECONDS
    for size in SIZES:
        fleet = run_fleet(size)
        per_host = size * seconds
        # What one host sends another receives, so a host's total is twice that.
        sent.append(Point(size, 2 * fleet.traffic.sent_bytes / per_host))
        busy.append(Point(size, 100 * fleet.traffic.seconds / per_host))
        fact = Fact(FactKind.VERSION, "news", 0, 1)
        fleet.views_by_name[fleet.names[0]].merge([fact], size)
        spread.append(Point(size, fleet.rounds_until_known(fact) * ROUND_SECONDS))
        memory.append(Point(size, allocated_bytes(lambda: _views_of(size)) / 1024))
    return [
        Slope("views: sent and received", "bytes/s", "hosts", sent),
        Slope("views: processor", "% of a core", "hosts", busy),
        Slope("views: news at every host", "s", "hosts", spread),
        Slope("views: memory", "KiB", "hosts", memory),
    ]


def _views_of(size: int) -> Views:
    views = Views()
    for n in range(size):
        name = f"host-{n:03}"
        views.merge([Fact(FactKind.HOST, name, 1_700_000_000_000, 0)], size)
    return views
