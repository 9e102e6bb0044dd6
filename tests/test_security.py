"""Tests of access control: tokens by role, TLS, and no secret in any output."""

import hashlib
import json
import random
import ssl
import tempfile
import unittest
from pathlib import Path

import aiohttp
from absl import logging
from click.testing import CliRunner
from multidict import CIMultiDict

from cranberryrun.call_wire import answer_to_wire, call_from_wire, call_to_wire
from cranberryrun.configuration import Configuration
from cranberryrun.daemon import main
from cranberryrun.events import Events
from cranberryrun.exceptions import (
    ForbiddenError,
    PeerError,
    SettingsError,
    UnauthorizedError,
)
from cranberryrun.host import Host
from cranberryrun.kernel import Kernel
from cranberryrun.membership import HostEntry, Membership
from cranberryrun.peers import Peers
from cranberryrun.security import ANONYMOUS, Tokens, server_context
from cranberryrun.services import Answer
from cranberryrun.settings import TlsSettings, TokenSettings
from standins.ports import free_port

from .doubles import MemoryLog, RawTarget, StubMembership, answer, call, settings
from .test_drain import UnreadableHostList, declare

DATA = Path(__file__).parent / "data"
SECRETS = {role: f"secret-of-the-{role}" for role in ("operator", "trainer", "caller")}


def tls(name: str, authority: str | None = "authority") -> dict[str, str | None]:
    """Return TLS settings with a certificate of the test data."""
    return {
        "certificate": str(DATA / f"{name}.crt"),
        "key": str(DATA / f"{name}.key"),
        "authority": authority and str(DATA / f"{authority}.crt"),
    }


def tokens() -> list[dict[str, object]]:
    """Return a token for each role."""
    return [
        {
            "name": f"the {role}",
            "roles": [role],
            "sha256": hashlib.sha256(secret.encode()).hexdigest(),
        }
        for role, secret in SECRETS.items()
    ]


class TokenTests(unittest.TestCase):
    """Checks ``Authorization`` headers."""

    def setUp(self) -> None:
        self.tokens = Tokens([TokenSettings.model_validate(row) for row in tokens()])

    def test_token_allows_only_calls_of_its_role(self) -> None:
        for role, secret in SECRETS.items():
            name = self.tokens.authorize(f"Bearer {secret}", role)
            self.assertEqual(name, f"the {role}")
            for other in set(SECRETS) - {role}:
                with self.assertRaises(ForbiddenError):
                    self.tokens.authorize(f"Bearer {secret}", other)

    def test_unauthorized_when_the_header_has_no_known_token(self) -> None:
        secret = SECRETS["caller"]
        digest = hashlib.sha256(secret.encode()).hexdigest()
        for header in (
            "",
            "Bearer",
            "Bearer ",
            "Bearer wrong",
            f"Basic {secret}",
            secret,
            f"Bearer {digest}",
        ):
            with self.subTest(header), self.assertRaises(UnauthorizedError) as caught:
                self.tokens.authorize(header, "caller")
            self.assertNotIn(secret, caught.exception.detail)

    def test_every_call_is_allowed_when_the_settings_name_no_tokens(self) -> None:
        self.assertEqual(Tokens([]).authorize("", "operator"), ANONYMOUS)


class TlsSettingsTests(unittest.TestCase):
    """Refuses invalid files before anything is served."""

    def test_error_names_the_field_of_an_invalid_file(self) -> None:
        valid = tls("host")
        for field, invalid in (
            ("tls.certificate", valid | {"certificate": "/none"}),
            ("tls.certificate", valid | {"key": tls("stranger")["key"]}),
            ("tls.certificate", valid | {"certificate": str(DATA / "README.md")}),
        ):
            with self.subTest(invalid), self.assertRaises(SettingsError) as caught:
                server_context(TlsSettings.model_validate(invalid))
            self.assertEqual(caught.exception.field, field)
        with self.assertRaises(SettingsError) as caught:
            Peers(settings(tls=valid | {"authority": "/none"}), random.Random(1))
        self.assertEqual(caught.exception.field, "tls.authority")

    def test_daemon_refuses_invalid_files_before_it_starts(self) -> None:
        host_settings = settings(tls=tls("host") | {"key": str(DATA / "stranger.key")})
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "host.json"
            path.write_text(host_settings.model_dump_json())
            for options in ([], ["--check-settings"]):
                result = CliRunner().invoke(main, [str(path), *options])
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertIn("tls.certificate", result.output)


class ApiSecurityTests(unittest.IsolatedAsyncioTestCase):
    """A host with tokens and TLS, over real sockets."""

    async def asyncSetUp(self) -> None:
        host_settings = settings(
            api_port=free_port(),
            peer_port=free_port(),
            tls=tls("host"),
            tokens=tokens(),
        )
        self.host = Host(host_settings, MemoryLog())
        self.host.kernel.get(Membership).use_host_list(UnreadableHostList())
        await self.host.start()
        self.addAsyncCleanup(self.host.stop)
        await self.host.kernel.get(Configuration).ready.wait()
        self.url = f"https://127.0.0.1:{host_settings.api_port}"
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.client_context = ssl.create_default_context(
            cafile=str(DATA / "authority.crt")
        )

    async def _status(self, method: str, path: str, role: str | None) -> int:
        headers = {}
        if role is not None:
            headers["Authorization"] = f"Bearer {SECRETS[role]}"
        async with self.session.request(
            method, self.url + path, headers=headers, ssl=self.client_context, json={}
        ) as response:
            if response.status in (401, 403):
                problem = json.loads(await response.read())
                self.assertTrue(problem["not_run"])
            return response.status

    async def test_every_route_requires_its_role(self) -> None:
        step = "/v1/workloads/w/steps/1/samples"
        routes = (
            ("GET", "/v1/hosts", "operator"),
            ("GET", "/v1/events", "operator"),
            ("GET", "/v1/timeline", "operator"),
            ("GET", "/v1/services", "operator"),
            ("GET", "/v1/services?watch=", "operator"),
            ("GET", "/v1/services/s", "operator"),
            ("PUT", "/v1/services/s", "operator"),
            ("DELETE", "/v1/services/s", "operator"),
            ("POST", "/v1/drain", "operator"),
            ("POST", "/v1/workloads/w/versions", "trainer"),
            ("GET", "/v1/workloads/w/versions", "trainer"),
            ("POST", step, "trainer"),
            ("POST", "/call/s/x", "caller"),
        )
        for method, path, role in routes:
            with self.subTest(f"{method} {path}"):
                self.assertEqual(await self._status(method, path, None), 401)
                for other in set(SECRETS) - {role}:
                    self.assertEqual(await self._status(method, path, other), 403)
                if "watch" not in path:
                    allowed = await self._status(method, path, role)
                    self.assertNotIn(allowed, (401, 403))

    async def test_probes_and_metrics_need_no_token(self) -> None:
        for path in ("/healthz", "/readyz", "/metrics"):
            self.assertEqual(await self._status("GET", path, None), 200)

    async def test_plain_http_and_an_unknown_authority_are_refused(self) -> None:
        with self.assertRaises(aiohttp.ClientConnectorCertificateError):
            await self.session.get(f"{self.url}/healthz")
        with self.assertRaises(aiohttp.ClientError):
            await self.session.get(self.url.replace("https", "http") + "/healthz")

    async def test_secrets_reach_neither_logs_nor_targets_nor_events(self) -> None:
        with self.assertLogs(logging.get_absl_logger(), "DEBUG") as logs:
            verbosity = logging.get_verbosity()
            logging.set_verbosity(logging.DEBUG)
            self.addCleanup(logging.set_verbosity, verbosity)
            async with RawTarget(answer()) as target:
                await declare(self.host, target)
                for role in (*SECRETS, None):
                    await self._status("POST", "/call/s/x", role)
                self.assertEqual(len(target.requests), 1)
                received = bytes(target.received).decode()
        events = self.host.kernel.get(Events).after(-1)
        text = "\n".join(
            [*logs.output, received, json.dumps([event.as_dict() for event in events])]
        )
        self.assertIn("request_answered", text)
        for secret in SECRETS.values():
            self.assertNotIn(secret, text)
            self.assertNotIn(hashlib.sha256(secret.encode()).hexdigest(), text)


class PeerSecurityTests(unittest.IsolatedAsyncioTestCase):
    """Calls between hosts need a certificate of the authority on both sides."""

    async def _peers(self, name: str, **changes: object) -> Peers:
        host_settings = settings(name, peer_port=free_port(), **changes)
        kernel = Kernel()
        peers = Peers(host_settings, random.Random(1))
        for service in (Events(name, 1, 100), StubMembership(host_settings, 1), peers):
            kernel.register(service)
        await peers.start()
        self.addAsyncCleanup(peers.stop)
        return peers

    async def _call(self, caller: Peers, called: Peers) -> None:
        host_settings = called._settings
        entry = HostEntry(
            id=host_settings.id,
            kind="entry",
            ip=host_settings.ip,
            peer_port=host_settings.peer_port,
        )
        message = caller._exchange_message(host_settings.id)
        await caller.call(entry, "exchange", message, timeout=2)

    async def test_peers_need_a_certificate_of_the_authority(self) -> None:
        host = await self._peers("h1", tls=tls("host"))
        await self._call(await self._peers("h2", tls=tls("other-host")), host)
        for name, changes in (
            ("stranger", {"tls": tls("stranger")}),
            ("plain", {}),
            ("unsigned", {"tls": tls("stranger", "stranger")}),
        ):
            with self.subTest(name):
                other = await self._peers(name, **changes)
                with self.assertRaises(PeerError):
                    await self._call(other, host)
                with self.assertRaises(PeerError):
                    await self._call(host, other)

    async def test_keyed_call_is_forwarded_unchanged(self) -> None:
        host = await self._peers("h1", tls=tls("host"))
        other = await self._peers("h2", tls=tls("other-host"))
        sent = call(
            "POST",
            key="k",
            body=bytes(range(256)),
            headers=CIMultiDict([("A", "1"), ("A", "2"), ("B", "\u00e9")]),
        )

        async def serve(message: object) -> object:
            forwarded = call_from_wire(message)
            return answer_to_wire(Answer(201, forwarded.headers, forwarded.body))

        host.handler_by_call["call"] = serve
        host_settings = host._settings
        entry = HostEntry(
            id="h1",
            kind="entry",
            ip=host_settings.ip,
            peer_port=host_settings.peer_port,
        )
        reply = await other.call(entry, "call", call_to_wire(sent, 5), timeout=5)
        self.assertEqual((reply.status, reply.body), (201, sent.body))
        self.assertEqual(
            [(header.name, header.value) for header in reply.headers],
            list(sent.headers.items()),
        )
