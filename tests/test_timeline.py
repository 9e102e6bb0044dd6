"""Merging the events of all hosts, and the explanations made from them."""

import random
import unittest

from cranberryrun.ctl_explain import explanation
from cranberryrun.ctl_timeline import step_summaries, timeline_page, timeline_text
from cranberryrun.timeline import Selection, merge


def event(host, n, name, wall, **fields):
    """Return one event in the form in which a host sends it."""
    return {
        "n": n,
        "wall": wall,
        "loop": wall,
        "host": host,
        "incarnation": 1,
        "number": 1,
        "event": name,
        **fields,
    }


def host_events(rows):
    """Return the host and the event name of each row."""
    return [(row["host"], row["event"]) for row in rows]


class MergeTest(unittest.TestCase):
    def test_cause_precedes_effect_when_clocks_disagree(self):
        rows = [
            event("a", 0, "change_asked", 105.0, change="c1"),
            event("a", 1, "change_applied", 105.1, change="c1"),
            event("b", 0, "host_ready", 99.0),
            event("b", 1, "change_applied", 100.0, change="c1"),
            event("b", 2, "step_started", 100.1, step="w/1"),
        ]
        expected = [
            ("b", "host_ready"),
            ("a", "change_asked"),
            ("b", "change_applied"),
            ("b", "step_started"),
            ("a", "change_applied"),
        ]
        rng = random.Random(5)
        for _ in range(20):
            rng.shuffle(rows)
            self.assertEqual(host_events(merge(rows)), expected)

    def test_events_of_one_process_keep_order_when_clock_goes_back(self):
        rows = [event("a", n, f"e{n}", 100.0 - n) for n in range(5)]
        self.assertEqual([row["n"] for row in merge(rows)], [0, 1, 2, 3, 4])

    def test_merge_drops_duplicates_when_events_are_given_twice(self):
        rows = [event("a", n, "host_ready", float(n)) for n in range(3)]
        self.assertEqual(len(merge(rows * 2)), 3)

    def test_merge_returns_all_events_when_reused_ids_form_a_cycle(self):
        rows = [
            event("a", 0, "change_applied", 1.0, change="c1"),
            event("a", 1, "change_asked", 2.0, change="c2"),
            event("b", 0, "change_applied", 1.5, change="c2"),
            event("b", 1, "change_asked", 2.5, change="c1"),
        ]
        self.assertEqual(len(merge(rows)), 4)

    def test_selection_matches_only_rows_with_its_values(self):
        rows = [
            event("a", 0, "step_started", 1.0, step="w/1"),
            event("b", 0, "step_started", 2.0, step="w/2"),
        ]
        for selection, count in (
            (Selection(), 2),
            (Selection(step="w/1"), 1),
            (Selection(host="b"), 1),
            (Selection(step="w/1", host="b"), 0),
            (Selection(since=1.5), 1),
        ):
            matching = [row for row in rows if selection.matches(row)]
            self.assertEqual(len(matching), count, selection)


class ExplanationTest(unittest.TestCase):
    def test_explanation_names_the_earlier_change_when_a_change_is_rejected(self):
        resource = {"resource": "workloads/w"}
        rows = merge(
            [
                event("a", 0, "change_asked", 1.0, change="c1", **resource),
                event("b", 0, "change_asked", 1.0, change="c2", **resource),
                event(
                    "a",
                    1,
                    "change_applied",
                    2.0,
                    change="c1",
                    offset=4,
                    generation=3,
                    **resource,
                ),
                event("b", 1, "change_rejected", 2.0, change="c2", offset=5, error="x"),
            ]
        )
        text = explanation("change", "c2", rows)
        self.assertIn("The change was rejected: x.", text)
        self.assertIn("Change c1 was applied first: it set generation 3", text)
        self.assertIn("applied at 1 hosts", explanation("change", "c1", rows))
        self.assertEqual(explanation("change", "c9", rows), "")

    def test_explanation_covers_both_hosts_when_a_step_is_moved(self):
        rows = [
            event("a", 0, "step_started", 1.0, step="w/1"),
            event("a", 1, "sample_dispatched", 1.1, step="w/1", engine="e1"),
            event("a", 2, "sample_dispatched", 1.1, step="w/1", engine="e2"),
            event("a", 3, "peer_unreachable", 1.2, peer="c"),
            event("a", 4, "step_moved", 2.0, step="w/1"),
            event("b", 0, "step_started", 5.0, step="w/1"),
            event("b", 1, "sample_resumed", 5.1, step="w/1"),
            event("b", 2, "group_handed", 6.0, step="w/1", samples=2),
            event("b", 3, "step_done", 6.1, step="w/1"),
        ]
        text = explanation("step", "w/1", merge(rows))
        self.assertIn("The step is done: 1 groups with 2 samples", text)
        self.assertIn("2 streams were started, 1 resumed", text)
        self.assertIn("no events for 3.0 s", text)
        self.assertIn("Meanwhile: peer_unreachable at a (1).", text)
        summary = step_summaries(rows)[0]
        self.assertEqual((summary["state"], summary["hosts"]), ("done", ["a", "b"]))

    def test_explanation_says_so_when_the_outcome_of_a_request_is_unknown(self):
        rows = [
            event("a", 0, "request_routed", 1.0, request="r1"),
            event("a", 1, "request_unknown", 2.0, request="r1"),
        ]
        self.assertIn(
            "It is not known whether the request was executed.",
            explanation("request", "r1", rows),
        )

    def test_page_escapes_the_fields_of_events(self):
        rows = [event("a", 0, "host_ready", 1.0, error="<script>x</script>")]
        self.assertNotIn("<script>x", timeline_page(rows))
        self.assertIn("host_ready", timeline_text(rows))
