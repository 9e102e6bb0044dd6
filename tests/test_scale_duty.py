"""The duty of ordering engines: records, repeats by a new holder, refusals."""

import asyncio
import unittest
from dataclasses import replace

from cranberryrun.duties.client import EngineOrder
from cranberryrun.scaling.duty import ScaleDuty
from cranberryrun.scaling.models import EngineGroup, ScalingInputs
from cranberryrun.scaling.retention import SLOTS_EXCEEDED

from .test_scaling_policy import AUTOSCALE, ENGINE_SLOTS, INTERVAL, demand


class RecordingClient:
    """Takes note of orders in place of the platform's API."""

    def __init__(self):
        self.orders = []

    async def order_engines(self, order, holder, fence):
        self.orders.append((order, holder, fence))


class ScaleDutyTest(unittest.TestCase):
    def setUp(self):
        self.events = []
        groups = tuple(
            EngineGroup(z, False, 8, 0, ENGINE_SLOTS, INTERVAL) for z in "abc"
        )
        self.inputs = ScalingInputs(AUTOSCALE, demand(6000.0), groups, 0)
        self.duty = self.create_duty()

    def create_duty(self):
        return ScaleDuty(lambda now: {"models": self.inputs}, self.emit)

    def emit(self, name, **fields):
        self.events.append((name, fields))

    def event_names(self):
        return [name for name, _ in self.events]

    def send(self, call):
        client = RecordingClient()
        asyncio.run(self.duty.send(client, call, "host-1", 7))
        return client.orders

    def test_same_call_is_returned_until_it_is_recorded(self):
        """The service asks twice before it records; a second decision may differ."""
        call = self.duty.next_call(100.0)
        self.assertEqual(self.duty.next_call(100.1), call)
        self.assertEqual(self.event_names(), [])
        self.duty.apply_record(call)
        self.assertEqual(self.event_names(), ["engines_wanted"])
        fields = self.events[0][1]
        self.assertEqual((fields["demand_age"], fields["present"]), (100.0, 8))
        self.assertEqual(fields["reason"], SLOTS_EXCEEDED)
        self.assertNotEqual(self.duty.next_call(100.1), call)

    def test_call_is_sent_as_recorded_and_its_acceptance_is_logged_with_its_age(self):
        call = self.duty.next_call(100.0)
        self.duty.apply_record(call)
        content = call.content
        order = EngineOrder("models", content["zone"], content["count"])
        self.assertEqual(self.send(call), [(order, "host-1", 7)])
        self.duty.next_call(101.5)
        self.duty.apply_answer(call, True)
        name, fields = self.events[-1]
        self.assertEqual((name, fields["age"]), ("engines_ordered", 1.5))

    def test_refused_zone_is_not_ordered_from_before_the_boot_time(self):
        # On-demand engines of the other two zones are enough, so none of the zone's
        # room goes to spot engines.
        autoscale = replace(AUTOSCALE, spot_price=1.0)
        self.inputs = replace(self.inputs, autoscale=autoscale, demand=demand(5700.0))
        call = self.duty.next_call(100.0)
        self.duty.apply_record(call)
        self.send(call)
        self.duty.apply_answer(call, False)
        name, fields = self.events[-1]
        self.assertEqual((name, fields["age"]), ("engine_order_refused", 0.0))
        self.assertIn("needed_slots", fields)
        for tenth in range(39):
            other = self.duty.next_call(100.0 + tenth / 10)
            if other is not None:
                self.assertNotEqual(other.subject, call.subject)
                self.duty.apply_record(other)
        self.inputs = replace(self.inputs, demand=demand(9000.0))
        numbers = {}
        while (other := self.duty.next_call(104.4)) is not None:
            self.duty.apply_record(other)
            numbers[other.subject] = other.number
        self.assertEqual(numbers.get(call.subject), 1)

    def test_new_holder_does_not_order_again_what_an_earlier_one_recorded(self):
        calls = []
        while (call := self.duty.next_call(100.0)) is not None:
            self.duty.apply_record(call)
            calls.append(call)
        self.events.clear()
        successor = self.create_duty()
        for call in calls:
            successor.apply_record(call)
            successor.apply_answer(call, True)
        self.assertIsNone(successor.next_call(101.0))
        self.assertEqual(self.events, [])

    def test_only_the_newest_unanswered_call_of_a_zone_is_sent(self):
        """An older one was carried out, or undoes the newer one."""
        first = self.duty.next_call(100.0)
        self.duty.apply_record(first)
        second = replace(first, number=1)
        self.duty.apply_record(second)
        self.assertTrue(self.duty.expired(first, 101.0))
        self.assertFalse(self.duty.expired(second, 101.0))
        self.duty.apply_answer(first, False)
        following = self.duty.next_call(101.0)
        self.assertNotEqual(following and following.subject, first.subject)

    def test_old_order_for_fewer_engines_expires_and_one_for_more_does_not(self):
        more = self.duty.next_call(100.0)
        fewer = replace(more, content=more.content | {"count": 3, "present": 8})
        self.assertFalse(self.duty.expired(fewer, 110.0))
        self.assertTrue(self.duty.expired(fewer, 120.0))
        self.assertFalse(self.duty.expired(more, 120.0))

    def test_record_of_another_build_is_numbered_and_not_sent(self):
        call = self.duty.next_call(100.0)
        strange = replace(call, content={"group": 5})
        self.duty.apply_record(strange)
        self.assertTrue(self.duty.expired(strange, 100.0))
        self.assertEqual(self.duty.next_call(100.0).number, 1)

    def test_counts_are_shown_only_by_the_host_that_decides(self):
        self.duty.next_call(100.0)
        self.assertEqual(self.duty.present_by_zone(101.0), {"a": 8, "b": 8, "c": 8})
        self.assertGreaterEqual(sum(self.duty.wanted_by_zone(101.0).values()), 26)
        self.assertEqual(self.duty.wanted_by_zone(110.0), {})

    def test_nothing_is_ordered_when_no_service_is_autoscaled(self):
        duty = ScaleDuty(lambda now: {}, self.emit)
        self.assertIsNone(duty.next_call(100.0))


if __name__ == "__main__":
    unittest.main()
