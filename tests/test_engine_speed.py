"""The model of one engine's speed."""

import unittest

from cranberryrun.fleet.engine_speed import EngineSpeed

USUAL = 0.05


def play(speed, gaps, start=0.0, runs=1):
    """Record events of ``runs`` runs, which all advance together, after ``gaps``."""
    now = start
    for _ in range(runs):
        speed.record_start(now)
        speed.record_event(now, None)
    for gap in gaps:
        for _ in range(runs):
            speed.record_event(now + gap, now)
        now += gap
    return now


class SlowNowTest(unittest.TestCase):
    def test_engine_without_measurements_is_normal(self):
        self.assertFalse(EngineSpeed().slow_now(5.0, USUAL))
        self.assertFalse(EngineSpeed().full_speed_now(5.0, USUAL))

    def test_silence_of_all_runs_shows_a_slow_span_before_the_next_event(self):
        speed = EngineSpeed()
        now = play(speed, [0.05] * 4, runs=3)
        self.assertFalse(speed.slow_now(now + 0.075, USUAL))
        self.assertTrue(speed.slow_now(now + 0.1, USUAL))

    def test_single_long_gap_at_full_speed_is_no_slow_span(self):
        """Events come after 20 to 75 ms at times, though the engine is not slow."""
        speed = EngineSpeed()
        now = play(speed, [0.05, 0.075])
        self.assertFalse(speed.slow_now(now, USUAL))

    def test_slow_span_ends_with_the_first_event_at_full_speed(self):
        speed = EngineSpeed()
        now = play(speed, [0.05, 0.127])
        self.assertTrue(speed.slow_now(now + 0.03, USUAL))
        speed.record_event(now + 0.05, now)
        self.assertFalse(speed.slow_now(now + 0.06, USUAL))
        self.assertTrue(speed.full_speed_now(now + 0.06, USUAL))

    def test_engine_whose_runs_left_counts_as_slow_until_the_span_is_over(self):
        speed = EngineSpeed()
        now = play(speed, [0.05, 0.127])
        speed.record_end()
        self.assertTrue(speed.slow_now(now + 0.5, USUAL))
        self.assertFalse(speed.slow_now(now + 0.7, USUAL))

    def test_idle_time_before_a_run_is_no_silence(self):
        speed = EngineSpeed()
        now = play(speed, [0.05])
        speed.record_end()
        speed.record_start(now + 3.0)
        self.assertFalse(speed.slow_now(now + 3.05, USUAL))
        self.assertTrue(speed.slow_now(now + 3.1, USUAL))
