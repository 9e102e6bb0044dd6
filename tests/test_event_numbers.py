"""Gaps in the numbers of a stream: events left out, or the way its software counts."""

import unittest

from cranberryrun.fleet.client import MalformedStreamError, StreamedEvents
from cranberryrun.fleet.directory import Target
from cranberryrun.requests.event_numbers import EventNumbers, KnownGaps
from fakes.deployment import ADDRESS


def target(name, software="v1"):
    return Target(name, "lm", ADDRESS, "a", 4, False, 1, 1, {}, software)


def events(first, last=None):
    return StreamedEvents(first, first if last is None else last, b"")


class EventNumbersTest(unittest.TestCase):
    def setUp(self):
        self.known_gaps = KnownGaps()
        self.numbers = EventNumbers(None, self.known_gaps)

    def accept(self, number, target_id="e0", others_left=True, software="v1"):
        self.numbers.accept(
            events(number), target(target_id, software), lambda: others_left
        )

    def test_numbers_that_follow_each_other_are_taken(self):
        for first in (0, 1):
            self.numbers = EventNumbers(None, self.known_gaps)
            for number in range(first, 5):
                self.accept(number)
            self.assertEqual(self.numbers.last, 4)

    def test_gap_is_left_to_another_target(self):
        for last in (None, 3):
            self.numbers = EventNumbers(last, self.known_gaps)
            with self.assertRaises(MalformedStreamError):
                self.accept(9)
            self.assertEqual(self.numbers.last, last)
            self.accept((last or 0) + 1, "e1")
            self.assertFalse(self.numbers.doubtful)

    def test_gap_that_a_second_target_confirms_belongs_to_the_software(self):
        with self.assertRaises(MalformedStreamError):
            self.accept(10, "e0")
        self.accept(10, "e1")
        self.accept(20, "e1")
        numbers = EventNumbers(None, self.known_gaps)
        numbers.accept(events(30), target("e0"), lambda: True)
        self.assertFalse(self.numbers.doubtful)
        with self.assertRaises(MalformedStreamError):
            self.accept(40, "e2", software="v2")

    def test_target_does_not_confirm_its_own_gap(self):
        for _ in range(2):
            with self.assertRaises(MalformedStreamError):
                self.accept(10, "e0")

    def test_events_that_arrive_together_are_judged_by_the_first(self):
        for first, last in ((1, 4), (5, 5), (6, 9)):
            self.numbers.accept(events(first, last), target("e0"), lambda: True)
        self.assertEqual(self.numbers.last, 9)
        self.numbers.accept(StreamedEvents(None, None, b":\n\n"), target("e0"), None)
        self.assertEqual(self.numbers.last, 9)

    def test_gap_is_taken_where_no_other_target_is_left(self):
        self.accept(10, others_left=False)
        self.assertEqual(self.numbers.last, 10)
        self.assertTrue(self.numbers.doubtful)
