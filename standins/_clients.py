"""Common parts of the client stand-ins, which exit when their work is done."""

import asyncio
import json
import random
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click
import uvloop

MAX_RETRY_AFTER_SECONDS = 10.0


def split_entries(entries: str) -> list[str]:
    """Split comma-separated base URLs."""
    return [entry.strip().rstrip("/") for entry in entries.split(",") if entry.strip()]


def retry_delay(
    retry_after: str | None, default_delay: float, rng: random.Random
) -> float:
    """Return the delay before a retry, in seconds.

    :param retry_after: the ``Retry-After`` header, which has precedence.
    :param default_delay: mean of the jittered delay without a valid header, seconds.
    """
    jittered_delay = default_delay * rng.uniform(0.5, 1.5)
    if retry_after is None:
        return jittered_delay
    try:
        return min(float(retry_after), MAX_RETRY_AFTER_SECONDS)
    except ValueError:
        return jittered_delay


def write_record(path: Path | None, record: dict[str, Any]) -> None:
    """Write the record as JSON if a path is given."""
    if path is not None:
        path.write_text(json.dumps(record, indent=1) + "\n")


def print_summary(summary: dict[str, Any]) -> None:
    """Print the summary as one line of JSON."""
    click.echo(json.dumps(summary))


def run_client(client: Coroutine[Any, Any, None]) -> None:
    """Run a client until it is done."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(client)
