"""The log of the process: absl's, with one JSON object a line."""

from __future__ import annotations

import json
import logging as standard_logging

from absl import flags, logging

from . import clock

_LEVEL_BY_NAME = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}


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


def set_up(level: str) -> None:
    """Log to standard error what is of ``level`` or above."""
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.get_absl_handler().setFormatter(JsonLines())
    logging.set_verbosity(_LEVEL_BY_NAME[level])
