"""Runs one scenario for each case of the fault matrix and checks the invariants.

The scenario serves unrepeatable calls through both entries, runs two jobs, drains
a failure domain and returns it to service, and stops an agent gracefully. A case
injects one or two faults at an occurrence of a step, by default the first. Checks
run at every start, commit and answer (`site_io`), and at the end over the whole run.
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
    describe_answer,
)
from test.virtual_world import RoleAddress, VirtualWorld

FAULTS_FROM_S = 8.0
CALLS_FROM_S = 8.0
CALL_COUNT = 60
CALL_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 3.0
MAX_CALL_ATTEMPTS = 12
MAX_OPERATOR_RETRIES = 6
OPERATOR_TIMEOUT_S = 15.0
FIRST_CHECK_AT_S = 75.0
CHECK_INTERVAL_S = 5.0
SITE_CASE_END_S = 240.0
TASK_COUNT_BY_JOB = {"curves": 6, "audit": 4}
TASK_RUN_S = 12.0
TASK_SIZE = Resources(processors_m=2_000, memory_mb=1_000)


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultCase:
    """A step and the faults that are injected at it, in order.

    `occurrence` is the occurrence of the step, counted from 1, that gets the faults.
    """

    step: str
    faults: tuple[str, ...]
    seed: int = 1
    occurrence: int = 1

    @property
    def name(self) -> str:
        """The name of the case in reports."""
        faults = " + ".join(self.faults)
        return f"{self.step} {self.occurrence} / {faults} / seed {self.seed}"


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """How a case ended; `reached` tells whether its step occurred."""

    case: FaultCase
    reached: bool
    violations: tuple[str, ...]


class Caller:
    """Makes one call and repeats it with the same request id until it is answered.

    `attempts` counts from `first_attempt`, which selects the first entry.
    """

    def __init__(self, *, site: Site, request_id: str, first_attempt: int) -> None:
        self.site = site
        self.request_id = request_id
        self.attempts = first_attempt
        self.first_attempt = first_attempt
        self.outcomes: list[str] = []

    def attempt(self) -> None:
        """Make the call through the next entry, and check later for its answer."""
        entry = ENTRIES[self.attempts % len(ENTRIES)]
        call_id = f"{self.request_id}.{self.attempts}"
        self.attempts += 1
        self.site.call(entry, call_id, self.request_id, CALL_TIMEOUT_S)
        self.site.world.at(CALL_TIMEOUT_S + 0.2, lambda: self.check_answer(call_id))

    def check_answer(self, call_id: str) -> None:
        """Repeat the call unless it was answered or has used up its attempts."""
        answers = self.site.answers.get(call_id, [])
        outcome = describe_answer(answers[0]) if answers else "no answer"
        self.outcomes.append(outcome)
        answered = outcome.startswith("answered")
        if not answered and self.attempts - self.first_attempt < MAX_CALL_ATTEMPTS:
            self.attempt()

    def problem(self) -> str:
        """Return what is wrong with the outcome of the call, or an empty string."""
        runs = self.site.runs[self.request_id]
        if runs and set(self.outcomes) == {"ran no"}:
            return f"{self.request_id} ran, but every answer was 'not run'"
        last = self.outcomes[-1] if self.outcomes else "no answer"
        if last == "ran no" and not runs:
            return f"{self.request_id} did not run in {len(self.outcomes)} attempts"
        return ""


class ScenarioRun:
    """One run of the scenario."""

    def __init__(self, *, case: FaultCase) -> None:
        self.case = case
        self.site = Site(seed=case.seed)
        self.reached = False
        self.occurrence_count = 0
        self.callers: list[Caller] = []
        self.site.world.command_hooks.append(self._inject_faults)

    def _inject_faults(
        self, world: VirtualWorld, address: RoleAddress, command: Command
    ) -> None:
        if self.reached or world.now < FAULTS_FROM_S:
            return
        if not STEP_BY_NAME[self.case.step](command):
            return
        self.occurrence_count += 1
        self.reached = self.occurrence_count == self.case.occurrence
        for name in self.case.faults if self.reached else ():
            FAULT_BY_NAME[name](self.site, address, command)

    def at(self, delay_s: float, action: Any) -> None:
        """Schedule an action of the scenario after a delay."""
        self.site.world.at(delay_s, action)

    def execute(self) -> Verdict:
        """Run the scenario to its end and check it."""
        for index, (kind, record) in enumerate(initial_records()):
            self.submit(1.0 + index / 10, kind, record)
        self.submit(10.0, "job", job_record("curves"))
        self.submit(50.0, "job", job_record("audit"))
        for number in range(CALL_COUNT):
            caller = Caller(
                site=self.site, request_id=f"r{number}", first_attempt=number % 2
            )
            self.callers.append(caller)
            self.at(CALLS_FROM_S + number * CALL_INTERVAL_S, caller.attempt)
        self.set_domain_state(18.0, DomainState.DRAINED)
        self.set_domain_state(30.0, DomainState.IN_SERVICE)
        self.at(40.0, lambda: self.stop_gracefully("a1"))
        self.site.run(FIRST_CHECK_AT_S)
        while self.site.world.now < SITE_CASE_END_S and self.unfinished():
            self.site.run(CHECK_INTERVAL_S)
        self.check()
        return Verdict(
            case=self.case,
            reached=self.reached,
            violations=tuple(self.site.violations),
        )

    def submit(
        self, delay_s: float, kind: str, record: Record, attempts: int = 0
    ) -> None:
        """Submit a record, through alternating entries, until it is accepted."""
        call_id = f"submit-{record.name}-{attempts}"
        entry = ENTRIES[attempts % len(ENTRIES)]
        event = SubmitRecord(
            call_id=call_id, author="op", kind=kind, schema_version=1, record=record
        )

        def check_outcome() -> None:
            reply = self.site.replies.get(call_id)
            accepted = reply is not None and hasattr(reply, "row")
            if not accepted and attempts < MAX_OPERATOR_RETRIES:
                self.submit(0.0, kind, record, attempts + 1)

        self.at(delay_s, lambda: self.site.send_operator_call(entry, event))
        timeout_s = 0.3 if delay_s < FAULTS_FROM_S else OPERATOR_TIMEOUT_S
        self.at(delay_s + timeout_s, check_outcome)

    def set_domain_state(
        self, delay_s: float, state: DomainState, attempts: int = 0
    ) -> None:
        """Change the first failure domain, again until the store holds the change."""

        def check_outcome() -> None:
            row = self.site.row(f"record/failure_domain/{DOMAINS[0]}")
            changed = row is not None and row.record.state is state
            if not changed and attempts < MAX_OPERATOR_RETRIES:
                self.set_domain_state(0.0, state, attempts + 1)

        entry = ENTRIES[attempts % len(ENTRIES)]
        self.at(delay_s, lambda: change_domain(self.site, entry, DOMAINS[0], state))
        self.at(delay_s + 3.0, check_outcome)

    def stop_gracefully(self, agent: str) -> None:
        """Stop an agent as SIGTERM does, and start it again later."""
        if not self.site.world.alive(agent):
            return
        start_count = self.site.start_counts[agent]
        for role in ("guard", "cell_owner"):
            self.site.world.deliver(RoleAddress(process=agent, role=role), Leave())

        def restart() -> None:
            if self.site.start_counts[agent] == start_count:
                self.site.start(agent)

        self.at(15.0, restart)

    def unfinished(self) -> list[str]:
        """Return what is unfinished, one line each."""
        problems: list[str] = []
        for name, tasks in TASK_COUNT_BY_JOB.items():
            for index in range(tasks):
                row = self.site.row(f"done/{name}/{index}")
                if row is None or row.state is not TaskState.FINISHED:
                    state = "without an outcome" if row is None else row.state.value
                    problems.append(f"task {name}/{index} is not finished but {state}")
        return problems + [f"the backlog holds {k}" for k in self.site.keys("backlog/")]

    def check(self) -> None:
        """Check that every call has a valid outcome and nothing is unfinished."""
        for caller in self.callers:
            problem = caller.problem()
            if problem:
                self.site.record_violation(problem)
        for problem in self.unfinished():
            self.site.record_violation(problem)


def job_record(name: str) -> JobRecord:
    """Return the record of a batch job of the scenario."""
    return JobRecord(
        name=name,
        department="bakery",
        tasks=TASK_COUNT_BY_JOB[name],
        size=TASK_SIZE,
        run_s=TASK_RUN_S,
    )


def initial_records() -> Iterable[tuple[str, Record]]:
    """Yield the records that are in force before the scenario begins."""
    for domain in DOMAINS:
        yield "failure_domain", FailureDomainRecord(name=domain, region=REGION)
    for domain in DOMAINS:
        names = [name for name, domain_name in WORKERS.items() if domain_name == domain]
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


def run_case(case: FaultCase) -> Verdict:
    """Run one case of the matrix."""
    return ScenarioRun(case=case).execute()
