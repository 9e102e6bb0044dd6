"""nose2 plugin that records the outcome of every test by its id."""

from nose2.events import Plugin

outcome_by_id: dict[str, str] = {}


class Outcomes(Plugin):
    """Records ``passed``, ``failed``, ``error`` or ``skipped`` for each test.

    A test with a failed subtest counts as failed.
    """

    configSection = "outcomes"
    alwaysOn = True

    def testOutcome(self, event) -> None:
        test_id, outcome = event.test.id(), event.outcome
        if outcome == "subtest":
            if event.exc_info is None:
                return
            test_id, outcome = event.test.test_case.id(), "failed"
        if event.expected is False and outcome == "passed":
            outcome = "failed"
        if outcome_by_id.get(test_id) in ("failed", "error"):
            return
        outcome_by_id[test_id] = outcome
