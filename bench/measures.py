"""What is measured of one run."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Sequence

from .engine import FakeStream
from .fleet import Fleet

_WARM_MINUTES = 1


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value that ``share`` of ``values`` don't exceed; 0 of none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure(fleet: Fleet) -> dict[str, float]:
    """Return the figures of a run that has ended, by name."""
    steps = [each for trainer in fleet.trainers for each in trainer.measures]
    idle = sum(each.idle for each in steps)
    floor = sum(each.floor for each in steps)
    ages = [age for each in steps for age in each.ages]
    streams = [
        stream for engine in fleet.engine_by_name.values() for stream in engine.history
    ]
    figures = {
        "steps": len(steps),
        "idle_seconds_per_step": idle / max(1, len(steps)),
        "idle_floor_seconds_per_step": floor / max(1, len(steps)),
        "idle_above_floor": (idle - floor) / max(1, len(steps)),
        "staleness_mean": statistics.fmean(ages) if ages else 0.0,
        "staleness_max": max(ages, default=0),
        "over_bound": sum(each.over_bound for each in steps),
        "doubled": sum(trainer.doubled for trainer in fleet.trainers),
        "step_p50_seconds": quantile([each.idle for each in steps], 0.5),
        "step_p99_seconds": quantile([each.idle for each in steps], 0.99),
        "rollout_p50_seconds": quantile(fleet.rollout_seconds, 0.5),
        "rollout_max_seconds": max(fleet.rollout_seconds, default=0.0),
        "change_max_seconds": max(fleet.change_seconds, default=0.0),
    }
    figures |= _requests(fleet)
    figures |= _waste(fleet, streams)
    figures |= _steadiness(fleet)
    figures |= _events(fleet)
    return figures


def _requests(fleet: Fleet) -> dict[str, float]:
    sent = sum(callers.sent for callers in fleet.callers)
    unanswered = sum(callers.unanswered for callers in fleet.callers)
    latencies = [each for callers in fleet.callers for each in callers.latencies]
    asked = sum(each.requests_asked for each in fleet.engine_by_name.values())
    return {
        "requests": sent,
        "answered_share": 1 - unanswered / max(1, sent),
        "request_p50_seconds": quantile(latencies, 0.5),
        "request_p99_seconds": quantile(latencies, 0.99),
        "retry_amplification": asked / max(1, sent),
    }


def _waste(fleet: Fleet, streams: list[FakeStream]) -> dict[str, float]:
    """Return the part of rollouts' engine time that no trainer got anything of."""
    useful: dict[str, list[float]] = defaultdict(list)
    workloads = {each.name for each in fleet.deployment.workloads}
    mine = [stream for stream in streams if stream.workload in workloads]
    for stream in mine:
        if stream.state == "finished":
            useful[_slot(stream.id)].append(stream.busy)
    handed = {
        f"{prefix}{sample.group}.{sample.index}"
        for trainer in fleet.trainers
        for prefix, sample in trainer.handed
    }
    # What is still in progress when the run ends is neither useful nor wasted.
    open_steps = {f"{each.size.name}.{each.number}." for each in fleet.trainers}
    total = 0.0
    used = 0.0
    for stream in mine:
        if any(stream.id.startswith(prefix) for prefix in open_steps):
            continue
        total += stream.busy
    for slot in handed:
        if any(slot.startswith(prefix) for prefix in open_steps):
            continue
        used += useful[slot][-1] if useful[slot] else 0.0
    return {
        "engine_seconds": total,
        "wasted_share": 1 - used / total if total else 0.0,
    }


def _slot(stream: str) -> str:
    return stream.rsplit(".", 2)[0]


def _steadiness(fleet: Fleet) -> dict[str, float]:
    """Return the coefficients of variation of the workloads' use per minute.

    ``use_cv`` is the highest of all workloads, ``use_cv_first`` that of the first.
    """
    minutes = range(_WARM_MINUTES, int(fleet.scenario.seconds // 60))
    cvs: list[float] = []
    for workload in fleet.deployment.workloads:
        use = {minute: 0.0 for minute in minutes}
        for engine in fleet.engine_by_name.values():
            for (name, minute), seconds in engine.busy_by_minute.items():
                if name == workload.name and minute in use:
                    use[minute] += seconds
        cvs.append(_cv(list(use.values())))
    return {"use_cv": max(cvs, default=0.0), "use_cv_first": cvs[0] if cvs else 0.0}


def _cv(values: list[float]) -> float:
    if len(values) < 2 or not statistics.fmean(values):
        return 0.0
    return statistics.pstdev(values) / statistics.fmean(values)


def _events(fleet: Fleet) -> dict[str, float]:
    hits = sum(engine.prefix_hits for engine in fleet.engine_by_name.values())
    misses = sum(engine.prefix_misses for engine in fleet.engine_by_name.values())
    return {
        "prefix_hit_share": hits / max(1, hits + misses),
        "dropped_for_age": fleet.event_counts["sample_stale"],
        "second_attempts": fleet.event_counts["second_attempt"],
        "samples_lost": fleet.event_counts["sample_lost"],
    }
