"""Kinds of faults that a soak run injects from outside the host processes."""

from __future__ import annotations

import asyncio
import random
import signal
from abc import ABC, abstractmethod
from typing import ClassVar

from standins.platform_target import LimitSpan, PlatformTarget

from .proxy import LinkState, Proxy
from .testbed import Host, Testbed

_LINK_STATES = [state for state in LinkState if state is not LinkState.PASS]
_DURATION_SECONDS = (0.2, 4.0)
_RESTART_DELAY_SECONDS = (0.0, 2.0)
_LINK_DELAY_SECONDS = (0.05, 0.5)
_LIMIT_PER_SECOND = (0.5, 5.0)
_LIMIT_SECONDS = (8.0, 14.0)
# Below the time between the calls of two holders: no call is executed after those of
# the next holder.
_API_DELAY_SECONDS = (0.1, 2.5)
_TOPICS = ("batch-index", "batch-index-spare", "lease", "duty-records", "usage-counts")


class Fault(ABC):
    """Base of the fault kinds; :meth:`inject` returns when the fault has ended."""

    name: ClassVar[str]

    def __init__(self, testbed: Testbed, rng: random.Random) -> None:
        self.testbed = testbed
        self.rng = rng
        self.duration_seconds = rng.uniform(*_DURATION_SECONDS)

    @abstractmethod
    async def inject(self) -> str:
        """Cause the fault, end it and return which part of the testbed it affected."""

    def random_host(self) -> Host:
        """Return a random host."""
        return self.rng.choice(self.testbed.hosts)

    def random_target(self) -> PlatformTarget:
        """Return a random target."""
        return self.rng.choice(self.testbed.targets)

    async def degrade(self, link: Proxy) -> str:
        """Disturb a link for the duration of the fault."""
        state = self.rng.choice(_LINK_STATES)
        link.set_state(state, self.rng.uniform(*_LINK_DELAY_SECONDS))
        await asyncio.sleep(self.duration_seconds)
        link.set_state(LinkState.PASS)
        return state.value


class KillHost(Fault):
    """Kills one host with SIGKILL and restarts it."""

    name = "kill"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        host = self.random_host()
        await self.testbed.kill(host)
        await asyncio.sleep(self.rng.uniform(*_RESTART_DELAY_SECONDS))
        await self.testbed.launch(host)
        return host.name


class KillAllHosts(Fault):
    """Kills all hosts at once, as a power failure does, and restarts them."""

    name = "kill_all"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        await asyncio.gather(*(self.testbed.kill(host) for host in self.testbed.hosts))
        await asyncio.sleep(self.rng.uniform(*_RESTART_DELAY_SECONDS))
        for host in self.testbed.hosts:
            await self.testbed.launch(host)
        return "all hosts"


class RestartHost(Fault):
    """Stops one host gracefully and restarts it with a stepped wall clock."""

    name = "stop"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        host = self.random_host()
        await self.testbed.terminate(host)
        host.clock_step = self.rng.uniform(-0.5, 0.5)
        await self.testbed.launch(host)
        return host.name


class PauseHost(Fault):
    """Pauses the process of one host with SIGSTOP."""

    name = "pause"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        host = self.random_host()
        self.testbed.signal(host, signal.SIGSTOP)
        await asyncio.sleep(self.duration_seconds)
        self.testbed.signal(host, signal.SIGCONT)
        return host.name


class ReloadHost(Fault):
    """Makes one host reload its settings (SIGHUP)."""

    name = "reload"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        host = self.random_host()
        self.testbed.signal(host, signal.SIGHUP)
        return host.name


class DegradeStoreLink(Fault):
    """Delays, blocks or resets the connections of one host to the store."""

    name = "store_link"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        host = self.random_host()
        return f"{host.name} {await self.degrade(host.store_link)}"


class DegradeTargetLink(Fault):
    """Delays, blocks or resets the connections to one target."""

    name = "target_link"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        target = self.random_target()
        link = self.testbed.link_by_target[target.id]
        return f"{target.id} {await self.degrade(link)}"


class StoreOutage(Fault):
    """Makes the store answer every request with 503 or 429, or not at all."""

    name = "store_down"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        mode = self.rng.choice(["busy", "limited", "silent"])
        self.testbed.store.mode = mode
        await asyncio.sleep(self.duration_seconds)
        self.testbed.store.mode = "up"
        return mode


class LoseAppendResponses(Fault):
    """Makes the store drop the responses to some appends that it executes."""

    name = "lost_answers"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        self.testbed.store.lost_append_responses = self.rng.randint(1, 5)
        return str(self.testbed.store.lost_append_responses)


class RemoveTargetEntry(Fault):
    """Removes the entry of one target from the store while the target serves."""

    name = "lapse"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        target = self.random_target()
        self.testbed.removed_targets.add(target.id)
        await asyncio.sleep(self.duration_seconds)
        self.testbed.removed_targets.discard(target.id)
        return target.id


class FaultyTarget(Fault):
    """Makes one target fail its next requests."""

    name = "sick_target"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        target = self.random_target()
        kinds = ["full", "error", "foreign", "unsigned", "short", "reset"]
        if target.model is not None:
            # Without faults that fail a run of an item, because an item is correctly
            # given up after three failed runs.
            kinds = ["full", "foreign", "unsigned", "reset", "cut"]
        kind = self.rng.choice(kinds)
        target.script.extend([kind] * self.rng.randint(1, 4))
        return f"{target.id} {kind}"


class ChangeManifest(Fault):
    """Publishes a manifest with another number of routes, as the operator does."""

    name = "manifest"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        self.testbed.added_routes = self.rng.randint(0, 5)
        self.testbed.apply_manifest(
            self.testbed.manifest_version + self.rng.randint(1, 3)
        )
        return str(self.testbed.manifest_version)


class NameLimit(Fault):
    """Makes one target name a limit of requests a second."""

    name = "limit"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        target = self.random_target()
        if target.limit is not None:
            return f"{target.id} has a limit already"
        loop = asyncio.get_running_loop()
        target.limit = round(self.rng.uniform(*_LIMIT_PER_SECOND), 1)
        span = LimitSpan(target.limit, loop.time())
        target.limit_spans.append(span)
        await asyncio.sleep(self.rng.uniform(*_LIMIT_SECONDS))
        span.ended_at = loop.time()
        target.limit = None
        return f"{target.id} {span.rate}"


class TopicOutage(Fault):
    """Makes the store fail for some topics only."""

    name = "topics_down"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        store = self.testbed.store
        in_use = sorted(store.records_by_topic)
        some = self.rng.sample(in_use, min(len(in_use), self.rng.randint(1, 8)))
        topics = self.rng.choice([[self.rng.choice(_TOPICS)], some])
        mode = self.rng.choice(["busy", "limited", "silent"])
        for topic in topics:
            store.mode_by_topic[topic] = mode
        await asyncio.sleep(self.duration_seconds)
        for topic in topics:
            store.mode_by_topic.pop(topic, None)
        return f"{mode} {' '.join(topics)}"


class DegradeApi(Fault):
    """Makes the platform's API slow, silent or refuse, or lose its answers."""

    name = "api"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        api = self.testbed.api
        assert api is not None
        mode = self.rng.choice(["slow", "silent", "limited", "busy", "lost"])
        if mode == "slow":
            api.delay = self.rng.uniform(*_API_DELAY_SECONDS)
        else:
            api.mode = mode
        await asyncio.sleep(self.duration_seconds)
        api.mode, api.delay = "up", 0.0
        return mode


class BreakAnswers(Fault):
    """Makes one target reset connections or send answers that are not valid."""

    name = "broken_answers"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        target = self.random_target()
        kind = self.rng.choice(["reset", "endless", "malformed"])
        target.script.extend([kind] * self.rng.randint(1, 3))
        return f"{target.id} {kind}"


class ReplaceHost(Fault):
    """Removes a machine for good and adds another one in its place."""

    name = "replace"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        host = self.random_host()
        added = await self.testbed.replace(host)
        return f"{host.name} by {added.name}"


class ChangeKeys(Fault):
    """Publishes a manifest in which a key was added or removed."""

    name = "keys"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        assert self.testbed.workspaces is not None
        change = self.testbed.workspaces.change_keys()
        self.testbed.apply_manifest(self.testbed.manifest_version + 1)
        return change


class CopyAnswers(Fault):
    """Makes one target send second copies of answers, late."""

    name = "copies"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        target = self.random_target()
        kind = self.rng.choice(["copied", "copied full"])
        target.script.extend([kind] * self.rng.randint(1, 4))
        return f"{target.id} {kind}"


class KillEnder(Fault):
    """Kills the host that confirms the end of a batch while the index is down."""

    name = "kill_ender"

    async def inject(self) -> str:
        """See :meth:`Fault.inject`."""
        modes = self.testbed.store.mode_by_topic
        modes["batch-index"] = "busy"
        ender = await self.testbed.next_ender(self.duration_seconds)
        if ender is not None:
            await self.testbed.kill(ender)
        modes.pop("batch-index", None)
        if ender is None:
            return "nobody"
        await asyncio.sleep(self.rng.uniform(*_RESTART_DELAY_SECONDS))
        await self.testbed.launch(ender)
        return ender.name


FAULT_KINDS: tuple[type[Fault], ...] = (
    KillHost,
    KillAllHosts,
    RestartHost,
    PauseHost,
    ReloadHost,
    DegradeStoreLink,
    DegradeTargetLink,
    StoreOutage,
    LoseAppendResponses,
    RemoveTargetEntry,
    FaultyTarget,
    ChangeManifest,
)

# Kinds that each run has as well.
STANDING_KINDS: tuple[type[Fault], ...] = (BreakAnswers, ReplaceHost)

# Kinds beside which limits are named: a link that held requests back would deliver them
# all at once, which is no fault of the hosts.
KINDS_BESIDE_LIMITS = tuple(
    kind for kind in FAULT_KINDS if kind is not DegradeTargetLink
)


# Kinds that leave all hosts but one, the store and the links undisturbed, so that time
# limits hold. They have steps that are ended before they are complete.
CALM_KINDS: tuple[type[Fault], ...] = (
    KillEnder,
    KillHost,
    RestartHost,
    ReloadHost,
    ChangeManifest,
)


def feature_kinds(testbed: Testbed) -> list[type[Fault]]:
    """Return the kinds that workspaces and duties add; none without both."""
    kinds: list[type[Fault]] = []
    if testbed.workspaces is not None:
        kinds += [ChangeKeys, TopicOutage]
    if testbed.api is not None:
        kinds += [DegradeApi, TopicOutage]
    return kinds
