"""Runs one scenario for each cell of the fault matrix and checks what must hold.

The scenario serves unrepeatable calls through both entries, runs two jobs, drains
a failure domain and returns it, and stops an agent gracefully. A cell does a fault
at the first moment of a step, or two faults at once. Checks run at every start,
commit and answer (`site_io`), and at the end over the whole run.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.operations import SubmitRecord
from bulrushpulley.entities.records import (
    CellRecord,
    DomainState,
    FailureDomainRecord,
    JobRecord,
    Record,
    ServiceRecord,
    WorkerRecord,
)
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.rows import TaskState
from bulrushpulley.entities.step import Command
from test.matrix_faults import FAULT_BY_NAME, change_domain
from test.matrix_steps import STEP_BY_NAME
from test.site import (
    CAPACITY,
    DOMAINS,
    ENTRIES,
    REGION,
    SERVICE,
    WORKERS,
    Site,
    described,
)
from test.virtual_world import Seat, VirtualWorld

ARMED_AT_S = 8.0
CALLS_FROM_S = 8.0
CALLS = 60
CALL_EVERY_S = 0.5
CALL_WITHIN_S = 3.0
CALL_TRIES = 12
OPERATOR_TRIES = 6
OPERATOR_PATIENCE_S = 15.0
SETTLED_FROM_S = 75.0
LOOK_EVERY_S = 5.0
END_S = 240.0
JOBS = {"curves": 6, "audit": 4}
RUN_S = 12.0
SIZE = Resources(processors_m=2_000, memory_mb=1_000)


@dataclass(frozen=True, kw_only=True, slots=True)
class Cell:
    """A step and the faults that are done there, in order.

    `occurrence` says at which time of the step the faults are done.
    """

    step: str
    faults: tuple[str, ...]
    seed: int = 1
    occurrence: int = 1

    @property
    def name(self) -> str:
        """The cell's readable name."""
        faults = " + ".join(self.faults)
        return f"{self.step} {self.occurrence} / {faults} / seed {self.seed}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """How a cell ended; `reached` tells whether its step was taken at all."""

    cell: Cell
    reached: bool
    violations: tuple[str, ...]


class Caller:
    """Makes one call and repeats it under its id until it is answered."""

    def __init__(self, *, site: Site, request_id: str, first: int) -> None:
        self.site = site
        self.request_id = request_id
        self.tries = first
        self.first = first
        self.outcomes: list[str] = []

    def attempt(self) -> None:
        """Call through the next entry."""
        entry = ENTRIES[self.tries % len(ENTRIES)]
        call_id = f"{self.request_id}.{self.tries}"
        self.tries += 1
        self.site.call(entry, call_id, self.request_id, CALL_WITHIN_S)
        self.site.world.at(CALL_WITHIN_S + 0.2, lambda: self.look(call_id))

    def look(self, call_id: str) -> None:
        """Repeat the call unless it was answered."""
        answers = self.site.answers.get(call_id, [])
        outcome = described(answers[0]) if answers else "no answer"
        self.outcomes.append(outcome)
        answered = outcome.startswith("answered")
        if not answered and self.tries - self.first < CALL_TRIES:
            self.attempt()

    def fault(self) -> str:
        """Return what is wrong with how the call ended, if anything."""
        runs = self.site.runs[self.request_id]
        if runs and set(self.outcomes) == {"ran no"}:
            return f"{self.request_id} ran, but every answer was 'not run'"
        last = self.outcomes[-1] if self.outcomes else "no answer"
        if last == "ran no" and not runs:
            return f"{self.request_id} never ran, in {len(self.outcomes)} tries"
        return ""


class Run:
    """One run of the scenario."""

    def __init__(self, *, cell: Cell) -> None:
        self.cell = cell
        self.site = Site(seed=cell.seed)
        self.reached = False
        self.occurred = 0
        self.callers: list[Caller] = []
        self.site.world.watches.append(self._watch)

    def _watch(self, world: VirtualWorld, seat: Seat, command: Command) -> None:
        if self.reached or world.now < ARMED_AT_S:
            return
        if not STEP_BY_NAME[self.cell.step](command):
            return
        self.occurred += 1
        self.reached = self.occurred == self.cell.occurrence
        for name in self.cell.faults if self.reached else ():
            FAULT_BY_NAME[name](self.site, seat, command)

    def at(self, when: float, action: Any) -> None:
        """Have something happen at a moment of the scenario."""
        self.site.world.at(when, action)

    def whole(self) -> Verdict:
        """Run the scenario to its end and check it."""
        for place, (kind, record) in enumerate(records()):
            self.submit(1.0 + place / 10, kind, record)
        self.submit(10.0, "job", job("curves"))
        self.submit(50.0, "job", job("audit"))
        for number in range(CALLS):
            caller = Caller(site=self.site, request_id=f"r{number}", first=number % 2)
            self.callers.append(caller)
            self.at(CALLS_FROM_S + number * CALL_EVERY_S, caller.attempt)
        self.domain(18.0, DomainState.DRAINED)
        self.domain(30.0, DomainState.IN_SERVICE)
        self.at(40.0, lambda: self.leave("a1"))
        self.site.run(SETTLED_FROM_S)
        while self.site.world.now < END_S and self.missing():
            self.site.run(LOOK_EVERY_S)
        self.check()
        return Verdict(
            cell=self.cell,
            reached=self.reached,
            violations=tuple(self.site.violations),
        )

    def submit(self, when: float, kind: str, record: Record, tries: int = 0) -> None:
        """Submit a record, and again through the other entry until it is accepted."""
        call_id = f"submit-{record.name}-{tries}"
        entry = ENTRIES[tries % len(ENTRIES)]
        event = SubmitRecord(
            call_id=call_id, author="op", kind=kind, schema_version=1, record=record
        )

        def look() -> None:
            reply = self.site.replies.get(call_id)
            accepted = reply is not None and hasattr(reply, "row")
            if not accepted and tries < OPERATOR_TRIES:
                self.submit(0.0, kind, record, tries + 1)

        self.at(when, lambda: self.site.operate(entry, event))
        patience = 0.3 if when < ARMED_AT_S else OPERATOR_PATIENCE_S
        self.at(when + patience, look)

    def domain(self, when: float, state: DomainState, tries: int = 0) -> None:
        """Change the first failure domain, and again until the store shows it."""

        def look() -> None:
            row = self.site.row(f"record/failure_domain/{DOMAINS[0]}")
            wanted = row is not None and row.record.state is state
            if not wanted and tries < OPERATOR_TRIES:
                self.domain(0.0, state, tries + 1)

        entry = ENTRIES[tries % len(ENTRIES)]
        self.at(when, lambda: change_domain(self.site, entry, DOMAINS[0], state))
        self.at(when + 3.0, look)

    def leave(self, agent: str) -> None:
        """Stop an agent as SIGTERM does, and start it again when it has ended."""
        if not self.site.world.alive(agent):
            return
        life = self.site.lives[agent]
        for role in ("guard", "cell_owner"):
            self.site.world.deliver(Seat(process=agent, role=role), Leave())

        def ended() -> None:
            if self.site.lives[agent] == life:
                self.site.start(agent)

        self.at(15.0, ended)

    def missing(self) -> list[str]:
        """Return what is not finished yet."""
        found: list[str] = []
        for name, tasks in JOBS.items():
            for index in range(tasks):
                row = self.site.row(f"done/{name}/{index}")
                if row is None or row.state is not TaskState.FINISHED:
                    state = "lost" if row is None else row.state.value
                    found.append(f"task {name}/{index} is not finished but {state}")
        return found + [f"the backlog holds {k}" for k in self.site.keys("backlog/")]

    def check(self) -> None:
        """Check the whole run."""
        for caller in self.callers:
            fault = caller.fault()
            if fault:
                self.site.violate(fault)
        for fault in self.missing():
            self.site.violate(fault)


def job(name: str) -> JobRecord:
    """Return a batch job of the scenario."""
    return JobRecord(
        name=name, department="bakery", tasks=JOBS[name], size=SIZE, run_s=RUN_S
    )


def records() -> Iterable[tuple[str, Record]]:
    """Yield the records that are in force before the scenario begins."""
    for domain in DOMAINS:
        yield "failure_domain", FailureDomainRecord(name=domain, region=REGION)
    for domain in DOMAINS:
        names = [name for name, where in WORKERS.items() if where == domain]
        yield (
            "cell",
            CellRecord(
                name=f"cell-{domain}",
                failure_domain=domain,
                workers=tuple(
                    WorkerRecord(
                        worker_id=name, url="http://w", rack=domain, capacity=CAPACITY
                    )
                    for name in names
                ),
            ),
        )
    yield (
        "service",
        ServiceRecord(
            name=SERVICE, department="ovens", replicas=1, size=Resources(memory_mb=1)
        ),
    )


def run_cell(cell: Cell) -> Verdict:
    """Run one cell of the matrix."""
    return Run(cell=cell).whole()
