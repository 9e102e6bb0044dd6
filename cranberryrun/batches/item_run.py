"""A single run of an item on one engine, and the outcome of that run."""

from __future__ import annotations

import asyncio
import inspect
from dataclasses import dataclass

from .. import clock
from ..exceptions import RefusedError, TargetFailedError, TargetUnreachableError
from ..fleet.client import (
    ItemImpossibleError,
    MalformedStreamError,
    RunFailedError,
    TargetClient,
    WrongVersionError,
)
from ..fleet.directory import Directory
from ..fleet.engine_pool import INTERVAL_WINDOW_EVENTS, Engine
from ..fleet.failures import log_failure_of
from ..fleet.manifest import Route
from ..fleet.origin import Origin
from ..kernel import Kernel
from .dispatch import DEFAULT_EVENT_INTERVAL_SECONDS, ScheduledItem
from .models import Result, result_of

# An engine that refused a run gets no new runs for this long.
_REFUSAL_COOLDOWN_SECONDS = 0.1
# A run ends after a silence of this many mean event intervals of its engine, but not
# before _MIN_SILENCE_SECONDS.
_MAX_SILENT_INTERVALS = 8.0
_MIN_SILENCE_SECONDS = 0.7
# The first event takes longer: the run may queue for a slot, and the engine has to
# process the prompt.
_FIRST_EVENT_TIMEOUT_SECONDS = 1.0
# Added to the silence timeout while the engine loads weights, which pauses its runs
# for about a second.
_LOAD_STALL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a run ended. ``result`` is None if the item needs another run."""

    reason: str
    result: Result | None = None


def cancel_run(task: asyncio.Task[None]) -> None:
    """Cancel the task of a run, unless it has not begun.

    A task that is cancelled before its first step runs no code, so it would not free
    its slot. It sees when it begins that it is no longer the task of its item.
    """
    if inspect.getcoroutinestate(task.get_coro()) != inspect.CORO_CREATED:
        task.cancel()


async def run_item(kernel: Kernel, scheduled: ScheduledItem, engine: Engine) -> Outcome:
    """Run ``scheduled`` on ``engine``; update the engine's health from the outcome."""
    failed_result = Result(scheduled.item.id, False)
    pieces_before = len(scheduled.pieces)
    try:
        await _read_pieces(kernel, scheduled, engine)
    except ItemImpossibleError:
        return Outcome("the engine rejected the item as impossible", failed_result)
    except RunFailedError as error:
        scheduled.failures += 1
        if scheduled.failures < max_attempts(kernel, scheduled):
            return Outcome(f"failed: {error.detail}")
        return Outcome("all attempts of the item failed", failed_result)
    except TimeoutError:
        engine.health.record_failure()
        # The silence was no wait for another engine.
        scheduled.idle_since = clock.now()
        return Outcome("the engine was silent")
    except WrongVersionError as error:
        engine.start_cooldown(_REFUSAL_COOLDOWN_SECONDS)
        return Outcome(f"refused: {error.detail}")
    except TargetUnreachableError as error:
        engine.health.record_failure()
        return Outcome(f"unreachable: {error.detail}")
    except RefusedError as error:
        engine.start_cooldown(_REFUSAL_COOLDOWN_SECONDS)
        return Outcome(f"refused: {error.detail}")
    except MalformedStreamError as error:
        engine.health.record_failure()
        scheduled.drop_malformed(pieces_before)
        return Outcome(f"the stream was malformed: {error.detail}")
    except Exception as error:
        if len(scheduled.pieces) == pieces_before:
            # The next run must not follow at once and without end.
            engine.health.record_failure()
        failure = log_failure_of(kernel, error)
        return Outcome(f"the stream ended early: {failure.detail}")
    engine.health.record_answer()
    return Outcome("whole", result_of(scheduled.item.id, scheduled.pieces))


async def _read_pieces(
    kernel: Kernel, scheduled: ScheduledItem, engine: Engine
) -> None:
    batch = scheduled.state.batch
    client = kernel.get(TargetClient)
    deadline = clock.now() + seconds_left(kernel, scheduled)
    received = len(scheduled.pieces)
    manifest = kernel.get(Directory).manifest
    models_compete = manifest is not None and manifest.models_compete()
    window_start = 0.0
    window_events = 0
    previous_at: float | None = None
    async with asyncio.timeout(_FIRST_EVENT_TIMEOUT_SECONDS) as event_timeout:
        async for piece in client.run(
            engine.target,
            batch.host,
            scheduled.item,
            scheduled.run_version,
            received,
            deadline,
            batch.workspace,
        ):
            now = clock.now()
            kept_version = scheduled.kept_version
            if kept_version is not None and piece.version != kept_version:
                raise TargetFailedError(
                    f"the engine went on from version {kept_version} to "
                    f"{piece.version} of its weights"
                )
            if scheduled.origin is None:
                scheduled.origin = Origin.of(engine.target)
            scheduled.pieces.append(piece)
            scheduled.answered = True
            # Runs that are refused do not extend the wait for an engine.
            scheduled.idle_since = now
            engine.speed.record_event(now, previous_at)
            previous_at = now
            window_events += 1
            if window_events == 1:
                window_start = now
            elif window_events > INTERVAL_WINDOW_EVENTS:
                if models_compete:
                    engine.record_lasting_interval()
                else:
                    engine.record_event_interval(
                        (now - window_start) / INTERVAL_WINDOW_EVENTS
                    )
                window_events, window_start = 1, now
            event_timeout.reschedule(now + _silence_timeout(engine))


def _route(kernel: Kernel, scheduled: ScheduledItem) -> Route | None:
    return kernel.get(Directory).route_for(
        scheduled.state.batch.host, scheduled.item.path
    )


def max_attempts(kernel: Kernel, scheduled: ScheduledItem) -> int:
    """Return how many runs of the item may fail; 1 if the manifest has no route."""
    route = _route(kernel, scheduled)
    return route.max_attempts if route is not None else 1


def seconds_left(kernel: Kernel, scheduled: ScheduledItem) -> float:
    """Return the seconds until the item is given up; at least one."""
    route = _route(kernel, scheduled)
    ttl_seconds = route.queue_ttl if route is not None else 0.0
    return max(1.0, scheduled.state.batch.submitted_at + ttl_seconds - clock.wall())


def _silence_timeout(engine: Engine) -> float:
    interval = engine.event_interval or DEFAULT_EVENT_INTERVAL_SECONDS
    stall = _LOAD_STALL_SECONDS if engine.loading_model else 0.0
    return max(_MIN_SILENCE_SECONDS, _MAX_SILENT_INTERVALS * interval) + stall
