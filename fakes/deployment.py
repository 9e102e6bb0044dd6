"""Hosts' services for batches, with an in-memory store and engines."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from cranberryrun import clock
from cranberryrun.batches.admission import Admission
from cranberryrun.batches.log import BatchLog
from cranberryrun.batches.models import Batch, Item
from cranberryrun.batches.remote_results import RemoteResults
from cranberryrun.batches.result_source import ResultPage, ResultSource
from cranberryrun.batches.results import ResultWriter
from cranberryrun.batches.runner import Runner
from cranberryrun.batches.service import Batches
from cranberryrun.events import Event, Events
from cranberryrun.exceptions import PeerError, RecordInvalidError
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.directory import Decoder, Directory, Target
from cranberryrun.fleet.engine_pool import EnginePool
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.loads import Loads
from cranberryrun.fleet.manifest import Backend, Limits, Manifest, Route, RouteKind
from cranberryrun.fleet.permit_client import PermitClient, PermitGrant, PermitRequest
from cranberryrun.fleet.send_permits import SendPermits
from cranberryrun.kernel import Kernel, Service
from cranberryrun.metrics import Metrics
from cranberryrun.requests.crashes import Crashes
from cranberryrun.requests.forwarder import Forwarder
from cranberryrun.requests.software_history import SoftwareHistory
from cranberryrun.requests.stream_origins import StreamOrigins
from cranberryrun.requests.streams import Streams
from cranberryrun.rewards.caller import RewardCaller
from cranberryrun.rewards.models import RewardCall
from cranberryrun.second_attempts.client import HedgeAnswer, HedgeClient, HedgeReport
from cranberryrun.second_attempts.service import SecondAttempts

from .engines import FakeEngine, FakeTargets
from .store import MemoryStore

SERVICE = "models"
# Nothing listens there; the clients of targets are fakes.
ADDRESS = Address("10.0.0.1", 80)
MODEL = "m"
HOST = "rollouts.example"
PATH = "/batch/"
SCORING_SERVICE = "scoring"
SCORING_PATH = "/score/"


def batch_route(**changes: Any) -> Route:
    """Return the route of batches, with the fields in ``changes`` replaced."""
    fields: dict[str, Any] = dict(
        name="batches",
        host=HOST,
        path_prefix=PATH,
        kind=RouteKind.ROLLOUT,
        backends=(Backend(SERVICE, 1.0),),
        timeout=10.0,
        latency_goal=0.5,
        priority=1,
        max_attempts=3,
        run_deadline=7.5,
        queue_ttl=40.0,
    )
    return Route(**(fields | changes))


def manifest(version: int = 1, *routes: Route) -> Manifest:
    """Return a manifest with ``routes``, by default only the route of batches."""
    return Manifest(
        version=version,
        routes=routes or (batch_route(),),
        services=frozenset({SERVICE}),
        limits=Limits(),
        models_by_service={SERVICE: (MODEL,)},
        tokens_per_event_by_service={SERVICE: 10.0},
    )


def batch(
    batch_id: str = "b1",
    groups: int = 2,
    size: int = 2,
    events: int = 10,
    submitted_at: float | None = None,
    **changes: Any,
) -> Batch:
    """Return a batch whose items have the ids ``<batch>-g<group>-<index>``.

    :param groups: number of groups.
    :param size: number of items in a group.
    :param events: expected number of events of an item.
    """
    items = tuple(
        Item(
            f"{batch_id}-g{group}-{index}",
            f"g{group}",
            PATH + "1",
            {},
            b"x",
            events * 10.0,
        )
        for group in range(groups)
        for index in range(size)
    )
    fields: dict[str, Any] = dict(
        id=batch_id,
        route="batches",
        host=HOST,
        model=MODEL,
        step=0,
        min_version=1,
        wanted_groups=groups,
        submitted_at=clock.wall() if submitted_at is None else submitted_at,
        items=items,
    )
    return Batch(**(fields | changes))


def reward_call(item_id: str, **changes: Any) -> RewardCall:
    """Return the reward call of an item, with the fields in ``changes`` replaced."""
    fields: dict[str, Any] = dict(
        id=f"score-of-{item_id}", host=HOST, path=SCORING_PATH + "1", body=b"y"
    )
    return RewardCall(**(fields | changes))


def scored_batch(batch_id: str = "b1", **options: Any) -> Batch:
    """Return a batch as :func:`batch` does, each item with a reward call."""
    unscored = batch(batch_id, **options)
    items = tuple(
        item if item.reward else replace(item, reward=reward_call(item.id))
        for item in unscored.items
    )
    return replace(unscored, items=items)


def scoring_route(**changes: Any) -> Route:
    """Return the route of reward calls, with the fields in ``changes`` replaced."""
    fields: dict[str, Any] = dict(
        name="scores",
        path_prefix=SCORING_PATH,
        kind=RouteKind.SAFE,
        backends=(Backend(SCORING_SERVICE, 1.0),),
        timeout=1.0,
        run_deadline=0.0,
        queue_ttl=0.0,
    )
    return batch_route(**(fields | changes))


class JsonDecoder(Decoder):
    """Decodes the records that :class:`Deployment` writes into the store."""

    operator_topic = "keyed.operator"
    target_topic = "keyed.targets"

    def __init__(self) -> None:
        self.manifest_by_version: dict[int, Manifest] = {}

    def manifest(self, key: str, value: bytes) -> Manifest | None:
        """Return the manifest whose version the record names."""
        if key != "manifest":
            return None
        try:
            return self.manifest_by_version[int(value)]
        except (ValueError, KeyError):
            raise RecordInvalidError(
                "the record names no known manifest version"
            ) from None

    def version(self, key: str, value: bytes) -> tuple[str, int] | None:
        """Return the version that the record names."""
        if not key.startswith("version/"):
            return None
        return key.removeprefix("version/"), int(value)

    def target(self, key: str, value: bytes) -> Target:
        """Return the target that the record describes."""
        try:
            fields = json.loads(value)
            fields["address"] = Address.parse(fields["address"])
            return Target(id=key, **fields)
        except (KeyError, ValueError, TypeError):
            raise RecordInvalidError("the entry of the target is malformed") from None


class FakePermitClient(PermitClient):
    """Asks the other hosts of a deployment, in this process."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__()
        self._deployment = deployment

    async def ask(self, host: str, request: PermitRequest) -> PermitGrant:
        """See :meth:`PermitClient.ask`; a host that was cut off does not answer."""
        await asyncio.sleep(0.002)
        return self._deployment.reach(host).get(SendPermits).grant(request)

    def host_count(self) -> int:
        """See :meth:`PermitClient.host_count`."""
        return len(self._deployment.kernel_by_host)


class FakeResultSource(ResultSource):
    """Reads results from the other hosts of a deployment, in this process."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__()
        self._deployment = deployment

    async def read(
        self, host: str, batch_id: str, after: int | None, wait: float
    ) -> ResultPage | None:
        """See :meth:`ResultSource.read`; a host that was cut off does not answer."""
        await asyncio.sleep(0.002)
        kernel = self._deployment.reach(host)
        return await kernel.get(Batches).results_in_memory(batch_id, after, wait)


class FakeHedgeClient(HedgeClient):
    """Reports to the other hosts of a deployment, in this process."""

    def __init__(self, deployment: Deployment) -> None:
        super().__init__()
        self._deployment = deployment

    async def report(self, host: str, report: HedgeReport) -> HedgeAnswer:
        """See :meth:`HedgeClient.report`; a host that was cut off does not answer."""
        self._deployment.hedge_reports.append(report)
        await asyncio.sleep(0.002)
        return self._deployment.reach(host).get(SecondAttempts).serve(report)


class Deployment:
    """A store and engines, and the hosts that share them."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.targets = FakeTargets()
        self.decoder = JsonDecoder()
        self.kernels: list[Kernel] = []
        self.kernel_by_host: dict[str, Kernel] = {}
        self.unreachable_hosts: set[str] = set()
        self.events: list[Event] = []
        self.max_extra_share: float | None = None
        self.hedge_reports: list[HedgeReport] = []
        self._sequence = 0

    def add_engine(self, engine_id: str, **state: Any) -> FakeEngine:
        """Add an engine and write its entry into the store."""
        engine = FakeEngine(**state)
        self.targets.engine_by_id[engine_id] = engine
        self.register(engine_id)
        return engine

    def add_scorer(self, target_id: str, *steps: object) -> None:
        """Add a target that scores samples.

        :param steps: its answers to the next reward calls; see
            :attr:`FakeTargets.score_steps_by_target`.
        """
        self.targets.score_steps_by_target[target_id] = list(steps)
        self.register(target_id, service=SCORING_SERVICE, slots=6, version_by_model={})

    def register(self, target_id: str, **changes: Any) -> None:
        """Write a new entry of an engine into the store."""
        engine = self.targets.engine_by_id.get(target_id, FakeEngine())
        self._sequence += 1
        entry: dict[str, Any] = dict(
            service=SERVICE,
            address=str(ADDRESS),
            zone="a",
            slots=engine.slots,
            draining=False,
            born=1,
            sequence=self._sequence,
            version_by_model={MODEL: engine.version},
            software=engine.software,
        )
        value = json.dumps(entry | changes).encode()
        self.store.put_keyed(self.decoder.target_topic, target_id, value)

    def remove_target(self, target_id: str) -> None:
        """Remove the entry of a target from the store."""
        self.store.put_keyed(self.decoder.target_topic, target_id, None)

    def put_manifest(self, value: Manifest) -> None:
        """Publish a manifest."""
        self.decoder.manifest_by_version[value.version] = value
        self.store.put_keyed(
            self.decoder.operator_topic, "manifest", str(value.version).encode()
        )

    def announce_version(self, version: int) -> None:
        """Announce a version of the model, as the trainer does."""
        key = f"version/{MODEL}"
        self.store.put_keyed(self.decoder.operator_topic, key, str(version).encode())

    async def start_host(
        self,
        name: str = "host-1",
        orders_after: float = 0.0,
        cache_bytes: float = float("inf"),
        link_mbps: float = 1000.0,
        more_services: Sequence[Service] = (),
        engines_crash_when_full: bool = False,
        seed_lag: float | None = None,
        cancel_seconds: float = 3.0,
        keep_seconds: float = 120.0,
    ) -> Kernel:
        """Start the services of one host and return its kernel, which stops them.

        :param more_services: services that only some tests need.
        """
        kernel = Kernel()
        events = Events(name, 1, 10_000)
        for service in (
            events,
            shared(self.store),
            shared(self.targets),
            Directory(self.decoder),
            Lease(name, 1, orders_after, random.Random(name)),
            FakePermitClient(self),
            SendPermits(name, random.Random(name)),
            EnginePool(),
            Loads(name),
            BatchLog(
                262_144,
                2_097_152,
                keep_seconds,
                cache_bytes,
                cancel_seconds,
                self.store.retention_seconds,
            ),
            ResultWriter(),
            Metrics(name),
            Crashes(),
            FakeHedgeClient(self),
            SecondAttempts(name, self.max_extra_share),
            Forwarder("a", random.Random(1)),
            StreamOrigins(),
            SoftwareHistory(),
            Streams(),
            RewardCaller(),
            FakeResultSource(self),
            RemoteResults(name, link_mbps),
            Runner(engines_crash_when_full),
            Batches(Admission(seed_lag) if seed_lag is not None else None),
            *more_services,
        ):
            kernel.register(service)
        events.observers.append(self.events.append)
        await kernel.start()
        self.kernels.append(kernel)
        self.kernel_by_host[name] = kernel
        return kernel

    def reach(self, host: str) -> Kernel:
        """Return the services of a host.

        :raises PeerError: the host was cut off, or there is none of the name.
        """
        kernel = self.kernel_by_host.get(host)
        if kernel is None or host in self.unreachable_hosts:
            raise PeerError(f"host {host} does not answer")
        return kernel

    async def stop(self) -> None:
        """Stop all hosts."""
        for kernel in self.kernels:
            await kernel.stop()

    async def submit(self, kernel: Kernel, value: Batch) -> None:
        """Submit a batch to a host."""
        loop = asyncio.get_running_loop()
        await kernel.get(Batches).submit(value, loop.time() + 5.0)

    async def results(self, kernel: Kernel, batch_id: str, seconds: float) -> list:
        """Return a batch's results once it is complete, or after ``seconds``."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        page = await kernel.get(Batches).results(batch_id, 0, 0)
        while page.next < page.total and loop.time() < deadline:
            await asyncio.sleep(0.05)
            page = await kernel.get(Batches).results(batch_id, 0, 0)
        return page.results


def shared(service: Any) -> Any:
    """Return a second object with the state of ``service``, for another kernel."""
    twin = type(service).__new__(type(service))
    twin.__dict__ = service.__dict__
    return twin
