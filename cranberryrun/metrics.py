"""OpenTelemetry metrics, served as Prometheus text at ``/metrics``."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from .events import Event, Events
from .kernel import Service

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
_LATENCY_BOUNDS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
_STEP_OUTCOME_BY_EVENT = {
    "step_started": "started",
    "step_done": "done",
    "step_moved": "moved",
    "step_cut": "cut",
    "step_failed": "failed",
    "step_superseded": "superseded",
}
_SAMPLE_OUTCOME_BY_EVENT = {
    "sample_dispatched": "dispatched",
    "sample_resumed": "resumed",
    "sample_whole": "whole",
    "sample_stale": "stale",
    "sample_lost": "lost",
    "sample_unstamped": "unstamped",
}
_CALL_OUTCOME_BY_EVENT = {
    "call_first": "first",
    "call_repeat": "repeat",
    "call_forwarded": "forwarded",
    "call_outcome": "recorded",
}


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
        "Bytes that the host holds for slow connections, by what they are for.",
    ),
    "buffers_full": MetricKind(
        "cranberryrun_buffers_full",
        "counter",
        ("path",),
        "Calls refused as the bytes held for slow connections were at their limit.",
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


class Metrics(Service):
    """Counts events and requests of this host; gauges are read at each scrape."""

    name = "metrics"
    requires = ("events",)

    def __init__(self, host: str) -> None:
        super().__init__()
        self._registry = CollectorRegistry()
        self._reader = PrometheusMetricReader(
            scope_info_enabled=False, registry=self._registry
        )
        self._provider = MeterProvider(
            [self._reader],
            resource=Resource({"service.name": "cranberryrun", "host.name": host}),
            shutdown_on_exit=False,
        )
        self._meter = self._provider.get_meter("cranberryrun")
        self._counter_by_key = {
            key: self._meter.create_counter(kind.name, description=kind.meaning)
            for key, kind in METRIC_BY_KEY.items()
            if kind.form == "counter"
        }
        self._latency = self._create_latency_histogram("request_seconds")
        self._reward_latency = self._create_latency_histogram("reward_call_seconds")

    def _create_latency_histogram(self, key: str) -> Histogram:
        kind = METRIC_BY_KEY[key]
        return self._meter.create_histogram(
            kind.name,
            description=kind.meaning,
            explicit_bucket_boundaries_advisory=_LATENCY_BOUNDS_SECONDS,
        )

    async def start(self) -> None:
        """Start to count events."""
        self.kernel.get(Events).observers.append(self._count)

    async def stop(self) -> None:
        """Stop counting."""
        await super().stop()
        self._provider.shutdown()

    def _count(self, event: Event) -> None:
        name = event.kind.name
        if name in _STEP_OUTCOME_BY_EVENT:
            self._add("steps", outcome=_STEP_OUTCOME_BY_EVENT[name])
        if name in _SAMPLE_OUTCOME_BY_EVENT:
            self._add("samples", outcome=_SAMPLE_OUTCOME_BY_EVENT[name])
        if name in _CALL_OUTCOME_BY_EVENT:
            self._add("calls", kind=_CALL_OUTCOME_BY_EVENT[name])

    def _add(self, key: str, **labels: str) -> None:
        self._counter_by_key[key].add(1, labels)

    def request(self, service: str, outcome: str, seconds: float) -> None:
        """Count a request by its outcome and record its duration, in seconds."""
        self._add("requests", service=service, outcome=outcome)
        self._latency.record(seconds, {"service": service})

    def reward_call(self, outcome: str, seconds: float) -> None:
        """Count a reward call by its outcome and record its duration, in seconds."""
        self._add("reward_calls", outcome=outcome)
        self._reward_latency.record(seconds)

    def retry(self, service: str) -> None:
        """Count a retry of a request."""
        self._add("retries", service=service)

    def unknown_name(self, source: str, name: str) -> None:
        """Count one occurrence of an unknown header or field."""
        self._add("unknown_names", source=source, name=name)

    def limited(self, service: str) -> None:
        """Count an attempt that a target's limit did not allow."""
        self._add("limited", service=service)

    def second_attempt(self, service: str, outcome: str) -> None:
        """Count a second attempt by its outcome, or by why there was none."""
        self._add("second_attempts", service=service, outcome=outcome)

    def relayed_call(self) -> None:
        """Count a call to a target that a neighbour passed on."""
        self._add("relayed_calls")

    def remote_results(self, outcome: str) -> None:
        """Count a read of results from the holder of the lease."""
        self._add("remote_results", outcome=outcome)

    def crashing_request(self) -> None:
        """Count a request that was refused because targets ended under it."""
        self._add("crashing_requests")

    def buffers_full(self, path: str) -> None:
        """Count a call that was refused for lack of memory."""
        self._add("buffers_full", path=path)

    def rejected_key(self, reason: str) -> None:
        """Count a call that was rejected because of its key."""
        self._add("rejected_keys", reason=reason)

    def rejected_batch(self, cause: str) -> None:
        """Count a batch that was rejected because it can't be served."""
        self._add("rejected_batches", cause=cause)

    def wait(self, service: str, outcome: str) -> None:
        """Count a request that waited while all targets were full."""
        self._add("waits", service=service, outcome=outcome)

    def duty_call(self, duty: str, outcome: str, count: int = 1) -> None:
        """Count calls of a duty to the platform's API by outcome."""
        labels = {"duty": duty, "outcome": outcome}
        self._counter_by_key["duty_calls"].add(count, labels)

    def usage_counted(self, requests: int) -> None:
        """Count requests that are reported as usage."""
        self._counter_by_key["usage_counted"].add(requests)

    def run_stopped_for_memory(self) -> None:
        """Count a run that was stopped because of its engine's memory."""
        self._add("runs_stopped")

    def slow_span_check(self, outcome: str, count: int) -> None:
        """Count checks of runs at engines in a slow span by outcome."""
        self._counter_by_key["slow_spans"].add(count, {"outcome": outcome})

    def register_gauge(
        self, key: str, read: Callable[[], float | Mapping[str, float]]
    ) -> None:
        """Register a gauge whose value is read at each scrape.

        :param read: returns one value, or values by the value of the gauge's label.
        """
        kind = METRIC_BY_KEY[key]

        def observations(options: CallbackOptions) -> Iterable[Observation]:
            value = read()
            if not isinstance(value, Mapping):
                return [Observation(value)]
            label = kind.labels[0]
            return [
                Observation(number, {label: name}) for name, number in value.items()
            ]

        self._meter.create_observable_gauge(
            kind.name, callbacks=[observations], description=kind.meaning
        )

    def scrape(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return generate_latest(self._registry)
