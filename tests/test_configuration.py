"""Replicas of the configuration through outages, gaps and lost answers."""

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
    """Has a world of replicas that ends with the test."""

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
        """Make the ``n``-th change of a workload, from 0."""
        return await configuration_of(kernel).submit(put(f"{name}-{n}", name, n))


class ChangeTest(ConfigurationTestCase):
    async def test_a_change_reaches_the_other_hosts(self):
        one, two = await self.ready_host(1), await self.ready_host(2)
        outcome = await self.change(one, 0)
        self.assertEqual(outcome.generation, 1)
        other = configuration_of(two)
        await until(lambda: other.state.get("workloads", "denoiser"), 1)

    async def test_of_two_at_once_exactly_one_wins(self):
        hosts = [await self.ready_host(n) for n in range(1, 6)]
        outcomes = await asyncio.gather(
            *[
                configuration_of(host).submit(put(f"c{n}", priority=n))
                for n, host in enumerate(hosts)
            ]
        )
        won = [outcome for outcome in outcomes if outcome.rejected is None]
        self.assertEqual(len(won), 1)

    async def test_a_lost_acknowledgement_ends_in_the_true_outcome(self):
        one = await self.ready_host(1)
        self.replica_set.log.faults.lose_acks = 1
        outcome = await self.change(one, 0)
        self.assertEqual((outcome.generation, outcome.rejected), (1, None))

    async def test_a_retry_at_another_host_gets_the_same_outcome(self):
        one, two = await self.ready_host(1), await self.ready_host(2)
        first = await self.change(one, 0)
        self.assertEqual(await self.change(two, 0), first)
        self.assertEqual(len(self.replica_set.log.by_stream["config"].records), 1)

    async def test_a_change_id_is_bound_to_its_content(self):
        one = await self.ready_host(1)
        await self.change(one, 0)
        with self.assertRaises(KeyReusedError):
            await configuration_of(one).submit(put("denoiser-0", priority=5))

    async def test_an_outage_refuses_and_the_refusal_is_true(self):
        one = await self.ready_host(1)
        self.replica_set.log.change_faults({"down": True})
        with self.assertRaises(LogUnavailableError) as caught:
            await self.change(one, 0)
        self.assertTrue(caught.exception.problem()["not_run"])
        self.replica_set.log.change_faults({"down": False})
        await asyncio.sleep(20)
        self.assertIsNone(configuration_of(one).state.get("workloads", "denoiser"))

    async def test_an_unknown_outcome_is_known_later_and_never_refused(self):
        one = await self.ready_host(1)
        log = one.get(Log)
        read = log.read
        log.read = _unreadable
        await asyncio.sleep(_LONG_POLL_SECONDS)
        self.replica_set.log.faults.lose_acks = 1
        with self.assertRaises(OutcomeUnknownError) as caught:
            await self.change(one, 0)
        self.assertEqual(caught.exception.extra["change_id"], "denoiser-0")
        self.replica_set.log.change_faults({"down": True})
        with self.assertRaises(OutcomeUnknownError):
            await self.change(one, 0)
        self.replica_set.log.change_faults({"down": False})
        log.read = read
        outcome = await self.change(one, 0)
        self.assertEqual(outcome.generation, 1)


async def _unreadable(*arguments):
    raise LogReadError("cut")


class OutageTest(ConfigurationTestCase):
    async def test_a_host_starts_from_a_peer_in_an_outage(self):
        one = await self.ready_host(1)
        await self.change(one, 0)
        self.replica_set.log.change_faults({"down": True})
        two = await self.ready_host(2)
        self.assertIsNotNone(configuration_of(two).state.get("workloads", "denoiser"))

    async def test_a_host_alone_in_an_outage_is_not_ready(self):
        self.replica_set.log.change_faults({"down": True})
        one = await self.replica_set.host(1)
        await asyncio.sleep(60)
        self.assertFalse(configuration_of(one).ready.is_set())
        self.replica_set.log.change_faults({"down": False})
        await until(configuration_of(one).ready.is_set, 5)

    async def test_a_host_starts_from_a_seed_without_list_and_log(self):
        one = await self.ready_host(1)
        await self.change(one, 0)
        self.replica_set.list.down = True
        self.replica_set.log.change_faults({"down": True})
        two = await self.replica_set.host(2, peers=["127.0.0.1:2001", "127.0.0.1:2002"])
        await until(configuration_of(two).ready.is_set, 5)
        membership = two.get(Membership)
        await until(lambda: membership.live_ids() == ["host-1", "host-2"], 5)

    async def test_peers_pass_records_on_to_a_host_cut_off_from_the_log(self):
        one, two = await self.ready_host(1), await self.ready_host(2)
        two.get(Log).cut = True
        await asyncio.sleep(_LONG_POLL_SECONDS)
        await self.change(one, 0)
        state = configuration_of(two)
        await until(lambda: state.state.get("workloads", "denoiser"), 19)
        self.assertIn("records_from_peer", event_names(two))

    async def test_an_older_snapshot_of_a_peer_never_reverts(self):
        one = await self.ready_host(1)
        for n in range(3):
            await self.change(one, n)
        older = ConfigState().snapshot("host-9")
        configuration = configuration_of(one)
        await configuration._take_peer_snapshot(older.model_dump_json(), "host-9")
        self.assertEqual(configuration.state.offset, 2)
        self.assertEqual(configuration.state.generation("workloads", "denoiser"), 3)

    async def test_a_peers_nonsense_is_passed_over(self):
        self.replica_set.log.change_faults({"down": True})
        one = await self.replica_set.host(1)
        self.replica_set.put_on_list(2, 1)
        answers = ["", "{}", '{"covers": 5, "state": {}}', "[1"]

        async def nonsense(entry, method, *arguments, **options):
            if method != "snapshot":
                raise PeerError(method)
            return snapshot_reply(answers.pop(0) if answers else "")

        one.get(Peers).call = nonsense
        await asyncio.sleep(10)
        self.assertFalse(configuration_of(one).ready.is_set())
        self.replica_set.log.change_faults({"down": False})
        await until(configuration_of(one).ready.is_set, 5)


class RetentionTest(ConfigurationTestCase):
    retention = 300.0

    async def test_a_starting_host_begins_at_the_logs_snapshot(self):
        one = await self.ready_host(1)
        for n in range(3):
            await self.change(one, n)
        self.age_snapshot(one)
        await until(lambda: "snapshot_written" in event_names(one))
        self.drop_before(3)
        await self.replica_set.stop(1)
        two = await self.ready_host(2)
        self.assertEqual(
            configuration_of(two).state.generation("workloads", "denoiser"), 3
        )
        self.assertIn("snapshot_loaded", event_names(two))

    def age_snapshot(self, kernel):
        """Make the last snapshot older than a third of the retention."""
        configuration_of(kernel).state.snapshot_time -= self.retention / 2

    def drop_before(self, offset):
        """Let the log lose the records before ``offset``."""
        stream = self.replica_set.log.by_stream["config"]
        while stream.records and stream.records[0].offset < offset:
            stream.records.popleft()
        stream.first = offset

    async def test_a_host_paused_past_the_retention_goes_on_from_the_snapshot(self):
        one, two = await self.ready_host(1), await self.ready_host(2)
        await self.change(one, 0)
        two.get(Log).cut = True
        await asyncio.sleep(_LONG_POLL_SECONDS)
        self.replica_set.silent_ids.add("host-2")
        for n in range(1, 4):
            await self.change(one, n)
        self.age_snapshot(one)
        await until(lambda: "snapshot_written" in event_names(one), 60)
        await self.change(one, 4)
        self.drop_before(4)
        two.get(Log).cut = False
        state = configuration_of(two)
        await until(lambda: state.state.generation("workloads", "denoiser") == 5)

    async def test_a_gap_without_a_snapshot_keeps_asking_and_is_not_ready(self):
        one = await self.ready_host(1)
        for n in range(4):
            await self.change(one, n)
        snapshot = configuration_of(one).state.snapshot("host-1")
        await self.replica_set.stop(1)
        self.drop_before(2)
        two = await self.replica_set.host(2)
        await asyncio.sleep(60)
        self.assertFalse(configuration_of(two).ready.is_set())
        await self.replica_set.log.append("config", [snapshot.model_dump(mode="json")])
        await until(configuration_of(two).ready.is_set, 5)
        self.assertEqual(
            configuration_of(two).state.generation("workloads", "denoiser"), 4
        )

    async def test_a_snapshot_that_is_broken_or_covers_too_much_is_not_taken(self):
        one = await self.ready_host(1)
        for n in range(4):
            await self.change(one, n)
        whole = configuration_of(one).state.snapshot("x").model_dump(mode="json")
        await self.replica_set.stop(1)
        broken = [whole | {"covers": 99}, whole | {"state": {}}, {"record": "snapshot"}]
        await self.replica_set.log.append("config", broken)
        self.drop_before(3)
        two = await self.replica_set.host(2)
        await asyncio.sleep(20)
        self.assertFalse(configuration_of(two).ready.is_set())

    async def test_one_host_of_many_writes_the_snapshot(self):
        hosts = [await self.ready_host(n) for n in range(1, 9)]
        await self.change(hosts[0], 0)
        await asyncio.sleep(2)
        self.replica_set.log.change_faults({"slow": 0.3})
        for host in hosts:
            self.age_snapshot(host)
        await asyncio.sleep(60)
        written = [host for host in hosts if "snapshot_written" in event_names(host)]
        self.assertEqual(len(written), 1)

    async def test_a_starting_host_reads_a_long_log_before_it_is_ready(self):
        one = await self.ready_host(1)
        records = [put(f"c{n}", f"w-{n}").model_dump(mode="json") for n in range(1200)]
        await self.replica_set.log.append("config", records)
        await until(lambda: configuration_of(one).state.offset == 1199)
        await self.replica_set.stop(1)
        self.replica_set.list.entries = []
        self.replica_set.log.change_faults({"slow": 0.1})
        two = configuration_of(await self.replica_set.host(2))
        async with asyncio.timeout(30):
            await two.ready.wait()
        self.assertEqual(len(two.state.list("workloads")), 1200)

    async def test_an_invalid_record_changes_nothing(self):
        one = await self.ready_host(1)
        await self.change(one, 0)
        invalid = [None, "x", {"record": "change"}, {"record": "snapshot"}, 7]
        await self.replica_set.log.append("config", invalid)
        await self.change(one, 1)
        self.assertEqual(
            configuration_of(one).state.generation("workloads", "denoiser"), 2
        )
        self.assertIn("record_invalid", event_names(one))

    async def test_a_snapshot_of_another_state_is_said(self):
        one = await self.ready_host(1)
        await self.change(one, 0)
        other = SnapshotRecord(covers=0, state=ConfigState().dump(), host="host-9")
        await self.replica_set.log.append("config", [other.model_dump(mode="json")])
        await until(lambda: "snapshot_differs" in event_names(one), 5)
        self.assertEqual(
            configuration_of(one).state.generation("workloads", "denoiser"), 1
        )

    async def test_a_log_that_went_back_changes_nothing(self):
        one = await self.ready_host(1)
        for n in range(3):
            await self.change(one, n)
        self.replica_set.log.by_stream.clear()
        await asyncio.sleep(20)
        self.assertEqual(configuration_of(one).state.offset, 2)
        self.assertFalse(configuration_of(one).log_up)
