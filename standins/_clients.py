"""Shared parts of the stand-ins that are clients and end by themselves."""

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
    """Split ``URL,...`` into base URLs."""
    return [entry.strip().rstrip("/") for entry in entries.split(",") if entry.strip()]


def retry_delay(retry_after: str | None, fallback: float, rng: random.Random) -> float:
    """Return the seconds to wait: those asked for, or a jittered fallback."""
    jittered = fallback * rng.uniform(0.5, 1.5)
    if retry_after is None:
        return jittered
    try:
        return min(float(retry_after), MAX_RETRY_AFTER_SECONDS)
    except ValueError:
        return jittered


def write_record(path: Path | None, record: dict[str, Any]) -> None:
    """Write the record as JSON where a file is named."""
    if path is not None:
        path.write_text(json.dumps(record, indent=1) + "\n")


def print_summary(summary: dict[str, Any]) -> None:
    """Print the summary as one line of JSON."""
    click.echo(json.dumps(summary))


def run_client(main: Coroutine[Any, Any, None]) -> None:
    """Run a client to its end."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main)
