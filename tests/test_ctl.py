"""The operators' command line, run against hosts in the test process."""

import asyncio
import json
import unittest
from unittest import mock

from click.testing import CliRunner

from cranberryrun.api import Api
from cranberryrun.catalogue import EVENT_BY_NAME
from cranberryrun.ctl import main
from cranberryrun.ctl_apply import resource_path
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
_UNREACHABLE_URL = "http://127.0.0.1:1"


class ControlTestCase(unittest.TestCase):
    """Runs commands against a fleet that is shared by the tests of a class."""

    hosts = 2

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(cls.hosts)
        cls.fleet.__enter__()

    @classmethod
    def tearDownClass(cls):
        cls.fleet.__exit__()

    def run_command(self, *arguments, text=None, hosts=None, code=0):
        """Run one command, check its exit code and return its result."""
        options = []
        for url in hosts or self.fleet.urls:
            options += ["--host", url]
        result = CliRunner().invoke(main, [*options, *arguments], input=text)
        self.assertEqual(
            result.exit_code, code, f"{result.output} {result.exception!r}"
        )
        return result

    def apply(self, *declared, options=(), code=0):
        """Apply the declared resources, passed on standard input."""
        text = json.dumps(list(declared))
        return self.run_command("apply", "-f", "-", *options, text=text, code=code)

    def workload(self, name, **spec):
        """Return a declared workload called ``name``."""
        return {**_WORKLOAD, "name": name, "spec": {**_WORKLOAD["spec"], **spec}}


class ResourceCommandsTest(ControlTestCase):
    def test_apply_waits_until_in_force_and_reports_unchanged_when_repeated(self):
        first = self.apply(self.workload("wl-a"), _ENGINE, options=["--wait"])
        self.assertIn("workloads/wl-a created: generation 1", first.output)
        self.assertIn("workloads/wl-a is in force everywhere", first.output)
        second = self.apply(self.workload("wl-a"))
        self.assertIn("workloads/wl-a unchanged", second.output)
        third = self.apply(self.workload("wl-a", priority=3))
        self.assertIn("workloads/wl-a changed: generation 2", third.output)

    def test_resource_is_shown_described_and_deleted(self):
        self.apply(self.workload("wl-b"), options=["--wait"])
        self.assertIn("workloads/wl-b", self.run_command("get", "workloads").output)
        shown = json.loads(
            self.run_command("--output", "json", "get", "workload", "wl-b").stdout
        )
        self.assertEqual(shown["spec"]["pool"], "rollout")
        self.assertIn(
            "freshness_bound: 2",
            self.run_command("describe", "workload", "wl-b").output,
        )
        self.run_command("delete", "workload", "wl-b", "--generation", "7", code=4)
        self.run_command("delete", "workload", "wl-b")
        missing = self.run_command("get", "workload", "wl-b", code=3)
        self.assertIn("there is no workloads/wl-b", missing.output)
        self.run_command("delete", "workload", "wl-b", code=3)

    def test_diff_shows_what_apply_would_change(self):
        self.apply(self.workload("wl-c"), options=["--wait"])
        unchanged = json.dumps(self.workload("wl-c"))
        self.assertEqual(
            self.run_command("diff", "-f", "-", text=unchanged).output.strip(), ""
        )
        changed = json.dumps(self.workload("wl-c", priority=9))
        result = self.run_command("diff", "-f", "-", text=changed, code=1)
        self.assertIn('+  "priority": 9', result.output)

    def test_apply_fails_when_the_declared_generation_is_stale(self):
        self.apply(self.workload("wl-d"), options=["--wait"])
        stale = self.workload("wl-d", priority=5) | {"metadata": {"generation": 4}}
        result = self.apply(stale, code=4)
        self.assertIn("current generation: 1", result.output)

    def test_watch_starts_with_the_current_resources(self):
        self.apply(self.workload("wl-e"), options=["--wait"])
        result = self.run_command("watch", "workloads", "--count", "1")
        self.assertIn("current", result.output)
        self.run_command("watch", "workloads", "--from", "-1", "--count", "1")

    def test_error_names_the_invalid_input(self):
        result = self.apply(self.workload("wl-f", priority=1000), code=2)
        self.assertIn("spec.priority", result.output)
        result = self.apply({"kind": "workload", "spec": {}}, code=2)
        self.assertIn("0.name", result.output)
        result = self.run_command("apply", "-f", "-", text="{", code=2)
        self.assertIn("line 1", result.output)
        self.run_command("get", "planets", code=3)
        self.run_command("apply", code=2)

    def test_next_host_is_used_when_the_first_is_unreachable(self):
        hosts = [_UNREACHABLE_URL, *self.fleet.urls]
        self.run_command("hosts", hosts=hosts)
        result = self.run_command("hosts", hosts=[_UNREACHABLE_URL], code=5)
        self.assertIn("--host", result.output)

    def test_apply_succeeds_when_the_log_loses_an_acknowledgement(self):
        self.fleet.log.faults.lose_acks = 1
        self.apply(self.workload("wl-g"), options=["--wait"])
        self.assertEqual(self.fleet.log.faults.lose_acks, 0)

    def test_error_is_json_when_the_output_is_json(self):
        result = self.run_command("--output", "json", "get", "workload", "none", code=3)
        self.assertEqual(json.loads(result.stderr)["code"], "not_found")


class OutageTest(ControlTestCase):
    hosts = 1

    def test_change_is_refused_when_the_log_is_down_and_unknown_when_it_is_slow(self):
        self.fleet.log.change_faults({"down": True})
        try:
            result = self.run_command(
                "--timeout", "1", "apply", "-f", "-", text=json.dumps(_WORKLOAD), code=5
            )
            self.assertIn("log_unavailable", result.output)
            self.fleet.log.change_faults({"down": False, "slow": 5.0})
            result = self.run_command(
                "--timeout", "1", "apply", "-f", "-", text=json.dumps(_WORKLOAD), code=6
            )
            self.assertIn("--change-id", result.output)
        finally:
            self.fleet.log.change_faults({"down": False, "slow": 0.0})


class FleetCommandsTest(ControlTestCase):
    def test_hosts_engines_and_steps_are_listed(self):
        self.apply(_ENGINE, options=["--wait"])
        self.assertIn("host-2", self.run_command("hosts").output)
        self.assertIn("engine-1", self.run_command("engines").output)
        self.assertIn("STEP", self.run_command("steps").output)

    def test_timeline_and_explain_show_a_change(self):
        self.apply(self.workload("wl-h"), options=["--wait"])
        shown = json.loads(
            self.run_command("--output", "json", "get", "workload", "wl-h").stdout
        )
        change = shown["metadata"]["change_id"]
        rows = self.run_command("timeline", "--change", change).output.splitlines()
        self.assertEqual(len(rows), 3)
        self.assertIn("change_asked", rows[0])
        explanation = self.run_command("explain", "change", change).output
        self.assertIn("applied at 2 hosts", explanation)
        self.run_command("explain", "step", "none/1", code=3)
        self.run_command("timeline", "--since", "yesterday", code=2)
        self.assertEqual(
            self.run_command("timeline", "--host", "host-9").output.strip(), ""
        )

    def test_explain_requests_only_the_events_it_needs(self):
        self.apply(self.workload("wl-x"), options=["--wait"])
        shown = json.loads(
            self.run_command("--output", "json", "get", "workload", "wl-x").stdout
        )
        change = shown["metadata"]["change_id"]
        queries = []
        get = ControlClient.get

        async def recording_get(client, path, **query):
            if path == "/v1/timeline":
                queries.append(query)
            return await get(client, path, **query)

        with mock.patch.object(ControlClient, "get", recording_get):
            self.run_command("explain", "change", change)
            self.run_command("explain", "request", "none", code=3)
        self.assertEqual(queries, [{"change": change}, {"request": "none"}])

    def test_page_has_a_column_for_each_process(self):
        runner = CliRunner()
        with runner.isolated_filesystem():
            self.run_command("timeline", "--html", "page.html")
            with open("page.html", encoding="utf-8") as page:
                text = page.read()
        self.assertIn("<th>host-1/1</th><th>host-2/1</th>", text)

    def test_usage_succeeds_or_exits_with_not_found(self):
        result = CliRunner().invoke(main, ["--host", self.fleet.urls[0], "usage"])
        self.assertIn(result.exit_code, (0, 3))

    def test_completion_script_is_printed_for_each_shell(self):
        for shell in ("bash", "zsh", "fish"):
            script = self.run_command("completion", shell).output
            self.assertIn("_CRANBERRYCTL_COMPLETE", script)


class WatchTest(ControlTestCase):
    async def _watch_until_changed(self):
        client = ControlClient(self.fleet.urls, timeout=5)
        event_names = []
        async with client, asyncio.timeout(15):
            async for event in client.watch("/v1/workloads", None):
                event_names.append(event["event"])
                if len(event_names) == 1:
                    api = self.fleet.host_by_id["host-1"].kernel.get(Api)
                    api.mark_unready()
                    request = Request(
                        "PUT",
                        resource_path("workloads", "wl"),
                        {"spec": _WORKLOAD["spec"]},
                    )
                    await client.send(request)
                if event["event"] == "changed":
                    return event_names

    def test_watch_continues_at_next_host_and_yields_a_change_once(self):
        event_names = self.fleet.run(self._watch_until_changed())
        self.assertEqual(event_names.count("changed"), 1)
        self.assertNotIn("current", event_names)


class DrainTest(ControlTestCase):
    def test_drain_is_sent_to_the_named_host_only(self):
        drained = []
        for name, host in self.fleet.host_by_id.items():
            host.kernel.get(Api).on_drain_requested = lambda name=name: drained.append(
                name
            )
        self.assertIn("host-2 is draining", self.run_command("drain", "host-2").output)
        self.assertEqual(drained, ["host-2"])
        self.run_command("drain", "host-9", code=3)


class LogFilesTest(unittest.TestCase):
    """Commands on log files, which are all that is left after a process has ended."""

    def setUp(self):
        self.runner = CliRunner()

    def run_command(self, *arguments, lines, code=0):
        result = self.runner.invoke(main, [*arguments, "--logs", "-"], input=lines)
        self.assertEqual(result.exit_code, code, result.output)
        return result.output

    def event_line(self, n, event, **fields):
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

    def test_calls_to_the_platforms_api_are_listed_over_a_takeover(self):
        call = {"duty": "usage", "subject": "windows", "call": 7}
        lines = [
            self.event_line(1, "duty_recorded", **call),
            self.event_line(2, "duty_unanswered", reason="TimeoutError()", **call),
            self.event_line(3, "duty_accepted", **call | {"host": "h2"}),
            self.event_line(4, "duty_recorded", **call | {"call": 8}),
            self.event_line(5, "duty_skipped", duty="usage", calls=3, reason="old"),
        ]
        output = self.run_command("duties", lines="\n".join(lines)).splitlines()
        self.assertEqual(
            [line.split() for line in output[1:]],
            [
                "usage windows 7 accepted 1 00:16:41.000 00:16:43.000 h1, h2".split(),
                "usage windows 8 recorded 0 00:16:44.000 - h1".split(),
            ],
        )
        result = self.runner.invoke(main, ["duties"])
        self.assertEqual(result.exit_code, 2)

    def batch_lines(self):
        return "\n".join(
            [
                "a warning from libc",
                "{not an event",
                self.event_line(
                    0,
                    "batch_accepted",
                    step="b1",
                    samples=2,
                    groups=1,
                    wanted_groups=1,
                    min_version=3,
                ),
                " 0.13 h1 "
                + self.event_line(
                    2, "item_run", step="b1", outcome="stream idle timeout"
                ),
                self.event_line(3, "item_run", step="b1", outcome="whole"),
                self.event_line(4, "item_finished", step="b1", sample="i7"),
                self.event_line(5, "log_lost", topic="keyed.op", reason="status 503"),
                self.event_line(6, "results_held", step="b1", reason="status 503"),
                self.event_line(9, "batch_ended", step="b1"),
            ]
        )

    def test_explain_summarizes_reward_calls(self):
        failed = self.event_line(
            4, "reward_call_failed", step="b1", target="s1", code="run_failed"
        )
        ended = self.event_line(
            5,
            "reward_call_ended",
            step="b1",
            sample="i7",
            outcome="scored",
            seconds=0.4,
            errors=0,
            failed_runs=1,
        )
        explanation = self.run_command(
            "explain",
            "step",
            "b1",
            lines="\n".join([self.batch_lines(), failed, ended]),
        )
        for expected in ("scored 1", "(sample i7) took 0.4 s", "run_failed at s1 (1)"):
            self.assertIn(expected, explanation)

    def test_explain_reads_a_batch_from_log_files(self):
        explanation = self.run_command(
            "explain", "step", "b1", lines=self.batch_lines()
        )
        for expected in (
            "accepted at h1",
            "minimum weight version 3",
            "(i7) after 4.000 s",
            "stream idle timeout 1",
            "Writing results to the store failed and is retried: status 503",
            "ended the batch after 9.000 s",
            "log_lost at h1",
        ):
            self.assertIn(expected, explanation)

    def test_timeline_reads_events_from_log_files(self):
        shown = self.run_command("timeline", "--step", "b1", lines=self.batch_lines())
        self.assertEqual(len(shown.splitlines()), 6)

    def test_explain_fails_when_the_log_files_have_no_such_event(self):
        output = self.run_command("explain", "request", "r9", lines="", code=3)
        self.assertIn("there is no event of request r9 in the log files", output)
