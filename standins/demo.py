"""The demo: a small deployment that works through changes and failures."""

import asyncio
import json
import shutil
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import click
import uvloop

from . import example
from ._program import loop_time
from .deployment import Deployment

FOLDER = Path(".demo")
HOSTS = ("host-1", "host-2", "host-3")
ZONES = ("zone-a", "zone-b", "zone-c")
ENGINES = ("engine-1", "engine-2", "engine-3")
TARGETS = ("portal-1", "portal-2")
WORKLOAD = "denoiser"
SERVICE = "portal"
POOL = "rollout"
STEPS = 8
GROUPS = 6
SAMPLES = 4
CALL_RATE = 20.0
CALL_SECONDS = 30.0
KEYED_SHARE = 0.3
FRESHNESS_BOUND = 2
IN_FORCE_SECONDS = 10.0
POLL_SECONDS = 0.05
TRAINER_SECONDS = 75.0
ENGINE_OPTIONS = ("--slots", "8", "--tokens-per-second", "1200", "--load-lag", "1")
TIMING = {"balancer_lag": 1.0, "checkpoint": 0.5, "list_poll": 0.5}


@dataclass
class Report:
    """What trainer, callers and targets saw; the last line of the demo."""

    figures: dict[str, Any] = field(default_factory=dict)

    def broken(self) -> list[str]:
        """Return the promises that did not hold."""
        figures = self.figures
        found = [
            f"{name} is {figures[name]}"
            for name in (
                "samples_doubled",
                "samples_stale",
                "samples_unstamped",
                "requests_truncated",
                "nonrepeatable_run_twice",
                "refused_but_run",
                "drain_exit_code",
            )
            if figures[name]
        ]
        if figures["steps_done"] != figures["steps_expected"]:
            found.append("not all steps are done")
        if figures["samples_received"] != figures["samples_expected"]:
            found.append("not all samples arrived")
        if figures["requests_answered"] != figures["requests_sent"]:
            found.append("not all requests were answered")
        if figures["config_in_force_seconds"] > IN_FORCE_SECONDS:
            found.append("the change came into force late")
        return found


class Demo:
    """Runs the demo's story in one deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._report = Report()
        self._began = loop_time()

    def _say(self, text: str) -> None:
        click.echo(f"{loop_time() - self._began:6.1f} s  {text}")

    async def run(self) -> Report:
        """Start everything, let it work through the story, and judge."""
        await self._start_platform()
        await self._start_hosts()
        await self._declare()
        await self._start_clients()
        await self._story()
        await self._finish()
        return self._report

    async def _start_platform(self) -> None:
        deployment = self._deployment
        await deployment.standin("log", "log")
        await deployment.standin("hosts", "hosts", "--lag", "1")
        weights = await deployment.standin("weights", "weights")
        for engine, zone in zip(ENGINES, ZONES):
            await deployment.standin(
                engine,
                "engine",
                "--id",
                engine,
                "--zone",
                zone,
                "--weights",
                weights.url,
                *ENGINE_OPTIONS,
            )
        for target in TARGETS:
            await deployment.standin(target, "service", "--name", target)
        self._say("platform, engines and portal targets are up")

    async def _start_hosts(self) -> None:
        for host, zone in zip(HOSTS, ZONES):
            settings = self._deployment.settings_for(host, zone, timing=TIMING)
            await self._deployment.host(settings)
        await self._deployment.until_ready(*HOSTS)
        self._say("three hosts are ready")

    async def _declare(self) -> None:
        deployment = self._deployment
        for engine, zone in zip(ENGINES, ZONES):
            spec = {
                "url": deployment.by_name[engine].url,
                "zone": zone,
                "pool": POOL,
                "slots": 8,
                "tokens_per_second": 1200,
            }
            await deployment.declare("host-1", "engines", engine, spec)
        await deployment.declare("host-2", "workloads", WORKLOAD, workload_spec(3))
        targets = [
            {"id": target, "url": deployment.by_name[target].url, "zone": zone}
            for target, zone in zip(TARGETS, ZONES)
        ]
        await deployment.declare("host-3", "services", SERVICE, {"targets": targets})
        self._say("engines, workload and service are declared")

    async def _start_clients(self) -> None:
        entries = ",".join(self._deployment.by_name[host].url for host in HOSTS)
        await self._deployment.client(
            "trainer",
            "trainer",
            *("--workload", WORKLOAD),
            *("--entries", entries),
            *("--steps", str(STEPS)),
            *("--groups", str(GROUPS)),
            *("--samples", str(SAMPLES)),
            *("--version-every", "2"),
            *("--train-seconds", "0.5"),
            *("--freshness-bound", str(FRESHNESS_BOUND)),
            *("--record", str(FOLDER / "trainer-record.json")),
        )
        await self._deployment.client(
            "callers",
            "callers",
            *("--entries", entries),
            *("--service", SERVICE),
            *("--rate", str(CALL_RATE)),
            *("--seconds", str(CALL_SECONDS)),
            *("--keyed-share", str(KEYED_SHARE)),
            *("--record", str(FOLDER / "callers-record.json")),
        )
        self._say("trainer and callers are at work")

    async def _story(self) -> None:
        await asyncio.sleep(4)
        await self._change_configuration()
        await asyncio.sleep(3)
        self._say("host-3 is killed (kill -9)")
        await self._deployment.kill("host-3")
        await asyncio.sleep(1)
        await self._deployment.unlist("host-3")
        await asyncio.sleep(5)
        self._say("host-2 is stopped as planned")
        settings = self._deployment.by_name["host-2"].settings
        await self._deployment.list_host(settings, "leaving")
        code = await self._deployment.terminate("host-2")
        self._report.figures["drain_exit_code"] = code
        self._say(f"host-2 ended with exit code {code}")

    async def _change_configuration(self) -> None:
        deployment = self._deployment
        began = loop_time()
        changed = await deployment.declare(
            "host-1", "workloads", WORKLOAD, workload_spec(2.5)
        )
        generation = changed["metadata"]["generation"]
        for host in HOSTS:
            await self._until_generation(host, generation)
        seconds = round(loop_time() - began, 3)
        self._report.figures["config_in_force_seconds"] = seconds
        self._say(f"a change is in force on all hosts after {seconds} s")

    async def _until_generation(self, host: str, generation: int) -> None:
        url = f"{self._deployment.by_name[host].url}/v1/workloads/{WORKLOAD}"
        while True:
            seen = await self._deployment.request("GET", url)
            if seen["metadata"]["generation"] >= generation:
                return
            await asyncio.sleep(POLL_SECONDS)

    async def _finish(self) -> None:
        await self._deployment.ended("callers", CALL_SECONDS + 20)
        await self._deployment.ended("trainer", TRAINER_SECONDS)
        self._say("trainer and callers have ended")
        figures = self._report.figures
        trainer = _last_json(FOLDER / "trainer.out")
        callers = _last_json(FOLDER / "callers.out")
        figures |= {
            name: trainer.get(name)
            for name in (
                "steps_done",
                "samples_expected",
                "samples_received",
                "samples_doubled",
                "samples_stale",
                "samples_unstamped",
                "trainer_idle_seconds",
                "staleness_mean_versions",
            )
        }
        figures["steps_expected"] = STEPS
        figures |= {
            name: callers.get(name)
            for name in ("requests_sent", "requests_answered", "requests_truncated")
        }
        await self._judge_targets()
        url = f"{self._deployment.by_name['host-1'].url}/v1/timeline"
        timeline = await self._deployment.request("GET", url)
        (FOLDER / "timeline.json").write_text(json.dumps(timeline, indent=1))

    async def _judge_targets(self) -> None:
        """Compare what callers were told with what the targets truly ran."""
        runs_by_key: dict[str, int] = {}
        for target in TARGETS:
            record = await self._deployment.record(target)
            for run in record["runs"]:
                if run["key"] is None:
                    continue
                runs_by_key[run["key"]] = runs_by_key.get(run["key"], 0) + 1
        twice = sum(count > 1 for count in runs_by_key.values())
        callers = json.loads((FOLDER / "callers-record.json").read_text())
        refused_but_run = sum(
            call["outcome"] == "refused" and call["key"] in runs_by_key
            for call in callers["calls"]
        )
        self._report.figures["nonrepeatable_run_twice"] = twice
        self._report.figures["refused_but_run"] = refused_but_run


def workload_spec(rate: float) -> dict[str, Any]:
    """Return the demo's workload with a declared rate, in engines."""
    return {
        "pool": POOL,
        "trainers": 1,
        "freshness_bound": FRESHNESS_BOUND,
        "rate": rate,
        "price_per_engine_hour": 2.0,
    }


def _last_json(path: Path) -> dict[str, Any]:
    lines = path.read_text().strip().splitlines()
    return json.loads(lines[-1]) if lines else {}


async def _run() -> int:
    shutil.rmtree(FOLDER, ignore_errors=True)
    example.write(FOLDER / "example")
    async with Deployment(FOLDER) as deployment:
        report = await Demo(deployment).run()
    broken = report.broken()
    click.echo("")
    for name, value in sorted(report.figures.items()):
        click.echo(f"  {name:28} {value}")
    click.echo("")
    for text in broken:
        click.echo(f"  broken: {text}")
    click.echo("all promises held" if not broken else "a promise was broken")
    click.echo(json.dumps(report.figures | {"held": not broken}))
    return 1 if broken else 0


async def _until_told() -> int:
    """Run the demo; SIGTERM ends it and all of its processes."""
    task = asyncio.get_running_loop().create_task(_run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return 1


def main() -> None:
    """Run the demo and exit 0 only if the promises held."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(_until_told()))


if __name__ == "__main__":
    main()
