"""Demo: a small deployment under configuration changes and failures of hosts."""

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
PROPAGATION_LIMIT_SECONDS = 10.0
POLL_INTERVAL_SECONDS = 0.05
TRAINER_TIMEOUT_SECONDS = 75.0
ENGINE_OPTIONS = ("--slots", "8", "--tokens-per-second", "1200", "--load-lag", "1")
TIMING = {"balancer_lag": 1.0, "checkpoint": 0.5, "list_poll": 0.5}


@dataclass
class Report:
    """Figures of trainer, callers and targets; printed as the last line of the demo."""

    figures: dict[str, Any] = field(default_factory=dict)

    def violations(self) -> list[str]:
        """Return a description of each violated guarantee."""
        figures = self.figures
        descriptions = [
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
            descriptions.append("not all steps were completed")
        if figures["samples_received"] != figures["samples_expected"]:
            descriptions.append("not all samples were received")
        if figures["requests_answered"] != figures["requests_sent"]:
            descriptions.append("not all requests were answered")
        if figures["config_in_force_seconds"] > PROPAGATION_LIMIT_SECONDS:
            descriptions.append("the configuration change took effect too late")
        return descriptions


class Demo:
    """Runs the scenario of the demo in one deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._report = Report()
        self._started_at = loop_time()

    def _print_progress(self, text: str) -> None:
        click.echo(f"{loop_time() - self._started_at:6.1f} s  {text}")

    async def run(self) -> Report:
        """Start all processes, run the scenario and return the report."""
        await self._start_platform()
        await self._start_hosts()
        await self._declare_resources()
        await self._start_clients()
        await self._run_scenario()
        await self._finish()
        return self._report

    async def _start_platform(self) -> None:
        deployment = self._deployment
        await deployment.launch_standin("log", "log")
        await deployment.launch_standin("hosts", "hosts", "--lag", "1")
        weights = await deployment.launch_standin("weights", "weights")
        for engine, zone in zip(ENGINES, ZONES):
            await deployment.launch_standin(
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
            await deployment.launch_standin(target, "service", "--name", target)
        self._print_progress("platform, engines and portal targets are running")

    async def _start_hosts(self) -> None:
        for host, zone in zip(HOSTS, ZONES):
            settings = self._deployment.settings_for(host, zone, timing=TIMING)
            await self._deployment.launch_host(settings)
        await self._deployment.wait_until_ready(*HOSTS)
        self._print_progress("three hosts are ready")

    async def _declare_resources(self) -> None:
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
        self._print_progress("engines, workload and service are declared")

    async def _start_clients(self) -> None:
        entries = ",".join(self._deployment.by_name[host].url for host in HOSTS)
        await self._deployment.launch_client(
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
        await self._deployment.launch_client(
            "callers",
            "callers",
            *("--entries", entries),
            *("--service", SERVICE),
            *("--rate", str(CALL_RATE)),
            *("--seconds", str(CALL_SECONDS)),
            *("--keyed-share", str(KEYED_SHARE)),
            *("--record", str(FOLDER / "callers-record.json")),
        )
        self._print_progress("trainer and callers are running")

    async def _run_scenario(self) -> None:
        await asyncio.sleep(4)
        await self._change_configuration()
        await asyncio.sleep(3)
        self._print_progress("killing host-3 (SIGKILL)")
        await self._deployment.kill("host-3")
        await asyncio.sleep(1)
        await self._deployment.remove_from_list("host-3")
        await asyncio.sleep(5)
        self._print_progress("stopping host-2 gracefully (SIGTERM)")
        settings = self._deployment.by_name["host-2"].settings
        await self._deployment.put_on_list(settings, "leaving")
        code = await self._deployment.terminate("host-2")
        self._report.figures["drain_exit_code"] = code
        self._print_progress(f"host-2 exited with status {code}")

    async def _change_configuration(self) -> None:
        deployment = self._deployment
        started_at = loop_time()
        changed = await deployment.declare(
            "host-1", "workloads", WORKLOAD, workload_spec(2.5)
        )
        generation = changed["metadata"]["generation"]
        for host in HOSTS:
            await self._wait_for_generation(host, generation)
        seconds = round(loop_time() - started_at, 3)
        self._report.figures["config_in_force_seconds"] = seconds
        self._print_progress(
            f"a configuration change took effect on all hosts after {seconds} s"
        )

    async def _wait_for_generation(self, host: str, generation: int) -> None:
        url = f"{self._deployment.by_name[host].url}/v1/workloads/{WORKLOAD}"
        while True:
            resource = await self._deployment.request("GET", url)
            if resource["metadata"]["generation"] >= generation:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _finish(self) -> None:
        await self._deployment.wait_for_exit("callers", CALL_SECONDS + 20)
        await self._deployment.wait_for_exit("trainer", TRAINER_TIMEOUT_SECONDS)
        self._print_progress("trainer and callers have finished")
        figures = self._report.figures
        trainer = _last_line_json(FOLDER / "trainer.out")
        callers = _last_line_json(FOLDER / "callers.out")
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
        await self._check_target_records()
        url = f"{self._deployment.by_name['host-1'].url}/v1/timeline"
        timeline = await self._deployment.request("GET", url)
        (FOLDER / "timeline.json").write_text(json.dumps(timeline, indent=1))

    async def _check_target_records(self) -> None:
        """Compare the responses that callers got with what the targets actually ran."""
        runs_by_key: dict[str, int] = {}
        for target in TARGETS:
            record = await self._deployment.record(target)
            for run in record["runs"]:
                if run["key"] is None:
                    continue
                runs_by_key[run["key"]] = runs_by_key.get(run["key"], 0) + 1
        run_twice = sum(count > 1 for count in runs_by_key.values())
        callers = json.loads((FOLDER / "callers-record.json").read_text())
        refused_but_run = sum(
            call["outcome"] == "refused" and call["key"] in runs_by_key
            for call in callers["calls"]
        )
        self._report.figures["nonrepeatable_run_twice"] = run_twice
        self._report.figures["refused_but_run"] = refused_but_run


def workload_spec(rate: float) -> dict[str, Any]:
    """Return the spec of the demo's workload.

    :param rate: declared rate, in engines.
    """
    return {
        "pool": POOL,
        "trainers": 1,
        "freshness_bound": FRESHNESS_BOUND,
        "rate": rate,
        "price_per_engine_hour": 2.0,
    }


def _last_line_json(path: Path) -> dict[str, Any]:
    lines = path.read_text().strip().splitlines()
    return json.loads(lines[-1]) if lines else {}


async def _run() -> int:
    shutil.rmtree(FOLDER, ignore_errors=True)
    example.write_files(FOLDER / "example")
    async with Deployment(FOLDER) as deployment:
        report = await Demo(deployment).run()
    violations = report.violations()
    click.echo("")
    for name, value in sorted(report.figures.items()):
        click.echo(f"  {name:28} {value}")
    click.echo("")
    for text in violations:
        click.echo(f"  violated: {text}")
    click.echo("all guarantees held" if not violations else "a guarantee was violated")
    click.echo(json.dumps(report.figures | {"held": not violations}))
    return 1 if violations else 0


async def _run_until_sigterm() -> int:
    """Run the demo; SIGTERM stops it and all its processes."""
    task = asyncio.get_running_loop().create_task(_run())
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        return 1


def main() -> None:
    """Run the demo; exit with status 0 only if all guarantees held."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        sys.exit(runner.run(_run_until_sigterm()))


if __name__ == "__main__":
    main()
