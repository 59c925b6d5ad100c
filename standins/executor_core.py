"""A simulated backend server that runs tasks under a lease.

It follows the platform's contract: a start is idempotent, a stopped run can never be
started again, ends are listed until they are acknowledged, and all runs end when the
lease expires. The time is passed in: tests in virtual time use this module directly,
and `executor` serves it over HTTP.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from bulrushpulley.entities.jobs.executor_calls import (
    Announced,
    ConfirmIncarnation,
    ExecutorCommand,
    ExecutorEvent,
    FenceAnswered,
    IncarnationConfirmed,
    IncarnationUnconfirmed,
    OtherIncarnation,
    PaceAnswered,
    PaceRun,
    PollRuns,
    RaiseFence,
    RunsListed,
    RunStarted,
    StartDenied,
    StartRun,
    StopAnswered,
    StopRun,
)
from bulrushpulley.entities.jobs.runs import RunEnd, RunOrder, RunRef, RunStatus
from bulrushpulley.entities.resources import NO_RESOURCES, Resources
from standins.fenced_calls import fenced

# A stopped run ends after this time.
KILL_TIME_S = 0.2
# A run with this payload fails; for others the payload is the duration in seconds.
POISON_PAYLOAD = "poison"
POISON_RUN_TIME_S = 0.3
MAX_LISTED_ENDS = 500
MAX_LEASE_S = 10.0


def _succeeds(order: RunOrder) -> bool:
    return order.payload != POISON_PAYLOAD


@dataclass(frozen=True, kw_only=True, slots=True)
class ExecutorRun:
    """A run in progress, due to end at `ends_at`; `stopping` after a stop."""

    order: RunOrder
    started_at: float
    ends_at: float
    stopping: bool = False


EventListener = Callable[[str, "FakeExecutor", RunOrder | RunEnd], None]


class FakeExecutor:
    """The backend server of one host over its successive incarnations.

    `listener` is called for each start, each end and each acknowledged end. An end
    that was listed while the lease expired is acknowledged "late": by the rule it is
    not taken note of any more, so its task may run again (TWICE). Its clock shows
    `clock_rate` seconds for each second that passes.
    """

    def __init__(
        self,
        *,
        host: str,
        capacity: Resources,
        listener: EventListener,
        incarnation_started_at: float = 0.0,
        incarnation: int = 1,
        checkpoints: bool = False,
    ) -> None:
        self.host = host
        self.capacity = capacity
        self.listener = listener
        self.labels: tuple[str, ...] = ()
        self.incarnation_started_at = incarnation_started_at
        self.incarnation = incarnation
        self.id_number = incarnation
        self.clock_rate = 1.0
        self.lease_until = 0.0
        self.max_lease_s = MAX_LEASE_S
        self.fencing_token = 0
        # Whether only starts raise the token, as one may read the platform's contract.
        self.fenced_by_starts = False
        self.up = True
        self.suspended_at: float | None = None
        self.draining = False
        self.hangs = False
        self.requires_ticket = False
        self.checkpoints = checkpoints
        # How many random digits a checkpoint has beside the time that was worked.
        self.checkpoint_digits = 0
        self.fails_all = False
        # What each listed run measures: its latency or the processors in use.
        self.measure = 0
        self.noted = 0
        self.last_expired_end = 0
        self.max_listed_ends = MAX_LISTED_ENDS
        self.ends: list[RunEnd] = []
        self.run_by_key: dict[str, ExecutorRun] = {}
        self.barred_run_by_task: dict[str, int] = {}
        self.pace_by_key: dict[str, int] = {}
        self.checkpoint_by_key: dict[str, str] = {}

    @property
    def server_id(self) -> str:
        """The id of the current incarnation."""
        return f"i-{self.host}-{self.id_number}"

    @property
    def committed(self) -> Resources:
        """The resources of all runs, including those that are being stopped."""
        total = NO_RESOURCES
        for run in self.run_by_key.values():
            total = total.plus(run.order.committed)
        return total

    def announcement(self, now: float) -> Announced:
        """Return the announcement of this server."""
        return Announced(
            server_id=self.server_id,
            started_at_ms=self.incarnation,
            sequence=int(now * 1000),
            service="ovens",
            address=self.host,
            failure_domain=self.host.split("-")[0],
            is_draining=self.draining,
            capacity=self.capacity,
            labels=self.labels or ("a", f"rack-{self.host}"),
        )

    def crash(self) -> None:
        """Crash: drop all runs without listing their ends."""
        self.up = False
        self.run_by_key = {}

    def break_all(self) -> None:
        """End every run as broken, as when a gang has lost a member."""
        for key in sorted(self.run_by_key):
            self._end(key, "broken")

    def end_alone(self, key: str) -> None:
        """End a run that has waited too long for the others of its gang."""
        self._end(key, "alone")

    def restart(self, now: float, *, same_id: bool = False) -> None:
        """Start the next incarnation, without any state of the last one."""
        self.up, self.draining, self.incarnation, self.incarnation_started_at = (
            True,
            False,
            self.incarnation + 1,
            now,
        )
        self.id_number = self.id_number if same_id else self.incarnation
        self.lease_until, self.noted, self.last_expired_end = 0.0, 0, 0
        self.fencing_token = 0
        self.ends, self.run_by_key, self.barred_run_by_task = [], {}, {}

    def suspend(self, now: float) -> None:
        """Suspend the host: neither the clock of this server nor its runs go on."""
        self.suspended_at = now

    def resume(self, now: float) -> None:
        """Go on as if the suspension had taken no time."""
        if self.suspended_at is None:
            return
        took_s = now - self.suspended_at
        self.suspended_at = None
        self.incarnation_started_at += took_s
        self.lease_until += took_s
        self.run_by_key = {
            key: replace(
                run, started_at=run.started_at + took_s, ends_at=run.ends_at + took_s
            )
            for key, run in self.run_by_key.items()
        }

    def advance(self, now: float) -> None:
        """End the runs whose lease has expired or that are due to end by `now`."""
        if self.suspended_at is not None:
            return
        for key, run in sorted(self.run_by_key.items()):
            if self.lease_until <= now and run.started_at < self.lease_until:
                self._end(key, "lapsed")
            elif run.ends_at <= now and (run.stopping or not self.hangs):
                self._end(key, "stopped" if run.stopping else self._outcome(run))

    def _outcome(self, run: ExecutorRun) -> str:
        return "failed" if self.fails_all or not _succeeds(run.order) else "done"

    def _end(self, key: str, how: str) -> None:
        run = self.run_by_key.pop(key)
        order = run.order
        end = RunEnd(
            number=self.noted + len(self.ends) + 1,
            task_id=order.task_id,
            run=order.run,
            how=how,
            checkpoint=self.checkpoint_by_key.pop(key, ""),
        )
        self.ends.append(end)
        self._bar(RunRef(task_id=order.task_id, run=order.run))
        self.listener("end", self, end)

    def _bar(self, ref: RunRef) -> None:
        self.barred_run_by_task[ref.task_id] = max(
            ref.run, self.barred_run_by_task.get(ref.task_id, 0)
        )

    def call(self, command: ExecutorCommand, now: float) -> ExecutorEvent:
        """Handle one call of the agent."""
        if command.server_id == self.server_id:
            if command.fencing_token < self.fencing_token:
                return fenced(command)
            if isinstance(command, StartRun) or not self.fenced_by_starts:
                self.fencing_token = command.fencing_token
        return self._handle(command, now)

    @singledispatchmethod
    def _handle(self, command: ExecutorCommand, now: float) -> ExecutorEvent:
        raise NotImplementedError(type(command).__name__)

    @_handle.register
    def _(self, command: ConfirmIncarnation, now: float) -> ExecutorEvent:
        answers = (command.server_id, command.started_at_ms, command.address)
        if answers != (self.server_id, self.incarnation, self.host):
            return IncarnationUnconfirmed(
                server_id=command.server_id,
                started_at_ms=command.started_at_ms,
                reason="another incarnation answers",
            )
        return IncarnationConfirmed(
            server_id=command.server_id,
            started_at_ms=command.started_at_ms,
            address=command.address,
        )

    @_handle.register
    def _(self, command: RaiseFence, now: float) -> ExecutorEvent:
        return FenceAnswered(server_id=command.server_id)

    @_handle.register
    def _(self, command: PollRuns, now: float) -> ExecutorEvent:
        if command.server_id != self.server_id:
            return OtherIncarnation(server_id=command.server_id, life=command.life)
        self._note_expiry(now)
        if command.lease_until_ms is not None:
            self._extend_lease(command.lease_until_ms, now)
        while self.ends and self.ends[0].number <= command.noted:
            end = self.ends.pop(0)
            self.noted = end.number
            is_late = end.number <= self.last_expired_end
            self.listener("noted late" if is_late else "noted", self, end)
        runs = tuple(
            RunStatus(
                task_id=run.order.task_id,
                run=run.order.run,
                checkpoint=self._checkpoint(run, now),
                measure=self.measure,
            )
            for run in self.run_by_key.values()
        )
        return RunsListed(
            server_id=command.server_id,
            life=command.life,
            started_at_ms=self.incarnation,
            clock_ms=self.clock_ms(now),
            runs=runs,
            ends=tuple(self.ends[: self.max_listed_ends]),
            first_end=self.ends[0].number if self.ends else 0,
            ends_complete=len(self.ends) < self.max_listed_ends,
        )

    def _checkpoint(self, run: ExecutorRun, now: float) -> str:
        """Return the work done so far, in whole seconds, as text.

        A run without a second of work has the checkpoint with which it started, if any.
        """
        if not self.checkpoints:
            return ""
        remaining_s = run.ends_at - now
        worked_s = (
            int(float(run.order.payload) - remaining_s) if _succeeds(run.order) else 0
        )
        if worked_s <= 0:
            return run.order.checkpoint
        if not self.checkpoint_digits:
            return str(worked_s)
        digits = random.Random(run.order.key).randrange(10**self.checkpoint_digits)
        return f"{worked_s}.{digits:0{self.checkpoint_digits}}"

    def _note_expiry(self, now: float) -> None:
        """Remember which ends were listed while the lease expired."""
        if self.lease_until <= now and self.ends:
            self.last_expired_end = self.ends[-1].number

    def clock_ms(self, now: float) -> int:
        """Return the time on the clock of this incarnation."""
        return int((now - self.incarnation_started_at) * self.clock_rate * 1000)

    def _time_of(self, clock_ms: int) -> float:
        return self.incarnation_started_at + clock_ms / 1000 / self.clock_rate

    def _extend_lease(self, until_ms: int, now: float) -> None:
        until = min(self._time_of(until_ms), now + self.max_lease_s)
        self.lease_until = max(self.lease_until, until)

    @_handle.register
    def _(self, command: StartRun, now: float) -> ExecutorEvent:
        order = command.order
        ref = RunRef(task_id=order.task_id, run=order.run)
        denied = StartDenied(
            server_id=command.server_id, run=ref, reason="old", certainly_denied=True
        )
        if command.server_id != self.server_id:
            return replace(denied, reason="life")
        if order.key in self.run_by_key:
            return RunStarted(server_id=command.server_id, run=ref)
        if self.requires_ticket and order.ticket != f"ticket-{self.server_id}":
            return replace(denied, reason="ticket")
        if order.run <= self.barred_run_by_task.get(order.task_id, 0):
            return replace(denied, final=True)
        if self._time_of(command.lease_until_ms) <= now:
            return replace(denied, reason="late")
        self._note_expiry(now)
        self._extend_lease(command.lease_until_ms, now)
        duration_s = float(order.payload) if _succeeds(order) else POISON_RUN_TIME_S
        duration_s -= float(order.checkpoint or 0)
        self.run_by_key[order.key] = ExecutorRun(
            order=order, started_at=now, ends_at=now + duration_s
        )
        self.listener("start", self, order)
        return RunStarted(server_id=command.server_id, run=ref)

    @_handle.register
    def _(self, command: StopRun, now: float) -> ExecutorEvent:
        if command.server_id == self.server_id:
            run = self.run_by_key.get(command.run.key)
            if run is not None and not run.stopping:
                saved = self._checkpoint(run, now)
                self.checkpoint_by_key[command.run.key] = saved
                self.run_by_key[command.run.key] = replace(
                    run, stopping=True, ends_at=now + KILL_TIME_S
                )
            self._bar(command.run)
        return StopAnswered(server_id=command.server_id, run=command.run)

    @_handle.register
    def _(self, command: PaceRun, now: float) -> ExecutorEvent:
        self.pace_by_key[command.run.key] = command.percent
        return PaceAnswered(server_id=command.server_id, run=command.run)
