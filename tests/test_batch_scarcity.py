"""The runner on engines with little memory or too few slots, also after a takeover."""

import asyncio
from dataclasses import replace

from cranberryrun.batches.runner import Runner
from cranberryrun.metrics import Metrics
from fakes.deployment import MODEL, SERVICE, Deployment, batch, manifest

from .virtual import VirtualTimeTestCase

MEMORY_TOKENS = 3000.0


class ScarcityTestCase(VirtualTimeTestCase):
    models = (MODEL, "other-1", "other-2")

    async def start(self, *engines, crash_when_full=True):
        self.deployment = Deployment()
        self.addAsyncCleanup(self.deployment.stop)
        self.deployment.put_manifest(
            replace(
                manifest(),
                memory_tokens_by_service={SERVICE: MEMORY_TOKENS},
                # Steps yield only where several models share the engines.
                models_by_service={SERVICE: self.models},
            )
        )
        self.engines = [
            self.deployment.add_engine(f"e{number}", **state)
            for number, state in enumerate(engines)
        ]
        self.crash_when_full = crash_when_full
        self.host = await self.start_host("host-1")
        await asyncio.sleep(1.0)

    async def start_host(self, name):
        return await self.deployment.start_host(
            name, engines_crash_when_full=self.crash_when_full
        )

    def long_batch(self, batch_id, groups, events=50, actual=60):
        """Return a batch of groups of four whose prompts share 250 of 300 tokens."""
        value = batch(batch_id, groups=groups, size=4, events=events)
        items = []
        for item in value.items:
            self.deployment.targets.events_by_item[item.id] = actual
            part = (f"{batch_id}/{item.group}", 250.0)
            items.append(replace(item, prompt_tokens=300.0, prompt_parts=(part,)))
        return replace(value, items=tuple(items))

    def events(self, name):
        return [each for each in self.deployment.events if each.kind.name == name]

    def crashes(self):
        return sum(engine.crashes for engine in self.engines)


class MemoryTest(ScarcityTestCase):
    """Engines that crash when their runs hold more than 3,000 tokens."""

    state = {"slots": 8, "memory_tokens": MEMORY_TOKENS}

    async def test_no_engine_crashes_when_more_waits_than_the_memory_holds(self):
        await self.start(self.state, self.state)
        await self.deployment.submit(self.host, self.long_batch("b1", groups=4))
        results = await self.deployment.results(self.host, "b1", 30.0)
        self.assertEqual(len(results), 16)
        self.assertEqual(self.crashes(), 0)

    async def test_youngest_run_is_stopped_and_resumed_when_outputs_are_longer(self):
        """The estimates are 10 events; the outputs have 150 on a single engine."""
        await self.start(self.state)
        value = self.long_batch("b1", groups=1, events=10, actual=150)
        await self.deployment.submit(self.host, value)
        results = await self.deployment.results(self.host, "b1", 60.0)
        self.assertEqual(self.crashes(), 0)
        self.assertTrue(all(result.succeeded for result in results))
        for result in results:
            self.assertEqual(len(result.text.split("\n")), 150)
        stopped = self.events("run_stopped")
        self.assertGreater(len(stopped), 0)
        self.assertTrue(all(done > 0 for _, done in self.engines[0].runs[4:]))
        scrape = self.host.get(Metrics).scrape().decode()
        self.assertIn(f"cranberryrun_runs_stopped_total {len(stopped)}.0", scrape)
        self.assertIn('cranberryrun_engine_memory{engine="e0"', scrape)

    async def test_memory_has_no_effect_where_engines_do_not_crash(self):
        await self.start({"slots": 8}, crash_when_full=False)
        await self.deployment.submit(self.host, self.long_batch("b1", groups=2))
        await asyncio.sleep(0.5)
        # A third of the 8 slots is reserved only if items are short.
        self.assertEqual(self.engines[0].running, 8)

    async def test_new_holder_knows_what_resumed_runs_hold(self):
        """A new holder that took recorded outputs for empty would overfill engines."""
        await self.start(self.state, self.state)
        value = self.long_batch("b1", groups=4, events=20, actual=90)
        await self.deployment.submit(self.host, value)
        other = await self.start_host("host-2")
        await asyncio.sleep(2.5)
        await self.host.stop()
        stopped_at = self.now()
        results = await self.deployment.results(other, "b1", 40.0)
        self.assertEqual(len(results), 16)
        self.assertTrue(all(result.succeeded for result in results))
        self.assertEqual(self.crashes(), 0)
        # The host that lost the lease stops no run and starts none.
        late = [
            each
            for each in self.deployment.events
            if each.host == "host-1"
            and each.loop > stopped_at
            and each.kind.name in ("run_stopped", "overload_began", "step_yielded")
        ]
        self.assertEqual(late, [])


class OverloadTest(ScarcityTestCase):
    """Steps with more work than the engines can do before they are due."""

    async def test_operator_sees_the_overload_and_the_steps_that_yield(self):
        await self.start({"slots": 4}, crash_when_full=False)
        self.deployment.register("e0", slots=4)
        await asyncio.sleep(0.2)
        for name in ("b1", "b2"):
            await self.deployment.submit(
                self.host, self.long_batch(name, groups=4, actual=50)
            )
        # The second step is planned when the first runs end.
        await asyncio.sleep(2.6)
        self.assertEqual(len(self.events("overload_began")), 1)
        self.assertEqual(
            {each.fields["step"] for each in self.events("step_yielded")}, {"b1", "b2"}
        )
        scrape = self.host.get(Metrics).scrape().decode()
        (line,) = [
            line
            for line in scrape.splitlines()
            if line.startswith("cranberryrun_engine_load")
        ]
        self.assertGreater(float(line.split()[-1]), 1.0)
        for name in ("b1", "b2"):
            await self.deployment.results(self.host, name, 40.0)
        self.assertEqual(len(self.events("overload_ended")), 1)

    async def test_new_holder_orders_the_open_steps_by_their_recorded_progress(self):
        """A takeover in an overload must not drop the work of late steps."""
        await self.start({"slots": 4}, crash_when_full=False)
        self.deployment.register("e0", slots=4)
        await asyncio.sleep(0.2)
        for name in ("b1", "b2"):
            await self.deployment.submit(
                self.host, self.long_batch(name, groups=3, actual=50)
            )
        other = await self.start_host("host-2")
        await asyncio.sleep(3.0)
        await self.host.get(Runner).hand_over(self.now() + 7.0)
        for name in ("b1", "b2"):
            results = await self.deployment.results(other, name, 40.0)
            self.assertEqual(len(results), 12)
            self.assertTrue(all(result.succeeded for result in results))
        holders = {each.host for each in self.events("overload_began")}
        self.assertEqual(holders, {"host-1", "host-2"})


class SingleModelTest(ScarcityTestCase):
    """Guards deployments with one or two trainers against another order of starts."""

    models = (MODEL, "other-1")

    async def test_no_step_yields_where_no_trainers_compete(self):
        await self.start({"slots": 4}, crash_when_full=False)
        self.deployment.register("e0", slots=4)
        await asyncio.sleep(0.2)
        for name in ("b1", "b2"):
            await self.deployment.submit(
                self.host, self.long_batch(name, groups=4, actual=50)
            )
        await asyncio.sleep(2.6)
        self.assertEqual(self.events("overload_began"), [])
