import unittest

from cranberryrun.buffer_budget import SMALL_BYTES, BufferBudget, BufferPath
from cranberryrun.requests.read_pace import ReadPace


class BufferBudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = BufferBudget(100)

    def test_released_bytes_fit_again(self):
        """Guards against bytes that stay counted, which would refuse all calls."""
        hold = self.budget.hold(BufferPath.REQUEST_BODY, 60, 0.0)
        self.assertFalse(self.budget.fits(50))
        self.budget.resize(hold, 40)
        self.assertTrue(self.budget.fits(50))
        self.budget.release(hold)
        self.budget.release(hold)
        self.budget.resize(hold, 30)
        self.assertEqual(self.budget.used_bytes, 0)

    def test_body_that_never_fits_is_served_beside_small_calls_alone(self):
        self.assertTrue(self.budget.fits(500))
        hold = self.budget.hold(BufferPath.REQUEST_BODY, 300, 0.0)
        self.assertTrue(self.budget.fits(200, hold))
        self.assertTrue(self.budget.fits(25))
        self.assertFalse(self.budget.fits(26))

    def test_body_that_is_too_large_for_the_process_never_fits(self):
        budget = BufferBudget(100, single_bytes=400)
        self.assertTrue(budget.fits(400))
        self.assertFalse(budget.fits(401))
        self.assertEqual(
            (budget.never_fits(400), budget.never_fits(401)), (False, True)
        )

    def test_small_calls_fit_beside_any_number_of_large_ones(self):
        budget = BufferBudget(4 * SMALL_BYTES)
        while budget.fits(SMALL_BYTES + 1):
            budget.hold(BufferPath.REQUEST_BODY, SMALL_BYTES + 1, 0.0)
        self.assertTrue(budget.fits(SMALL_BYTES // 2))

    def test_incomplete_heads_give_way(self):
        head = self.budget.hold(BufferPath.HEAD, 50, 0.0)
        self.budget.hold(BufferPath.CALL, 50, 0.0)
        self.assertEqual(self.budget.stalled_holds(20, 5.0), [head])

    def test_usage_is_shown_for_each_path(self):
        self.budget.hold(BufferPath.PAGE, 30, 0.0)
        self.budget.hold(BufferPath.PAGE, 5, 0.0)
        used = self.budget.used_by_path()
        self.assertEqual((used["page"], used["stream"]), (35, 0))

    def test_largest_answers_of_slow_readers_are_given_up_first(self):
        small = self.budget.hold(BufferPath.ANSWER, 10, 0.0)
        large = self.budget.hold(BufferPath.PAGE, 50, 0.0)
        self.assertEqual(self.budget.stalled_holds(40, 5.0), [])
        self.assertEqual(self.budget.stalled_holds(60, 5.0), [large])
        self.assertEqual(self.budget.stalled_holds(100, 5.0), [large, small])

    def test_no_answer_is_given_up_in_vain_or_while_it_may_be_read(self):
        self.budget.hold(BufferPath.ANSWER, 30, 0.0)
        self.budget.hold(BufferPath.STREAM, 60, 0.0)
        self.assertEqual(self.budget.stalled_holds(50, 5.0), [])
        self.assertEqual(self.budget.stalled_holds(30, 1.0), [])
        self.assertEqual(len(self.budget.stalled_holds(30, 5.0)), 1)


class ReadPaceTest(unittest.TestCase):
    """Guards against targets blamed for slow callers, and callers for bad targets."""

    def read(self, pace, *parts):
        """Record parts that arrived after a wait and were taken after a pause."""
        now = 0.0
        for waited, paused in parts:
            pace.begin_read(now)
            pace.end_read(now + waited)
            now += waited + paused
        pace.begin_read(now)
        return now

    def test_end_after_a_long_pause_is_not_the_targets_fault(self):
        pace = ReadPace()
        now = self.read(pace, (0.05, 0.0), (0.05, 3.0))
        self.assertTrue(pace.ended_unread(now + 0.001))

    def test_short_pauses_add_up_while_parts_are_waiting(self):
        pace = ReadPace()
        now = self.read(pace, (0.05, 0.1), *[(0.0, 0.1)] * 12)
        self.assertTrue(pace.ended_unread(now))

    def test_end_while_the_caller_keeps_up_is_the_targets_fault(self):
        pace = ReadPace()
        now = self.read(pace, (0.05, 60.0), *[(0.05, 0.001)] * 60)
        self.assertFalse(pace.ended_unread(now))
        pace = ReadPace()
        now = self.read(pace, *[(0.05, 0.03)] * 100)
        self.assertFalse(pace.ended_unread(now))

    def test_reading_what_waits_on_a_busy_host_is_not_catching_up(self):
        pace = ReadPace()
        now = self.read(pace, (0.05, 3.0), *[(0.02, 0.001)] * 20)
        self.assertTrue(pace.ended_unread(now))

    def test_end_long_after_reading_went_on_is_the_targets_fault(self):
        pace = ReadPace()
        now = self.read(pace, (0.05, 3.0))
        self.assertFalse(pace.ended_unread(now + 1.0))
