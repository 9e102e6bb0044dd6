"""A host that is cut from all targets, while callers, store and hosts reach it."""

import asyncio
import time
from dataclasses import replace
from unittest.mock import patch

from aiohttp import web

from cranberryrun.events import Events
from cranberryrun.fleet import neighbours
from cranberryrun.fleet.address import Address
from cranberryrun.fleet.directory import Directory
from cranberryrun.fleet.lease import Lease
from cranberryrun.fleet.neighbours import Neighbours
from cranberryrun.platform import neighbour_server
from standins.target_link import Cut, TargetLink

from .test_platform_host import (
    ATTEMPT_ID,
    DEADLINE_MS,
    OPERATOR_TOPIC,
    PlatformTestCase,
    manifest,
    route,
    submission,
)

REQUEST_COUNT = 8
# The users' rule counts from 3 s after the cut.
SECONDS_UNTIL_COUNTED = 3.0
DEADLINE = {DEADLINE_MS: "800"}


class CutHostTestCase(PlatformTestCase):
    """Two hosts; the paths from the first one to the targets can be cut."""

    async def start_host(self, name="host-1", target_count=3):
        self.links = getattr(self, "links", {})
        links = {}
        for target in (*self.portals, self.engine):
            links[target.id] = TargetLink(target.address)
            await links[target.id].start()
            self.addAsyncCleanup(links[target.id].stop)
        self.links[name] = links
        return await super().start_host(name, target_count)

    def prepare(self, host, name):
        decoder = host.kernel.get(Directory)._decoder
        decode = decoder.target

        def target(key, value):
            decoded = decode(key, value)
            link = self.links[name].get(key)
            if link is None:
                return decoded
            return replace(decoded, address=Address.parse(link.address))

        decoder.target = target

    async def asyncSetUp(self):
        # Hosts know each other some seconds after their start.
        patcher = patch.object(neighbours, "_REFRESH_SECONDS", 0.3)
        patcher.start()
        self.addCleanup(patcher.stop)
        await super().asyncSetUp()
        routes = [route("resumed", "streaming", "lm", resumable=True)]
        self.store.put(OPERATOR_TOPIC, "config", manifest(2, routes=routes))
        self.other, self.other_url, _ = await self.start_host("host-2")
        for host in (self.host, self.other):
            await self.wait_until(lambda: host.kernel.get(Neighbours).host_count == 2)
            directory = host.kernel.get(Directory)
            await self.wait_until(lambda: directory.manifest.version == 2)

    def cut(self, how, *names):
        for name in names or ("host-1",):
            for link in self.links[name].values():
                link.cut(how)

    async def heal(self, *names):
        for name in names or ("host-1",):
            for link in self.links[name].values():
                await link.heal()

    async def send_all(self, path, prefix):
        """Send requests to the first host one after the other; return the statuses."""
        statuses = []
        for number in range(REQUEST_COUNT):
            attempt_id = f"{prefix}{number}"
            status, _, _ = await self.request(
                "POST", path, attempt_id, data=b"hi", headers=DEADLINE
            )
            statuses.append(status)
        return statuses

    def event_names(self, host):
        return [event.kind.name for event in host.kernel.get(Events).after(-1)]


class HangingConnectionTest(CutHostTestCase):
    """Guards against RECOVER: connecting to a target used up the whole deadline."""

    async def test_request_is_refused_soon_when_no_connection_can_be_made(self):
        self.cut(Cut.HANG, "host-1", "host-2")
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, headers, _ = await self.request("POST", "/hold/x", headers=DEADLINE)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertLess(loop.time() - started_at, 0.75)

    async def test_request_is_refused_if_the_loop_stalls_while_it_connects(self):
        # Guards against 504 for requests that were not sent: a stall during the time
        # limit of connecting let it begin anew.
        self.cut(Cut.HANG, "host-1", "host-2")
        asyncio.get_running_loop().call_later(0.1, time.sleep, 0.06)
        status, headers, _ = await self.request("POST", "/hold/x", headers=DEADLINE)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)


class CutHostRequestTest(CutHostTestCase):
    """Guards against RECOVER: requests failed at hosts that had lost the targets."""

    async def test_safe_requests_are_served_from_the_first_one_on(self):
        for how in Cut:
            await self.heal("host-1", "host-2")
            with self.subTest(how=how):
                await self.send_all("/status/x", f"w{how.value}")
                self.cut(how)
                statuses = await self.send_all("/status/x", how.value)
                self.assertEqual(statuses, [200] * REQUEST_COUNT)

    async def test_requests_that_may_run_once_are_served_soon_after_the_cut(self):
        for how in Cut:
            await self.heal("host-1", "host-2")
            with self.subTest(how=how):
                await asyncio.sleep(1.0)
                await self.send_all("/hold/x", f"w{how.value}")
                self.cut(how)
                await self.send_all("/status/x", f"s{how.value}")
                await asyncio.sleep(SECONDS_UNTIL_COUNTED)
                statuses = await self.send_all("/hold/x", how.value)
                self.assertEqual(statuses, [200] * REQUEST_COUNT)
                ids = [
                    attempt_id
                    for each in self.portal_requests()
                    if (attempt_id := each[ATTEMPT_ID]).startswith(how.value)
                ]
                self.assertEqual(len(ids), len(set(ids)))

    async def test_streams_are_served(self):
        for how in Cut:
            await self.heal("host-1", "host-2")
            with self.subTest(how=how):
                self.cut(how)
                for number in range(3):
                    attempt_id = f"{how.value}{number}"
                    status, headers, body = await self.request(
                        "POST", "/resumed/x", attempt_id
                    )
                    self.assertEqual(status, 200)
                    self.assertEqual(body.count(b"\n\n"), 6)
                    self.assertIn("X-Cranberryrun-Server-Signature", headers)

    async def test_answers_are_unchanged_by_the_way_they_take(self):
        direct = await self.request("POST", "/status/a%20b?x=1", "r1", data=b"hi")
        self.cut(Cut.REFUSE)
        relayed = await self.request("POST", "/status/a%20b?x=1", "r2", data=b"hi")
        self.assertEqual(direct[0], relayed[0])
        self.assertEqual(direct[2], relayed[2])
        for name in ("X-Own", "Content-Length", "Content-Type"):
            self.assertEqual(direct[1].get(name), relayed[1].get(name))
        sent = {each[ATTEMPT_ID]: each for each in self.portal_requests()}
        for name in ("method", "path", "body", "Host"):
            self.assertEqual(sent["r1"][name], sent["r2"][name])

    async def test_answer_of_the_other_host_itself_is_no_answer_of_a_target(self):
        self.cut(Cut.REFUSE)
        await self.send_all("/status/x", "w")

        async def answer(kernel, request, transfer):
            return web.Response(status=400)

        with patch.object(neighbour_server, "relay_call", answer):
            status, _, _ = await self.request("POST", "/hold/x", "own")
        self.assertEqual(status, 502)

    async def test_answer_that_breaks_off_behind_the_other_host_is_no_answer(self):
        self.cut(Cut.REFUSE)
        await self.send_all("/status/x", "w")
        for step in ("short", "reset", "foreign", "unsigned"):
            with self.subTest(step=step):
                for portal in self.portals:
                    portal.script.clear()
                self.script_portals(step)
                status, _, _ = await self.request("POST", "/hold/x", step)
                self.assertIn(status, (502, 504))

    async def test_requests_are_refused_at_once_when_no_host_reaches_targets(self):
        for how in (Cut.HANG, Cut.REFUSE):
            await self.heal("host-1", "host-2")
            with self.subTest(how=how):
                self.cut(how, "host-1", "host-2")
                await self.request("POST", "/status/x", "w", headers=DEADLINE)
                await asyncio.sleep(1.0)
                loop = asyncio.get_running_loop()
                for number in range(3):
                    started_at = loop.time()
                    status, headers, _ = await self.request(
                        "POST", "/hold/x", f"{number}", headers=DEADLINE
                    )
                    self.assertEqual(status, 503)
                    self.assertIn("Retry-After", headers)
                    self.assertLess(loop.time() - started_at, 0.3)
                self.assertEqual(self.portal_requests(), [])

    async def test_request_given_up_while_connecting_delays_no_later_one(self):
        # Its target was suspected of a crash, and the next request waited for the
        # connection that was to show it.
        self.cut(Cut.HANG, "host-1", "host-2")
        await self.request("POST", "/status/x", "w", headers={DEADLINE_MS: "100"})
        for host in (self.host, self.other):
            await self.wait_until(lambda: "targets_lost" in self.event_names(host))
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        status, _, _ = await self.request("POST", "/hold/x", "h", headers=DEADLINE)
        self.assertEqual(status, 503)
        self.assertLess(loop.time() - started_at, 0.3)

    async def test_host_reaches_targets_by_itself_after_the_cut(self):
        self.cut(Cut.HANG)
        await self.send_all("/status/x", "c")
        await self.wait_until(lambda: "targets_lost" in self.event_names(self.host))
        await self.heal()
        await self.wait_until(
            lambda: "targets_reached" in self.event_names(self.host), seconds=3.0
        )
        self.cut(Cut.REFUSE, "host-2")
        statuses = await self.send_all("/hold/x", "h")
        self.assertEqual(statuses, [200] * REQUEST_COUNT)

    async def test_host_passes_calls_on_to_registered_targets_only(self):
        address = self.host.kernel.get(Neighbours).address_of("host-2")
        for path in ("/relay/unknown/x", "/relay/10.0.0.1:80/x", "/relay/"):
            async with self.session.post(f"http://{address}{path}") as response:
                self.assertGreaterEqual(response.status, 400)
                self.assertNotIn("X-Cranberryrun-Server-Signature", response.headers)


class CutHolderTest(CutHostTestCase):
    """Guards against RECOVER: a cut holder kept the lease, and steps starved."""

    def holder(self):
        for host in (self.host, self.other):
            if host.kernel.get(Lease).held:
                return host
        return None

    async def cut_holder(self, how):
        await self.wait_until(lambda: self.holder() is not None)
        holder = self.holder()
        name, url = ("host-1", self.url)
        if holder is self.other:
            name, url = ("host-2", self.other_url)
        self.cut(how, name)
        return holder, name, url

    async def test_another_host_takes_the_lease_when_connections_hang(self):
        await self.check_takeover(Cut.HANG)

    async def test_another_host_takes_the_lease_when_connections_are_refused(self):
        await self.check_takeover(Cut.REFUSE)

    async def test_another_host_takes_the_lease_when_new_connections_are_refused(self):
        await self.check_takeover(Cut.REFUSE_NEW)

    async def check_takeover(self, how):
        holder, _, url = await self.cut_holder(how)
        status, _, _ = await self.request(
            "POST", "/rollout/b", "b1", url=url, json=submission(items=4)
        )
        self.assertEqual(status, 202)
        async with asyncio.timeout(4.0):
            while self.holder() in (None, holder):
                await self.send_at_once(url)
                await asyncio.sleep(0.1)
        await self.wait_until_listed("b1", 4)

    async def send_at_once(self, url):
        """Send requests that need new connections, as none was sent before the cut."""
        for portal in self.portals:
            portal.answer_seconds = 0.05
        requests = [
            self.request("POST", "/status/x", f"a{number}", url=url)
            for number in range(REQUEST_COUNT)
        ]
        await asyncio.gather(*requests)

    async def wait_until_listed(self, batch_id, count):
        async with asyncio.timeout(4.0):
            while True:
                _, _, body = await self.request("GET", f"/v1/lots/{batch_id}?after=0")
                if body.count(b'"succeeded"') == count:
                    return
                await asyncio.sleep(0.1)

    async def test_cut_host_does_not_take_the_lease(self):
        """Nothing has shown this host yet that it is cut."""
        await self.wait_until(lambda: self.holder() is not None)
        holder = self.holder()
        name = "host-2" if holder is self.host else "host-1"
        self.cut(Cut.HANG, name)
        await holder.kernel.get(Lease).release()
        await asyncio.sleep(2.0)
        self.assertIsNone(self.holder())
        await self.heal(name)
        await self.wait_until(lambda: self.holder() is not None, seconds=3.0)

    async def test_holder_keeps_the_lease_when_all_hosts_are_cut(self):
        await self.wait_until(lambda: self.holder() is not None)
        holder = self.holder()
        self.cut(Cut.REFUSE, "host-1", "host-2")
        await self.send_all("/status/x", "a")
        await asyncio.sleep(3.0)
        self.assertIs(self.holder(), holder)


class CutHostCrashTest(CutHostTestCase):
    """Guards against RECOVER: a cut host took refused connections for crashes."""

    async def test_cut_is_not_recorded_as_a_crash(self):
        for portal in self.portals:
            portal.answer_seconds = 0.2
        waiting = [
            asyncio.create_task(
                self.request("POST", "/status/x", f"c{number}", headers=DEADLINE)
            )
            for number in range(4)
        ]
        await self.wait_until(
            lambda: sum(portal.open_requests for portal in self.portals) >= 4
        )
        self.cut(Cut.REFUSE)
        statuses = [(await each)[0] for each in waiting]
        self.assertEqual(statuses, [200] * 4)
        self.assertNotIn("target_crashed", self.event_names(self.host))
