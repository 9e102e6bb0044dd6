"""The log of the process: absl's, with one JSON object a line."""

from __future__ import annotations

import json
import logging as standard_logging
import queue
import sys
import threading
import time
from logging.handlers import QueueHandler
from typing import TextIO

from absl import flags, logging

from . import clock

_LEVEL_BY_NAME = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


# About a second of a host's lines under heavy load.
_QUEUE_LINES = 4096
_DRAIN_TICK_SECONDS = 0.01


class JsonLines(standard_logging.Formatter):
    """Formats a record as one JSON object; an event already is one."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the line of ``record``."""
        message = record.getMessage()
        if message.startswith("{"):
            return message
        line = {
            "wall": round(clock.wall(), 6),
            "level": record.levelname.lower(),
            "at": f"{record.filename}:{record.lineno}",
            "message": message,
        }
        if record.exc_info:
            line["traceback"] = self.formatException(record.exc_info)
        return json.dumps(line)


class BoundedHandler(QueueHandler):
    """Hands lines to a thread that writes them; drops and counts what is too much.

    Nothing waits for the reader of the log: while it stands still, up to ``limit``
    lines wait, and the first line after a gap says how many were dropped.

    :param stream: where the lines go.
    """

    def __init__(self, stream: TextIO, limit: int = _QUEUE_LINES) -> None:
        super().__init__(queue.Queue(limit))
        self.setFormatter(JsonLines())
        self._dropped = 0
        # Not a listener of the standard library: its stop() waits for the reader.
        thread = threading.Thread(target=self._write, args=(stream,), daemon=True)
        thread.start()

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        """Put the line into the queue, or count it as dropped."""
        line = record.getMessage()
        if self._dropped and line.startswith("{"):
            line = f'{{"dropped_before": {self._dropped}, {line[1:]}'
        try:
            self.queue.put_nowait(line)
        except queue.Full:
            self._dropped += 1
            return
        self._dropped = 0

    def drain(self, seconds: float) -> None:
        """Wait until the lines are written, at most ``seconds``."""
        until = time.monotonic() + seconds
        while self.queue.unfinished_tasks and time.monotonic() < until:
            threading.Event().wait(_DRAIN_TICK_SECONDS)

    def _write(self, stream: TextIO) -> None:
        while True:
            line = self.queue.get()
            try:
                stream.write(line + "\n")
                stream.flush()
            except (OSError, ValueError):
                # Nobody reads the log any more; there is nowhere to say so.
                pass
            self.queue.task_done()


def configure(level: str) -> BoundedHandler:
    """Log to standard output what is of ``level`` or above."""
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(_LEVEL_BY_NAME[level])
    handler = BoundedHandler(sys.stdout)
    root = standard_logging.getLogger()
    root.handlers[:] = [handler]
    return handler
