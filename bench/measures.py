"""Computes the figures of one run."""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Sequence

from .engine import FakeStream
from .fleet import Fleet

_WARM_UP_MINUTES = 1


def quantile(values: Sequence[float], share: float) -> float:
    """Return the quantile ``share`` of ``values``; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def measure(fleet: Fleet) -> dict[str, float]:
    """Return the figures of a run that has ended, by name."""
    steps = [each for trainer in fleet.trainers for each in trainer.measures]
    idle = sum(each.idle for each in steps)
    idle_floor = sum(each.idle_floor for each in steps)
    staleness = [versions for each in steps for versions in each.staleness]
    streams = [
        stream for engine in fleet.engine_by_name.values() for stream in engine.history
    ]
    figures = {
        "steps": len(steps),
        "idle_seconds_per_step": idle / max(1, len(steps)),
        "idle_floor_seconds_per_step": idle_floor / max(1, len(steps)),
        "idle_above_floor": (idle - idle_floor) / max(1, len(steps)),
        "staleness_mean": statistics.fmean(staleness) if staleness else 0.0,
        "staleness_max": max(staleness, default=0),
        "over_bound": sum(each.over_bound for each in steps),
        "doubled": sum(trainer.duplicates for trainer in fleet.trainers),
        "step_p50_seconds": quantile([each.idle for each in steps], 0.5),
        "step_p99_seconds": quantile([each.idle for each in steps], 0.99),
        "rollout_p50_seconds": quantile(fleet.rollout_seconds, 0.5),
        "rollout_max_seconds": max(fleet.rollout_seconds, default=0.0),
        "change_max_seconds": max(fleet.change_seconds, default=0.0),
    }
    figures |= _request_figures(fleet)
    figures |= _waste_figures(fleet, streams)
    figures |= _usage_variation_figures(fleet)
    figures |= _event_figures(fleet)
    return figures


def _request_figures(fleet: Fleet) -> dict[str, float]:
    sent = sum(callers.sent for callers in fleet.callers)
    unanswered = sum(callers.unanswered for callers in fleet.callers)
    latencies = [each for callers in fleet.callers for each in callers.latencies]
    attempts = sum(each.request_attempts for each in fleet.engine_by_name.values())
    return {
        "requests": sent,
        "answered_share": 1 - unanswered / max(1, sent),
        "request_p50_seconds": quantile(latencies, 0.5),
        "request_p99_seconds": quantile(latencies, 0.99),
        "retry_amplification": attempts / max(1, sent),
    }


def _waste_figures(fleet: Fleet, streams: list[FakeStream]) -> dict[str, float]:
    """Return the engine time of rollouts and the share of it that was wasted.

    Engine time is useful if the trainer received the sample that it produced.
    """
    finished_seconds_by_slot: dict[str, list[float]] = defaultdict(list)
    workloads = {each.name for each in fleet.deployment.workloads}
    rollout_streams = [stream for stream in streams if stream.workload in workloads]
    for stream in rollout_streams:
        if stream.state == "finished":
            finished_seconds_by_slot[_slot_prefix(stream.id)].append(
                stream.engine_seconds
            )
    received_slots = {
        f"{prefix}{sample.group}.{sample.index}"
        for trainer in fleet.trainers
        for prefix, sample in trainer.received_samples
    }
    # Steps in progress at the end of the run count as neither useful nor wasted.
    open_steps = {f"{each.size.name}.{each.number}." for each in fleet.trainers}
    total_seconds = 0.0
    useful_seconds = 0.0
    for stream in rollout_streams:
        if any(stream.id.startswith(prefix) for prefix in open_steps):
            continue
        total_seconds += stream.engine_seconds
    for slot in received_slots:
        if any(slot.startswith(prefix) for prefix in open_steps):
            continue
        useful_seconds += (
            finished_seconds_by_slot[slot][-1]
            if finished_seconds_by_slot[slot]
            else 0.0
        )
    return {
        "engine_seconds": total_seconds,
        "wasted_share": 1 - useful_seconds / total_seconds if total_seconds else 0.0,
    }


def _slot_prefix(stream: str) -> str:
    return stream.rsplit(".", 2)[0]


def _usage_variation_figures(fleet: Fleet) -> dict[str, float]:
    """Return the coefficients of variation of the workloads' engine time per minute.

    ``use_cv`` is the highest of all workloads, ``use_cv_first`` that of the first.
    """
    minutes = range(_WARM_UP_MINUTES, int(fleet.scenario.seconds // 60))
    variations: list[float] = []
    for workload in fleet.deployment.workloads:
        seconds_by_minute = {minute: 0.0 for minute in minutes}
        for engine in fleet.engine_by_name.values():
            for (name, minute), seconds in engine.engine_seconds_by_minute.items():
                if name == workload.name and minute in seconds_by_minute:
                    seconds_by_minute[minute] += seconds
        variations.append(_coefficient_of_variation(list(seconds_by_minute.values())))
    return {
        "use_cv": max(variations, default=0.0),
        "use_cv_first": variations[0] if variations else 0.0,
    }


def _coefficient_of_variation(values: list[float]) -> float:
    if len(values) < 2 or not statistics.fmean(values):
        return 0.0
    return statistics.pstdev(values) / statistics.fmean(values)


def _event_figures(fleet: Fleet) -> dict[str, float]:
    hits = sum(engine.prefix_hits for engine in fleet.engine_by_name.values())
    misses = sum(engine.prefix_misses for engine in fleet.engine_by_name.values())
    return {
        "prefix_hit_share": hits / max(1, hits + misses),
        "dropped_for_age": fleet.event_counts["sample_stale"],
        "second_attempts": fleet.event_counts["second_attempt"],
        "samples_lost": fleet.event_counts["sample_lost"],
    }
