"""When slow samples get a second attempt."""

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
    whole=31,
    running=[SLOW],
    idle_slots=4,
    new_rate=20.0,
    durations=[10.0] * 31,
    spent=370.0,
)


class SecondAttemptsTest(unittest.TestCase):
    def setUp(self):
        self.policy = SecondAttempts()

    def chosen(self, **changes):
        return self.policy.second_attempts(replace(STEP, **changes))

    def test_a_slow_last_sample_gets_one(self):
        self.assertEqual(self.chosen(), [("g", 0)])
        self.assertEqual(NoSecondAttempts().second_attempts(STEP), [])

    def test_a_long_sample_at_full_speed_does_not(self):
        fast = replace(SLOW, rate=20.0, tokens=1200, expected_tokens=400)
        self.assertEqual(self.chosen(running=[fast]), [])

    def test_a_stream_that_gives_nothing_is_the_most_urgent(self):
        dead = replace(SLOW, key=("g", 1), rate=0.0)
        self.assertEqual(self.chosen(running=[SLOW, dead], idle_slots=1), [("g", 1)])

    def test_no_sample_gets_a_third(self):
        self.assertEqual(self.chosen(running=[replace(SLOW, attempts=2)]), [])

    def test_a_stream_that_has_just_begun_does_not(self):
        self.assertEqual(self.chosen(running=[replace(SLOW, elapsed=2.0)]), [])

    def test_none_while_samples_wait_for_their_first(self):
        self.assertEqual(self.chosen(waiting=1), [])

    def test_none_without_room_or_a_known_speed(self):
        self.assertEqual(self.chosen(idle_slots=0), [])
        self.assertEqual(self.chosen(new_rate=0.0), [])

    def test_none_beyond_the_allowed_waste(self):
        self.assertEqual(self.chosen(spent=100.0), [])
        self.assertEqual(self.chosen(wasted=25.0), [])

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
    def test_choices_are_running_bounded_and_affordable(
        self, rows, idle, spent, wasted
    ):
        running = [
            SlotProgress(("g", n), attempts, elapsed, tokens, rate, 1000.0, 4096)
            for n, (attempts, elapsed, tokens, rate) in enumerate(rows)
        ]
        step = StepProgress(
            total=64,
            whole=64 - len(rows),
            running=running,
            idle_slots=idle,
            new_rate=100.0,
            spent=spent,
            wasted=wasted,
        )
        chosen = SecondAttempts(0.08).second_attempts(step)
        self.assertEqual(len(set(chosen)), len(chosen))
        self.assertLessEqual(len(chosen), idle)
        by_key = {each.key: each for each in running}
        cost = sum(by_key[key].whole_tokens / 100.0 for key in chosen)
        if chosen:
            self.assertLessEqual(wasted + cost, spent * 0.08 + 1e-6)
