import asyncio
import unittest
from unittest import mock

from cranberryrun.paced_events import PacedEvents


class PacedEventsTest(unittest.TestCase):
    def test_events_beyond_one_a_second_are_counted_in_the_next(self):
        """Guards against a crowd that fills the log."""
        events = mock.Mock()

        async def emit():
            paced = PacedEvents(events)
            with mock.patch("cranberryrun.clock.now") as now:
                for now.return_value in (5.0, 5.1, 5.9, 6.0, 7.5):
                    paced.emit("buffers_full", size=1)
                paced.emit("caller_stalled")

        asyncio.run(emit())
        self.assertEqual(
            events.emit.call_args_list,
            [
                mock.call("buffers_full", size=1),
                mock.call("buffers_full", size=1, omitted=2),
                mock.call("buffers_full", size=1),
                mock.call("caller_stalled"),
            ],
        )
