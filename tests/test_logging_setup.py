"""Tests of log output: JSON lines, rate limits, and no blocking on the reader."""

import asyncio
import io
import json
import logging as standard_logging
import os
import threading
import time
import unittest

from absl import logging

from cranberryrun.events import _BURST_LINES, Events
from cranberryrun.logging_setup import BoundedHandler

from .virtual import VirtualTimeTestCase


def log_record(message):
    return standard_logging.LogRecord("absl", 20, "x.py", 1, message, None, None)


class BoundedHandlerTest(unittest.TestCase):
    def test_handler_does_not_block_when_the_reader_is_blocked(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        handler = BoundedHandler(os.fdopen(writing, "w"), limit=100)
        start_time = time.monotonic()
        for number in range(5000):
            handler.handle(log_record(json.dumps({"n": number, "filler": "x" * 100})))
        self.assertLess(time.monotonic() - start_time, 1.0)

    def test_line_after_a_gap_counts_the_dropped_lines(self):
        reading, writing = os.pipe()
        stream = os.fdopen(writing, "w")
        handler = BoundedHandler(stream, limit=10)
        # More lines than the pipe and the queue hold together; the reader starts later.
        for number in range(2000):
            handler.handle(log_record(json.dumps({"n": number, "filler": "x" * 200})))
        lines = []

        def read():
            with os.fdopen(reading) as reader:
                lines.extend(json.loads(line) for line in reader)

        reader = threading.Thread(target=read)
        reader.start()
        handler.drain(10.0)
        handler.handle(log_record('{"n": "after"}'))
        handler.drain(10.0)
        stream.close()
        reader.join(10.0)
        self.assertEqual(lines[-1]["n"], "after")
        written = len(lines) - 1
        dropped = sum(line.get("dropped_before", 0) for line in lines)
        self.assertGreater(dropped, 0)
        self.assertEqual(written + dropped, 2000)

    def test_plain_message_is_written_as_a_json_object(self):
        stream = io.StringIO()
        handler = BoundedHandler(stream)
        handler.handle(log_record("plain words"))
        handler.drain(1.0)
        self.assertEqual(json.loads(stream.getvalue())["message"], "plain words")


class LineLimitTest(VirtualTimeTestCase):
    async def test_flood_of_one_event_does_not_suppress_another(self):
        verbosity = logging.get_verbosity()
        self.addCleanup(logging.set_verbosity, verbosity)
        logging.set_verbosity(logging.INFO)
        events = Events("host-1", 1, 10)
        with self.assertLogs("absl", "INFO") as logs:
            for _ in range(5000):
                events.emit("request_answered", request="r")
            events.emit("request_refused", request="q")
            await asyncio.sleep(1.0)
            events.emit("request_answered", request="last")
        lines = [json.loads(line.split(":", 2)[2]) for line in logs.output]
        self.assertEqual(len(lines), _BURST_LINES + 2)
        self.assertEqual(lines[-2]["event"], "request_refused")
        self.assertEqual(lines[-1]["left_out"], 5000 - _BURST_LINES)
