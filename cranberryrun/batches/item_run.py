"""One run of an item at one engine, and what its end means."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .. import clock
from ..exceptions import RefusedError, TargetFailedError, TargetUnreachableError
from ..fleet.client import (
    ItemImpossibleError,
    RunFailedError,
    TargetClient,
    WrongVersionError,
)
from ..fleet.directory import Directory
from ..fleet.engine_pool import INTERVAL_WINDOW_EVENTS, Engine
from ..fleet.manifest import Route
from ..kernel import Kernel
from .dispatch import DEFAULT_GAP_SECONDS, Work
from .models import Result, result_of

# An engine that refused a run is asked again after this, in seconds.
_REFUSED_SECONDS = 0.1
# Silence of this many mean gaps, and of this long at least, ends a run.
_SILENT_GAPS = 8.0
_SILENT_SECONDS = 0.7
# The first event waits for the prompt and for a place as well.
_FIRST_EVENT_SECONDS = 1.0
# Loads stop an engine's runs for about a second.
_LOAD_STALL_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """How a run ended. ``result`` is given where nothing more is to be run."""

    reason: str
    result: Result | None = None


async def run_item(kernel: Kernel, work: Work, engine: Engine) -> Outcome:
    """Run ``work`` at ``engine`` to its end or failure, and judge the engine by it."""
    lost = Result(work.item.id, False)
    try:
        await _read_pieces(kernel, work, engine)
    except ItemImpossibleError:
        return Outcome("it can never be done", lost)
    except RunFailedError as error:
        work.failures += 1
        route = _route(kernel, work)
        if route is not None and work.failures < route.max_attempts:
            return Outcome(f"failed: {error.detail}")
        return Outcome("all its runs failed", lost)
    except TimeoutError:
        engine.health.failed()
        return Outcome("the engine was silent")
    except WrongVersionError as error:
        engine.start_cooldown(_REFUSED_SECONDS)
        return Outcome(f"refused: {error.detail}")
    except TargetUnreachableError as error:
        engine.health.failed()
        return Outcome(f"unreachable: {error.detail}")
    except RefusedError as error:
        engine.start_cooldown(_REFUSED_SECONDS)
        return Outcome(f"refused: {error.detail}")
    except TargetFailedError as error:
        if not work.pieces:
            engine.health.failed()
        return Outcome(f"broken off: {error.detail}")
    engine.health.answered()
    return Outcome("whole", result_of(work.item.id, work.pieces))


async def _read_pieces(kernel: Kernel, work: Work, engine: Engine) -> None:
    batch = work.state.batch
    client = kernel.get(TargetClient)
    deadline = clock.now() + _time_left(kernel, work)
    done = len(work.pieces)
    counted_at = 0.0
    counted = 0
    async with asyncio.timeout(_FIRST_EVENT_SECONDS) as patience:
        async for piece in client.run(
            engine.target, batch.host, work.item, work.run_version, done, deadline
        ):
            now = clock.now()
            work.pieces.append(piece)
            counted += 1
            if counted == 1:
                counted_at = now
            elif counted > INTERVAL_WINDOW_EVENTS:
                engine.record_event_interval(
                    (now - counted_at) / INTERVAL_WINDOW_EVENTS
                )
                counted, counted_at = 1, now
            patience.reschedule(now + _patience(engine))


def _route(kernel: Kernel, work: Work) -> Route | None:
    return kernel.get(Directory).route_for(work.state.batch.host, work.item.path)


def _time_left(kernel: Kernel, work: Work) -> float:
    route = _route(kernel, work)
    keep = route.queue_ttl if route is not None else 0.0
    return max(1.0, work.state.batch.submitted_at + keep - clock.wall())


def _patience(engine: Engine) -> float:
    event_interval = engine.event_interval or DEFAULT_GAP_SECONDS
    stall = _LOAD_STALL_SECONDS if engine.loading_model else 0.0
    return max(_SILENT_SECONDS, _SILENT_GAPS * event_interval) + stall
