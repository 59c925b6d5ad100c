"""Tests the guard's limits: slots, queue, stored outcomes, leaving, announcements."""

from __future__ import annotations

from unittest import mock

import testtools

from bulrushpulley.entities.execution import HealthChecked
from bulrushpulley.entities.lifecycle import Leave
from bulrushpulley.entities.link import Announce, Dispatch, Recall, Send
from bulrushpulley.entities.step import Command
from bulrushpulley.systems.guard import outcomes as guard_outcomes
from bulrushpulley.systems.guard import requests as guard_requests
from bulrushpulley.systems.route import choice as route_choice
from test.request_world import SERVICE, RequestWorld
from test.virtual_world import RoleAddress

DISPATCHES = 40
AGENT_CAPACITY = 16
MAX_ANNOUNCEMENTS_PER_S = 25
ANNOUNCE_BYTES = 200


def dispatch(name: str, repeatable: bool = False, peer: str = "e1") -> Dispatch:
    return Dispatch(
        peer=peer,
        attempt_id=name,
        request_id=f"id-{name}",
        service=SERVICE,
        repeatable=repeatable,
        remaining_s=2.0,
        body=b"",
    )


def recall(name: str) -> Recall:
    return Recall(
        peer="e1",
        attempt_id=f"recall-{name}",
        request_id=f"id-{name}",
        service=SERVICE,
        remaining_s=2.0,
    )


def record_sent_items(world: RequestWorld) -> list[Send]:
    """Record the items that the processes send from now on."""
    sent_items: list[Send] = []

    def hook(_: object, address: RoleAddress, command: Command) -> None:
        if isinstance(command, Send):
            sent_items.append(command)

    world.world.command_hooks.append(hook)
    return sent_items


def replies(sent_items: list[Send], attempt_id: str) -> list[str]:
    """Describe the replies to an attempt: answered, or whether it ran."""
    items = [send.item for send in sent_items]
    own = [item for item in items if getattr(item, "attempt_id", "") == attempt_id]
    return [item.ran.value if hasattr(item, "ran") else "answered" for item in own]


class GuardTest(testtools.TestCase):
    def run_dispatches(self) -> int:
        """Send `DISPATCHES` dispatches to an agent at once; return how many ran."""
        world = RequestWorld(agents=1)
        for number in range(DISPATCHES):
            world.tell("a1", dispatch(f"x{number}"))
        world.run(1.0)
        return sum(world.runs.values())

    def test_beyond_slots_and_queue_nothing_reaches_the_backend_server(self) -> None:
        self.assertEqual(AGENT_CAPACITY, self.run_dispatches())
        with mock.patch.object(guard_requests, "capacity_refusal", lambda *_: None):
            self.assertEqual(DISPATCHES, self.run_dispatches())

    def test_ids_dropped_early_are_never_reported_as_not_run(self) -> None:
        for limit, expected in ((2, ["unknown"]), (50_000, ["answered"])):
            world = RequestWorld(agents=1)
            sent_items = record_sent_items(world)
            with mock.patch.object(guard_outcomes, "MAX_STORED_OUTCOMES", limit):
                for name in ("x1", "x2", "x3"):
                    world.tell("a1", dispatch(name))
                    world.run(0.1)
                world.tell("a1", recall("x1"))
                world.run(0.1)
            self.assertEqual(expected, replies(sent_items, "recall-x1"))

    def test_a_dropped_answer_is_reported_as_run(self) -> None:
        world = RequestWorld(agents=1)
        sent_items = record_sent_items(world)
        with mock.patch.object(guard_outcomes, "MAX_STORED_BODY_BYTES", 3):
            world.tell("a1", dispatch("x1"))
            world.run(0.1)
        world.tell("a1", recall("x1"))
        world.run(0.1)
        self.assertEqual(["yes"], replies(sent_items, "recall-x1"))
        self.assertEqual(0, world.tables("a1").body_bytes)

    def test_an_unhealthy_backend_server_gets_no_requests(self) -> None:
        world = RequestWorld(agents=1)
        world.tell("a1", HealthChecked(healthy=False))
        world.tell("a1", dispatch("x1"))
        world.run(0.1)
        self.assertEqual(0, sum(world.runs.values()))

    def test_a_leaving_agent_finishes_its_requests_and_gets_no_new_ones(self) -> None:
        world = RequestWorld(agents=2)
        world.service_s = lambda agent: 0.5
        for number in range(6):
            world.call("e1", f"c{number}", f"id{number}")
        world.run(0.1)
        world.tell("a1", Leave())
        world.run(0.02)
        before = len([name for name in world.run_on.values() if name == "a1"])
        for number in range(6, 12):
            world.call("e2", f"c{number}", f"id{number}")
        world.run(2.0)
        world.check()
        after = len([name for name in world.run_on.values() if name == "a1"])
        self.assertEqual((before, ["a1"]), (after, world.done))
        outcomes = {world.outcome(f"c{number}") for number in range(12)}
        self.assertEqual({f"done c{number}" for number in range(12)}, outcomes)

    def test_a_leaving_entry_finishes_and_refuses_new_calls(self) -> None:
        world = RequestWorld()
        world.call("e1", "c1", "id1")
        world.run(0.01)
        world.tell("e1", Leave())
        world.call("e1", "c2", "id2")
        world.run(0.5)
        self.assertEqual("done c1", world.outcome("c1"))
        self.assertEqual("not run", world.outcome("c2"))
        self.assertEqual(["e1"], world.done)

    def unannounced_server_runs(self) -> int:
        """Return the number of runs on a server that is no longer announced."""
        world = RequestWorld(agents=2)
        world.cut_links = {("a1", "e1")}
        world.run(3.5)
        for number in range(20):
            world.call("e1", f"c{number}")
        world.run(1.0)
        return len([name for name in world.run_on.values() if name == "a1"])

    def test_a_backend_server_no_longer_announced_gets_no_requests(self) -> None:
        self.assertEqual(0, self.unannounced_server_runs())
        with mock.patch.object(route_choice, "ANNOUNCE_TTL_S", 99.0):
            self.assertNotEqual(0, self.unannounced_server_runs())

    def test_the_rate_of_announcements_is_bounded(self) -> None:
        world = RequestWorld(entries=5, agents=1)
        sent_items = record_sent_items(world)
        for number in range(400):
            world.call_at(number * 0.025, f"e{1 + number % 5}", f"c{number}")
        world.run(10.0)
        announced = [send for send in sent_items if isinstance(send.item, Announce)]
        self.assertTrue(50 <= len(announced) <= 10 * MAX_ANNOUNCEMENTS_PER_S)
        self.assertLess(MAX_ANNOUNCEMENTS_PER_S * ANNOUNCE_BYTES, 10_000)
