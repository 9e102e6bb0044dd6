"""Tests of the straggler policies."""

import unittest
from dataclasses import replace

from hypothesis import given, settings, strategies

from cranberryrun.stragglers import (
    NoSecondAttempts,
    SecondAttempts,
    SlotProgress,
    StepProgress,
)

SLOW = SlotProgress(
    ("g", 0), elapsed=60.0, tokens=50, rate=1.0, expected_tokens=200, max_tokens=1000
)
STEP = StepProgress(
    total=32,
    complete=31,
    running=[SLOW],
    idle_slots=4,
    new_stream_rate=20.0,
    durations=[10.0] * 31,
    spent_seconds=370.0,
)


class SecondAttemptsTest(unittest.TestCase):
    def setUp(self):
        self.policy = SecondAttempts()

    def chosen(self, **changes):
        return self.policy.second_attempts(replace(STEP, **changes))

    def test_slow_last_sample_gets_a_second_attempt(self):
        self.assertEqual(self.chosen(), [("g", 0)])
        self.assertEqual(NoSecondAttempts().second_attempts(STEP), [])

    def test_long_sample_at_full_rate_gets_none(self):
        full_rate = replace(SLOW, rate=20.0, tokens=1200, expected_tokens=400)
        self.assertEqual(self.chosen(running=[full_rate]), [])

    def test_stream_without_progress_is_the_most_urgent(self):
        stalled = replace(SLOW, key=("g", 1), rate=0.0)
        self.assertEqual(self.chosen(running=[SLOW, stalled], idle_slots=1), [("g", 1)])

    def test_sample_gets_no_third_attempt(self):
        self.assertEqual(self.chosen(running=[replace(SLOW, attempts=2)]), [])

    def test_recently_started_stream_gets_none(self):
        self.assertEqual(self.chosen(running=[replace(SLOW, elapsed=2.0)]), [])

    def test_none_are_started_while_slots_are_pending(self):
        self.assertEqual(self.chosen(pending=1), [])

    def test_none_are_started_without_idle_slots_or_a_known_rate(self):
        self.assertEqual(self.chosen(idle_slots=0), [])
        self.assertEqual(self.chosen(new_stream_rate=0.0), [])

    def test_none_are_started_beyond_the_allowed_waste(self):
        self.assertEqual(self.chosen(spent_seconds=100.0), [])
        self.assertEqual(self.chosen(wasted_seconds=25.0), [])

    @settings(derandomize=True, max_examples=200)
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 3),
                strategies.floats(0, 500),
                strategies.integers(0, 5000),
                strategies.floats(0, 200),
            ),
            max_size=40,
        ),
        strategies.integers(0, 10),
        strategies.floats(0, 5000),
        strategies.floats(0, 500),
    )
    def test_choices_are_distinct_affordable_and_fit_the_idle_slots(
        self, rows, idle, spent_seconds, wasted_seconds
    ):
        running = [
            SlotProgress(("g", n), attempts, elapsed, tokens, rate, 1000.0, 4096)
            for n, (attempts, elapsed, tokens, rate) in enumerate(rows)
        ]
        step = StepProgress(
            total=64,
            complete=64 - len(rows),
            running=running,
            idle_slots=idle,
            new_stream_rate=100.0,
            spent_seconds=spent_seconds,
            wasted_seconds=wasted_seconds,
        )
        chosen = SecondAttempts(0.08).second_attempts(step)
        self.assertEqual(len(set(chosen)), len(chosen))
        self.assertLessEqual(len(chosen), idle)
        by_key = {slot.key: slot for slot in running}
        cost = sum(by_key[key].estimated_tokens / 100.0 for key in chosen)
        if chosen:
            self.assertLessEqual(wasted_seconds + cost, spent_seconds * 0.08 + 1e-6)
