"""The fault matrix of jobs: every fault at every step, on a simulated site."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from bulrushpulley.entities.jobs import store
from bulrushpulley.entities.jobs.calls import CancelCall
from bulrushpulley.entities.jobs.executor_calls import PollRuns, StartRun, StopRun
from bulrushpulley.entities.jobs.intake_tables import StoreCancel, StoreJobs
from bulrushpulley.entities.jobs.items import Adopt, EndsNoted, Orders, RunsReport
from bulrushpulley.entities.jobs.rows import JobState
from bulrushpulley.entities.jobs.scheduler_tables import ClaimShard, CommitProgress
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.step import Command
from test.jobs_world import QUEUE, JobsWorld, step

STARTUP_S = 2.0
COMPLETION_TIMEOUT_S = 60.0
MAX_FAULT_DURATION_S = 8.0
FAULTY_HOST = "z1-1"


def _item(command: Command) -> object:
    return command.item if isinstance(command, Send) else None


def _purpose(command: Command) -> object:
    return command.purpose if isinstance(command, store.Transact) else None


def _sends_start_order(command: Command) -> bool:
    item = _item(command)
    return isinstance(item, Orders) and bool(item.start)


def _reports_end(command: Command) -> bool:
    item = _item(command)
    return isinstance(item, RunsReport) and bool(item.ends)


def _commits_progress(command: Command) -> bool:
    writes_progress = isinstance(command, store.Transact) and len(command.puts) > 1
    return writes_progress and isinstance(_purpose(command), CommitProgress)


def _renews_lease(command: Command) -> bool:
    return isinstance(command, PollRuns) and command.lease_until_ms is not None


STEPS: Mapping[str, Callable[[Command], bool]] = {
    "shard claimed": lambda command: isinstance(_purpose(command), ClaimShard),
    "agent adopted": lambda command: isinstance(_item(command), Adopt),
    "job stored": lambda command: isinstance(_purpose(command), StoreJobs),
    "progress committed": _commits_progress,
    "order sent": _sends_start_order,
    "start called": lambda command: isinstance(command, StartRun),
    "lease renewed": _renews_lease,
    "end reported": _reports_end,
    "end noted": lambda command: isinstance(_item(command), EndsNoted),
    "cancel stored": lambda command: isinstance(_purpose(command), StoreCancel),
    "stop called": lambda command: isinstance(command, StopRun),
}


def _owner(world: JobsWorld) -> str:
    return world.owner() or "entry-0"


def _lose_answers(world: JobsWorld) -> None:
    world.lose_answers = True
    world.at(2.0, lambda: setattr(world, "lose_answers", False))


def _take_store_down(world: JobsWorld) -> None:
    world.store_up = False
    world.at(4.0, lambda: setattr(world, "store_up", True))


def _delay_calls(world: JobsWorld) -> None:
    world.call_delay_s = 5.0
    world.at(2.0, lambda: setattr(world, "call_delay_s", 0.0))


def _crash_server(world: JobsWorld, for_s: float) -> None:
    executor = world.executor_by_host[FAULTY_HOST]
    executor.crash()
    if for_s:
        world.at(for_s, lambda: executor.restart(world.now))


def _kill_entries(world: JobsWorld) -> None:
    for name in ("entry-0", "entry-1"):
        world.restart(name)


def _power_off(world: JobsWorld) -> None:
    for name in list(world.process_by_name):
        world.restart(name)
    for executor in world.executor_by_host.values():
        executor.crash()
        world.at(0.5, lambda executor=executor: executor.restart(world.now))  # type: ignore[misc]


def _kill_all(world: JobsWorld) -> None:
    for name in list(world.process_by_name):
        world.restart(name)


FAULTS: Mapping[str, Callable[[JobsWorld], None]] = {
    "owner killed": lambda world: world.restart(_owner(world)),
    "owner gone": lambda world: world.kill(_owner(world)),
    "owner frozen": lambda world: world.freeze(_owner(world), 6.0),
    "owner cut off": lambda world: world.cut_off(_owner(world), 5.5),
    "owner without store": lambda world: _cut_off_store(world, _owner(world)),
    "entries killed": _kill_entries,
    "agent killed": lambda world: world.restart(FAULTY_HOST),
    "agent frozen": lambda world: world.freeze(FAULTY_HOST, 4.0),
    "host cut off": lambda world: world.cut_off(FAULTY_HOST, 5.5),
    "server dark": lambda world: _crash_server(world, 3.0),
    "server gone": lambda world: _crash_server(world, 0.0),
    "store down": _take_store_down,
    "answers lost": _lose_answers,
    "orders late": _delay_calls,
    "history lost": lambda world: world.store.compact(),
    "all killed": _kill_all,
    "power off": _power_off,
}


def _cut_off_store(world: JobsWorld, name: str) -> None:
    world.cut_off_from_store.add(name)
    world.at(7.0, lambda: world.cut_off_from_store.discard(name))


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultCase:
    """One case of the matrix.

    An injection ``(step, fault, n)`` injects the fault when the step is reached for
    the nth time.
    """

    injections: tuple[tuple[str, str, int], ...]

    @property
    def name(self) -> str:
        """The name of the case in reports."""
        return ", ".join(f"{fault} at {at} {nth}" for at, fault, nth in self.injections)


def run_case(case: FaultCase, *, payload: str = "1.0") -> list[str]:
    """Run a case and return the problems; `payload` is the duration of tasks."""
    world = JobsWorld()
    _inject_faults(world, case)
    world.run(STARTUP_S)
    for number in range(4):
        chain = (step(2), step(2, after=(0,)))
        world.submit(number, *chain, payload=payload, entry=f"entry-{number % 2}")
    cancelled = world.submit(9, step(3), payload="30.0", entry="entry-1")
    world.run(1.0)
    _cancel(world, cancelled)
    not_cancelled = [job for job in world.spec_by_job if job != cancelled]

    def accepted() -> list[str]:
        return [job for job in not_cancelled if _is_stored(world, job)]

    # Longer than any fault, so that what a frozen entry held back has been stored.
    world.run(MAX_FAULT_DURATION_S)
    world.run_until(lambda: _all_complete(world, accepted()), COMPLETION_TIMEOUT_S)
    world.run(2.0)
    problems = list(world.violations)
    problems += [
        f"{job} is {world.state_of(job)}"
        for job in accepted()
        if world.state_of(job) is not JobState.COMPLETED
    ]
    running = [
        run.order.task_id
        for executor in world.executor_by_host.values()
        for run in executor.run_by_key.values()
    ]
    stored = world.store.row_by_key
    if any(key.key == f"{cancelled}.cancel" for key in stored) and running:
        problems.append(f"still running: {running}")
    return problems


def _inject_faults(world: JobsWorld, case: FaultCase) -> None:
    remaining = {number: nth for number, (_, _, nth) in enumerate(case.injections)}

    def inject(command: Command) -> None:
        for number, (at, fault, _) in enumerate(case.injections):
            if remaining[number] and STEPS[at](command):
                remaining[number] -= 1
                if not remaining[number]:
                    world.at(0.0, lambda fault=fault: FAULTS[fault](world))  # type: ignore[misc]

    world.hook = inject


def _cancel(world: JobsWorld, job: str) -> None:
    entry = next(
        name for name in ("entry-1", "entry-0") if world.process_by_name[name].alive
    )
    call = CancelCall(
        call_id="cancel",
        authority=QUEUE.authority,
        path=f"{QUEUE.path_prefix}{job}",
        within_s=3.0,
        received_at_s=world.now,
    )
    world.tell(world.process_by_name[entry], "intake", call)


def _is_stored(world: JobsWorld, job: str) -> bool:
    return any(key.key == f"{job}.job" for key in world.store.row_by_key)


def _all_complete(world: JobsWorld, jobs: list[str]) -> bool:
    return all(world.state_of(job) is JobState.COMPLETED for job in jobs)
