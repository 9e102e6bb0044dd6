"""The simulated deployments, and the scenarios with the faults that they inject."""

from __future__ import annotations

from dataclasses import dataclass, replace

ZONES = ("zone-a", "zone-b", "zone-c")


@dataclass(frozen=True, slots=True)
class WorkloadSize:
    """A workload: its trainers, and the size of each of their steps.

    ``rate`` is in engines; ``version_interval`` and ``train_seconds`` are in seconds.
    """

    name: str
    trainers: int
    rate: float
    freshness_bound: int
    groups: int = 6
    samples: int = 4
    version_interval: float = 150.0
    train_seconds: float = 20.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment.

    Latencies are one-way, in seconds; request rates are per second.

    ``tokens_per_second`` is the highest rate of an engine over all its streams,
    ``stream_tokens_per_second`` that of a single stream.

    Each request has one of ``request_prefixes`` prompts, drawn from a Zipf
    distribution of exponent ``request_skew`` whose ranks shift every
    ``shift_interval`` seconds. A prompt that is not in the engine's prefix cache
    costs ``request_prefill`` tokens.
    """

    name: str
    zone_latency_seconds: float
    client_latency_seconds: float
    idle_weight: float
    workloads: tuple[WorkloadSize, ...]
    pool: str = "rollout"
    portal_pool: str = "portal"
    rollout_engines: int = 6
    portal_engines: int = 3
    slots: int = 8
    tokens_per_second: float = 1000.0
    stream_tokens_per_second: float = 200.0
    portal_rate: float = 4.0
    shared_rate: float = 0.5
    request_prefixes: int = 20
    request_skew: float = 0.0
    request_prefill: float = 10.0
    shift_interval: float | None = None


MUSHI = Deployment(
    name="mushi",
    zone_latency_seconds=0.001,
    client_latency_seconds=0.001,
    idle_weight=0.8,
    workloads=(
        WorkloadSize("denoise", trainers=2, rate=4.0, freshness_bound=2),
        WorkloadSize("stack", trainers=1, rate=2.0, freshness_bound=2),
    ),
)
LAKESHORE = Deployment(
    name="lakeshore",
    zone_latency_seconds=0.0015,
    client_latency_seconds=0.003,
    idle_weight=0.2,
    workloads=(
        WorkloadSize("pathways", trainers=2, rate=4.0, freshness_bound=1),
        WorkloadSize("waitlist", trainers=1, rate=2.0, freshness_bound=1),
    ),
)
STEADY_MUSHI = replace(
    MUSHI,
    name="mushi-steady",
    workloads=(
        WorkloadSize(
            "denoise",
            trainers=4,
            rate=4.0,
            freshness_bound=2,
            groups=12,
            train_seconds=0.0,
        ),
        MUSHI.workloads[1],
    ),
)
STEADY_LAKESHORE = replace(
    LAKESHORE,
    name="lakeshore-steady",
    workloads=(
        WorkloadSize(
            "pathways",
            trainers=4,
            rate=4.0,
            freshness_bound=1,
            groups=12,
            train_seconds=0.0,
        ),
        LAKESHORE.workloads[1],
    ),
)
STEADY_DEPLOYMENT_BY_NAME = {
    each.name: each for each in (STEADY_MUSHI, STEADY_LAKESHORE)
}
SKEWED = Deployment(
    name="skewed",
    zone_latency_seconds=0.001,
    client_latency_seconds=0.001,
    idle_weight=0.5,
    workloads=(),
    portal_engines=6,
    portal_rate=50.0,
    request_prefixes=200,
    request_skew=1.0,
    request_prefill=60.0,
)
SHIFTING = replace(SKEWED, name="shifting", shift_interval=20.0)
DEPLOYMENT_BY_NAME = {each.name: each for each in (MUSHI, LAKESHORE)}
PREFIX_DEPLOYMENT_BY_NAME = {each.name: each for each in (SKEWED, SHIFTING)}


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault that starts ``at`` seconds into the run and lasts ``duration`` seconds.

    ``kind`` is crash, slow or refuse (of an engine), log, host or zone. ``factor``
    is the fraction of its speed that a slow engine keeps, or the share of its
    orders that an engine refuses.
    """

    kind: str
    target: str
    at: float
    duration: float
    factor: float = 0.3


@dataclass(frozen=True, slots=True)
class Scenario:
    """The faults and the load of a run that lasts ``seconds``.

    ``surge`` is the start (seconds), the duration (seconds) and the factor of an
    increase in the rate of requests to the portal.
    """

    name: str
    seconds: float = 480.0
    faults: tuple[Fault, ...] = ()
    surge: tuple[float, float, float] | None = None


HEALTHY = Scenario("healthy")
LOST = Scenario(
    "lost",
    faults=(
        Fault("crash", "rollout-1", 120, 360),
        Fault("crash", "portal-1", 120, 360),
        Fault("log", "", 120, 300),
    ),
)
FAULTS = Scenario(
    "faults",
    faults=(
        Fault("slow", "rollout-2", 60, 240),
        Fault("crash", "rollout-3", 120, 30),
        Fault("log", "", 200, 90),
        Fault("host", "host-2", 250, 60),
        Fault("zone", ZONES[2], 380, 60),
    ),
)
SURGE = Scenario("surge", seconds=240.0, surge=(60.0, 40.0, 25.0))
REFUSALS = Scenario(
    "refusals",
    seconds=240.0,
    faults=tuple(
        Fault("refuse", f"portal-{n}", 60, 120, factor=0.7) for n in (1, 2, 3)
    ),
)
SHORT = Scenario("short", seconds=180.0)
SCENARIO_BY_NAME = {
    each.name: each for each in (SHORT, HEALTHY, LOST, FAULTS, SURGE, REFUSALS)
}
