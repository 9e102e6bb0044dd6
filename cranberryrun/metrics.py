"""OpenTelemetry metrics, served as Prometheus text at ``/metrics``."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Histogram, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest

from .events import Event, Events
from .kernel import Service
from .metric_catalogue import METRIC_BY_KEY

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

    def closed_connection(self, cause: str) -> None:
        """Count a connection that was closed because of what its client sent."""
        self._add("closed_connections", cause=cause)

    def rejected_key(self, reason: str) -> None:
        """Count a call that was rejected because of its key."""
        self._add("rejected_keys", reason=reason)

    def invalid_record(self) -> None:
        """Count a record of the operator or a target that is malformed."""
        self._add("invalid_records")

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
