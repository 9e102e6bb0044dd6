"""Some cases of the fault matrix with real processes, sockets and signals."""

import asyncio
import json
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any

from standins.deployment import Deployment

HOSTS = ("host-1", "host-2", "host-3")
ENGINES = ("engine-1", "engine-2")
WORKLOAD = "denoiser"
FRESHNESS_BOUND = 1
STEPS = 3
GROUPS = 3
SAMPLES = 2
TIMING = {
    "list_poll": 0.3,
    "peer_exchange": 0.3,
    "peer_timeout": 0.5,
    "suspect_after": 1.0,
    "view_limit": 1.5,
    "log_wait": 1.0,
    "log_timeout": 1.0,
    "balancer_lag": 0.5,
    "checkpoint": 0.3,
    "stream_idle": 2.0,
    "stream_linger": 3.0,
}
LONGER_THAN_TIMEOUTS_SECONDS = 5.0
TRAINER_TIMEOUT_SECONDS = 45.0
DISPATCH_TIMEOUT_SECONDS = 15.0
POLL_SECONDS = 0.1


class ProcessesTest(unittest.IsolatedAsyncioTestCase):
    """Runs three hosts, two engines and a trainer as processes on loopback."""

    async def start_deployment(self, tokens_per_second: int) -> Deployment:
        """Start the platform, the engines and the hosts, and declare the workload."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = Path(folder)
        deployment = await self.enterAsyncContext(Deployment(self.folder))
        await deployment.launch_standin("log", "log")
        await deployment.launch_standin("hosts", "hosts", "--lag", "0.5")
        weights = await deployment.launch_standin("weights", "weights")
        rate = ("--slots", "4", "--tokens-per-second", str(tokens_per_second))
        for name in ENGINES:
            options = ("--id", name, "--weights", weights.url, *rate)
            await deployment.launch_standin(name, "engine", *options)
        for name in HOSTS:
            await self.start_host(deployment, name)
        await deployment.wait_until_ready(*HOSTS)
        for name in ENGINES:
            url = deployment.by_name[name].url
            spec = {"url": url, "zone": "zone-a", "pool": "rollout", "slots": 4}
            await deployment.declare("host-1", "engines", name, spec)
        spec = {"pool": "rollout", "freshness_bound": FRESHNESS_BOUND, "rate": 2}
        await deployment.declare("host-2", "workloads", WORKLOAD, spec)
        return deployment

    async def start_host(self, deployment: Deployment, name: str) -> None:
        """Start one host without waiting until it is ready."""
        zone = f"zone-{name[-1]}"
        settings = deployment.settings_for(name, zone, timing=TIMING)
        await deployment.launch_host(settings)

    async def start_trainer(self, deployment: Deployment) -> None:
        """Start a trainer, which exits when its steps are done."""
        entries = ",".join(deployment.by_name[name].url for name in HOSTS)
        await deployment.launch_client(
            "trainer",
            "trainer",
            *("--workload", WORKLOAD),
            *("--entries", entries),
            *("--steps", str(STEPS)),
            *("--groups", str(GROUPS)),
            *("--samples", str(SAMPLES)),
            *("--max-tokens", "96"),
            *("--version-every", "1"),
            *("--freshness-bound", str(FRESHNESS_BOUND)),
            *("--give-up-seconds", str(TRAINER_TIMEOUT_SECONDS)),
            *("--record", str(self.folder / "trainer.json")),
        )

    async def host_of_step(self, deployment: Deployment) -> str:
        """Wait until a sample is dispatched and return the host of its step."""
        async with asyncio.timeout(DISPATCH_TIMEOUT_SECONDS):
            while True:
                for name in HOSTS:
                    url = f"{deployment.by_name[name].url}/v1/events"
                    page = await deployment.request("GET", url)
                    if any(
                        event["event"] == "sample_dispatched"
                        for event in page["events"]
                    ):
                        return name
                await asyncio.sleep(POLL_SECONDS)

    async def check_trainer(self, deployment: Deployment) -> dict[str, Any]:
        """Wait until the trainer exits and check the samples that it received."""
        code = await deployment.wait_for_exit("trainer", TRAINER_TIMEOUT_SECONDS)
        self.assertEqual(code, 0)
        record = json.loads((self.folder / "trainer.json").read_text())
        summary = record["summary"]
        self.assertEqual(summary["steps_done"], STEPS, record["failures"])
        self.assertEqual(summary["samples_received"], STEPS * GROUPS * SAMPLES)
        for name in ("samples_doubled", "samples_stale", "samples_unstamped"):
            self.assertEqual(summary[name], 0, name)
        return record

    async def test_steps_complete_when_the_host_of_a_step_is_killed(self):
        deployment = await self.start_deployment(tokens_per_second=200)
        await self.start_trainer(deployment)
        name = await self.host_of_step(deployment)
        await deployment.kill(name)
        await deployment.remove_from_list(name)
        record = await self.check_trainer(deployment)
        self.assertTrue(record["failures"])

    async def test_a_host_is_stopped_past_every_timeout_and_goes_on(self):
        deployment = await self.start_deployment(tokens_per_second=200)
        await self.start_trainer(deployment)
        name = await self.host_of_step(deployment)
        other = next(launch_host for launch_host in HOSTS if launch_host != name)
        await deployment.signal(name, signal.SIGSTOP)
        url = f"{deployment.by_name[other].url}/v1/workloads/{WORKLOAD}/versions"
        await deployment.request("POST", url, {"version": 2})
        await asyncio.sleep(LONGER_THAN_TIMEOUTS_SECONDS)
        await deployment.signal(name, signal.SIGCONT)
        await self.check_trainer(deployment)

    async def test_steps_complete_when_a_host_starts_while_the_log_is_down(self):
        deployment = await self.start_deployment(tokens_per_second=2000)
        await deployment.set_faults("log", down=True)
        await self.start_host(deployment, "host-4")
        await deployment.wait_until_ready("host-4")
        url = f"{deployment.by_name['host-4'].url}/v1/workloads/{WORKLOAD}"
        workload = await deployment.request("GET", url)
        self.assertEqual(workload["metadata"]["generation"], 1)
        await self.start_trainer(deployment)
        await self.check_trainer(deployment)
