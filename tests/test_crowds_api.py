"""Crowds of callers at the own API, with and without TLS."""

import asyncio
import ssl

from standins.deployment import Deployment

from .crowds import CrowdTestCase
from .test_crowds_heads import CALLERS, send_long_head
from .test_security import DATA, tls

BODY_BYTES = 2_000_000


class ApiCrowdTestCase(CrowdTestCase):
    settings: dict = {}
    scheme = "http"

    async def start_host(self) -> None:
        deployment = await self.enterAsyncContext(Deployment(self.folder / "api"))
        await deployment.launch_standin("log", "log")
        await deployment.launch_standin("hosts", "hosts")
        running = await deployment.launch_host(
            deployment.settings_for("host-1", "zone-a", **self.settings)
        )
        self.process = running.process
        self.front = f"127.0.0.1:{running.port}"
        self.log_path = deployment.folder / "host-1.out"
        await self.assert_ordinary_call_is_served()

    async def try_ordinary_call(self) -> bool:
        try:
            async with self.session.get(
                f"{self.scheme}://{self.front}/readyz",
                ssl=self.client_context(),
                headers={"Connection": "close"},
            ) as response:
                return response.status == 200
        except OSError:
            return False

    def client_context(self):
        return True


class ApiCrowdTest(ApiCrowdTestCase):
    async def test_long_heads_that_lack_their_last_line(self):
        """200 of them took 446 MB."""
        await self.crowd(CALLERS, send_long_head)

    async def test_bodies_that_lack_their_last_byte(self):
        head = (
            "POST /call/none/x HTTP/1.1\r\nHost: a\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n"
        ).encode()

        async def act(caller):
            await caller.send(head + b"x" * (BODY_BYTES - 1))
            await caller.read(100)

        await self.crowd(200, act)


class TlsCrowdTest(ApiCrowdTestCase):
    settings = {"tls": tls("host")}
    scheme = "https"

    def client_context(self):
        context = ssl.create_default_context(cafile=str(DATA / "authority.crt"))
        context.check_hostname = False
        return context

    async def test_handshakes_that_stop(self):
        async def act(caller):
            # The beginning of a record of the handshake.
            await caller.send(b"\x16\x03\x01\x02\x00\x01")
            await asyncio.sleep(5.0)

        await self.crowd(CALLERS, act)

    async def test_records_that_are_not_tls(self):
        async def act(caller):
            await caller.send(b"\x16\x03\x01" + b"\xff" * 100_000)
            await caller.read(100)

        await self.crowd(CALLERS, act)
