"""Simulates a deployment on the virtual clock: real hosts, fakes and clients."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import Any

from cranberryrun import clock
from cranberryrun.engines import Engines
from cranberryrun.events import Events
from cranberryrun.host import Host
from cranberryrun.kernel import Service
from cranberryrun.membership import HostEntry, Membership
from cranberryrun.models import EngineSpec
from cranberryrun.request_router import RequestRouter
from cranberryrun.settings import LogSettings, Settings
from cranberryrun.steps import StepPolicies, Steps
from cranberryrun.weights import Weights

from .alternatives import PolicySet
from .clients import Callers, FakeTrainer, Prompts, Publisher
from .deployments import ZONES, Deployment, Fault, Scenario
from .engine import FakeEngine, FakeEngineClient
from .fakes import (
    FakeHostList,
    FakeLog,
    FakePeers,
    LogStore,
    Network,
    NoApi,
    NoHttp,
    WeightStore,
)

_HOST_COUNT = 3
_REQUEST_TIMEOUT_SECONDS = 10.0
_POLL_INTERVAL_SECONDS = 0.25
_SHUTDOWN_SECONDS = 0.1


class BenchEngines(Engines):
    """Engines whose clients connect to the fake engines."""

    def __init__(
        self, settings: Settings, fakes: dict[str, FakeEngine], network: Network
    ) -> None:
        super().__init__(settings)
        self._fakes = fakes
        self._network = network

    def client_for(self, spec: EngineSpec) -> FakeEngineClient:
        """Return a client of the fake engine that the URL of ``spec`` names."""
        name = spec.url.removeprefix("http://")
        return FakeEngineClient(self._fakes[name], self._settings.zone, self._network)


class EventCounter(Events):
    """Counts the events of all hosts by name instead of storing them."""

    def __init__(self, settings: Settings, counts: Counter[str]) -> None:
        super().__init__(settings.id, settings.incarnation, 100)
        self._counts = counts

    def emit(self, name: str, **fields: Any) -> None:
        """See :meth:`Events.emit`."""
        self._counts[name] += 1


class Fleet:
    """The hosts, engines, clients and measurements of one simulated deployment."""

    def __init__(
        self, deployment: Deployment, scenario: Scenario, policies: PolicySet, seed: int
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.policies = policies
        self.rng = random.Random(f"{deployment.name}/{scenario.name}/{seed}")
        self.network = Network(deployment.zone_latency_seconds)
        self.log = LogStore()
        self.host_list = FakeHostList()
        self.store = WeightStore()
        self.engine_by_name: dict[str, FakeEngine] = {}
        self.host_by_id: dict[str, Host] = {}
        self.calls_by_host: dict[str, set[asyncio.Task[None]]] = {}
        self.publishers: list[Publisher] = []
        self.trainers: list[FakeTrainer] = []
        self.callers: list[Callers] = []
        self.rollout_seconds: list[float] = []
        self.change_seconds: list[float] = []
        self.event_counts: Counter[str] = Counter()
        self._incarnation = 0
        self._seed = seed

    async def run(self) -> None:
        """Start everything, run the scenario for its duration, and stop everything."""
        self._add_engines()
        self._append_configuration()
        for number in range(_HOST_COUNT):
            await self._start_host(f"host-{number + 1}", ZONES[number])
        self._add_clients()
        tasks = [
            asyncio.get_running_loop().create_task(coroutine)
            for coroutine in self._client_and_fault_coroutines()
        ]
        done, _ = await asyncio.wait(
            tasks,
            timeout=self.scenario.seconds,
            return_when=asyncio.FIRST_EXCEPTION,
        )
        for task in done:
            task.result()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for callers in self.callers:
            await callers.stop()
        await asyncio.sleep(_SHUTDOWN_SECONDS)
        for engine in self.engine_by_name.values():
            engine.set_speed(engine.speed)
        for host_id in list(self.host_by_id):
            await self._kill_host(host_id)

    def _add_engines(self) -> None:
        deployment = self.deployment
        for kind, count in (
            (deployment.pool, deployment.rollout_engines),
            (deployment.portal_pool, deployment.portal_engines),
        ):
            for number in range(count):
                name = f"{kind}-{number + 1}"
                self.engine_by_name[name] = FakeEngine(
                    name,
                    ZONES[number % len(ZONES)],
                    deployment.slots,
                    deployment.tokens_per_second,
                    deployment.stream_tokens_per_second,
                    self.store,
                )
                self.engine_by_name[name].request_prefill = deployment.request_prefill

    def _append_configuration(self) -> None:
        """Append the engines, workloads and services of the deployment to the log."""
        deployment = self.deployment
        for engine in self.engine_by_name.values():
            spec = {
                "url": f"http://{engine.name}",
                "zone": engine.zone,
                "pool": engine.name.rsplit("-", 1)[0],
                "slots": deployment.slots,
                "tokens_per_second": deployment.tokens_per_second,
            }
            self.append_change("engines", engine.name, spec)
        idle_weight = self.policies.idle_weight
        for workload in deployment.workloads:
            spec = {
                "pool": deployment.pool,
                "trainers": workload.trainers,
                "freshness_bound": workload.freshness_bound,
                "rate": workload.rate,
                "idle_weight": (
                    deployment.idle_weight if idle_weight is None else idle_weight
                ),
                "max_tokens": 16_000,
            }
            self.append_change("workloads", workload.name, spec)
        for name, pool in (
            ("portal", deployment.portal_pool),
            ("advice", deployment.pool),
        ):
            spec = {
                "pool": pool,
                "repeatable": ["GET", "POST"],
                "timeout": _REQUEST_TIMEOUT_SECONDS,
                "concurrency": self.policies.concurrency,
            }
            self.append_change("services", name, spec)

    def append_change(
        self, kind: str, name: str, spec: dict[str, Any], generation: int = 0
    ) -> int:
        """Append a configuration change to the log and return its offset."""
        record = {
            "record": "change",
            "change_id": f"{kind}/{name}/{generation}",
            "kind": kind,
            "name": name,
            "expected_generation": generation,
            "operation": "put",
            "spec": spec,
        }
        return self.log.append("config", [record])

    async def _start_host(self, host_id: str, zone: str) -> None:
        self._incarnation += 1
        settings = Settings(
            id=host_id,
            incarnation=self._incarnation,
            zone=zone,
            api_port=0,
            peer_port=0,
            log=LogSettings(url="http://log"),
            host_list_url="http://hosts",
        )
        settings.limits.retry_share = self.policies.retry_share
        settings.limits.queue = self.policies.queue
        host = Host(settings, *self._services(settings))
        self.host_by_id[host_id] = host
        self._publish_host_list()
        await host.start()

    def _services(self, settings: Settings) -> list[Service]:
        rng = random.Random(f"{settings.id}/{settings.incarnation}/{self._seed}")
        policies = self.policies
        membership = Membership(settings, settings.incarnation)
        membership.use_host_list(self.host_list)
        limits = settings.limits
        return [
            EventCounter(settings, self.event_counts),
            NoHttp(1.0),
            FakeLog(self.log),
            membership,
            FakePeers(settings, rng, self.network),
            BenchEngines(settings, self.engine_by_name, self.network),
            Weights(
                settings,
                policies.pacing_for(limits.weight_loads_at_once, limits.away_share),
            ),
            Steps(
                settings,
                policies.routing(rng),
                rng,
                StepPolicies(policies.stragglers, policies.freshness, policies.budget),
            ),
            RequestRouter(settings, policies.request_routing(rng), rng),
            NoApi(settings),
        ]

    def _publish_host_list(self) -> None:
        self.host_list.publish(
            [
                HostEntry(
                    id=host.settings.id,
                    kind="entry",
                    zone=host.settings.zone,
                    incarnation=host.incarnation,
                )
                for host in self.host_by_id.values()
            ]
        )

    async def _kill_host(self, host_id: str) -> None:
        host = self.host_by_id.pop(host_id)
        self._publish_host_list()
        calls = list(self.calls_by_host.pop(host_id, ()))
        for task in calls:
            task.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        await host.kernel.stop()

    def pick_host(self) -> Host | None:
        """Return the host that the load balancer chooses; None if none is reachable."""
        hosts = [
            host
            for host in self.host_by_id.values()
            if host.settings.zone not in self.network.lost_zones
        ]
        return self.rng.choice(hosts) if hosts else None

    def _add_clients(self) -> None:
        deployment = self.deployment
        for workload in deployment.workloads:
            publisher = Publisher(workload, self.pick_host)
            self.publishers.append(publisher)
            for number in range(workload.trainers):
                self.trainers.append(
                    FakeTrainer(
                        f"{workload.name}-{number}",
                        workload,
                        publisher,
                        self.pick_host,
                        deployment.stream_tokens_per_second,
                        deployment.client_latency_seconds,
                        self.calls_by_host,
                        self._seed,
                    )
                )
        for service, rate in (
            ("portal", deployment.portal_rate),
            ("advice", deployment.shared_rate),
        ):
            prompts = Prompts(
                deployment.request_prefixes,
                deployment.request_skew,
                deployment.shift_interval,
            )
            surge = self.scenario.surge if service == "portal" else None
            rng = random.Random(f"{service}/{self._seed}")
            self.callers.append(
                Callers(
                    service,
                    rate,
                    _REQUEST_TIMEOUT_SECONDS,
                    deployment.client_latency_seconds,
                    self.pick_host,
                    rng,
                    prompts,
                    surge,
                )
            )

    def _client_and_fault_coroutines(self) -> list[Any]:
        coroutines = [
            publisher.run(40.0 * (number + 1))
            for number, publisher in enumerate(self.publishers)
        ]
        coroutines += [
            trainer.run(5.0 + 15.0 * number)
            for number, trainer in enumerate(self.trainers)
        ]
        coroutines += [callers.run() for callers in self.callers]
        coroutines += [self._inject_fault(fault) for fault in self.scenario.faults]
        coroutines += [
            self._measure_version_rollouts(publisher) for publisher in self.publishers
        ]
        coroutines.append(self._measure_changes())
        return coroutines

    async def _inject_fault(self, fault: Fault) -> None:
        """Inject ``fault`` at its time and end it after its duration."""
        await asyncio.sleep(fault.at)
        engine = self.engine_by_name.get(fault.target)
        if fault.kind == "crash":
            engine.crash()
        if fault.kind == "slow":
            engine.set_speed(fault.factor)
        if fault.kind == "refuse":
            engine.refused_share = fault.factor
        if fault.kind == "log":
            self.log.down = True
        if fault.kind == "host":
            zone = self.host_by_id[fault.target].settings.zone
            await self._kill_host(fault.target)
        if fault.kind == "zone":
            self.network.lost_zones.add(fault.target)
            self._cancel_calls_in_zone(fault.target)
        await asyncio.sleep(fault.duration)
        if fault.kind == "crash":
            engine.down = False
        if fault.kind == "slow":
            engine.set_speed(1.0)
        if fault.kind == "refuse":
            engine.refused_share = 0.0
        if fault.kind == "log":
            self.log.down = False
        if fault.kind == "host":
            await self._start_host(fault.target, zone)
        if fault.kind == "zone":
            self.network.lost_zones.discard(fault.target)

    def _cancel_calls_in_zone(self, zone: str) -> None:
        """Cancel the step calls at hosts of ``zone``, as if their connections broke."""
        for host_id, calls in self.calls_by_host.items():
            host = self.host_by_id.get(host_id)
            if host is None or host.settings.zone != zone:
                continue
            for task in list(calls):
                task.cancel()

    async def _measure_version_rollouts(self, publisher: Publisher) -> None:
        """Measure how long each version takes to reach all engines that are up."""
        pool = [
            engine
            for engine in self.engine_by_name.values()
            if engine.name.startswith(self.deployment.pool)
        ]
        measured = 0
        while True:
            await asyncio.sleep(_POLL_INTERVAL_SECONDS)
            version = publisher.version
            if version <= measured:
                continue
            engines_up = [engine for engine in pool if not engine.down]
            loaded = [
                engine.loaded_by_workload.get(publisher.size.name)
                for engine in engines_up
            ]
            if any(each is None or each.version < version for each in loaded):
                continue
            measured = version
            self.rollout_seconds.append(
                clock.now() - publisher.accepted_at_by_version[version]
            )

    async def _measure_changes(self) -> None:
        """Measure how long a configuration change takes until all hosts apply it."""
        generation = 0
        while True:
            await asyncio.sleep(45)
            if self.log.down:
                continue
            spec = {"pool": self.deployment.portal_pool, "timeout": 5.0}
            offset = self.append_change("services", "spare", spec, generation)
            generation += 1
            appended_at = clock.now()
            while not self._is_applied_by_all(offset):
                await asyncio.sleep(_POLL_INTERVAL_SECONDS)
            self.change_seconds.append(clock.now() - appended_at)

    def _is_applied_by_all(self, offset: int) -> bool:
        return all(
            host.kernel.get(Membership).offset_of(host.settings.id) >= offset
            for host in self.host_by_id.values()
        )
