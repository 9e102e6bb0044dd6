"""Tests of the rejection of batches that certainly can't be served."""

import asyncio
import unittest
from dataclasses import replace
from unittest.mock import patch

from cranberryrun.batches.admission import NO_ENGINE, TOO_MUCH_WORK, Admission
from cranberryrun.batches.log import BatchLog, topic_of
from cranberryrun.batches.records import Accepted, encode
from cranberryrun.batches.service import Batches
from cranberryrun.exceptions import LogUnavailableError, NoTargetError
from cranberryrun.fleet.directory import Directory, Target
from cranberryrun.fleet.manifest import Autoscale
from cranberryrun.platform.__main__ import PlatformHost
from cranberryrun.platform.settings import HostSettings
from fakes.deployment import ADDRESS, SERVICE, Deployment, batch, batch_route, manifest

from .virtual import VirtualTimeTestCase

LAG = 3.0


def target(name="e0", **changes):
    fields = dict(service=SERVICE, address=ADDRESS, zone="a", slots=8)
    return Target(name, **(fields | dict(draining=False, born=1, sequence=1) | changes))


def scaled(boot_seconds, maximum=4, **route_changes):
    return replace(
        manifest(1, batch_route(**route_changes)),
        autoscale_by_service={SERVICE: Autoscale(0, maximum, boot_seconds)},
    )


def large_batch(events, **item_changes):
    """Return a batch of 12 groups of 8, of which 10 are wanted."""
    value = batch(groups=12, size=8, events=events, wanted_groups=10)
    changes = dict(prompt_tokens=50.0, max_output_tokens=10_000.0) | item_changes
    return replace(value, items=tuple(replace(i, **changes) for i in value.items))


class DecisionTest(unittest.TestCase):
    def setUp(self):
        self.admission = Admission(LAG)

    def observe(self, start, end, *targets):
        """Read the directory each second from ``start`` to ``end``."""
        for second in range(start, end + 1):
            self.admission.record_targets(targets, float(second), float(second))

    def cause(self, now, value=None, served_by=None, is_known=lambda item: False):
        rejection = self.admission.rejection(
            value or batch(), served_by or manifest(), now, is_known
        )
        return rejection and rejection.cause

    def test_rejects_a_batch_without_any_engine(self):
        self.observe(0, 10)
        rejection = self.admission.rejection(
            batch(), manifest(), 10.0, lambda item: False
        )
        self.assertEqual((rejection.cause, rejection.retry_after), (NO_ENGINE, 5.0))
        self.assertIsInstance(rejection.error(), NoTargetError)

    def test_rejects_a_batch_whose_engines_have_all_been_leaving(self):
        self.observe(0, 10, target(draining=True), target("p0", service="portal"))
        self.assertEqual(self.cause(10.0), NO_ENGINE)

    def test_accepts_while_one_engine_takes_runs(self):
        self.observe(0, 10, target(draining=True), target("e1"))
        self.assertIsNone(self.cause(10.0))

    def test_an_engine_that_is_there_takes_runs_at_once(self):
        """The clock goes on between the look at the targets and the decision."""
        self.observe(0, 10, target())
        short = manifest(1, batch_route(run_deadline=1.0, queue_ttl=1.0))
        self.assertIsNone(self.cause(10.00001, served_by=short))

    def test_a_lost_engine_may_come_back_within_the_lag(self):
        self.observe(0, 10, target())
        self.observe(11, 12)
        self.assertIsNone(self.cause(12.0))
        self.observe(13, 14)
        self.assertEqual(self.cause(14.0), NO_ENGINE)

    def test_retry_after_a_loss_is_the_rest_of_the_lag(self):
        """The engine may be back after the short step is over."""
        served_by = manifest(1, batch_route(run_deadline=1.0, queue_ttl=1.0))
        self.observe(0, 10, target())
        self.observe(11, 11)
        rejection = self.admission.rejection(
            batch(), served_by, 11.0, lambda item: False
        )
        self.assertEqual(rejection.retry_after, 2.0)

    def test_an_engine_that_can_be_ordered_in_time_counts(self):
        self.observe(0, 10)
        self.assertIsNone(self.cause(10.0, served_by=scaled(4.0)))
        self.assertEqual(self.cause(10.0, served_by=scaled(4.0, 0)), NO_ENGINE)
        short = scaled(4.0, queue_ttl=3.0)
        rejection = self.admission.rejection(batch(), short, 10.0, lambda item: False)
        self.assertEqual(rejection.retry_after, 4.0)

    def test_accepts_without_a_limit_of_the_step(self):
        self.observe(0, 10)
        endless = manifest(1, batch_route(run_deadline=0.0, queue_ttl=0.0))
        self.assertIsNone(self.cause(10.0, served_by=endless))

    def test_accepts_while_the_list_of_targets_is_new_or_old(self):
        """A host that just started, or is cut from the store, knows too little."""
        self.assertIsNone(self.cause(0.0))
        self.observe(0, 2)
        self.assertIsNone(self.cause(2.0))
        self.observe(3, 10)
        self.assertEqual(self.cause(10.0), NO_ENGINE)
        self.assertIsNone(self.cause(12.5))
        self.observe(20, 22)
        self.assertIsNone(self.cause(22.0))
        self.observe(23, 23)
        self.assertEqual(self.cause(23.0), NO_ENGINE)

    def test_accepts_an_item_without_a_route(self):
        self.observe(0, 10)
        other = manifest(1, batch_route(path_prefix="/other/"))
        self.assertIsNone(self.cause(10.0, served_by=other))

    def test_rejects_more_work_than_twice_what_all_slots_do(self):
        """10 groups of 8 items of 100 events at 50 ms take 15 s on 26.7 slots."""
        self.admission.record_intervals([0.0, 0.05, 0.2])
        for slots, expected in ((26, TOO_MUCH_WORK), (27, None)):
            self.admission.record_targets([target(slots=slots)], 0.0, 0.0)
            self.observe(1, 10, target(slots=slots))
            self.assertEqual(self.cause(10.0, large_batch(100)), expected)

    def test_work_that_is_not_certain_is_not_counted(self):
        self.admission.record_intervals([0.05])
        self.observe(0, 10, target(slots=20))
        self.assertEqual(self.cause(10.0, large_batch(100)), TOO_MUCH_WORK)
        for changes in ({"max_output_tokens": None}, {"max_output_tokens": 1000.0}):
            value = large_batch(100, **changes)
            self.assertIsNone(self.cause(10.0, value), changes)
        known = self.cause(10.0, large_batch(100), is_known=lambda item: True)
        self.assertIsNone(known)
        self.assertIsNone(self.cause(10.0, large_batch(100), scaled(4.0)))
        late = scaled(20.0)
        self.assertEqual(self.cause(10.0, large_batch(100), late), TOO_MUCH_WORK)

    def test_an_unknown_speed_or_a_lost_engine_counts_for_the_batch(self):
        self.observe(0, 9, target(slots=20), target("e1", slots=20))
        self.observe(10, 10, target(slots=20))
        self.assertIsNone(self.cause(10.0, large_batch(1000)))
        self.admission.record_intervals([0.05])
        self.assertIsNone(self.cause(10.0, large_batch(100)))

    def test_a_slow_span_of_all_engines_does_not_lower_the_known_speed(self):
        self.admission.record_intervals([0.05])
        self.admission.record_intervals([0.15])
        self.observe(0, 10, target(slots=27))
        self.assertIsNone(self.cause(10.0, large_batch(100)))


class SubmissionTest(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())

    async def start(self, seed_lag=LAG):
        self.host = await self.deployment.start_host(seed_lag=seed_lag)
        await asyncio.sleep(5.0)

    def records(self, batch_id="b1"):
        return self.deployment.store.records_by_topic.get(topic_of(batch_id), [])

    async def test_a_rejected_batch_is_not_stored_and_may_run_later(self):
        await self.start()
        started_at = self.now()
        with self.assertRaises(NoTargetError) as caught:
            await self.deployment.submit(self.host, batch())
        # A quarter of the route's latency goal of 0.5 s.
        self.assertLess(self.now() - started_at, 0.125)
        self.assertEqual(caught.exception.status, 503)
        self.assertEqual(caught.exception.retry_after, 5.0)
        self.assertEqual(self.records(), [])
        names = [event.kind.name for event in self.deployment.events]
        self.assertEqual(names.count("batch_rejected"), 1)
        self.deployment.add_engine("e0")
        await asyncio.sleep(2.0)
        await self.deployment.submit(self.host, batch())
        results = await self.deployment.results(self.host, "b1", 10.0)
        self.assertEqual(len(results), 4)

    async def test_without_the_setting_a_batch_waits_for_engines_as_before(self):
        await self.start(seed_lag=None)
        await self.deployment.submit(self.host, batch())
        self.assertNotEqual(self.records(), [])

    async def test_a_batch_that_the_store_has_is_never_rejected(self):
        """Its first submission went to another host and got no answer."""
        await self.start()
        for record in encode(Accepted(batch()), 262_144):
            self.deployment.store.add(topic_of("b1"), record)
        await self.deployment.submit(self.host, batch())
        self.assertTrue(self.host.get(BatchLog).table.state_by_id["b1"])

    async def test_a_batch_that_this_host_may_have_stored_is_not_rejected(self):
        """The store may carry out an append later whose answer was lost."""
        await self.start()
        self.deployment.add_engine("e0")
        await asyncio.sleep(2.0)
        self.deployment.store.down = True
        with self.assertRaises(LogUnavailableError):
            await self.deployment.submit(self.host, batch())
        self.deployment.store.down = False
        self.deployment.remove_target("e0")
        await asyncio.sleep(8.0)
        self.assertFalse(self.host.get(Directory).target_by_id)
        await self.deployment.submit(self.host, batch())
        with self.assertRaises(NoTargetError):
            await self.deployment.submit(self.host, batch("b2"))

    async def test_a_batch_whose_repetition_is_being_stored_is_not_rejected(self):
        """Engines were there for a moment while the topic was read."""
        await self.start()
        service = self.host.get(Batches)
        log = self.host.get(BatchLog)
        load = log.load

        async def load_beside_a_repetition(batch_ids):
            await load(batch_ids)
            service._admission.record_submission("b1")

        with patch.object(log, "load", load_beside_a_repetition):
            await self.deployment.submit(self.host, batch())
        self.assertNotEqual(self.records(), [])

    async def test_a_host_that_can_not_read_the_store_does_not_judge(self):
        """The submission fails as it did before, for lack of the store."""
        await self.start()
        self.deployment.store.down = True
        with self.assertRaises(LogUnavailableError):
            await self.deployment.submit(self.host, batch())


class SettingsTest(unittest.TestCase):
    def test_batches_are_rejected_only_if_the_settings_have_the_lag(self):
        # A restart of 12 s counts beside the lag.
        for bounds, lag in (({}, None), ({"seed_lag_s": 3.0}, 15.0)):
            settings = HostSettings(
                host_id="host-1",
                zone="a",
                ip="127.0.0.1",
                front_address="127.0.0.1:1",
                ready_address="127.0.0.1:2",
                store={"address": "127.0.0.1:3"},
                bounds=bounds,
            )
            with patch("cranberryrun.platform.__main__.Batches", wraps=Batches) as made:
                PlatformHost(settings)
            (admission,) = made.call_args.args
            self.assertEqual(admission and admission.lag, lag)
