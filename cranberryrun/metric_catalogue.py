"""The metrics of a host, as listed in ``docs/METRICS.md``."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MetricKind:
    """One metric, as listed in ``docs/METRICS.md``, with the names of its labels."""

    name: str
    form: str
    labels: tuple[str, ...]
    meaning: str


METRIC_BY_KEY: dict[str, MetricKind] = {
    "requests": MetricKind(
        "cranberryrun_requests",
        "counter",
        ("service", "outcome"),
        "Requests by outcome: answered, refused, unknown or caller_gone.",
    ),
    "request_seconds": MetricKind(
        "cranberryrun_request_seconds",
        "histogram",
        ("service",),
        "Seconds from a request's arrival in the admission queue to its answer's end.",
    ),
    "retries": MetricKind(
        "cranberryrun_retries", "counter", ("service",), "Retries of requests."
    ),
    "calls": MetricKind(
        "cranberryrun_keyed_calls",
        "counter",
        ("kind",),
        "Keyed calls by kind: first, repeat, forwarded or recorded.",
    ),
    "steps": MetricKind(
        "cranberryrun_steps",
        "counter",
        ("outcome",),
        "Steps by outcome: started, done, moved, cut, failed or superseded.",
    ),
    "samples": MetricKind(
        "cranberryrun_samples",
        "counter",
        ("outcome",),
        "Samples by outcome: dispatched, resumed, whole, stale, lost or unstamped.",
    ),
    "reward_calls": MetricKind(
        "cranberryrun_reward_calls",
        "counter",
        ("outcome",),
        "Reward calls by outcome: scored, failed or cancelled.",
    ),
    "reward_call_seconds": MetricKind(
        "cranberryrun_reward_call_seconds",
        "histogram",
        (),
        "Seconds from the end of a sample's text to the end of its reward call.",
    ),
    "reward_calls_pending": MetricKind(
        "cranberryrun_reward_calls_pending",
        "gauge",
        (),
        "Reward calls that have no score yet.",
    ),
    "unknown_names": MetricKind(
        "cranberryrun_unknown_names",
        "counter",
        ("source", "name"),
        "Headers and fields that the host does not know, by where they were.",
    ),
    "limited": MetricKind(
        "cranberryrun_limited",
        "counter",
        ("service",),
        "Attempts at requests that a target's limit did not allow.",
    ),
    "remote_results": MetricKind(
        "cranberryrun_remote_results",
        "counter",
        ("outcome",),
        "Reads of results that went to the holder of the lease, by outcome.",
    ),
    "second_attempts": MetricKind(
        "cranberryrun_second_attempts",
        "counter",
        ("service", "outcome"),
        "Second attempts by outcome: won, lost, or why none was sent: no_budget, "
        "slow, full, unknown or no_holder.",
    ),
    "relayed_calls": MetricKind(
        "cranberryrun_relayed_calls",
        "counter",
        (),
        "Calls to targets that a neighbour passed on for this host.",
    ),
    "crashing_requests": MetricKind(
        "cranberryrun_crashing_requests",
        "counter",
        (),
        "Requests that were refused because targets ended while they ran them.",
    ),
    "rejected_keys": MetricKind(
        "cranberryrun_rejected_keys",
        "counter",
        ("reason",),
        "Calls rejected by their key: missing, unknown, revoked or other_workspace.",
    ),
    "invalid_records": MetricKind(
        "cranberryrun_invalid_records",
        "counter",
        (),
        "Records of the operator and of targets that were refused as malformed.",
    ),
    "rejected_batches": MetricKind(
        "cranberryrun_rejected_batches",
        "counter",
        ("cause",),
        "Batches that can't be served, by cause: no_engine or too_much_work.",
    ),
    "waits": MetricKind(
        "cranberryrun_request_waits",
        "counter",
        ("service", "outcome"),
        "Requests that waited for a full target: sent, refused, dropped or gone.",
    ),
    "duty_calls": MetricKind(
        "cranberryrun_duty_calls",
        "counter",
        ("duty", "outcome"),
        "Calls to the platform's API by outcome: accepted, late (accepted, but after "
        "it was due), refused, throttled, unsent, unanswered, fenced or skipped.",
    ),
    "usage_counted": MetricKind(
        "cranberryrun_usage_counted",
        "counter",
        (),
        "Requests of workspaces that this host counted for usage reports.",
    ),
    "engine_load": MetricKind(
        "cranberryrun_engine_load",
        "gauge",
        (),
        "Work of open steps as a share of what the engines can do; above 1: overload.",
    ),
    "slow_spans": MetricKind(
        "cranberryrun_slow_spans",
        "counter",
        ("outcome",),
        "Checks of late runs at engines in a slow span: moved, no_engine or no_budget.",
    ),
    "engine_factor": MetricKind(
        "cranberryrun_engine_factor",
        "gauge",
        ("engine",),
        "Seconds for an event as a multiple of the fastest engine's, without noise.",
    ),
    "trainer_behind_seconds": MetricKind(
        "cranberryrun_trainer_behind_seconds",
        "gauge",
        ("workload",),
        "Seconds by which a trainer with open steps is behind its pace.",
    ),
    "engine_memory": MetricKind(
        "cranberryrun_engine_memory",
        "gauge",
        ("engine",),
        "Share of an engine's memory that its runs hold, where memory is limited.",
    ),
    "runs_stopped": MetricKind(
        "cranberryrun_runs_stopped",
        "counter",
        (),
        "Runs that were stopped because their engine's memory was about to be full.",
    ),
    "buffered_bytes": MetricKind(
        "cranberryrun_buffered_bytes",
        "gauge",
        ("path",),
        "Bytes that the host holds for connections of clients, by what they are for.",
    ),
    "buffers_full": MetricKind(
        "cranberryrun_buffers_full",
        "counter",
        ("path",),
        "Calls refused as the bytes held for connections were at their limit.",
    ),
    "closed_connections": MetricKind(
        "cranberryrun_closed_connections",
        "counter",
        ("cause",),
        "Connections closed because of what their clients sent or did not read.",
    ),
    "queue": MetricKind(
        "cranberryrun_queue",
        "gauge",
        ("service",),
        "Requests in the admission queue.",
    ),
    "in_flight": MetricKind(
        "cranberryrun_in_flight", "gauge", (), "HTTP requests in flight."
    ),
    "peers": MetricKind(
        "cranberryrun_peers", "gauge", (), "Live entry hosts other than this one."
    ),
    "config_offset": MetricKind(
        "cranberryrun_config_offset",
        "gauge",
        (),
        "Offset of the last configuration record that this host applied.",
    ),
    "log_up": MetricKind(
        "cranberryrun_log_up", "gauge", (), "1 if the log can be read, else 0."
    ),
    "engines_wanted": MetricKind(
        "cranberryrun_engines_wanted",
        "gauge",
        ("zone",),
        "Engines that the policy wants, on the holder of the lease.",
    ),
    "engines_present": MetricKind(
        "cranberryrun_engines_present",
        "gauge",
        ("zone",),
        "Engines of autoscaled services that do not drain, on the lease holder.",
    ),
    "loop_lag": MetricKind(
        "cranberryrun_event_loop_lag_seconds",
        "gauge",
        (),
        "Delay of the event loop's last tick, in seconds.",
    ),
}
