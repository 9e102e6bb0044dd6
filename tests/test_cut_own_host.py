"""The product's own API: a host that is cut from all engines."""

from cranberryrun import clock

from .test_guarantees import STEP_DEADLINE_SECONDS, GuaranteesTestCase


class CutOwnHostTest(GuaranteesTestCase):
    """Guards against RECOVER: a step starved at a host that reached no engine."""

    def cut(self, simulation, *hosts):
        for host in hosts:
            for engine in simulation.engine_by_name:
                simulation.network.partition(host, engine)

    async def test_step_is_done_at_another_host_within_its_deadline(self):
        simulation = await self.begin()
        self.cut(simulation, "host-1")
        started_at = clock.now()
        await self.step(1, "host-1")
        self.assertLess(clock.now() - started_at, STEP_DEADLINE_SECONDS)
        self.assertIn("step_moved", " ".join(simulation.timeline()))
        self.check(simulation)

    async def test_step_is_done_after_a_time_in_which_all_hosts_were_cut(self):
        simulation = await self.begin()
        self.cut(simulation, "host-1", "host-2", "host-3")
        simulation.loop.call_later(12.0, simulation.network.heal)
        started_at = clock.now()
        await self.step(1, "host-1")
        self.assertLess(clock.now() - started_at, STEP_DEADLINE_SECONDS)
        self.check(simulation)
