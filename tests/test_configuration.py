"""Tests of configuration replicas in outages, log gaps and lost acknowledgements."""

import asyncio

from cranberryrun.exceptions import (
    KeyReusedError,
    LogReadError,
    LogUnavailableError,
    OutcomeUnknownError,
    PeerError,
)
from cranberryrun.log import Log
from cranberryrun.membership import Membership
from cranberryrun.models import SnapshotRecord
from cranberryrun.peers import Peers
from cranberryrun.state import ConfigState

from .replicas import (
    ReplicaSet,
    configuration_of,
    event_names,
    put,
    snapshot_reply,
    until,
)
from .virtual import HostTestCase

_LONG_POLL_SECONDS = 6


class ConfigurationTestCase(HostTestCase):
    """Provides a set of replicas that is closed after each test."""

    retention = 3600.0

    async def asyncSetUp(self):
        self.replica_set = ReplicaSet(self.retention)

    async def asyncTearDown(self):
        await self.replica_set.close()

    async def ready_host(self, n, **options):
        """Start a host and wait until it is ready."""
        kernel = await self.replica_set.host(n, **options)
        await until(configuration_of(kernel).ready.is_set)
        return kernel

    async def change(self, kernel, n, name="denoiser"):
        """Submit the ``n``-th change of a workload, counted from 0."""
        return await configuration_of(kernel).submit(put(f"{name}-{n}", name, n))


class ChangeTest(ConfigurationTestCase):
    async def test_change_reaches_other_hosts(self):
        first_host, second_host = await self.ready_host(1), await self.ready_host(2)
        outcome = await self.change(first_host, 0)
        self.assertEqual(outcome.generation, 1)
        other = configuration_of(second_host)
        await until(lambda: other.state.get("workloads", "denoiser"), 1)

    async def test_exactly_one_of_concurrent_changes_is_applied(self):
        hosts = [await self.ready_host(n) for n in range(1, 6)]
        outcomes = await asyncio.gather(
            *[
                configuration_of(host).submit(put(f"c{n}", priority=n))
                for n, host in enumerate(hosts)
            ]
        )
        applied = [outcome for outcome in outcomes if outcome.rejected is None]
        self.assertEqual(len(applied), 1)

    async def test_outcome_is_correct_when_acknowledgement_is_lost(self):
        first_host = await self.ready_host(1)
        self.replica_set.log.faults.lose_acks = 1
        outcome = await self.change(first_host, 0)
        self.assertEqual((outcome.generation, outcome.rejected), (1, None))

    async def test_retry_at_another_host_returns_the_same_outcome(self):
        first_host, second_host = await self.ready_host(1), await self.ready_host(2)
        first = await self.change(first_host, 0)
        self.assertEqual(await self.change(second_host, 0), first)
        self.assertEqual(len(self.replica_set.log.by_stream["config"].records), 1)

    async def test_change_id_is_rejected_when_reused_for_another_change(self):
        first_host = await self.ready_host(1)
        await self.change(first_host, 0)
        with self.assertRaises(KeyReusedError):
            await configuration_of(first_host).submit(put("denoiser-0", priority=5))

    async def test_change_refused_in_a_log_outage_is_never_applied(self):
        first_host = await self.ready_host(1)
        self.replica_set.log.change_faults({"down": True})
        with self.assertRaises(LogUnavailableError) as caught:
            await self.change(first_host, 0)
        self.assertTrue(caught.exception.problem()["not_run"])
        self.replica_set.log.change_faults({"down": False})
        await asyncio.sleep(20)
        self.assertIsNone(
            configuration_of(first_host).state.get("workloads", "denoiser")
        )

    async def test_unknown_outcome_is_never_reported_as_not_run(self):
        first_host = await self.ready_host(1)
        log = first_host.get(Log)
        read = log.read
        log.read = _fail_read
        await asyncio.sleep(_LONG_POLL_SECONDS)
        self.replica_set.log.faults.lose_acks = 1
        with self.assertRaises(OutcomeUnknownError) as caught:
            await self.change(first_host, 0)
        self.assertEqual(caught.exception.extra["change_id"], "denoiser-0")
        self.replica_set.log.change_faults({"down": True})
        with self.assertRaises(OutcomeUnknownError):
            await self.change(first_host, 0)
        self.replica_set.log.change_faults({"down": False})
        log.read = read
        outcome = await self.change(first_host, 0)
        self.assertEqual(outcome.generation, 1)


async def _fail_read(*arguments):
    raise LogReadError("cut")


class OutageTest(ConfigurationTestCase):
    async def test_host_starts_from_a_peer_in_a_log_outage(self):
        first_host = await self.ready_host(1)
        await self.change(first_host, 0)
        self.replica_set.log.change_faults({"down": True})
        second_host = await self.ready_host(2)
        self.assertIsNotNone(
            configuration_of(second_host).state.get("workloads", "denoiser")
        )

    async def test_host_without_peers_is_not_ready_in_a_log_outage(self):
        self.replica_set.log.change_faults({"down": True})
        first_host = await self.replica_set.host(1)
        await asyncio.sleep(60)
        self.assertFalse(configuration_of(first_host).ready.is_set())
        self.replica_set.log.change_faults({"down": False})
        await until(configuration_of(first_host).ready.is_set, 5)

    async def test_host_starts_from_a_configured_peer_without_list_and_log(self):
        first_host = await self.ready_host(1)
        await self.change(first_host, 0)
        self.replica_set.list.down = True
        self.replica_set.log.change_faults({"down": True})
        second_host = await self.replica_set.host(
            2, peers=["127.0.0.1:2001", "127.0.0.1:2002"]
        )
        await until(configuration_of(second_host).ready.is_set, 5)
        membership = second_host.get(Membership)
        await until(lambda: membership.live_ids() == ["host-1", "host-2"], 5)

    async def test_host_receives_records_from_peers_when_it_cannot_read_the_log(self):
        first_host, second_host = await self.ready_host(1), await self.ready_host(2)
        second_host.get(Log).cut = True
        await asyncio.sleep(_LONG_POLL_SECONDS)
        await self.change(first_host, 0)
        configuration = configuration_of(second_host)
        await until(lambda: configuration.state.get("workloads", "denoiser"), 19)
        self.assertIn("records_from_peer", event_names(second_host))

    async def test_older_snapshot_of_a_peer_is_ignored(self):
        first_host = await self.ready_host(1)
        for n in range(3):
            await self.change(first_host, n)
        older_snapshot = ConfigState().snapshot("host-9")
        configuration = configuration_of(first_host)
        await configuration._install_peer_snapshot(
            older_snapshot.model_dump_json(), "host-9"
        )
        self.assertEqual(configuration.state.offset, 2)
        self.assertEqual(configuration.state.generation("workloads", "denoiser"), 3)

    async def test_invalid_snapshots_of_peers_are_ignored(self):
        self.replica_set.log.change_faults({"down": True})
        first_host = await self.replica_set.host(1)
        self.replica_set.put_on_list(2, 1)
        answers = ["", "{}", '{"covers": 5, "state": {}}', "[1"]

        async def send_invalid_snapshot(entry, method, *arguments, **options):
            if method != "snapshot":
                raise PeerError(method)
            return snapshot_reply(answers.pop(0) if answers else "")

        first_host.get(Peers).call = send_invalid_snapshot
        await asyncio.sleep(10)
        self.assertFalse(configuration_of(first_host).ready.is_set())
        self.replica_set.log.change_faults({"down": False})
        await until(configuration_of(first_host).ready.is_set, 5)


class RetentionTest(ConfigurationTestCase):
    retention = 300.0

    async def test_host_starts_from_a_snapshot_in_the_log(self):
        first_host = await self.ready_host(1)
        for n in range(3):
            await self.change(first_host, n)
        self.expire_snapshot(first_host)
        await until(lambda: "snapshot_written" in event_names(first_host))
        self.drop_records_before(3)
        await self.replica_set.stop(1)
        second_host = await self.ready_host(2)
        self.assertEqual(
            configuration_of(second_host).state.generation("workloads", "denoiser"), 3
        )
        self.assertIn("snapshot_loaded", event_names(second_host))

    def expire_snapshot(self, kernel):
        """Make a new snapshot due: age the last one by half the retention."""
        configuration_of(kernel).state.snapshot_time -= self.retention / 2

    def drop_records_before(self, offset):
        """Drop the records below ``offset`` from the log."""
        stream = self.replica_set.log.by_stream["config"]
        while stream.records and stream.records[0].offset < offset:
            stream.records.popleft()
        stream.first = offset

    async def test_host_paused_beyond_retention_continues_from_a_snapshot(self):
        first_host, second_host = await self.ready_host(1), await self.ready_host(2)
        await self.change(first_host, 0)
        second_host.get(Log).cut = True
        await asyncio.sleep(_LONG_POLL_SECONDS)
        self.replica_set.silent_ids.add("host-2")
        for n in range(1, 4):
            await self.change(first_host, n)
        self.expire_snapshot(first_host)
        await until(lambda: "snapshot_written" in event_names(first_host), 60)
        await self.change(first_host, 4)
        self.drop_records_before(4)
        second_host.get(Log).cut = False
        configuration = configuration_of(second_host)
        await until(
            lambda: configuration.state.generation("workloads", "denoiser") == 5
        )

    async def test_host_is_not_ready_until_a_snapshot_covers_the_gap(self):
        first_host = await self.ready_host(1)
        for n in range(4):
            await self.change(first_host, n)
        snapshot = configuration_of(first_host).state.snapshot("host-1")
        await self.replica_set.stop(1)
        self.drop_records_before(2)
        second_host = await self.replica_set.host(2)
        await asyncio.sleep(60)
        self.assertFalse(configuration_of(second_host).ready.is_set())
        await self.replica_set.log.append("config", [snapshot.model_dump(mode="json")])
        await until(configuration_of(second_host).ready.is_set, 5)
        self.assertEqual(
            configuration_of(second_host).state.generation("workloads", "denoiser"), 4
        )

    async def test_invalid_snapshots_in_the_log_are_ignored(self):
        first_host = await self.ready_host(1)
        for n in range(4):
            await self.change(first_host, n)
        valid_snapshot = (
            configuration_of(first_host).state.snapshot("x").model_dump(mode="json")
        )
        await self.replica_set.stop(1)
        invalid_snapshots = [
            valid_snapshot | {"covers": 99},
            valid_snapshot | {"state": {}},
            {"record": "snapshot"},
        ]
        await self.replica_set.log.append("config", invalid_snapshots)
        self.drop_records_before(3)
        second_host = await self.replica_set.host(2)
        await asyncio.sleep(20)
        self.assertFalse(configuration_of(second_host).ready.is_set())

    async def test_only_one_host_writes_a_due_snapshot(self):
        hosts = [await self.ready_host(n) for n in range(1, 9)]
        await self.change(hosts[0], 0)
        await asyncio.sleep(2)
        self.replica_set.log.change_faults({"slow": 0.3})
        for host in hosts:
            self.expire_snapshot(host)
        await asyncio.sleep(60)
        written = [host for host in hosts if "snapshot_written" in event_names(host)]
        self.assertEqual(len(written), 1)

    async def test_host_reads_a_long_log_to_its_end_before_it_is_ready(self):
        first_host = await self.ready_host(1)
        records = [put(f"c{n}", f"w-{n}").model_dump(mode="json") for n in range(1200)]
        await self.replica_set.log.append("config", records)
        await until(lambda: configuration_of(first_host).state.offset == 1199)
        await self.replica_set.stop(1)
        self.replica_set.list.entries = []
        self.replica_set.log.change_faults({"slow": 0.1})
        second_host = configuration_of(await self.replica_set.host(2))
        async with asyncio.timeout(30):
            await second_host.ready.wait()
        self.assertEqual(len(second_host.state.list("workloads")), 1200)

    async def test_invalid_records_are_skipped(self):
        first_host = await self.ready_host(1)
        await self.change(first_host, 0)
        invalid = [None, "x", {"record": "change"}, {"record": "snapshot"}, 7]
        await self.replica_set.log.append("config", invalid)
        await self.change(first_host, 1)
        self.assertEqual(
            configuration_of(first_host).state.generation("workloads", "denoiser"), 2
        )
        self.assertIn("record_invalid", event_names(first_host))

    async def test_differing_snapshot_emits_an_event(self):
        first_host = await self.ready_host(1)
        await self.change(first_host, 0)
        other = SnapshotRecord(covers=0, state=ConfigState().dump(), host="host-9")
        await self.replica_set.log.append("config", [other.model_dump(mode="json")])
        await until(lambda: "snapshot_differs" in event_names(first_host), 5)
        self.assertEqual(
            configuration_of(first_host).state.generation("workloads", "denoiser"), 1
        )

    async def test_state_is_kept_when_the_log_loses_records(self):
        first_host = await self.ready_host(1)
        for n in range(3):
            await self.change(first_host, n)
        self.replica_set.log.by_stream.clear()
        await asyncio.sleep(20)
        self.assertEqual(configuration_of(first_host).state.offset, 2)
        self.assertFalse(configuration_of(first_host).log_up)
