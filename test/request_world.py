"""Runs routers and guards in virtual time, with a fake store and backend servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import singledispatch
from typing import Any

from bulrushpulley.entities.calls import AnswerCall, CallReceived, RefuseCall
from bulrushpulley.entities.commit import (
    CommitOutcome,
    Committed,
    Conflicted,
    Submission,
    Submitted,
    Unsettled,
    VersionedRow,
    Withdrawn,
)
from bulrushpulley.entities.execution import (
    BackendAnswered,
    CheckBackend,
    HealthChecked,
    RunOnBackend,
)
from bulrushpulley.entities.link import (
    Announce,
    Answered,
    LinkDown,
    LinkEvent,
    LinkUp,
    Refused,
    Send,
)
from bulrushpulley.entities.observe import Count
from bulrushpulley.entities.step import Command, Event, Tell
from bulrushpulley.errors import Ran
from bulrushpulley.roles import guard, router
from test.virtual_world import Path, RoleAddress, VirtualWorld

SERVICE = "oven-conductor"
STORE_DELAY_S = 0.005
ROUTER_ITEMS = (Announce, Answered, Refused)
Answer = AnswerCall | RefuseCall


class FakeStore:
    """Stores rows by key, and applies submissions one by one."""

    def __init__(self) -> None:
        self.by_key: dict[str, VersionedRow] = {}
        self.revision = 0
        self.mode = "up"
        self.delay_s = STORE_DELAY_S

    def submit(self, content: Submission) -> CommitOutcome:
        """Commit a submission and return its outcome, according to `mode`.

        "down" withdraws it; "lose_answers" applies it and reports it as unsettled.
        """
        submission_id = content.submission_id
        if self.mode == "down":
            return Withdrawn(submission_id=submission_id, reason="the store is down")
        conflicting_rows = tuple(
            self.row(condition.key)
            for condition in content.conditions
            if self.row(condition.key).version != condition.version
        )
        if self.mode == "lose_answers":
            self._write(content, conflicting_rows)
            return Unsettled(submission_id=submission_id, reason="no answer")
        self._write(content, conflicting_rows)
        if conflicting_rows:
            return Conflicted(submission_id=submission_id, rows=conflicting_rows)
        return Committed(submission_id=submission_id, revision=self.revision)

    def row(self, key: str) -> VersionedRow:
        """Return a row; one without contents if it is absent."""
        return self.by_key.get(key, VersionedRow(key=key, version=0, row=None))

    def _write(
        self, content: Submission, conflicting_rows: tuple[VersionedRow, ...]
    ) -> None:
        if conflicting_rows:
            return
        self.revision += 1
        for write in content.writes:
            self.by_key.pop(write.key, None)
            if write.row is not None:
                self.by_key[write.key] = VersionedRow(
                    key=write.key,
                    version=self.revision,
                    row=write.row,
                    token=content.submission_id,
                )


class RequestWorld:
    """Entries and agents, all linked; an agent's name is also its incarnation."""

    def __init__(
        self, *, entries: int = 2, agents: int = 2, service_s: float = 0.02
    ) -> None:
        self.world = VirtualWorld(carry_out=self._carry_out)
        self.store = FakeStore()
        self.path = Path()
        self.service_s: Callable[[str], float] = lambda agent: service_s
        self.runs: Counter[str] = Counter()
        self.run_on: dict[str, str] = {}
        self.counts: Counter[str] = Counter()
        self.answers: dict[str, list[tuple[float, Answer]]] = {}
        self.id_of_call: dict[str, str] = {}
        self.bodies_of_id: dict[str, set[str]] = {}
        self.done: list[str] = []
        self.cut_links: set[tuple[str, str]] = set()
        self.entries = [f"e{n}" for n in range(1, entries + 1)]
        self.agents = [f"a{n}" for n in range(1, agents + 1)]
        for name in self.entries:
            role = router.build(incarnation=name, region="ege")
            self.world.start(name, [role])
        for name in self.agents:
            self.start_agent(name)
        self.run(0.2)

    def start_agent(self, name: str, region: str = "ege") -> None:
        """Start an agent and link it to every entry."""
        role = guard.build(
            agent=name,
            incarnation=name,
            service=SERVICE,
            region=region,
            failure_domain="ege-izmir",
        )
        self.world.start(name, [role])
        for entry in self.entries:
            self.link(entry, name)

    def link(self, entry: str, agent: str) -> None:
        """Open the link between two processes."""
        for process, peer, role in ((entry, agent, "router"), (agent, entry, "guard")):
            self.world.deliver(
                RoleAddress(process=process, role=role), LinkUp(peer=peer, region="ege")
            )

    def unlink(self, entry: str, agent: str) -> None:
        """End the link between two processes."""
        for process, peer, role in ((entry, agent, "router"), (agent, entry, "guard")):
            self.world.deliver(
                RoleAddress(process=process, role=role), LinkDown(peer=peer)
            )

    def kill(self, name: str) -> None:
        """Kill a process and end its links."""
        self.world.kill(name)
        for peer in self.agents if name in self.entries else self.entries:
            role = "guard" if name in self.entries else "router"
            self.world.deliver(
                RoleAddress(process=peer, role=role), LinkDown(peer=name)
            )

    def tell(self, process: str, event: Event) -> None:
        """Deliver an event to the role of a process."""
        role = "router" if process in self.entries else "guard"
        self.world.deliver(RoleAddress(process=process, role=role), event)

    def call(
        self, entry: str, call_id: str, request_id: str = "", **fields: Any
    ) -> None:
        """Call the service through an entry; unrepeatable if an id is given."""
        event = CallReceived(
            call_id=call_id,
            service=SERVICE,
            request_id=request_id,
            repeatable=fields.get("repeatable", not request_id),
            within_s=fields.get("within_s", 2.0),
            body=fields.get("body", call_id.encode()),
        )
        self.id_of_call[call_id] = request_id or call_id
        self.bodies_of_id.setdefault(request_id or call_id, set()).add(
            event.body.decode()
        )
        self.tell(entry, event)

    def call_at(self, delay_s: float, entry: str, call_id: str, **fields: Any) -> None:
        """Call the service after a delay."""
        self.world.at(delay_s, lambda: self.call(entry, call_id, **fields))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        self.world.run(self.world.now + seconds)

    def outcome(self, call_id: str) -> str:
        """Return how a call ended: its body, or whether it ran; empty if pending."""
        found = self.answers.get(call_id, [])
        assert len(found) <= 1, f"{call_id} was answered {len(found)} times"
        return describe_answer(found[0][1]) if found else ""

    def check(self) -> None:
        """Assert the invariants of all calls.

        An answer is that of a call with the same request id. No request runs twice.
        A request whose calls were all refused as not run did not run.
        """
        ended: dict[str, set[str]] = {}
        for call_id, request_id in self.id_of_call.items():
            outcome = self.outcome(call_id)
            ended.setdefault(request_id, set()).add(outcome)
            own = {f"done {body}" for body in self.bodies_of_id[request_id]}
            assert outcome in {"", "not run", "unknown", "ran"} | own, (
                request_id,
                outcome,
            )
        for request_id, outcomes in ended.items():
            runs = self.runs[request_id]
            assert runs <= 1, f"{request_id} ran {runs} times"
            assert outcomes != {"not run"} or not runs, (
                f"{request_id} ran, but 'not run'"
            )

    def tables(self, process: str) -> Any:
        """Return the tables of the role of a process."""
        role = "router" if process in self.entries else "guard"
        return self.world.tables[RoleAddress(process=process, role=role)]

    def _carry_out(
        self, world: VirtualWorld, address: RoleAddress, command: Command
    ) -> None:
        carry_out(command, self, address)


@singledispatch
def describe_answer(answer: Command) -> str:
    """Return an answer as text for assertions."""
    raise NotImplementedError


@describe_answer.register
def _(answer: AnswerCall) -> str:
    return answer.body.decode()


@describe_answer.register
def _(answer: RefuseCall) -> str:
    return {Ran.NO: "not run", Ran.UNKNOWN: "unknown", Ran.YES: "ran"}[answer.ran]


@singledispatch
def carry_out(command: Command, world: RequestWorld, address: RoleAddress) -> None:
    """Carry out a command on the fakes; unregistered commands have no effect."""
    if type(command).__name__ in {"GuardDone", "RouterDone"}:
        world.done.append(address.process)


@carry_out.register
def _(command: Send, world: RequestWorld, address: RoleAddress) -> None:
    if (address.process, command.peer) in world.cut_links:
        return
    role = "router" if isinstance(command.item, ROUTER_ITEMS) else "guard"
    assert isinstance(command.item, LinkEvent)
    target = RoleAddress(process=command.peer, role=role)
    world.world.deliver(target, from_peer(command.item, address.process), world.path)


def from_peer(item: LinkEvent, peer: str) -> LinkEvent:
    """Return an item as its receiver sees it, with the sender as `peer`."""
    return replace(item, peer=peer)


@carry_out.register
def _(command: Tell, world: RequestWorld, address: RoleAddress) -> None:
    if not isinstance(command.event, Submitted):
        return
    content = command.event.submission
    one_way = Path(delay_s=world.store.delay_s / 2)

    def arrive() -> None:
        world.world.deliver(address, world.store.submit(content), one_way)

    world.world.at(one_way.delay_s, arrive)


@carry_out.register
def _(command: RunOnBackend, world: RequestWorld, address: RoleAddress) -> None:
    key = command.request_id or command.execution_id
    world.runs[key] += 1
    world.run_on[key] = address.process
    event = BackendAnswered(
        execution_id=command.execution_id, status=200, body=b"done " + command.body
    )
    world.world.deliver(address, event, Path(delay_s=world.service_s(address.process)))


@carry_out.register
def _(command: CheckBackend, world: RequestWorld, address: RoleAddress) -> None:
    world.world.deliver(address, HealthChecked(healthy=True), Path(delay_s=0.001))


@carry_out.register
def _(command: Count, world: RequestWorld, address: RoleAddress) -> None:
    world.counts[command.name] += command.by


@carry_out.register(AnswerCall)
@carry_out.register(RefuseCall)
def _(command: Answer, world: RequestWorld, address: RoleAddress) -> None:
    entry = (world.world.now, command)
    world.answers.setdefault(command.call_id, []).append(entry)
