"""A controller and cell owners together, from submitted records to outcomes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import testtools

from bulrushpulley.entities.commit import ReadRequested, Submitted
from bulrushpulley.entities.link import Announce, CellSummary, Fetched, LinkUp, Send
from bulrushpulley.entities.operations import (
    AmendRecord,
    CancelJob,
    ChangeDomain,
    OperatorCall,
)
from bulrushpulley.entities.records import (
    DomainState,
    JobRecord,
    Record,
    ServiceRecord,
)
from bulrushpulley.entities.rows import TaskState
from bulrushpulley.entities.step import Command, Tell
from bulrushpulley.roles import cell_owner, controller
from test.cell_bench import (
    DELIVERY_DELAY_S,
    DOMAIN,
    SIZE,
    CellBench,
    cell_owner_address,
)
from test.control_bench import submit_record
from test.virtual_world import RandomGenerator, RoleAddress, VirtualWorld

ENTRY = RoleAddress(process="entry-1", role="controller")


class ControlledBench(CellBench):
    """A bench where a controller offers the cell and assigns the tasks."""

    def __init__(self, *, agents: tuple[str, ...] = ("a",)) -> None:
        super().__init__(seed=1, workers=2)
        for row in list(self.store.rows):
            self.put(row, None)
        role = controller.build(
            entry="entry-1", incarnation="entry-1", host="h", port=1, region="ege"
        )
        self.world.start("entry-1", [role])
        for name in agents:
            self.join(name)
        self.call(submit_record(self._domain(DomainState.IN_SERVICE)))
        self.call(submit_record(self.cell_record()))
        self.run(8.0)

    def join(self, name: str) -> None:
        """Start an agent and link it to the entry."""
        role = cell_owner.build(agent=name, incarnation=name, region="ege")
        self.world.start(name, [role])
        self.world.deliver(
            cell_owner_address(name), LinkUp(peer="entry-1", region="ege")
        )
        self.world.deliver(ENTRY, LinkUp(peer=name, region="ege"))
        self._announce(name)

    def _announce(self, name: str) -> None:
        if not self.world.alive(name):
            return
        item = Announce(
            peer=name,
            agent=name,
            incarnation=name,
            service="oven",
            region="ege",
            failure_domain=DOMAIN,
            slots=8,
            running=0,
            queued=0,
            healthy=True,
            leaving=False,
            applied_revision=0,
        )
        self.world.deliver(ENTRY, item)
        self.world.at(1.0, lambda: self._announce(name))

    def call(self, event: OperatorCall) -> None:
        """Deliver an operator's call to the controller."""
        self.world.deliver(ENTRY, event)
        self.run(0.5)

    def submit(self, record: Record) -> None:
        """Submit a record as an operator."""
        self.call(submit_record(record))

    def _carry_out(
        self, world: VirtualWorld, owner: RoleAddress, command: Command
    ) -> None:
        if owner != ENTRY:
            super()._carry_out(world, owner, command)
            if isinstance(command, Send) and isinstance(command.item, CellSummary):
                summary = replace(command.item, peer=owner.process)
                world.deliver(ENTRY, summary)
        elif isinstance(command, Send):
            item = command.item
            world.at(
                DELIVERY_DELAY_S, lambda: self._deliver_to_agent(command.peer, item)
            )
        elif isinstance(command, Tell):
            self._handle_tell(command.event)

    def _deliver_to_agent(self, peer: str, item: Any) -> None:
        if self.world.alive(peer):
            self.world.deliver(cell_owner_address(peer), replace(item, peer="entry-1"))

    def _handle_tell(self, event: Any) -> None:
        if isinstance(event, Submitted):
            self.world.deliver(ENTRY, self.commit(event.submission))
        if isinstance(event, ReadRequested):
            fetched = Fetched(
                fetch_id=event.fetch_id,
                prefix=event.prefix,
                revision=self.store.revision,
                rows=self.rows(event.prefix, event.since),
            )
            self.world.deliver(ENTRY, fetched)


def curves(tasks: int, run_s: float) -> JobRecord:
    return JobRecord(
        name="curves", department="bakery", tasks=tasks, size=SIZE, run_s=run_s
    )


class ControlledTest(testtools.TestCase):
    def test_a_submitted_job_is_done(self) -> None:
        bench = ControlledBench()
        bench.submit(curves(tasks=12, run_s=5.0))
        bench.run(40.0)
        done = {bench.done(f"curves/{index}") for index in range(12)}
        self.assertEqual({TaskState.FINISHED}, done)
        self.assertEqual(12, len(bench.starts))
        self.assertEqual([], bench.violations)

    def test_tasks_resume_when_a_drained_domain_returns_to_service(self) -> None:
        bench = ControlledBench()
        bench.submit(curves(tasks=4, run_s=30.0))
        bench.run(20.0)
        for state in (DomainState.DRAINED, DomainState.IN_SERVICE):
            call = ChangeDomain(
                call_id=state.value,
                author="op",
                failure_domain=DOMAIN,
                state=state,
                expected_revision=0,
            )
            bench.call(call)
            bench.run(10.0)
        bench.run(40.0)
        done = {bench.done(f"curves/{index}") for index in range(4)}
        self.assertEqual({TaskState.FINISHED}, done)
        self.assertEqual(8, len(bench.starts))
        self.assertTrue(all(s.checkpoint for s in bench.starts[4:]))

    def test_a_cancelled_job_and_surplus_replicas_stop(self) -> None:
        bench = ControlledBench()
        bench.submit(curves(tasks=3, run_s=500.0))
        service = ServiceRecord(name="oven", department="d", replicas=2, size=SIZE)
        bench.submit(service)
        bench.run(10.0)
        self.assertEqual(5, len(bench.starts))
        bench.call(CancelJob(call_id="cancel", author="op", job="curves"))
        bench.run(10.0)
        done = {bench.done(f"curves/{index}") for index in range(3)}
        self.assertEqual({TaskState.CANCELLED}, done)
        self.assertEqual([], bench.running("curves/0"))
        self.assertEqual(1, len(bench.running("oven/1")))
        scaled_down = AmendRecord(
            call_id="lower",
            author="op",
            kind="service",
            schema_version=1,
            record=replace(service, replicas=1),
            expected_revision=0,
        )
        bench.call(scaled_down)
        bench.run(10.0)
        self.assertEqual([], bench.running("oven/1"))
        self.assertIsNone(bench.row("task/c0/oven/1"))
        self.assertEqual(1, len(bench.running("oven/0")))

    def test_another_agent_takes_the_cell_of_a_killed_one(self) -> None:
        bench = ControlledBench(agents=("a", "b"))
        owner = bench.row("lease/c0").owner
        bench.submit(curves(tasks=2, run_s=90.0))
        bench.run(5.0)
        bench.world.kill(owner)
        bench.run(60.0)
        self.assertNotEqual(owner, bench.row("lease/c0").owner)
        bench.run(60.0)
        self.assertEqual(2, len(bench.starts))
        self.assertEqual(TaskState.FINISHED, bench.done("curves/1"))
        self.assertEqual([], bench.violations)


MIX_DURATION_S = 90.0


class OperatorFaultMix:
    """Injects faults and operators' calls, two at a time, drawn from a fixed seed."""

    def __init__(self, *, bench: ControlledBench, seed: int) -> None:
        self._bench = bench
        self._calls = 0
        bench.world.rng = RandomGenerator(state=seed)

    def run(self) -> None:
        """Run the mix, then clear all faults and let the tasks complete."""
        bench = self._bench
        until = bench.world.now + MIX_DURATION_S
        while bench.world.now < until:
            chosen = [self._draw(len(self._faults())) for _ in range(2)]
            for index in chosen:
                self._faults()[index](True)
            bench.run(1.0 + self._draw(12))
            for index in chosen:
                self._faults()[index](False)
            bench.run(1.0 + self._draw(6))
        self._drain(False)
        bench.run(200.0)

    def _faults(self) -> tuple[Callable[[bool], None], ...]:
        bench = self._bench
        cut = {("a", "w0"), ("b", "w1")}
        return (
            lambda on: setattr(bench, "store_up", not on),
            lambda on: setattr(bench, "unreachable", {"w0"} if on else set()),
            lambda on: setattr(bench, "lose_worker_answers", {"w1"} if on else set()),
            lambda on: setattr(bench, "start_delay_s", 1.5 if on else DELIVERY_DELAY_S),
            lambda on: setattr(bench, "cut_off", cut if on else set()),
            lambda on: setattr(
                bench, "lose_commit", lambda _: on and not self._draw(2)
            ),
            lambda on: bench.world.pause("a", 20.0) if on else None,
            lambda on: self._restart("a", on),
            lambda on: self._restart("b", on),
            self._drain,
        )

    def _draw(self, choices: int) -> int:
        number, self._bench.world.rng = self._bench.world.rng.draw(choices * 1000)
        return number % choices

    def _restart(self, name: str, down: bool) -> None:
        self._bench.world.kill(name)
        if not down:
            self._bench.join(name)

    def _drain(self, drained: bool) -> None:
        self._calls += 1
        call = ChangeDomain(
            call_id=f"call-{self._calls}",
            author="op",
            failure_domain=DOMAIN,
            state=DomainState.DRAINED if drained else DomainState.IN_SERVICE,
            expected_revision=0,
        )
        self._bench.call(call)


class OperatorFaultMixTest(testtools.TestCase):
    def test_tasks_finish_once_despite_random_faults_and_drains(self) -> None:
        for seed in (11, 12):
            bench = ControlledBench(agents=("a", "b"))
            bench.submit(curves(tasks=10, run_s=12.0))
            OperatorFaultMix(bench=bench, seed=seed).run()
            self.assertEqual([], bench.violations, f"seed {seed}")
            done = {bench.done(f"curves/{index}") for index in range(10)}
            self.assertEqual({TaskState.FINISHED}, done, f"seed {seed}")
