"""The speeds of engines that a new holder of the lease takes over."""

import asyncio
from dataclasses import replace

from cranberryrun.batches.log import BatchLog
from cranberryrun.batches.records import Decoder, Progressed, encode
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.speed_record import record_speeds, restore_speeds
from fakes.deployment import MODEL, SERVICE, Deployment, batch, manifest

from .test_batch_dispatch import DispatchTestCase
from .virtual import VirtualTimeTestCase

NOW = 1000.0


class SpeedRecordTest(DispatchTestCase):
    def record(self, count=22):
        slow = self.engine("e0", 0.15)
        fast = [self.engine(f"e{n}", 0.05) for n in range(1, count)]
        return record_speeds([slow, *fast], NOW)

    def unmeasured(self, name):
        engine = self.engine(name)
        engine.event_interval = 0.0
        return engine

    async def test_slow_engine_stays_slow_for_the_next_holder(self):
        """A new holder sent long items to slow engines until it had measured them."""
        engines = [self.unmeasured("e0"), self.unmeasured("e1")]
        self.assertEqual(restore_speeds(self.record(), engines, NOW), 1)
        self.assertAlmostEqual(engines[0].expected_event_interval(0.05), 0.15)
        self.assertAlmostEqual(engines[1].expected_event_interval(0.05), 0.05)

    async def test_stale_factor_decays(self):
        engine = self.unmeasured("e0")
        restore_speeds(self.record(), [engine], NOW + 4.0)
        self.assertAlmostEqual(engine.expected_event_interval(0.05), 0.10)
        engine = self.unmeasured("e0")
        self.assertEqual(restore_speeds(self.record(), [engine], NOW + 60.0), 0)

    async def test_newer_measurement_is_kept_and_older_one_is_not(self):
        """A host that held the lease before has old measurements."""
        engine = self.engine("e0", 0.05)
        restore_speeds(self.record(), [engine], NOW + 1.0)
        self.assertAlmostEqual(engine.event_interval, 0.05)
        await asyncio.sleep(5.0)
        restore_speeds(self.record(), [engine], NOW + 1.0)
        self.assertAlmostEqual(engine.event_interval, 0.15)

    async def test_record_of_600_engines_fits_beside_the_progress(self):
        engines = [self.engine(f"engine-{n:04d}", 0.05) for n in range(480)]
        engines += [self.engine(f"slow-{n:04d}", 0.15) for n in range(120)]
        message = Progressed("b", "i", "t", 0, [], [])
        sized = replace(message, speeds=record_speeds(engines, NOW))
        self.assertLess(len(b"".join(encode(sized, 1 << 20))), 4096)

    async def test_record_without_speeds_is_readable(self):
        """The previous build writes none."""
        (raw,) = encode(Progressed("b", "i", "t", 0, ["x"], [1]), 1 << 20)
        raw = raw.replace(b',"speeds":null', b"")
        message = Decoder().decode(raw)
        assert isinstance(message, Progressed)
        self.assertIsNone(message.speeds)


class SpeedHandoverTest(VirtualTimeTestCase):
    async def test_next_holder_knows_the_slow_engine(self):
        deployment = Deployment()
        self.addAsyncCleanup(deployment.stop)
        models = {SERVICE: (MODEL, "m2", "m3")}
        deployment.put_manifest(replace(manifest(), models_by_service=models))
        deployment.add_engine("e0", gap=0.15)
        deployment.add_engine("e1", gap=0.05)
        first = await deployment.start_host()
        await asyncio.sleep(1.0)
        for group in range(2):
            deployment.targets.events_by_item[f"b1-g{group}-0"] = 200
        await deployment.submit(first, batch(groups=2, size=1, events=20))
        await asyncio.sleep(4.0)
        second = await deployment.start_host("host-2")
        await asyncio.sleep(1.0)
        await first.get(Lease).release()
        await asyncio.sleep(2.0)
        self.assertTrue(second.get(Lease).held)
        self.assertIsNotNone(second.get(BatchLog).table.speeds)
        recalled = [
            event.fields["slow_engines"]
            for event in deployment.events
            if event.kind.name == "batches_recalled"
        ]
        self.assertEqual(recalled, [0, 1])
