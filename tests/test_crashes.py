"""A target that ends under a request is told from one that loses a connection."""

from cranberryrun.events import Events
from cranberryrun.fleet.client import Request
from cranberryrun.requests.fingerprint import fingerprint_of

from .test_platform_host import ATTEMPT_ID, PlatformTestCase


def request(attempt_id="r1", **changes):
    fields = dict(
        id=attempt_id,
        method="POST",
        target="/status/1?x=2",
        headers=(("Host", "site.example"), (ATTEMPT_ID, attempt_id)),
        body=b"body",
        deadline=0.0,
    )
    return Request(**(fields | changes))


class FingerprintTest(PlatformTestCase):
    async def test_repeats_under_other_ids_are_the_same(self):
        self.assertEqual(
            fingerprint_of(request("r1")), fingerprint_of(request("r2", deadline=9.0))
        )

    async def test_other_method_path_host_caller_or_body_is_another_request(self):
        host = ("Host", "site.example")
        variants = [
            request(),
            request(method="PUT"),
            request(target="/status/1?x=3"),
            request(body=b"bodies"),
            request(headers=(("Host", "other.example"),)),
            request(headers=(host, ("Authorization", "a"))),
            request(headers=(host, ("Authorization", "b"))),
        ]
        self.assertEqual(len({fingerprint_of(each) for each in variants}), 7)


class CrashDetectionTest(PlatformTestCase):
    def crashed(self):
        return [
            event.fields["target"]
            for event in self.host.kernel.get(Events).after(-1)
            if event.kind.name == "target_crashed"
        ]

    async def test_target_that_ended_is_logged_with_the_request(self):
        self.script_portals("crash", "crash")
        await self.request("POST", "/status/1", data=b"hi")
        self.assertEqual(sorted(self.crashed()), ["p0", "p1"])

    async def test_target_that_reset_a_connection_did_not_end(self):
        self.script_portals("reset", "reset")
        await self.request("POST", "/status/1", data=b"hi")
        self.assertEqual(self.crashed(), [])
