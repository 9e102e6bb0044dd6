"""The list of orders for engines, from log files."""

import json
import unittest

from click.testing import CliRunner

from cranberryrun.catalogue import EVENT_BY_NAME
from cranberryrun.ctl import main


def event_line(n, event, **fields):
    row = {
        "n": n,
        "wall": 1000.0 + n,
        "loop": float(n),
        "host": "h1",
        "incarnation": 1,
        "number": EVENT_BY_NAME[event].number,
        "event": event,
    }
    return json.dumps(row | fields)


class ScaleCommandTest(unittest.TestCase):
    def run_scale(self, *options, lines):
        arguments = [*options, "scale", "--logs", "-"]
        result = CliRunner().invoke(main, arguments, input=lines)
        self.assertEqual(result.exit_code, 0, result.output)
        return result.output

    def test_orders_for_engines_are_listed_with_their_inputs_and_what_was_refused(self):
        order = {"service": "m", "zone": "a", "spot": False, "count": 9, "present": 8}
        inputs = {"needed_slots": 66.5, "runs": 40, "demand_age": 0.1}
        spot = order | {"spot": True, "count": 3, "present": 4}
        call = {"duty": "scale", "subject": "m/a/spot", "call": 1}
        lines = [
            event_line(
                1, "engines_wanted", **order, **inputs, reason="engines were lost"
            ),
            event_line(2, "duty_recorded", **call),
            event_line(3, "engines_wanted", **spot),
            # An older call that is skipped says nothing of the newest order.
            event_line(4, "duty_skipped", **call | {"call": 0}, calls=1),
            # A successor sends the recorded order, and not the old one for fewer.
            event_line(5, "engine_order_refused", **order, age=2.5, host="h2"),
            event_line(6, "duty_skipped", **call, calls=1, reason="expired"),
            event_line(7, "engine_order_refused", **spot, age=15.1),
            event_line(8, "engines_wanted", **order | {"count": 10}),
            event_line(9, "engines_wanted", **order | {"count": 12}),
            # The log of the host that decided on this one is missing.
            event_line(10, "engines_ordered", **order | {"zone": "b"}, age=0.2),
        ]
        text = "\n".join(lines)
        output = self.run_scale("-o", "json", lines=text)
        orders = json.loads(output)
        self.assertEqual(
            [(each["zone"], each["count"], each["outcome"]) for each in orders],
            [
                ("a", 9, "refused"),
                ("a", 3, "given up"),
                ("a", 10, "superseded"),
                ("a", 12, "recorded"),
                ("b", 9, "accepted"),
            ],
        )
        self.assertEqual(orders[0]["inputs"]["needed_slots"], 66.5)
        self.assertEqual(orders[0]["hosts"], ["h1", "h2"])
        first = self.run_scale(lines=text).splitlines()[1]
        self.assertEqual(
            first.split(),
            "00:16:41.000 m a on-demand 8 9 refused 2.5 66.5 40 0.1 h1, h2 engines "
            "were lost".split(),
        )
        self.assertEqual(CliRunner().invoke(main, ["scale"]).exit_code, 2)


if __name__ == "__main__":
    unittest.main()
