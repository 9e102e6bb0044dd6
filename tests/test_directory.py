"""Tests of the directory: manifest and targets, also after outages of the store."""

import asyncio

from cranberryrun.fleet.directory import Directory
from fakes.deployment import Deployment, batch_route, manifest

from .virtual import VirtualTimeTestCase

# The platform's limit for a manifest, less the time that the store needs to recover.
IN_FORCE_SECONDS = 1.0


class DirectoryTestCase(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())
        self.deployment.add_engine("e0")
        self.deployment.add_engine("e1")
        host = await self.deployment.start_host()
        self.directory = host.get(Directory)
        await asyncio.sleep(1.0)
        self.store = self.deployment.store

    def target_ids(self):
        return {target.id for target in self.directory.targets_of("models")}

    def remove(self, target_id):
        topic = self.deployment.decoder.target_topic
        self.store.put_keyed(topic, target_id, None)


class ManifestTest(DirectoryTestCase):
    async def test_a_new_manifest_takes_effect_at_once(self):
        self.deployment.put_manifest(manifest(3))
        await asyncio.sleep(0.05)
        self.assertEqual(self.directory.manifest.version, 3)

    async def test_an_older_manifest_is_ignored(self):
        self.deployment.put_manifest(manifest(3))
        await asyncio.sleep(0.1)
        self.deployment.put_manifest(manifest(2))
        await asyncio.sleep(1.0)
        self.assertEqual(self.directory.manifest.version, 3)

    async def test_a_manifest_takes_effect_soon_after_the_store_answers_again(self):
        """A manifest used to take effect too late after an outage.

        In the trial mushi-arusha fresh-9f2d, CONFIG was violated at 28.349 s, 3 s
        after the outage.
        """
        for outage in (2.0, 2.3, 2.7, 3.1, 6.0):
            with self.subTest(outage=outage):
                self.store.silent = True
                await asyncio.sleep(outage)
                version = self.directory.manifest.version + 1
                self.deployment.put_manifest(manifest(version))
                self.store.silent = False
                await asyncio.sleep(IN_FORCE_SECONDS)
                self.assertEqual(self.directory.manifest.version, version)
                await asyncio.sleep(2.0)

    async def test_the_newest_values_are_read_when_the_store_has_dropped_records(self):
        topic = self.deployment.decoder.operator_topic
        self.store.silent = True
        await asyncio.sleep(1.0)
        self.deployment.put_manifest(manifest(2))
        self.store.first_by_topic[topic] = len(self.store.records_by_topic[topic])
        self.store.silent = False
        await asyncio.sleep(IN_FORCE_SECONDS)
        self.assertEqual(self.directory.manifest.version, 2)

    async def test_the_route_with_the_longest_prefix_of_its_host_is_chosen(self):
        routes = [
            batch_route(name="short", path_prefix="/a/"),
            batch_route(name="long", path_prefix="/a/b/"),
            batch_route(name="other", host="other.example", path_prefix="/a/b/c/"),
        ]
        routed = manifest(1, *routes)
        host = routes[0].host
        self.assertEqual(routed.route_for(host, "/a/b/c/d").name, "long")
        self.assertEqual(routed.route_for(host, "/a/x").name, "short")
        self.assertIsNone(routed.route_for(host, "/b/"))
        self.assertIsNone(routed.route_for("none.example", "/a/"))


class TargetTest(DirectoryTestCase):
    async def test_a_target_is_removed_at_once_when_its_entry_is_removed(self):
        self.remove("e0")
        await asyncio.sleep(0.05)
        self.assertEqual(self.target_ids(), {"e1"})

    async def test_a_draining_target_gets_no_new_requests(self):
        self.deployment.register("e0", draining=True)
        await asyncio.sleep(0.05)
        self.assertEqual(self.target_ids(), {"e1"})

    async def test_a_target_may_register_again_within_two_seconds_of_an_outage(self):
        self.store.down = True
        await asyncio.sleep(4.0)
        self.remove("e0")
        self.remove("e1")
        self.store.down = False
        await asyncio.sleep(1.5)
        self.assertEqual(self.target_ids(), {"e0", "e1"})
        self.deployment.register("e0")
        await asyncio.sleep(1.0)
        self.assertEqual(self.target_ids(), {"e0"})

    async def test_an_older_entry_of_the_same_or_an_earlier_process_is_ignored(self):
        self.deployment.register("e0", born=5, sequence=9)
        self.deployment.register("e0", born=5, sequence=8, draining=True)
        self.deployment.register("e0", born=4, sequence=99, draining=True)
        await asyncio.sleep(0.1)
        self.assertEqual(self.target_ids(), {"e0", "e1"})

    async def test_a_malformed_entry_registers_no_target(self):
        topic = self.deployment.decoder.target_topic
        self.store.put_keyed(topic, "e0", b"{")
        self.store.put_keyed(topic, "e9", b'{"service": 3}')
        await asyncio.sleep(0.1)
        self.assertEqual(self.target_ids(), {"e1"})


class HeartbeatTest(DirectoryTestCase):
    """36 targets write a heartbeat about once a second each, as on the large site."""

    async def write_heartbeats(self, seconds, targets=36):
        end = self.now() + seconds
        while self.now() < end:
            for number in range(targets):
                self.deployment.register(f"h{number}")
                await asyncio.sleep(1.2 / targets)

    def count_reads(self):
        reads = []
        read = self.store.read

        async def counted(topic, start, wait):
            if topic == self.deployment.decoder.target_topic:
                reads.append(start)
            return await read(topic, start, wait)

        self.store.read = counted
        return reads

    async def test_host_without_the_lease_reads_heartbeats_twice_a_second_at_most(self):
        self.directory.follow_closely = False
        await self.write_heartbeats(2.4)
        reads = self.count_reads()
        await self.write_heartbeats(12.0)
        self.assertLess(len(reads), 2.0 * 12.0)

    async def test_leaving_target_is_noticed_within_a_second_among_heartbeats(self):
        self.directory.follow_closely = False
        beats = asyncio.create_task(self.write_heartbeats(6.0))
        await asyncio.sleep(3.0)
        self.deployment.register("e0", draining=True)
        await asyncio.sleep(1.0)
        self.assertNotIn("e0", self.target_ids())
        await beats

    async def test_holder_of_the_lease_notices_a_new_version_at_once(self):
        self.assertTrue(self.directory.follow_closely)
        beats = asyncio.create_task(self.write_heartbeats(6.0))
        await asyncio.sleep(3.0)
        self.deployment.register("e0", version_by_model={"m": 7})
        await asyncio.sleep(0.3)
        target = self.directory.target_by_id["e0"]
        self.assertEqual(target.version_by_model, {"m": 7})
        await beats
