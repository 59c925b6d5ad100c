"""Waves of upkeep: when machines go down, and what happens to their tasks."""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise

import testtools

from bulrushpulley.entities.jobs.rows import RowKey, WaveState, WaveStatusRow
from bulrushpulley.entities.jobs.task import TaskState
from bulrushpulley.entities.jobs.upkeep import UpkeepRefusal
from bulrushpulley.entities.observe import Decision
from bulrushpulley.entities.step import Command
from test.jobs_world import JobsWorld, step

MACHINES = ("m-z0-0", "m-z1-1", "m-z2-2")
# A machine is down for 2 s, and is listed as up within a second after that.
WAVE_TIMEOUT_S = 25.0


def wave_state(world: JobsWorld, number: int) -> WaveState | None:
    """Return the state of a wave that operators can read."""
    key = RowKey(table="status", part="", key=f"wave/{number}")
    stored = world.store.row_by_key.get(key)
    row = stored.row if stored is not None else None
    return row.state if isinstance(row, WaveStatusRow) else None


class UpkeepTest(testtools.TestCase):
    def _check(self, world: JobsWorld) -> None:
        self.assertEqual([], world.violations)
        self.assertEqual([], world.machines.violations)

    def test_each_machine_goes_down_once_and_the_state_is_reported(self) -> None:
        world = JobsWorld()
        world.run(2.0)
        world.order_wave(4, *MACHINES)
        world.run(2.0)
        self.assertIs(WaveState.RUNNING, wave_state(world, 4))
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, WAVE_TIMEOUT_S
        )
        self.assertTrue(completed)
        self.assertEqual(sorted(MACHINES), sorted(world.machines.taken_down))
        self._check(world)

    def test_as_many_go_down_at_once_as_the_wave_allows(self) -> None:
        world = JobsWorld()
        world.run(6.0)
        world.order_wave(4, *MACHINES, at_once=3)
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, 8.0
        )
        self.assertTrue(completed)
        self._check(world)

    def test_short_tasks_finish_before_their_machine_goes_down(self) -> None:
        world = JobsWorld(hosts=1)
        world.run(6.0)
        world.submit(1, step(4), payload="2.0")
        world.run(0.5)
        world.order_wave(4, "m-z0-0")
        self.assertTrue(world.run_until(world.all_complete, 6.0))
        self.assertEqual(4, world.starts)
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, 8.0
        )
        self.assertTrue(completed)
        self._check(world)

    def test_the_budget_of_a_lasting_step_is_kept(self) -> None:
        world = JobsWorld()
        world.run(6.0)
        lasting = replace(step(6, lasting=True), disruption_budget=1)
        world.submit(1, lasting, payload="900.0")
        world.run(2.0)
        world.order_wave(4, *MACHINES, at_once=3)
        min_running = 6
        for _ in range(300):
            world.run(0.1)
            owner = world.process_by_name[world.owner()].instance_by_role["scheduler"]
            tasks = owner.tables.tasks.rows()
            running = sum(
                task.state is TaskState.RUNNING and task.startup_done for task in tasks
            )
            min_running = min(min_running, running)
        self.assertIs(WaveState.COMPLETED, wave_state(world, 4))
        self.assertEqual(5, min_running)
        self._check(world)

    def test_a_new_owner_continues_with_a_higher_token_after_a_delay(self) -> None:
        world = JobsWorld(entries=3)
        world.run(6.0)
        world.order_wave(4, *MACHINES)
        world.run_until(lambda: bool(world.machines.taken_down), 5.0)
        world.freeze(world.owner(), 9.0)
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, WAVE_TIMEOUT_S
        )
        self.assertTrue(completed)
        self.assertEqual(sorted(MACHINES), sorted(world.machines.taken_down))
        self.assertGreater(len({order.token for order in world.machines.orders}), 1)
        self._check(world)

    def test_orders_of_two_owners_are_not_mixed_at_a_handover(self) -> None:
        world = JobsWorld(entries=3)
        world.run(6.0)
        world.order_wave(4, *MACHINES, at_once=3)
        world.run_until(lambda: bool(world.machines.taken_down), 5.0)
        world.lose_upkeep_answers = True
        world.leave(world.owner())
        world.run(1.0)
        world.lose_upkeep_answers = False
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, WAVE_TIMEOUT_S
        )
        self.assertTrue(completed)
        self._check(world)

    # Since owners are replaced within a second, one that stands still for that long may
    # send an order before it hears of its loss. The next one sent its own 2.8 s later.
    def test_orders_of_an_owner_that_stood_still_are_not_mixed_with_others(
        self,
    ) -> None:
        for phase_s in (0.5, 0.6, 0.7):
            for stall_s in (0.8, 1.0, 1.1):
                world = JobsWorld(entries=3)
                world.lose_upkeep_answers = True
                world.run(6.0)
                world.order_wave(4, *MACHINES, at_once=3)
                world.run(phase_s)
                world.freeze(world.owner(), stall_s)
                world.run(8.0)
                self._check(world)

    def test_no_upkeep_is_ordered_before_the_order_is_durable(self) -> None:
        world = JobsWorld()
        world.run(6.0)

        def hook(command: Command) -> None:
            if isinstance(command, Decision) and command.kind == "upkeep.order":
                world.store_up = False

        world.hook = hook
        world.order_wave(4, "m-z0-0")
        world.run(3.0)
        self.assertFalse(world.store_up)
        self.assertEqual([], world.machines.orders)
        world.hook, world.store_up = None, True
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, WAVE_TIMEOUT_S
        )
        self.assertTrue(completed)

    def test_an_order_without_answer_is_sent_again(self) -> None:
        world = JobsWorld()
        world.run(6.0)
        world.lose_upkeep_answers = True
        world.order_wave(4, "m-z0-0")
        world.run(6.0)
        self.assertIs(WaveState.RUNNING, wave_state(world, 4))
        world.lose_upkeep_answers = False
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, 6.0
        )
        self.assertTrue(completed)
        self.assertEqual(["m-z0-0"], world.machines.taken_down)

    def test_a_machine_that_no_longer_exists_does_not_block_a_wave(self) -> None:
        world = JobsWorld()
        world.run(6.0)
        world.order_wave(4, "m-gone", "m-z0-0")
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, 10.0
        )
        self.assertTrue(completed)
        self.assertEqual(["m-z0-0"], world.machines.taken_down)

    def test_an_empty_list_does_not_end_a_wave(self) -> None:
        world = JobsWorld()
        world.run(6.0)
        machines, world.machines.machine_by_id = world.machines.machine_by_id, {}
        world.order_wave(4, "m-z0-0")
        world.run(3.0)
        self.assertIs(WaveState.RUNNING, wave_state(world, 4))
        world.machines.machine_by_id = machines
        completed = world.run_until(
            lambda: wave_state(world, 4) is WaveState.COMPLETED, 8.0
        )
        self.assertTrue(completed)

    def test_a_machine_of_a_withdrawn_wave_is_not_taken_down(self) -> None:
        world = JobsWorld(hosts=1)
        world.run(6.0)
        world.submit(1, step(2), payload="2.0")
        world.run(0.5)
        world.order_wave(4, "m-z0-0")
        world.run(0.5)
        world.withdraw_wave(4)
        world.run(0.5)
        world.submit(2, step(2), payload="0.5")
        self.assertTrue(world.run_until(world.all_complete, 4.0))
        world.run(4.0)
        self.assertEqual([], world.machines.taken_down)
        self._check(world)

    def test_two_waves_do_not_take_one_machine_down_at_once(self) -> None:
        world = JobsWorld()
        world.run(6.0)
        world.order_wave(4, *MACHINES)
        world.order_wave(5, *MACHINES)
        completed = world.run_until(
            lambda: wave_state(world, 5) is WaveState.COMPLETED, 40.0
        )
        self.assertTrue(completed)
        self.assertEqual(6, len(world.machines.taken_down))
        self._check(world)


class RefusedUpkeepTest(testtools.TestCase):
    """Guards against hosts that stay closed while the platform takes no order."""

    def setUp(self) -> None:
        super().setUp()
        self.world = JobsWorld()
        self.world.run(6.0)

    def _check(self) -> None:
        self.assertEqual([], self.world.violations)
        self.assertEqual([], self.world.machines.violations)

    def _refuse(self, refusal: UpkeepRefusal, *machine_ids: str) -> None:
        for machine_id in machine_ids:
            self.world.machines.refusal_by_id[machine_id] = refusal

    def _assert_jobs_run(self, count: int) -> None:
        """Submit jobs 2 s apart, and check that each completes within 3 s."""
        for _ in range(count):
            number = 1 + len(self.world.spec_by_job)
            self.world.submit(number, step(4), payload="0.5")
            completed = self.world.run_until(self.world.all_complete, 3.0)
            self.assertTrue(completed, f"job {number}")
            self.world.run(1.5)

    def _completes(self, number: int, within_s: float) -> bool:
        return self.world.run_until(
            lambda: wave_state(self.world, number) is WaveState.COMPLETED, within_s
        )

    def test_jobs_run_while_every_order_of_a_wave_is_refused(self) -> None:
        """Whatever the reason, and until the platform takes the orders after all."""
        for refusal in UpkeepRefusal:
            self.world = JobsWorld()
            self.world.run(6.0)
            self._refuse(refusal, *MACHINES)
            self.world.order_wave(4, *MACHINES, at_once=3)
            self.world.run(0.5)
            self._assert_jobs_run(10)
            self.assertIs(WaveState.RUNNING, wave_state(self.world, 4))
            self.assertEqual([], self.world.machines.taken_down)
            self.world.machines.refusal_by_id.clear()
            self.assertTrue(self._completes(4, 60.0), str(refusal))
            self._check()

    def test_a_lasting_task_returns_to_a_host_whose_upkeep_is_refused(self) -> None:
        """The only host of a service is not emptied again for a refused order."""
        world = self.world = JobsWorld(hosts=1)
        world.run(6.0)
        self._refuse(UpkeepRefusal.CANNOT_GO_DOWN, "m-z0-0")
        world.submit(1, step(1, lasting=True), payload="900.0")
        world.run(2.0)
        world.order_wave(4, "m-z0-0")
        world.run(60.0)
        self.assertEqual(2, world.starts)
        self.assertEqual(1, len(world.executor_by_host["z0-0"].run_by_key))
        self._check()

    def test_refused_orders_are_repeated_with_growing_pauses(self) -> None:
        self._refuse(UpkeepRefusal.CANNOT_GO_DOWN, "m-z0-0")
        self.world.order_wave(4, "m-z0-0")
        self.world.run(120.0)
        ordered_at = self.world.machines.ordered_at
        pauses = [after - before for before, after in pairwise(ordered_at)]
        self.assertGreater(len(pauses), 2)
        self.assertLess(len(pauses), 8)
        self.assertGreater(pauses[-1], 4 * pauses[0])

    def test_a_refused_machine_does_not_keep_the_others_of_its_wave(self) -> None:
        self._refuse(UpkeepRefusal.CANNOT_GO_DOWN, "m-z0-0")
        self.world.order_wave(4, *MACHINES)
        self.world.run(15.0)
        self.assertEqual(["m-z1-1", "m-z2-2"], sorted(self.world.machines.taken_down))
        self.assertIs(WaveState.RUNNING, wave_state(self.world, 4))
        self.world.machines.refusal_by_id.clear()
        self.assertTrue(self._completes(4, 25.0))
        self._check()

    def test_an_upkeep_that_may_have_begun_counts_for_its_wave(self) -> None:
        """Giving an order up for a time must not let another machine go down."""
        self.world.machines.upkeep_duration_s = 12.0
        self.world.lose_upkeep_answers = True
        self.world.order_wave(4, *MACHINES)
        self.world.run(11.0)
        self.assertEqual(1, len(self.world.machines.taken_down))
        self.world.lose_upkeep_answers = False
        self.assertTrue(self._completes(4, 90.0))
        self._check()

    def test_an_upkeep_that_may_have_begun_counts_after_a_takeover(self) -> None:
        world = self.world = JobsWorld(entries=3)
        world.run(6.0)
        world.machines.upkeep_duration_s = 20.0
        world.lose_upkeep_answers = True
        world.order_wave(4, *MACHINES)
        world.run(5.0)
        world.kill(world.owner())
        world.run(9.0)
        self.assertEqual(1, len(world.machines.taken_down))
        world.lose_upkeep_answers = False
        self.assertTrue(self._completes(4, 120.0))
        self._check()

    def test_a_new_owner_empties_a_machine_before_it_orders_again(self) -> None:
        """A former owner may have opened the host again after its last order."""
        world = self.world = JobsWorld(entries=3)
        world.run(6.0)
        self._refuse(UpkeepRefusal.NO_ANSWER, *MACHINES)
        world.order_wave(4, *MACHINES)
        world.run(8.0)
        world.submit(1, step(12), payload="6.0")
        world.run(1.0)
        world.kill(world.owner())
        world.machines.refusal_by_id.clear()
        self.assertTrue(self._completes(4, 90.0))
        self.assertTrue(world.all_complete())
        self._check()

    def test_a_wave_is_not_completed_while_a_denied_machine_is_listed(self) -> None:
        self._refuse(UpkeepRefusal.NO_SUCH_MACHINE, "m-z0-0")
        self.world.order_wave(4, "m-z0-0")
        self.world.run(10.0)
        self.assertIs(WaveState.RUNNING, wave_state(self.world, 4))
        del self.world.machines.machine_by_id["m-z0-0"]
        self.assertTrue(self._completes(4, 5.0))

    def test_a_log_line_tells_why_a_wave_stands_still(self) -> None:
        self._refuse(UpkeepRefusal.CANNOT_GO_DOWN, *MACHINES)
        self.world.order_wave(4, *MACHINES, at_once=3)
        self.world.run(30.0)
        lines = [line for line in self.world.decisions if line.kind == "wave.wait"]
        self.assertNotEqual([], lines)
        self.assertLess(len(lines), 6)
        self.assertIn("cannot go down now 3", lines[-1].reason)
