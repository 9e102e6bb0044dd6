"""The ledger of duty calls: what follows from the records in the store."""

import unittest

from cranberryrun.duties.records import AnswerRecord, CallRecord, DutyLedger, encode
from fakes.duties import CountingDuty


class DutyLedgerTest(unittest.TestCase):
    def test_first_record_of_a_call_counts(self):
        """A second one may come from a holder that decided at the same time."""
        duty = CountingDuty()
        ledger = DutyLedger((duty,))
        for offset, count in enumerate((1, 2)):
            record = CallRecord("scale", "a", 1, {"count": count})
            ledger.apply(offset, encode(record))
        self.assertEqual([call.content for call in duty.recorded], [{"count": 1}])
        self.assertEqual(ledger.next_to_send(0.0), duty.recorded[0])

    def test_calls_whose_records_were_trimmed_have_an_answer(self):
        """A host that did not read the answer would make an old call after newer."""
        ledger = DutyLedger((CountingDuty(),))
        ledger.apply(0, encode(CallRecord("scale", "a", 1, {"count": 1})))
        ledger.apply(9, encode(CallRecord("scale", "a", 5, {"count": 5})))
        self.assertEqual(ledger.next_to_send(0.0).number, 5)

    def test_copy_of_a_call_is_not_another_call(self):
        """Also for a host that read neither the answer nor what was trimmed with it."""
        call, answer = CallRecord("scale", "a", 1, {}), AnswerRecord(
            "scale", "a", 1, True
        )
        for records in (
            {0: call, 1: answer, 8: call, 9: answer},
            {0: call, 8: call, 9: answer},
            {8: call, 9: answer},
        ):
            duty = CountingDuty()
            ledger = DutyLedger((duty,))
            for offset, record in records.items():
                ledger.apply(offset, encode(record))
            self.assertEqual(len(duty.recorded), 1)
            self.assertEqual(duty.answers, [(1, True)])
            self.assertEqual(ledger.unanswered_calls(), [])
            self.assertEqual(ledger.trimmable_before(), 8)

    def test_calls_of_a_duty_that_this_host_lacks_are_kept_but_not_made(self):
        ledger = DutyLedger(())
        ledger.apply(0, encode(CallRecord("scale", "a", 1, {"count": 1})))
        ledger.apply(1, encode(CallRecord("scale", "b", 1, {"count": 1})))
        self.assertIsNone(ledger.next_to_send(0.0))
        self.assertEqual(ledger.trimmable_before(), 0)
