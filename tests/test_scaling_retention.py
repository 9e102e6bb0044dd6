"""Engines that are kept: few are exchanged, and none lacks where steps are late."""

import unittest
from dataclasses import replace

from cranberryrun.scaling.capacity import covers, needed_slots
from cranberryrun.scaling.demand import OpenStep
from cranberryrun.scaling.retention import ENGINES_LOST, STEPS_LATE

from .test_scaling_policy import (
    AUTOSCALE,
    INTERVAL,
    SLOTS,
    ZONES,
    PolicyTestCase,
    demand,
)

# Needs 150 of 192 slots, and 200 at the target utilization.
_BUSY = demand(4500.0)


class RetentionTest(PolicyTestCase):
    def play_spot(self, seconds, each, **options):
        return self.play(seconds, each, autoscale=AUTOSCALE, **options)

    def test_no_engine_is_ordered_within_a_minute_while_the_slots_suffice(self):
        """Each engine that was ordered loaded weights for the rest of a short day."""
        for events in (500.0, 2500.0, 4500.0):
            self.setUp()
            for step in range(15):
                self.play_spot(4.0, demand(events * (1.1 if step % 2 else 1.0)))
            more = [order for order in self.orders if order[3] > 8 or order[2]]
            self.assertEqual(more, [])

    def test_late_step_gets_engines_for_the_target_utilization(self):
        self.play_spot(20.0, _BUSY)
        self.assertEqual(self.orders, [])
        late = replace(_BUSY, open_steps=(OpenStep(due=self.now - 0.1, events=1.0),))
        self.play_spot(0.5, late)
        self.assertEqual(self.policy.order_reason, STEPS_LATE)
        # The step ends; the rest of the engines is ordered all the same.
        self.play_spot(5.0, _BUSY)
        need = needed_slots(_BUSY, INTERVAL, plain_requests=False)
        self.assertTrue(covers(self.ready, dict.fromkeys(ZONES, SLOTS), need))

    def test_work_that_cannot_be_done_before_it_is_due_gets_engines(self):
        # 20,000 events take 800 slot-seconds, and 192 slots have 3 s.
        tight = replace(_BUSY, open_steps=(OpenStep(due=3.0, events=20_000.0),))
        self.play_spot(0.5, tight)
        self.assertNotEqual(self.orders, [])

    def test_lost_engines_are_replaced_and_all_others_stay(self):
        self.play_spot(20.0, _BUSY)
        self.ready["b", False] = 5
        while not self.orders:
            self.play_spot(0.5, _BUSY)
        reason = self.policy.order_reason
        self.play_spot(6.0, _BUSY)
        self.assertEqual(reason, ENGINES_LOST)
        # As many new ones as were lost, of whatever kind.
        self.assertEqual(sum(self.ready.values()), 24)
        self.assertEqual((self.ready["a", False], self.ready["c", False]), (8, 8))

    def test_lost_engines_that_are_not_needed_are_not_replaced(self):
        self.play_spot(12.0, demand(2500.0))
        self.ready["b", False] = 5
        self.play_spot(9.0, demand(2500.0))
        self.assertEqual(self.orders, [])

    def test_loss_of_spot_engines_adds_few_and_removes_no_other_engine(self):
        """No zone has others; before, on-demand engines of all zones were exchanged."""
        self.ready = {(zone, spot): 4 for zone in ZONES for spot in (False, True)}
        self.ready["b", False] = 7
        self.play_spot(10.0, demand(3400.0))
        self.assertEqual(self.orders, [])
        self.refused = {(zone, True) for zone in ZONES}
        self.draining["a", True], self.ready["a", True] = 4, 0
        self.play_spot(2.5, demand(3400.0))
        del self.draining["a", True]
        self.play_spot(12.0, demand(3400.0))
        self.assertEqual([order[1:] for order in self.orders], [("b", False, 8)])

    def test_exchange_is_made_once_it_would_have_paid(self):
        self.play_spot(100.0, demand(2500.0))
        self.assertEqual([order for order in self.orders if order[2]], [])
        self.assertLess(self.ready["c", False], 8)
        self.play_spot(300.0, demand(2500.0))
        spot = sum(count for (_, spot), count in self.ready.items() if spot)
        self.assertGreater(spot, 0)
        orders = len(self.orders)
        self.play_spot(100.0, demand(2500.0))
        self.assertEqual(len(self.orders), orders)


if __name__ == "__main__":
    unittest.main()
