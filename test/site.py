"""A site in virtual time: entries, agents, workers, backend servers and the store.

It runs the roles of the product, with the product's routing of events, and the cores
of the stand-ins. `site_io` carries out the commands. `Site` has methods and fields
that inject faults; violated invariants are recorded in `violations`.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import Any

from bulrushpulley.entities.calls import AnswerCall, CallReceived, RefuseCall
from bulrushpulley.entities.link import LinkDown, LinkEvent, LinkUp
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command, Event
from bulrushpulley.roles import cell_owner, committer, controller, guard, router
from bulrushpulley.roles.routing import event_for_item, recipients
from bulrushpulley.wire.rows import decode_row
from standins import worker_core
from standins.table_core import TableState
from standins.worker_core import WorkerState
from test.virtual_world import Path, RoleAddress, VirtualWorld

SERVICE = "oven-conductor"
REGION = "ege"
DOMAINS = ("ege-izmir", "ege-manisa")
ENTRIES = ("e1", "e2")
AGENTS = ("a1", "a2", "a3")
WORKERS = {"w0": "ege-izmir", "w1": "ege-izmir", "w2": "ege-manisa", "w3": "ege-manisa"}
CAPACITY = Resources(processors_m=4_000, memory_mb=8_000)
LINK_DOWN_TIMEOUT_S = 3.0
RELINK_DELAY_S = 0.5
STORE_DELAY_S = 0.005
MAX_START_AFTER_DRAIN_S = 4.0

Answer = AnswerCall | RefuseCall


class Site:
    """All processes of a small deployment in one region with two failure domains.

    A link is the pair of its entry and agent; `links` has the number of each open
    link. `cut_links` holds pairs of a sender and a receiver whose items are lost.
    """

    def __init__(self, *, seed: int = 1) -> None:
        from test.site_io import carry_out

        self.world = VirtualWorld(
            carry_out=lambda world, address, command: carry_out(command, self, address),
            seed=seed,
        )
        self.store = TableState.empty()
        self.store_mode = "up"
        self.store_delay_s = STORE_DELAY_S
        self.workers = {name: WorkerState.empty() for name in WORKERS}
        self.dead_workers: set[str] = set()
        self.lossy_workers: set[str] = set()
        self.lost_processes: set[str] = set()
        self.path = Path()
        self.cut_links: set[tuple[str, str]] = set()
        self.start_counts: Counter[str] = Counter()
        self.process_by_incarnation: dict[str, str] = {}
        self.links: dict[tuple[str, str], int] = {}
        self.link_number = 0
        self.runs: Counter[str] = Counter()
        self.finishes: Counter[str] = Counter()
        self.answers: dict[str, list[Answer]] = {}
        self.calls: dict[str, CallReceived] = {}
        self.replies: dict[str, Command] = {}
        self.drained_at: dict[str, float] = {}
        self.decisions: Counter[str] = Counter()
        self.finished_roles: set[tuple[str, str]] = set()
        self.violations: list[str] = []
        for name in (*ENTRIES, *AGENTS):
            self.start(name)

    # Processes and links.

    def incarnation_of(self, process: str) -> str:
        """Return the name of the current incarnation of a process."""
        return f"{process}#{self.start_counts[process]}"

    def start(self, process: str) -> None:
        """Start a process, replacing its earlier incarnation, and link it."""
        if process in self.lost_processes:
            return
        self.kill(process)
        self.start_counts[process] += 1
        name = self.incarnation_of(process)
        self.process_by_incarnation[name] = process
        roles = self._entry(process) if process in ENTRIES else self._agent(process)
        self.world.start(process, roles)
        for other in AGENTS if process in ENTRIES else ENTRIES:
            pair = (process, other) if process in ENTRIES else (other, process)
            self.world.at(RELINK_DELAY_S, lambda pair=pair: self.link(*pair))  # type: ignore[misc]

    def _entry(self, name: str) -> list[Any]:
        incarnation = self.incarnation_of(name)
        return [
            router.build(incarnation=incarnation, region=REGION),
            controller.build(
                entry=name,
                incarnation=incarnation,
                host="127.0.0.1",
                port=1,
                region=REGION,
            ),
            committer.build(name=name, incarnation=incarnation),
        ]

    def _agent(self, name: str) -> list[Any]:
        incarnation = self.incarnation_of(name)
        return [
            guard.build(
                agent=name,
                incarnation=incarnation,
                service=SERVICE,
                region=REGION,
                failure_domain=DOMAINS[0],
            ),
            cell_owner.build(agent=name, incarnation=incarnation, region=REGION),
        ]

    def kill(self, process: str) -> None:
        """End a process and, for its peers, its links."""
        for pair in [pair for pair in self.links if process in pair]:
            self.unlink(*pair)
        self.world.kill(process)

    def link(self, entry: str, agent: str) -> None:
        """Open the link of two running processes, unless it is open or cut."""
        both_alive = self.world.alive(entry) and self.world.alive(agent)
        blocked = {(entry, agent), (agent, entry)} & self.cut_links
        if not both_alive or blocked or (entry, agent) in self.links:
            return
        self.link_number += 1
        self.links[entry, agent] = self.link_number
        self.deliver_to_process(
            entry, LinkUp(peer=self.incarnation_of(agent), region=REGION)
        )
        self.deliver_to_process(
            agent, LinkUp(peer=self.incarnation_of(entry), region=REGION)
        )

    def unlink(self, entry: str, agent: str) -> None:
        """End a link; items in flight on it are lost."""
        if self.links.pop((entry, agent), None) is None:
            return
        self.deliver_to_process(entry, LinkDown(peer=self.incarnation_of(agent)))
        self.deliver_to_process(agent, LinkDown(peer=self.incarnation_of(entry)))

    def pause(self, process: str, seconds: float) -> None:
        """Pause a process; its peers end their links after the keepalive timeout."""
        self.world.pause(process, seconds)
        pairs = [pair for pair in self.links if process in pair]
        start_count = self.start_counts[process]

        def end_links() -> None:
            for pair in pairs:
                self.unlink(*pair)

        def relink() -> None:
            for pair in pairs if self.start_counts[process] == start_count else []:
                self.link(*pair)

        self.world.at(min(LINK_DOWN_TIMEOUT_S, seconds), end_links)
        self.world.at(seconds + RELINK_DELAY_S, relink)

    def cut_off(self, directions: set[tuple[str, str]], seconds: float) -> None:
        """Lose items in these directions; the links end after the keepalive timeout."""
        self.cut_links |= directions
        pairs = {pair for pair in self.links if {pair, pair[::-1]} & directions}

        def end_links() -> None:
            for pair in pairs:
                self.unlink(*pair)

        def reconnect() -> None:
            self.cut_links -= directions
            for pair in pairs:
                self.link(*pair)

        self.world.at(min(LINK_DOWN_TIMEOUT_S, seconds), end_links)
        self.world.at(seconds, reconnect)

    def send(self, source: str, peer: str, item: LinkEvent) -> None:
        """Send an item over a link, with the delays of the current path."""
        target = self.process_by_incarnation.get(peer, "")
        pair = (source, target) if source in ENTRIES else (target, source)
        number = self.links.get(pair)
        if number is None or peer != self.incarnation_of(target):
            return
        if (source, target) in self.cut_links:
            return
        event = replace(item, peer=self.incarnation_of(source))
        for delay_s in self.world.delays(self.path):
            self.world.at(delay_s, lambda: self._arrive(pair, number, target, event))

    def _arrive(
        self, pair: tuple[str, str], number: int, target: str, event: LinkEvent
    ) -> None:
        if self.links.get(pair) == number:
            self.deliver_to_process(target, event)

    def deliver_to_process(self, process: str, event: Event) -> None:
        """Deliver an event to the roles of a process that the product routes it to."""
        for role in recipients(event):
            address = RoleAddress(process=process, role=role)
            if address in self.world.roles:
                self.world.deliver(address, event_for_item(event))

    # Calls from callers and operators, and the passage of time.

    def call(self, entry: str, call_id: str, request_id: str, within_s: float) -> None:
        """Make an unrepeatable call at an entry."""
        event = CallReceived(
            call_id=call_id,
            service=SERVICE,
            request_id=request_id,
            repeatable=False,
            within_s=within_s,
            body=request_id.encode(),
        )
        self.calls[call_id] = event
        self.world.deliver(RoleAddress(process=entry, role="router"), event)

    def send_operator_call(self, entry: str, event: Event) -> None:
        """Make an operator's call at an entry."""
        self.world.deliver(RoleAddress(process=entry, role="controller"), event)

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.world.run(self.world.now + seconds)

    def fail_all(self, worker: str, fails: bool) -> None:
        """Set whether a worker fails all tasks that it starts."""
        self.workers[worker] = replace(self.workers[worker], fail_all=fails)

    # State for checks.

    def row(self, key: str) -> Any:
        """Return the row of a key, or None."""
        stored = self.store.rows.get(key)
        if stored is None or stored.value is None:
            return None
        return decode_row(stored.value).row

    def keys(self, prefix: str) -> list[str]:
        """Return the keys under a prefix."""
        rows = self.store.rows.rows()
        return [r.key for r in rows if r.value is not None and r.key.startswith(prefix)]

    def advance(self) -> None:
        """Advance the workers to the current time, and count the runs that finished."""
        for name, state in self.workers.items():
            if name not in self.dead_workers:
                after = worker_core.advance(state, self.world.now)
                self._count_finished(state, after)
                self.workers[name] = after

    def _count_finished(self, before: WorkerState, after: WorkerState) -> None:
        finished = worker_core.RunState.FINISHED
        for key in after.runs:
            run = after.runs.by_key[key]
            earlier = before.runs.get(key)
            if run.state is finished and (
                earlier is None or earlier.state is not finished
            ):
                self.finishes[run.start.task_id] += 1

    def record_violation(self, violation: str) -> None:
        """Record a violated invariant with the time."""
        self.violations.append(f"{self.world.now:.2f} {violation}")


def describe_answer(answer: Answer) -> str:
    """Return how a call ended: its body, or whether its request ran."""
    body: bytes | None = getattr(answer, "body", None)
    if body is not None:
        return "answered " + body.decode()
    ran: Any = getattr(answer, "ran", None)
    return f"ran {ran.value}"
