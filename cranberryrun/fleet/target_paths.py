"""The paths from this host to targets: direct, or through a neighbour.

A host may lose its links to all targets while callers, the store and the other hosts
reach it. Calls then go through neighbours that reach targets, until a new connection of
this host succeeds again.
"""

from __future__ import annotations

import asyncio
import random

from .. import clock
from ..events import Events
from ..kernel import Service
from .absent_ids import drop_absent
from .directory import Directory, Target
from .inquiries import inquire
from .neighbours import Neighbours
from .reach_client import ReachClient
from .reachability import DOUBT_SECONDS, Reachability
from .relay_choice import RelayChoice

# If all of these can't be connected to, the fault is this host's links.
_PROBED_TARGETS = 3
_PROBE_INTERVAL_SECONDS = 0.3
# A failed connection is followed by at most one probe in this time.
_PROBE_PAUSE_SECONDS = 1.0
# Most hosts may be cut at once, so a few neighbours would not do.
_ASKED_NEIGHBOURS = 8
_ASK_INTERVAL_SECONDS = 1.0
# Several times the few milliseconds that a neighbour needs to answer.
_ASK_STAGGER_SECONDS = 0.015
# While the links are lost, all calls go through these.
_RELAYS_WHEN_LOST = 3
# After a round in which no neighbour reached targets, calls fail at once for this long.
_ASK_PAUSE_SECONDS = 0.3
# What was heard from a target this short a time ago shows that the host reaches it.
_RECENT_SECONDS = 1.0


class CallWatch:
    """One direct call to a target; tells :class:`TargetPaths` what was heard."""

    def __init__(self, paths: TargetPaths, target_id: str) -> None:
        self._paths = paths
        self._target_id = target_id
        self._heard_at = clock.now()
        self._call = paths.reachability.start_waiting(self._heard_at)

    def heard(self) -> None:
        """Record that the target sent something."""
        self._heard_at = clock.now()
        self._paths.reachability.end_waiting(self._call)
        self._paths.record_heard(self._target_id, self._heard_at)

    def unreachable(self) -> None:
        """Record that no connection was made."""
        self._paths.record_unreachable(self._target_id)

    def lost(self) -> None:
        """Record that the connection ended."""
        self._paths.record_silence(self._target_id, self._heard_at)

    def abandoned(self) -> None:
        """Record that the call was ended while the target said nothing."""
        if clock.now() >= self._heard_at + DOUBT_SECONDS:
            self._paths.record_silence(self._target_id, self._heard_at)

    def end(self) -> None:
        """Record that the call is over."""
        self._paths.reachability.end_waiting(self._call)


class TargetPaths(Service):
    """Judges whether this host reaches targets, and knows neighbours that do.

    ``lost`` is set while no new connection to any target can be made.
    """

    name = "target_paths"
    requires = ("events", "directory", "neighbours")

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        self.reachability = Reachability()
        self.lost = False
        self._relays = RelayChoice(rng)
        # When each target was last heard; one that never was may not exist.
        self._heard_at_by_target: dict[str, float] = {}
        self._probe_task: asyncio.Task[None] | None = None
        self._probe_timer: asyncio.TimerHandle | None = None
        self._ask_task: asyncio.Task[None] | None = None
        # Set unless a probe runs that has not shown yet whether the links are lost.
        self._settled = asyncio.Event()
        self._settled.set()
        self._neighbour_answered = asyncio.Event()
        self._next_probe_at = float("-inf")
        self._asked_at = float("-inf")

    async def stop(self) -> None:
        """Stop probing."""
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        await super().stop()

    def watch(self, target_id: str) -> CallWatch:
        """Return the watch of a direct call that begins now."""
        return CallWatch(self, target_id)

    @property
    def doubtful(self) -> bool:
        """Whether a call should go through a neighbour if there is one."""
        if self.lost or self._probe_task is not None:
            return True
        return self.reachability.doubtful(clock.now())

    def record_unreachable(self, target_id: str) -> None:
        """Record that no connection to a target was made.

        What was heard over other connections does not count: they may live on while
        new ones fail.
        """
        self.reachability.record_failure(target_id, clock.now())
        pause = self._next_probe_at - clock.now()
        if pause <= 0:
            self._start_probing()
        elif self._probe_timer is None:
            loop = asyncio.get_running_loop()
            self._probe_timer = loop.call_later(pause, self._start_probing)

    def record_heard(self, target_id: str, now: float) -> None:
        """Record that a target sent something."""
        self.reachability.record_heard(now)
        if target_id not in self._heard_at_by_target:
            present = self.kernel.get(Directory).target_by_id
            drop_absent(self._heard_at_by_target, present)
        self._heard_at_by_target[target_id] = now

    def record_silence(self, target_id: str, since: float) -> None:
        """Record a call that heard nothing since ``since`` and then ended."""
        if self.reachability.record_failure(target_id, since):
            self._start_probing()

    def _start_probing(self) -> None:
        if self._probe_timer is not None:
            self._probe_timer.cancel()
            self._probe_timer = None
        if self._probe_task is None:
            self._settled.clear()
            self._probe_task = self.spawn(self._probe_until_connected())

    async def _probe_until_connected(self) -> None:
        try:
            while not await self._connects_to_any():
                if not self.lost:
                    self.lost = True
                    failed = sorted(self.reachability.failed_targets)
                    self.kernel.get(Events).emit("targets_lost", failed=failed)
                    self._settled.set()
                self._refresh_relays()
                await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
        finally:
            self._probe_task = None
            self._settled.set()
            self._next_probe_at = clock.now() + _PROBE_PAUSE_SECONDS
        if self.lost:
            self.lost = False
            self.kernel.get(Events).emit("targets_reached")

    async def _connects_to_any(self) -> bool:
        """Return whether a new connection to some target succeeds."""
        return await self._connects_to_one_of(self._targets_to_probe())

    async def connects_to_another(self, target_id: str) -> bool:
        """Return whether this host connects to a target other than the named one.

        If there is no other target, nothing speaks against this host's links.
        """
        return await self._connects_to_one_of(self._targets_to_probe(target_id))

    async def _connects_to_one_of(self, targets: list[Target]) -> bool:
        if not targets:
            return True
        # Mostly the first one answers, and a connection is a cost to its target.
        connected = await self._connects(targets[0]) or any(
            await asyncio.gather(*(self._connects(each) for each in targets[1:]))
        )
        if connected:
            self.reachability.record_heard(clock.now())
        return connected

    async def _connects(self, target: Target) -> bool:
        connected = await inquire(
            self.kernel,
            f"whether {target.id} accepts connections",
            self.kernel.get(ReachClient).connects(target),
        )
        return bool(connected)

    def _targets_to_probe(self, except_id: str | None = None) -> list[Target]:
        """Return targets of different services.

        Those that did not fail come first, and of them those that ever sent something.
        """
        named = self.kernel.get(Directory).named_targets()
        targets = [each for each in named if each.id != except_id]
        self._rng.shuffle(targets)
        failed = self.reachability.failed_targets
        # An entry without a process behind it says nothing about the links.
        targets.sort(
            key=lambda target: (
                target.id in failed,
                target.id not in self._heard_at_by_target,
            )
        )
        probed_services: set[str] = set()
        first, others = [], []
        for target in targets:
            if target.service in probed_services:
                others.append(target)
                continue
            probed_services.add(target.service)
            first.append(target)
        return (first + others)[:_PROBED_TARGETS]

    async def reaches_targets(self) -> bool:
        """Return whether this host reaches targets now."""
        if self.lost:
            return False
        if clock.now() < self.reachability.heard_at + _RECENT_SECONDS:
            return True
        self._start_probing()
        await self._settled.wait()
        return not self.lost

    async def relays(self) -> list[str]:
        """Return neighbours that reach targets; ask them if none is known.

        A neighbour answers at once whether it reaches targets, so a host that knows of
        none waits for the first one that does.
        """
        if not self.has_relays and clock.now() >= self._asked_at + _ASK_PAUSE_SECONDS:
            self._ask_task = self._ask_task or self.spawn(self._ask_neighbours())
        self._refresh_relays()
        while self._ask_task is not None and not self.has_relays:
            self._neighbour_answered.clear()
            await self._neighbour_answered.wait()
        return self._relays.hosts(clock.now())

    @property
    def has_relays(self) -> bool:
        """Whether a neighbour is known that reaches targets."""
        return bool(self._relays.hosts(clock.now()))

    def refute_relay(self, host: str) -> None:
        """Record that a neighbour did not reach a target."""
        self._relays.refute(host)

    def _refresh_relays(self) -> None:
        due = clock.now() >= self._asked_at + _ASK_INTERVAL_SECONDS
        if due and self._ask_task is None:
            self._ask_task = self.spawn(self._ask_neighbours())

    async def _ask_neighbours(self) -> None:
        """Ask one neighbour after the other until enough of them reach targets.

        One that was idle has to connect to a target to know, which costs the target a
        connection.
        """
        self._asked_at = clock.now()
        wanted = _RELAYS_WHEN_LOST if self.lost else 1
        answers: list[asyncio.Task[bool]] = []
        try:
            for neighbour in self.kernel.get(Neighbours).choose(_ASKED_NEIGHBOURS):
                confirmed = sum(each.done() and each.result() for each in answers)
                if confirmed >= wanted:
                    break
                answers.append(asyncio.create_task(self._ask(neighbour.host)))
                await asyncio.sleep(_ASK_STAGGER_SECONDS)
            await asyncio.gather(*answers)
        finally:
            for each in answers:
                each.cancel()
            self._ask_task = None
            self._neighbour_answered.set()

    async def _ask(self, host: str) -> bool:
        reaches_targets = await inquire(
            self.kernel,
            f"whether host {host} reaches targets",
            self.kernel.get(ReachClient).reaches_targets(host),
        )
        if reaches_targets:
            self._relays.confirm(host, clock.now())
            self._neighbour_answered.set()
        else:
            self._relays.refute(host)
        return bool(reaches_targets)
