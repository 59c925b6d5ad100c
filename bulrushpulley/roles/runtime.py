"""The runtime of every process: actors, event loop, pools, links and metrics.

The main thread waits for a signal. Each role has a thread of its own, the links share
one event loop, and blocking calls to the platform run on bounded pools. The failure
of a role ends the process, since a process without one of its roles would hold work
that it no longer serves.
"""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Callable, Coroutine
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from typing import Any, TypeVar

import pykka

from bulrushpulley.entities.commit import ReportTo
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.errors import Code, Problem, describe_error
from bulrushpulley.logs import (
    LineWriter,
    decision_logger,
    log_process,
    problem_logger,
)
from bulrushpulley.metrics import Metrics
from bulrushpulley.roles.actor import TICK_INTERVAL_S, Role, RoleActor, TickDue
from bulrushpulley.roles.carry_out import Ports, carry_out
from bulrushpulley.roles.inbox import EventInbox
from bulrushpulley.roles.routing import ROLES, event_for_item, recipients
from bulrushpulley.wire.link_stream import (
    HEARTBEAT_INTERVAL_S,
    SILENCE_TIMEOUT_S,
    LinkHooks,
)
from bulrushpulley.wire.links import Links

T = TypeVar("T")
LOOP_STOP_TIMEOUT_S = 5.0
ROLE_STOP_TIMEOUT_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Mailbox:
    """Where the events of a role go; `can_wait` tells which cause no tick."""

    ref: pykka.ActorRef[Any]
    inbox: EventInbox
    can_wait: Callable[[Event], bool]


class Runtime:
    """The parts that entry and agent processes have in common."""

    def __init__(
        self, *, name: str, incarnation: str, region: str, log_fd: int
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.region = region
        self.metrics = Metrics()
        self.report = problem_logger(name)
        self.stopping = threading.Event()
        self.skip_notice = threading.Event()
        self.failed = threading.Event()
        self.loop = asyncio.new_event_loop()
        self.links = Links(loop=self.loop)
        self._writer = LineWriter(fd=log_fd, count=self.metrics.count)
        self._loop_thread = threading.Thread(target=self._run_loop, daemon=True)
        self._mailbox_by_role: dict[str, Mailbox] = {}
        self._tick_interval_s_by_role: dict[str, float] = {}
        self._pool_by_role: dict[str, ThreadPoolExecutor] = {}
        self._done_by_role: dict[str, threading.Event] = {}

    def start(self) -> None:
        """Start the log and the event loop."""
        self._writer.start()
        self._loop_thread.start()
        self.run_on_loop(self._tick_roles())
        log_process(process=self.name, stage="starting", detail=self.incarnation)

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def run_on_loop(self, work: Coroutine[Any, Any, T]) -> Future[T]:
        """Run a coroutine on the event loop."""
        return asyncio.run_coroutine_threadsafe(work, self.loop)

    def hooks(
        self,
        *,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> LinkHooks:
        """Return the identity of this process on its links and their callbacks."""
        return LinkHooks(
            incarnation=self.incarnation,
            region=self.region,
            receive=self.receive,
            count=self.metrics.count,
            report=self.report,
            heartbeat_interval_s=heartbeat_interval_s,
            silence_timeout_s=silence_timeout_s,
        )

    def ports(self, *, answer: Callable[[Command], None]) -> dict[str, Any]:
        """Return the arguments common to all classes of ports."""
        return {
            "send": self.links.send,
            "tell": self.tell,
            "answer": answer,
            "decide": decision_logger(self.name),
            "count": self.metrics.count,
            "observe": self.metrics.observe,
            "run": self.run,
        }

    def start_role(self, role: Role[Any], ports: Ports, *, threads: int = 1) -> None:
        """Start the actor of a role, its ticks and the pool for its blocking calls.

        Each role has a pool of its own, so that slow calls of one role do not delay
        another.
        """
        self._done_by_role[role.name] = threading.Event()
        self._pool_by_role[role.name] = ThreadPoolExecutor(
            threads, thread_name_prefix=role.name
        )
        inbox = EventInbox()
        ref = RoleActor.start(
            role=role,
            carry_out=lambda command: carry_out(command, ports),
            report_failure=lambda error: self._fail(role.name, describe_error(error)),
            inbox=inbox,
        )
        self._mailbox_by_role[role.name] = Mailbox(
            ref=ref, inbox=inbox, can_wait=role.can_wait
        )
        self._tick_interval_s_by_role[role.name] = role.tick_interval_s

    async def _tick_roles(self) -> None:
        """Send every role a tick at its interval; fail the process if a role ended."""
        due_by_role: dict[str, float] = {}
        while True:
            now = asyncio.get_running_loop().time()
            for role, mailbox in tuple(self._mailbox_by_role.items()):
                if now < due_by_role.get(role, 0.0):
                    continue
                # Half a tick less, as a wake-up may come slightly before its time.
                due_by_role[role] = (
                    now + self._tick_interval_s_by_role[role] - TICK_INTERVAL_S / 2
                )
                try:
                    mailbox.ref.tell(TickDue())
                except pykka.ActorDeadError:
                    if not self.stopping.is_set():
                        self._fail(role, "the role's actor has ended")
            await asyncio.sleep(
                min(self._tick_interval_s_by_role.values(), default=TICK_INTERVAL_S)
            )

    def _fail(self, role: str, detail: str) -> None:
        problem = Problem(
            code=Code.UNAVAILABLE, step="process.role", peer=role, detail=detail
        )
        self.report(problem)
        self.failed.set()
        self.stopping.set()

    def tell(self, role: str, event: Event) -> None:
        """Send an event to a role; do nothing if this process does not run it."""
        mailbox = self._mailbox_by_role.get(role)
        if mailbox is None:
            return
        if not mailbox.inbox.put(event, can_wait=mailbox.can_wait(event)):
            return
        try:
            mailbox.ref.tell(TickDue())
        except pykka.ActorDeadError:
            self.metrics.count(Count(name="events_lost", label=role))

    def receive(self, item: Event) -> None:
        """Pass an item from a link to its recipients among the roles."""
        event = event_for_item(item)
        for role in recipients(item):
            self.tell(role, event)

    def report_to(self, command: ReportTo) -> None:
        """Send an outcome to its origin: a role of this process or a linked one."""
        if command.origin in ROLES:
            self.tell(command.origin, command.outcome)
        else:
            self.links.send(Send(peer=command.origin, item=command.outcome))

    def run(self, *, role: str, work: Callable[[], Event]) -> None:
        """Execute `work` on the pool of `role` and send the role the resulting event.

        Work that arrives after the pool was shut down at a stop is dropped. If no
        thread can be started for it, the process fails, as the role would wait for
        the event for ever.
        """
        try:
            self._pool_by_role[role].submit(self._run, role, work)
        except RuntimeError as error:
            if not self.stopping.is_set():
                self._fail(role, f"its work cannot be executed: {error}")

    def _run(self, role: str, work: Callable[[], Event]) -> None:
        try:
            event = work()
        except Exception as error:
            self._fail(role, describe_error(error))
            return
        self.tell(role, event)

    def role_done(self, role: str) -> None:
        """Record that a role has finished its work after `Leave`."""
        self._done_by_role[role].set()

    def leave(self, event: Event, roles: tuple[str, ...], timeout_s: float) -> None:
        """Send `event` to roles and wait until they are done or the time is up."""
        for role in roles:
            self.tell(role, event)
        deadline = self.loop.time() + timeout_s
        for role in roles:
            remaining_s = max(0.0, deadline - self.loop.time())
            if not self._done_by_role[role].wait(remaining_s):
                self.report(
                    Problem(
                        code=Code.DEADLINE,
                        step="process.leave",
                        peer=role,
                        detail=f"work not finished within {timeout_s:g} s",
                    )
                )

    def stop(self) -> None:
        """Stop the actors, the loop and the log."""
        for mailbox in self._mailbox_by_role.values():
            mailbox.ref.stop(block=True, timeout=ROLE_STOP_TIMEOUT_S)
        for pool in self._pool_by_role.values():
            pool.shutdown(wait=False, cancel_futures=True)
        self.run_on_loop(_end_tasks()).result(LOOP_STOP_TIMEOUT_S)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._loop_thread.join(LOOP_STOP_TIMEOUT_S)
        log_process(process=self.name, stage="stopped")
        self._writer.stop()


async def _end_tasks() -> None:
    """Cancel every other task of the loop and wait until it has ended."""
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
