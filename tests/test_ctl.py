"""The operators' command line against hosts in this process."""

import asyncio
import json
import unittest
from unittest import mock

from click.testing import CliRunner

from cranberryrun.api import Api
from cranberryrun.catalogue import EVENT_BY_NAME
from cranberryrun.ctl import main
from cranberryrun.ctl_apply import path_of
from cranberryrun.ctl_client import ControlClient, Request

from .fleet import Fleet

_WORKLOAD = {
    "kind": "workload",
    "name": "denoiser",
    "spec": {"pool": "rollout", "freshness_bound": 2},
}
_ENGINE = {
    "kind": "engines",
    "name": "engine-1",
    "spec": {"url": "http://127.0.0.1:9", "zone": "zone-a", "pool": "rollout"},
}
_NOWHERE = "http://127.0.0.1:1"


class ControlTestCase(unittest.TestCase):
    """Runs commands against a fleet that the tests of a class share."""

    hosts = 2

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(cls.hosts)
        cls.fleet.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__()

    def call(self, *arguments, text=None, hosts=None, code=0):
        """Run one command; check its exit code and return what it printed."""
        options = []
        for url in hosts or self.fleet.urls:
            options += ["--host", url]
        result = CliRunner().invoke(main, [*options, *arguments], input=text)
        self.assertEqual(
            result.exit_code, code, f"{result.output} {result.exception!r}"
        )
        return result

    def apply(self, *declared, options=(), code=0):
        """Apply resources from standard input."""
        text = json.dumps(list(declared))
        return self.call("apply", "-f", "-", *options, text=text, code=code)

    def named(self, name, **spec):
        """Return a declared workload of this name."""
        return {**_WORKLOAD, "name": name, "spec": {**_WORKLOAD["spec"], **spec}}


class ResourceCommandsTest(ControlTestCase):
    def test_apply_waits_until_in_force_and_repeats_as_unchanged(self):
        first = self.apply(self.named("wl-a"), _ENGINE, options=["--wait"])
        self.assertIn("workloads/wl-a created: generation 1", first.output)
        self.assertIn("workloads/wl-a is in force everywhere", first.output)
        second = self.apply(self.named("wl-a"))
        self.assertIn("workloads/wl-a unchanged", second.output)
        third = self.apply(self.named("wl-a", priority=3))
        self.assertIn("workloads/wl-a changed: generation 2", third.output)

    def test_get_describe_and_delete(self):
        self.apply(self.named("wl-b"), options=["--wait"])
        self.assertIn("workloads/wl-b", self.call("get", "workloads").output)
        shown = json.loads(
            self.call("--output", "json", "get", "workload", "wl-b").stdout
        )
        self.assertEqual(shown["spec"]["pool"], "rollout")
        self.assertIn(
            "freshness_bound: 2", self.call("describe", "workload", "wl-b").output
        )
        self.call("delete", "workload", "wl-b", "--generation", "7", code=4)
        self.call("delete", "workload", "wl-b")
        missing = self.call("get", "workload", "wl-b", code=3)
        self.assertIn("there is no workloads/wl-b", missing.output)
        self.call("delete", "workload", "wl-b", code=3)

    def test_diff_says_what_would_change(self):
        self.apply(self.named("wl-c"), options=["--wait"])
        same = json.dumps(self.named("wl-c"))
        self.assertEqual(self.call("diff", "-f", "-", text=same).output.strip(), "")
        other = json.dumps(self.named("wl-c", priority=9))
        result = self.call("diff", "-f", "-", text=other, code=1)
        self.assertIn('+  "priority": 9', result.output)

    def test_a_generation_in_the_file_must_still_hold(self):
        self.apply(self.named("wl-d"), options=["--wait"])
        stale = self.named("wl-d", priority=5) | {"metadata": {"generation": 4}}
        result = self.apply(stale, code=4)
        self.assertIn("current generation: 1", result.output)

    def test_watch_begins_with_what_there_is(self):
        self.apply(self.named("wl-e"), options=["--wait"])
        result = self.call("watch", "workloads", "--count", "1")
        self.assertIn("current", result.output)
        self.call("watch", "workloads", "--from", "-1", "--count", "1")

    def test_bad_input_is_named(self):
        result = self.apply(self.named("wl-f", priority=1000), code=2)
        self.assertIn("spec.priority", result.output)
        result = self.apply({"kind": "workload", "spec": {}}, code=2)
        self.assertIn("0.name", result.output)
        result = self.call("apply", "-f", "-", text="{", code=2)
        self.assertIn("line 1", result.output)
        self.call("get", "planets", code=3)
        self.call("apply", code=2)

    def test_the_next_host_is_tried(self):
        hosts = [_NOWHERE, *self.fleet.urls]
        self.call("hosts", hosts=hosts)
        result = self.call("hosts", hosts=[_NOWHERE], code=5)
        self.assertIn("--host", result.output)

    def test_a_lost_acknowledgement_ends_in_the_true_outcome(self):
        self.fleet.log.faults.lose_acks = 1
        self.apply(self.named("wl-g"), options=["--wait"])
        self.assertEqual(self.fleet.log.faults.lose_acks, 0)

    def test_an_error_as_json(self):
        result = self.call("--output", "json", "get", "workload", "none", code=3)
        self.assertEqual(json.loads(result.stderr)["code"], "not_found")


class OutageTest(ControlTestCase):
    hosts = 1

    def test_a_change_in_an_outage_is_refused_and_a_lost_one_unknown(self):
        self.fleet.log.change_faults({"down": True})
        try:
            result = self.call(
                "--timeout", "1", "apply", "-f", "-", text=json.dumps(_WORKLOAD), code=5
            )
            self.assertIn("log_unavailable", result.output)
            self.fleet.log.change_faults({"down": False, "slow": 5.0})
            result = self.call(
                "--timeout", "1", "apply", "-f", "-", text=json.dumps(_WORKLOAD), code=6
            )
            self.assertIn("--change-id", result.output)
        finally:
            self.fleet.log.change_faults({"down": False, "slow": 0.0})


class FleetCommandsTest(ControlTestCase):
    def test_hosts_engines_and_steps(self):
        self.apply(_ENGINE, options=["--wait"])
        self.assertIn("host-2", self.call("hosts").output)
        self.assertIn("engine-1", self.call("engines").output)
        self.assertIn("STEP", self.call("steps").output)

    def test_timeline_and_explain_of_a_change(self):
        self.apply(self.named("wl-h"), options=["--wait"])
        shown = json.loads(
            self.call("--output", "json", "get", "workload", "wl-h").stdout
        )
        change = shown["metadata"]["change_id"]
        rows = self.call("timeline", "--change", change).output.splitlines()
        self.assertEqual(len(rows), 3)
        self.assertIn("change_asked", rows[0])
        told = self.call("explain", "change", change).output
        self.assertIn("applied at 2 hosts", told)
        self.call("explain", "step", "none/1", code=3)
        self.call("timeline", "--since", "yesterday", code=2)
        self.assertEqual(self.call("timeline", "--host", "host-9").output.strip(), "")

    def test_explain_asks_only_for_what_it_tells(self):
        self.apply(self.named("wl-x"), options=["--wait"])
        shown = json.loads(
            self.call("--output", "json", "get", "workload", "wl-x").stdout
        )
        change = shown["metadata"]["change_id"]
        asked = []
        get = ControlClient.get

        async def noted(client, path, **chosen):
            if path == "/v1/timeline":
                asked.append(chosen)
            return await get(client, path, **chosen)

        with mock.patch.object(ControlClient, "get", noted):
            self.call("explain", "change", change)
            self.call("explain", "request", "none", code=3)
        self.assertEqual(asked, [{"change": change}, {"request": "none"}])

    def test_the_page_has_a_lane_for_each_process(self):
        runner = CliRunner()
        with runner.isolated_filesystem():
            self.call("timeline", "--html", "page.html")
            with open("page.html", encoding="utf-8") as page:
                text = page.read()
        self.assertIn("<th>host-1/1</th><th>host-2/1</th>", text)

    def test_routes_that_a_host_lacks_are_said(self):
        result = CliRunner().invoke(main, ["--host", self.fleet.urls[0], "usage"])
        self.assertIn(result.exit_code, (0, 3))

    def test_completion(self):
        for shell in ("bash", "zsh", "fish"):
            script = self.call("completion", shell).output
            self.assertIn("_CRANBERRYCTL_COMPLETE", script)


class WatchTest(ControlTestCase):
    async def _told(self):
        client = ControlClient(self.fleet.urls, timeout=5)
        told = []
        async with client, asyncio.timeout(15):
            async for event in client.watch("/v1/workloads", None):
                told.append(event["event"])
                if len(told) == 1:
                    api = self.fleet.host_by_id["host-1"].kernel.get(Api)
                    api.mark_unready()
                    request = Request(
                        "PUT", path_of("workloads", "wl"), {"spec": _WORKLOAD["spec"]}
                    )
                    await client.send(request)
                if event["event"] == "changed":
                    return told

    def test_a_watch_goes_on_at_the_next_host_and_tells_a_change_once(self):
        told = self.fleet.run(self._told())
        self.assertEqual(told.count("changed"), 1)
        self.assertNotIn("current", told)


class DrainTest(ControlTestCase):
    def test_drain_reaches_the_host_that_is_named(self):
        asked = []
        for name, host in self.fleet.host_by_id.items():
            host.kernel.get(Api).on_drain_requested = lambda name=name: asked.append(
                name
            )
        self.assertIn("host-2 is draining", self.call("drain", "host-2").output)
        self.assertEqual(asked, ["host-2"])
        self.call("drain", "host-9", code=3)


class LogFilesTest(unittest.TestCase):
    """What on-call engineers have is the log of processes that are gone."""

    def setUp(self):
        self.runner = CliRunner()

    def call(self, *arguments, lines, code=0):
        result = self.runner.invoke(main, [*arguments, "--logs", "-"], input=lines)
        self.assertEqual(result.exit_code, code, result.output)
        return result.output

    def line(self, n, event, **fields):
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

    def batch_lines(self):
        return "\n".join(
            [
                "libc warns of something",
                "{not an event",
                self.line(
                    0,
                    "batch_accepted",
                    step="b1",
                    samples=2,
                    groups=1,
                    wanted_groups=1,
                    min_version=3,
                ),
                " 0.13 h1 "
                + self.line(2, "item_run", step="b1", outcome="the engine was silent"),
                self.line(3, "item_run", step="b1", outcome="whole"),
                self.line(4, "item_finished", step="b1", sample="i7"),
                self.line(5, "log_lost", topic="keyed.op", reason="status 503"),
                self.line(6, "results_held", step="b1", reason="status 503"),
                self.line(9, "batch_ended", step="b1"),
            ]
        )

    def test_a_short_batch_is_explained_without_a_host(self):
        told = self.call("explain", "step", "b1", lines=self.batch_lines())
        for part in (
            "accepted at h1",
            "versions from 3 on",
            "(i7) after 4.000 s",
            "the engine was silent 1",
            "Results waited for the store: status 503",
            "ended after 9.000 s",
            "log_lost at h1",
        ):
            self.assertIn(part, told)

    def test_the_time_line_comes_from_files_too(self):
        shown = self.call("timeline", "--step", "b1", lines=self.batch_lines())
        self.assertEqual(len(shown.splitlines()), 6)

    def test_what_the_logs_lack_is_said(self):
        told = self.call("explain", "request", "r9", lines="", code=3)
        self.assertIn("stands in the logs", told)
