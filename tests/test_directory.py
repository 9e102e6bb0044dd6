"""The directory: what a host knows of manifest and targets, through outages."""

import asyncio

from cranberryrun.fleet.directory import Directory
from fakes.deployment import Deployment, batch_route, manifest

from .virtual import VirtualTimeTestCase

# The platform's bound for a manifest, less what the store takes to settle.
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

    def ids(self):
        return {target.id for target in self.directory.targets_of("models")}

    def remove(self, target_id):
        topic = self.deployment.decoder.target_topic
        self.store.put_keyed(topic, target_id, None)


class ManifestTest(DirectoryTestCase):
    async def test_a_manifest_is_in_force_at_once(self):
        self.deployment.put_manifest(manifest(3))
        await asyncio.sleep(0.05)
        self.assertEqual(self.directory.manifest.version, 3)

    async def test_it_never_goes_back(self):
        self.deployment.put_manifest(manifest(3))
        await asyncio.sleep(0.1)
        self.deployment.put_manifest(manifest(2))
        await asyncio.sleep(1.0)
        self.assertEqual(self.directory.manifest.version, 3)

    async def test_it_is_in_force_soon_after_a_silent_store_is_back(self):
        """mushi-arusha fresh-9f2d: CONFIG broken at 28.349 s, 3 s after the outage."""
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

    async def test_forgotten_records_are_made_good_by_the_newest_values(self):
        topic = self.deployment.decoder.operator_topic
        self.store.silent = True
        await asyncio.sleep(1.0)
        self.deployment.put_manifest(manifest(2))
        self.store.first_by_topic[topic] = len(self.store.records_by_topic[topic])
        self.store.silent = False
        await asyncio.sleep(IN_FORCE_SECONDS)
        self.assertEqual(self.directory.manifest.version, 2)

    async def test_the_longest_prefix_of_its_host_is_chosen(self):
        routes = [
            batch_route(name="short", path_prefix="/a/"),
            batch_route(name="long", path_prefix="/a/b/"),
            batch_route(name="other", host="other.example", path_prefix="/a/b/c/"),
        ]
        found = manifest(1, *routes)
        host = routes[0].host
        self.assertEqual(found.route_for(host, "/a/b/c/d").name, "long")
        self.assertEqual(found.route_for(host, "/a/x").name, "short")
        self.assertIsNone(found.route_for(host, "/b/"))
        self.assertIsNone(found.route_for("none.example", "/a/"))


class TargetTest(DirectoryTestCase):
    async def test_a_target_whose_entry_is_removed_is_gone_at_once(self):
        self.remove("e0")
        await asyncio.sleep(0.05)
        self.assertEqual(self.ids(), {"e1"})

    async def test_a_target_that_drains_gets_nothing_new(self):
        self.deployment.register("e0", draining=True)
        await asyncio.sleep(0.05)
        self.assertEqual(self.ids(), {"e1"})

    async def test_an_entry_that_lapsed_in_an_outage_may_return_for_two_seconds(self):
        self.store.down = True
        await asyncio.sleep(4.0)
        self.remove("e0")
        self.remove("e1")
        self.store.down = False
        await asyncio.sleep(1.5)
        self.assertEqual(self.ids(), {"e0", "e1"})
        self.deployment.register("e0")
        await asyncio.sleep(1.0)
        self.assertEqual(self.ids(), {"e0"})

    async def test_an_older_entry_of_the_same_start_or_an_earlier_start_is_ignored(
        self,
    ):
        self.deployment.register("e0", born=5, sequence=9)
        self.deployment.register("e0", born=5, sequence=8, draining=True)
        self.deployment.register("e0", born=4, sequence=99, draining=True)
        await asyncio.sleep(0.1)
        self.assertEqual(self.ids(), {"e0", "e1"})

    async def test_a_malformed_entry_names_no_target(self):
        topic = self.deployment.decoder.target_topic
        self.store.put_keyed(topic, "e0", b"{")
        self.store.put_keyed(topic, "e9", b'{"service": 3}')
        await asyncio.sleep(0.1)
        self.assertEqual(self.ids(), {"e1"})
