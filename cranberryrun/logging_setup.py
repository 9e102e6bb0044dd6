"""Log output of the process: absl logging with one JSON object per line."""

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


# About one second of log lines of a host under heavy load.
_QUEUE_LINES = 4096
_DRAIN_POLL_SECONDS = 0.01


class JsonLines(standard_logging.Formatter):
    """Formats a record as one JSON object; messages of events already are one."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Return the log line for ``record``."""
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
    """Writes lines on a thread, and drops lines while the queue is full.

    A blocked reader of the log must not block the process: up to ``limit`` lines
    are queued, and the first line after a gap has the number of dropped lines in
    ``dropped_before``.

    :param stream: the file that the lines are written to.
    """

    def __init__(self, stream: TextIO, limit: int = _QUEUE_LINES) -> None:
        super().__init__(queue.Queue(limit))
        self.setFormatter(JsonLines())
        self._dropped = 0
        # The standard QueueListener is no option: its stop() waits for the reader.
        thread = threading.Thread(target=self._write, args=(stream,), daemon=True)
        thread.start()

    def enqueue(self, record: standard_logging.LogRecord) -> None:
        """Queue the line, or count it as dropped if the queue is full."""
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
        """Wait at most ``seconds`` until all queued lines are written."""
        deadline = time.monotonic() + seconds
        while self.queue.unfinished_tasks and time.monotonic() < deadline:
            threading.Event().wait(_DRAIN_POLL_SECONDS)

    def _write(self, stream: TextIO) -> None:
        while True:
            line = self.queue.get()
            try:
                stream.write(line + "\n")
                stream.flush()
            except (OSError, ValueError):
                # The reader closed the log, so the error can't be reported either.
                pass
            self.queue.task_done()


def configure(level: str) -> BoundedHandler:
    """Log messages of ``level`` and above to standard output."""
    flags.FLAGS.mark_as_parsed()
    logging.set_verbosity(_LEVEL_BY_NAME[level])
    handler = BoundedHandler(sys.stdout)
    root = standard_logging.getLogger()
    root.handlers[:] = [handler]
    return handler
