"""Tests of the actor: which events cause a tick and which wait for one."""

from __future__ import annotations

import threading
from dataclasses import dataclass
from typing import Any, cast

import testtools

from bulrushpulley.entities.step import Event, Step
from bulrushpulley.roles import controller
from bulrushpulley.roles.actor import Inspect, Role, RoleActor, TickDue
from bulrushpulley.roles.inbox import EventInbox

REPORT_TIMEOUT_S = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class LabelledEvent(Event):
    label: str
    waits: bool = False


def record_event(
    event: Event, events: tuple[Event, ...], now: float
) -> Step[tuple[Event, ...]]:
    return Step(tables=(*events, event))


def event_can_wait(event: Any) -> bool:
    waits: bool = event.waits
    return waits


class ActorTest(testtools.TestCase):
    def test_an_event_that_can_wait_is_applied_in_order_at_the_next_tick(self) -> None:
        first, second = (
            LabelledEvent(label="a", waits=True),
            LabelledEvent(label="b", waits=True),
        )
        last = LabelledEvent(label="c")
        role: Role[Any] = Role(
            name="r", tables=(), apply=record_event, systems=(), can_wait=event_can_wait
        )
        ref = RoleActor.start(role=role, carry_out=lambda command: None)
        self.addCleanup(ref.stop)
        ref.tell(first)
        self.assertEqual((), ref.ask(Inspect()))
        ref.tell(TickDue())
        self.assertEqual((first,), ref.ask(Inspect()))
        ref.tell(second)
        ref.tell(last)
        ref.ask(Inspect())
        self.assertEqual((first, second, last), ref.ask(Inspect()))

    # Who noticed the end of the actor first reported it without the exception.
    def test_a_failure_is_reported_before_the_actor_ends(self) -> None:
        alive_at_report: list[bool] = []
        reported = threading.Event()

        def report(error: Exception) -> None:
            alive_at_report.append(ref.is_alive())
            reported.set()

        def fail(tables: tuple[Event, ...], now: float) -> Step[Any]:
            raise ValueError("a fault of the role")

        role: Role[Any] = Role(name="r", tables=(), apply=record_event, systems=(fail,))
        ref = RoleActor.start(
            role=role, carry_out=lambda command: None, report_failure=report
        )
        self.addCleanup(ref.stop)
        ref.tell(TickDue())
        self.assertTrue(reported.wait(REPORT_TIMEOUT_S))
        self.assertEqual([True], alive_at_report)

    def test_events_share_a_tick_when_ticks_are_spaced(self) -> None:
        """With hundreds of agents, a tick for each event takes most of a processor."""
        ticks: list[int] = []

        def count_tick(tables: tuple[Event, ...], now: float) -> Step[Any]:
            ticks.append(len(tables))
            return Step(tables=tables)

        role: Role[Any] = Role(
            name="r",
            tables=(),
            apply=record_event,
            systems=(count_tick,),
            min_tick_interval_s=0.5,
        )
        inbox = EventInbox()
        ref = RoleActor.start(role=role, carry_out=lambda command: None, inbox=inbox)
        self.addCleanup(ref.stop)

        def put(label: str) -> None:
            if inbox.put(LabelledEvent(label=label), can_wait=False):
                ref.tell(TickDue())

        put("first")
        self.assertEqual(1, len(cast(tuple[Event, ...], ref.ask(Inspect()))))
        for number in range(20):
            put(f"{number}")
        self.assertEqual(21, len(cast(tuple[Event, ...], ref.ask(Inspect()))))
        self.assertEqual([1, 21], ticks)

    def test_the_controller_answers_operators_at_once(self) -> None:
        role = controller.build(
            entry="e", incarnation="e#1", host="127.0.0.1", port=1, region="ege"
        )
        self.assertFalse(role.can_wait(Event()))
