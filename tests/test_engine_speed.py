"""The model of one engine's speed."""

import random
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


class LastingIntervalTest(unittest.TestCase):
    def gaps(self, seconds, rng, slower=1.0, noise=0.0):
        """Return gaps whose speed is drawn anew every 0.6 s."""
        now, gaps, span = 0.0, [], -1
        while now < seconds:
            if int(now / 0.6) != span:
                span = int(now / 0.6)
                factor = slower * (2.5 if rng.random() < noise else 1.0)
            gaps.append(USUAL * factor * rng.uniform(0.9, 1.1))
            now += gaps[-1]
        return gaps

    def test_noise_changes_it_by_a_few_percent_at_most(self):
        """The moving average rose to twice the usual interval in each slow span."""
        for seed in range(5):
            rng = random.Random(seed)
            speed, now, worst = EngineSpeed(), 0.0, []
            now = play(speed, self.gaps(2.0, rng))
            for _ in range(400):
                now = play(speed, self.gaps(0.3, rng, noise=0.15), now)
                worst.append(speed.lasting_interval())
            self.assertLess(sum(worst) / len(worst), 1.04 * USUAL)
            self.assertGreater(min(worst), 0.94 * USUAL)

    def test_threefold_slowness_shows_within_2_s_and_so_does_its_end(self):
        rng = random.Random(1)
        for noise in (0.0, 0.15):
            speed = EngineSpeed()
            now = play(speed, self.gaps(5.0, rng))
            self.assertAlmostEqual(speed.lasting_interval(), USUAL, delta=0.003)
            now = play(speed, self.gaps(2.0, rng, slower=3.0, noise=noise), now)
            self.assertGreater(speed.lasting_interval(), 2.6 * USUAL)
            play(speed, self.gaps(1.0, rng), now)
            self.assertAlmostEqual(speed.lasting_interval(), USUAL, delta=0.003)

    def test_single_slow_span_of_an_engine_with_few_events_is_not_lasting(self):
        """An engine without runs before the span may have been fast."""
        speed = EngineSpeed()
        play(speed, [0.125] * 5)
        self.assertEqual(speed.lasting_interval(), 0.0)
        now = play(speed, [0.05] * 40, 5.0)
        self.assertAlmostEqual(speed.lasting_interval(), 0.05)
        play(speed, [0.125] * 10, now + 10.0)
        self.assertAlmostEqual(speed.lasting_interval(), 0.05)

    def test_interval_of_another_host_holds_until_it_is_measured(self):
        speed = EngineSpeed()
        speed.restore(0.15)
        self.assertEqual(speed.lasting_interval(), 0.15)
        play(speed, [0.05] * 8)
        self.assertAlmostEqual(speed.lasting_interval(), 0.05)
