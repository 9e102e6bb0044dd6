"""When an interrupted output is given up and generated anew."""

from cranberryrun.batches.continuation import outputs_to_restart
from cranberryrun.batches.dispatch import may_run
from cranberryrun.batches.models import Piece
from cranberryrun.fleet.origin import Origin
from fakes.deployment import SERVICE

from .test_batch_dispatch import FAST_INTERVAL, DispatchTestCase

PIECES = 10


class RestartTest(DispatchTestCase):
    async def asyncSetUp(self):
        (self.scheduled,) = self.scheduled_items(groups=1, size=1, events=30)
        self.scheduled.pieces = [Piece("x", 1)] * PIECES
        self.scheduled.origin = Origin(SERVICE, "v1")
        self.old, self.new = self.engine("e0"), self.engine("e1")
        self.set_software(self.old, "v1")
        self.set_software(self.new, "v2")

    def restarts(self, engines, waited):
        return outputs_to_restart([self.scheduled], engines, waited)

    async def test_output_goes_on_only_at_its_version(self):
        self.assertTrue(may_run(self.scheduled, self.old))
        self.assertFalse(may_run(self.scheduled, self.new))

    async def test_output_is_kept_while_waiting_costs_less_than_generating_it(self):
        regeneration = PIECES * FAST_INTERVAL
        engines = [self.old, self.new]
        self.assertEqual(self.restarts(engines, 0.9 * regeneration), [])
        self.assertEqual(self.restarts(engines, regeneration), [self.scheduled])

    async def test_output_is_given_up_at_once_when_no_engine_of_its_version_is_left(
        self,
    ):
        self.assertEqual(self.restarts([self.new], 0.0), [self.scheduled])

    async def test_output_is_kept_while_no_other_engine_could_start_it(self):
        self.new.in_flight = self.new.target.slots
        self.assertEqual(self.restarts([self.new], 9.0), [])

    async def test_running_and_unbegun_items_are_left_alone(self):
        self.scheduled.engine = self.old
        self.assertEqual(self.restarts([self.new], 9.0), [])
        self.scheduled.engine = None
        self.scheduled.discard_output()
        self.assertEqual(self.restarts([self.new], 9.0), [])
