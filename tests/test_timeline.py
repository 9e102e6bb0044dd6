"""Merging the hosts' events, and the stories told from them."""

import random
import unittest

from cranberryrun.ctl_explain import story
from cranberryrun.ctl_timeline import page, steps_of, text
from cranberryrun.timeline import Selection, merge


def event(host, n, name, wall, **fields):
    """Return one event as a host gives it."""
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


def names(rows):
    """Return host and event of each row."""
    return [(row["host"], row["event"]) for row in rows]


class MergeTest(unittest.TestCase):
    def test_a_cause_stands_before_its_effect_where_clocks_disagree(self):
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
            self.assertEqual(names(merge(rows)), expected)

    def test_one_process_keeps_its_order_where_its_clock_goes_back(self):
        rows = [event("a", n, f"e{n}", 100.0 - n) for n in range(5)]
        self.assertEqual([row["n"] for row in merge(rows)], [0, 1, 2, 3, 4])

    def test_events_given_twice_stand_once(self):
        rows = [event("a", n, "host_ready", float(n)) for n in range(3)]
        self.assertEqual(len(merge(rows * 2)), 3)

    def test_ids_used_twice_end_no_merge(self):
        rows = [
            event("a", 0, "change_applied", 1.0, change="c1"),
            event("a", 1, "change_asked", 2.0, change="c2"),
            event("b", 0, "change_applied", 1.5, change="c2"),
            event("b", 1, "change_asked", 2.5, change="c1"),
        ]
        self.assertEqual(len(merge(rows)), 4)

    def test_a_selection(self):
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
            found = [row for row in rows if selection.takes(row)]
            self.assertEqual(len(found), count, selection)


class StoryTest(unittest.TestCase):
    def test_a_rejected_change_names_the_one_that_came_first(self):
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
        told = story("change", "c2", rows)
        self.assertIn("It was rejected: x.", told)
        self.assertIn("Change c1 came first: it made generation 3", told)
        self.assertIn("applied at 1 hosts", story("change", "c1", rows))
        self.assertEqual(story("change", "c9", rows), "")

    def test_a_step_over_two_hosts(self):
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
        told = story("step", "w/1", merge(rows))
        self.assertIn("It is done: 1 groups with 2 samples", told)
        self.assertIn("2 streams were begun, 1 resumed", told)
        self.assertIn("nothing for 3.0 s", told)
        self.assertIn("Meanwhile: peer_unreachable at a (1).", told)
        seen = steps_of(rows)[0]
        self.assertEqual((seen["state"], seen["hosts"]), ("done", ["a", "b"]))

    def test_a_request(self):
        rows = [
            event("a", 0, "request_routed", 1.0, request="r1"),
            event("a", 1, "request_unknown", 2.0, request="r1"),
        ]
        self.assertIn("Nobody can say", story("request", "r1", rows))

    def test_what_an_event_holds_is_escaped_in_the_page(self):
        rows = [event("a", 0, "host_ready", 1.0, error="<script>x</script>")]
        self.assertNotIn("<script>x", page(rows))
        self.assertIn("host_ready", text(rows))
