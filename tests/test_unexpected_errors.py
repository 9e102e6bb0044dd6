"""An unexpected error in one loop of a host does not end the loop or the process."""

import asyncio

from cranberryrun.batches.runner import Runner
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.lease import Lease
from fakes.deployment import Deployment, batch, manifest

from .virtual import VirtualTimeTestCase


class UnexpectedErrorTest(VirtualTimeTestCase):
    async def asyncSetUp(self):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(manifest())
        self.deployment.add_engine("e0")
        self.host = await self.deployment.start_host()
        await asyncio.sleep(1.0)

    def fail_once(self, service, method):
        """Have a method of a service raise an unexpected error at its next call."""
        original = getattr(service, method)

        def fail(*args, **options):
            setattr(service, method, original)
            raise RuntimeError(f"unexpected error in {method}")

        setattr(service, method, fail)

    async def test_targets_are_followed_again(self):
        directory = self.host.get(Directory)
        with self.assertLogs("absl", "ERROR"):
            self.fail_once(directory._decoder, "target")
            self.deployment.add_engine("e1")
            await asyncio.sleep(2.0)
        self.assertEqual(set(directory.target_by_id), {"e0", "e1"})

    async def test_lease_is_renewed_again(self):
        lease = self.host.get(Lease)
        self.assertTrue(lease.held)
        with self.assertLogs("absl", "ERROR"):
            self.fail_once(lease, "_encode_record")
            await asyncio.sleep(2.0)
        self.assertTrue(lease.held)

    async def test_items_run_on_after_an_error_of_the_scheduler(self):
        with self.assertLogs("absl", "ERROR"):
            self.fail_once(self.host.get(Runner), "_dispatch")
            await self.deployment.submit(self.host, batch())
            results = await self.deployment.results(self.host, "b1", 5.0)
        self.assertEqual(len(results), 4)
