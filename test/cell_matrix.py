"""Runs the fault matrix of tasks in cells: a case for each fault at each step."""

from __future__ import annotations

import pathlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

from bulrushpulley.entities.commit import Submission
from bulrushpulley.entities.link import JobCancelled, Send, Submit
from bulrushpulley.entities.records import JobRecord
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import AliveRow, LeaseRow, TaskRow, TaskState
from bulrushpulley.entities.step import Command
from bulrushpulley.entities.worker_calls import RequestReport, StartTask, StopTask
from test.cell_bench import DELIVERY_DELAY_S, SIZE, CellBench, cell_owner_address
from test.virtual_world import Path, RoleAddress, VirtualWorld

DATA = pathlib.Path(__file__).resolve().parent.parent / "test-data/cell/matrix.txt"
TASK = "curves/0"
CELL_TASK_RUN_S = 30.0
EVICTED_AT_S = 6.0
FAULT_DURATION_S = 20.0
AGENT_PAUSE_DURATION_S = 45.0
OFFER_INTERVAL_S = 4.0
CELL_CASE_END_S = 160.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Matrix:
    """The steps and the allowed outcomes by fault."""

    steps: tuple[str, ...]
    outcomes_by_fault: Mapping[str, frozenset[str]]


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """The result of one case: a fault at a step."""

    step: str
    fault: str
    injected: bool
    outcome: str
    violations: tuple[str, ...]

    def passed(self, matrix: Matrix) -> bool:
        """Tell whether the fault was injected and led to an allowed outcome.

        No invariant may be violated either.
        """
        allowed = matrix.outcomes_by_fault[self.fault]
        return self.injected and not self.violations and self.outcome in allowed


def load() -> Matrix:
    """Read the matrix from its data file."""
    steps: list[str] = []
    outcomes: dict[str, frozenset[str]] = {}
    for line in DATA.read_text().splitlines():
        kind, _, rest = line.partition(" ")
        if kind == "step":
            steps.append(rest)
        if kind == "fault":
            name, _, allowed = rest.partition(":")
            outcomes[name] = frozenset(allowed.split())
    return Matrix(steps=tuple(steps), outcomes_by_fault=outcomes)


def _writes(command: Command, wanted: Callable[[Any], bool]) -> bool:
    item = command.item if isinstance(command, Send) else None
    submission = item.submission if isinstance(item, Submit) else None
    writes = submission.writes if isinstance(submission, Submission) else ()
    return any(wanted(write.row) for write in writes)


def _in_state(row: Any, *states: TaskState) -> bool:
    return isinstance(row, TaskRow) and row.state in states


ENDED = (TaskState.FINISHED, TaskState.CANCELLED)
MATCHER_BY_STEP: Mapping[str, Callable[[Command], bool]] = {
    "cell_taken": lambda c: _writes(c, lambda row: isinstance(row, LeaseRow)),
    "cell_renewed": lambda c: _writes(
        c, lambda row: isinstance(row, AliveRow) and row.renewals > 1
    ),
    "start_committed": lambda c: _writes(
        c, lambda row: _in_state(row, TaskState.STARTING)
    ),
    "start_sent": lambda c: isinstance(c, StartTask),
    "running": lambda c: isinstance(c, RequestReport) and bool(c.renewals),
    "stop_sent": lambda c: isinstance(c, StopTask) and c.checkpoint,
    "resumed": lambda c: isinstance(c, StartTask) and c.generation > 1,
    "outcome_written": lambda c: _writes(c, lambda row: _in_state(row, *ENDED)),
}


def _kill(bench: CellBench) -> None:
    bench.world.kill("a")


def _restart(bench: CellBench) -> None:
    bench.world.kill("a")
    bench.world.at(1.0, lambda: bench.start_agent("a", incarnation_number=2))


def _pause(bench: CellBench) -> None:
    bench.world.pause("a", AGENT_PAUSE_DURATION_S)


def _cancel(bench: CellBench) -> None:
    record = JobRecord(
        name="curves",
        department="bakery",
        tasks=1,
        size=SIZE,
        run_s=CELL_TASK_RUN_S,
        cancelled=True,
    )
    bench.put_record("job", record)
    for agent in ("a", "b"):
        for delay_s in (0.1, 30.0, 60.0):
            notify = partial(_notify_cancelled, bench, agent)
            bench.world.at(delay_s, notify)


def _notify_cancelled(bench: CellBench, agent: str) -> None:
    if bench.world.alive(agent):
        bench.world.deliver(cell_owner_address(agent), JobCancelled(job="curves"))


def _drain(bench: CellBench) -> None:
    bench.drain()
    bench.world.at(3.0, bench.distribute_records)


def _delay_start(bench: CellBench) -> None:
    """Delay starts and lose their answers for two seconds."""
    bench.start_delay_s, bench.lose_start_answers = 3.0, True
    bench.world.at(2.0, lambda: setattr(bench, "start_delay_s", DELIVERY_DELAY_S))
    bench.world.at(2.0, lambda: setattr(bench, "lose_start_answers", False))


def _temporarily(
    name: str, faulty_value: Any, restored_value: Any, seconds: float = FAULT_DURATION_S
) -> Callable[[CellBench], None]:
    def inject(bench: CellBench) -> None:
        setattr(bench, name, faulty_value)
        bench.world.at(seconds, lambda: setattr(bench, name, restored_value))

    return inject


NO_PATH = Path(delay_s=0.0)
BOTH_WORKERS = {"w0", "w1"}
INJECT_BY_FAULT: Mapping[str, Callable[[CellBench], None]] = {
    "none": lambda bench: None,
    "owner_killed": _kill,
    "owner_restarted": _restart,
    "owner_paused": _pause,
    "store_down": _temporarily("store_up", False, True),
    "store_slow": _temporarily("store_delay_s", 3.0, DELIVERY_DELAY_S),
    "commit_answer_lost": _temporarily("lose_commit", lambda _: True, lambda _: False),
    "messages_repeated": _temporarily("path", Path(repeat_percent=100), NO_PATH),
    "messages_disordered": _temporarily("path", Path(jitter_s=2.0), NO_PATH),
    "start_delayed": _delay_start,
    "first_worker_cut_off": _temporarily("unreachable", {"w0"}, set(), 60.0),
    "workers_cut_off": _temporarily("unreachable", BOTH_WORKERS, set()),
    "worker_answers_lost": _temporarily("lose_worker_answers", BOTH_WORKERS, set()),
    "owner_cut_from_store": _temporarily("cut_off", {("a", "store")}, set()),
    "domain_drained": _drain,
    "job_cancelled": _cancel,
}


def _offer_repeatedly(bench: CellBench) -> None:
    """Offer the cell to the second agent repeatedly, as entries do."""
    bench.offer("b")
    bench.world.at(OFFER_INTERVAL_S, lambda: _offer_repeatedly(bench))


def _outcome(bench: CellBench) -> str:
    done = bench.done(TASK)
    if done is not None:
        return done.value
    return "returned" if bench.row(f"backlog/{TASK}") else "open"


def run_case(step: str, fault: str) -> Verdict:
    """Run one case: inject a fault when a step is first reached."""
    bench = CellBench()
    injected: list[str] = []

    def watch(world: VirtualWorld, owner: RoleAddress, command: Command) -> None:
        if not injected and owner.process == "a" and MATCHER_BY_STEP[step](command):
            injected.append(fault)
            INJECT_BY_FAULT[fault](bench)

    bench.world.command_hooks.append(watch)
    bench.put_job("curves", run_s=CELL_TASK_RUN_S)
    bench.start_agent("a")
    bench.run(2.0)
    bench.start_agent("b")
    bench.world.at(OFFER_INTERVAL_S, lambda: _offer_repeatedly(bench))
    bench.run(EVICTED_AT_S - 2.0)
    bench.resize("w0", Resources())
    bench.run(CELL_CASE_END_S - EVICTED_AT_S)
    return Verdict(
        step=step,
        fault=fault,
        injected=bool(injected),
        outcome=_outcome(bench),
        violations=tuple(v for v in bench.violations if "capacity: w0" not in v),
    )
