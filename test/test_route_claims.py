"""Tests that an unrepeatable id runs at most once, in spite of failures.

A request that was refused as "not run" must not have run.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any
from unittest import mock

import testtools

from bulrushpulley.entities.commit import Submission
from bulrushpulley.entities.link import Dispatch, Send
from bulrushpulley.entities.step import Command, Step, Tell
from bulrushpulley.errors import Ran
from bulrushpulley.systems.guard import requests as guard_requests
from bulrushpulley.systems.route import answers as route_answers
from bulrushpulley.systems.route import claim_outcomes as route_claim_outcomes
from bulrushpulley.systems.route import claims as route_claims
from bulrushpulley.systems.route import finish as route_finish
from bulrushpulley.systems.route import recall as route_recall
from bulrushpulley.systems.route.finish import deadline_problem
from test.request_world import RequestWorld
from test.virtual_world import Path, RoleAddress


def kill_after(world: RequestWorld, kind: type[Command], item: type[Any]) -> None:
    """Kill e1 as soon as it has carried out a command of `kind` with an `item`."""

    def hook(_: object, address: RoleAddress, command: Command) -> None:
        subject = getattr(command, "item", getattr(command, "event", None))
        if (
            address.process == "e1"
            and isinstance(command, kind)
            and isinstance(subject, item)
        ):
            world.world.at(0.0, lambda: world.kill("e1"))

    world.world.command_hooks.append(hook)


def same_id_at_two_entries(world: RequestWorld) -> None:
    """Send the same id to two entries that prefer different agents."""
    world.call("e2", "warm")
    world.run(0.5)
    world.call("e1", "c1", "id1")
    world.call("e2", "c2", "id1")
    world.run(1.0)


def recall_before_dispatch(world: RequestWorld) -> None:
    """Let the second entry ask the agent before the first one's dispatch arrives."""
    world.call("e1", "c1", "id1")
    world.run(0.004)
    world.world.pause("e1", 0.5)
    world.call("e2", "c2", "id1")
    world.run(2.0)


def entry_dies_before_dispatch(world: RequestWorld) -> None:
    kill_after(world, Tell, object)
    world.call("e1", "c1", "id1")
    world.run(0.1)
    world.call("e2", "c2", "id1")
    world.run(1.0)


def entry_dies_after_dispatch(world: RequestWorld) -> None:
    kill_after(world, Send, Dispatch)
    world.call("e1", "c1", "id1")
    world.run(0.1)
    world.call("e2", "c2", "id1")
    world.run(1.0)


def agent_dies(world: RequestWorld) -> None:
    world.call("e1", "c1", "id1")
    world.run(0.02)
    world.kill(world.run_on["id1"])
    world.run(3.0)


def agent_restarts(world: RequestWorld) -> None:
    agent_dies(world)
    world.start_agent("a9")
    world.run(0.1)
    world.call("e2", "c2", "id1")
    world.run(3.0)


def answer_lost(world: RequestWorld) -> None:
    world.call("e1", "c1", "id1")
    world.run(0.02)
    agent = world.run_on["id1"]
    world.cut_links.add((agent, "e1"))
    world.run(0.1)
    world.unlink("e1", agent)
    world.run(0.1)
    world.cut_links.clear()
    world.link("e1", agent)
    world.run(1.0)


def dispatch_lost(world: RequestWorld) -> None:
    world.cut_links |= {("e1", agent) for agent in world.agents}
    world.call("e1", "c1", "id1")
    world.run(0.1)
    world.cut_links.clear()
    for agent in world.agents:
        world.unlink("e1", agent)
        world.link("e1", agent)
    world.run(1.0)


def store_down(world: RequestWorld) -> None:
    world.store.mode = "down"
    world.call("e1", "c1", "id1")
    world.run(1.0)
    world.store.mode = "up"
    world.call("e2", "c2", "id1")
    world.run(1.0)


def store_loses_answers(world: RequestWorld) -> None:
    world.store.mode = "lose_answers"
    world.call("e1", "c1", "id1")
    world.run(0.1)
    world.store.mode = "up"
    world.run(1.0)


def store_loses_all_answers(world: RequestWorld) -> None:
    world.store.mode = "lose_answers"
    world.call("e1", "c1", "id1")
    world.run(3.0)
    world.store.mode = "up"
    world.call("e2", "c2", "id1")
    world.run(1.0)


def store_slow(world: RequestWorld) -> None:
    world.store.delay_s = 3.0
    world.call("e1", "c1", "id1")
    world.run(5.0)
    world.call("e2", "c2", "id1", within_s=8.0)
    world.run(9.0)


def duplicated_dispatches(world: RequestWorld) -> None:
    """Deliver each dispatch twice, while the agents are full and after that."""
    world.path = Path(repeat_percent=100, jitter_s=0.5)
    world.service_s = lambda agent: 0.3
    for number in range(100):
        entry = world.entries[number % 2]
        world.call(entry, f"c{number}", f"id{number}", within_s=1.0)
    world.run(4.0)
    assert world.counts["guard.refused"], "no agent was full"


def answers_out_of_order(world: RequestWorld) -> None:
    times = iter((0.9, 0.7, 0.5, 0.3, 0.1, 0.2))
    world.service_s = lambda agent: next(times)
    for number in range(1, 5):
        world.call("e1", f"c{number}", f"id{number}")
    world.run(2.0)


CASES: tuple[tuple[Callable[[RequestWorld], None], dict[str, str]], ...] = (
    (same_id_at_two_entries, {"c1": "done c1", "c2": "done c1"}),
    (recall_before_dispatch, {"c1": "done c2", "c2": "done c2"}),
    (entry_dies_before_dispatch, {"c2": "done c2"}),
    (entry_dies_after_dispatch, {"c2": "done c1"}),
    (agent_dies, {"c1": "unknown"}),
    (agent_restarts, {"c1": "unknown", "c2": "unknown"}),
    (answer_lost, {"c1": "done c1"}),
    (dispatch_lost, {"c1": "done c1"}),
    (store_down, {"c1": "not run", "c2": "done c2"}),
    (store_loses_answers, {"c1": "done c1"}),
    (store_loses_all_answers, {"c1": "not run", "c2": "done c2"}),
    (store_slow, {"c1": "not run", "c2": "done c2"}),
    (duplicated_dispatches, {}),
    (answers_out_of_order, {f"c{n}": f"done c{n}" for n in range(1, 5)}),
)


def first_attempt(tables: Any, event: Any, attempt_id: str) -> Any:
    """Match an answer to the first attempt, as if answers were matched by order."""
    if not tables.attempts:
        return None
    attempt = tables.attempts.rows()[0]
    return attempt, tables.requests.by_key[attempt.call_id]


def submission_without_conditions(request: Any, stage: Any, now: float) -> Submission:
    return replace(SUBMISSION(request, stage, now), conditions=())


def without_recall(tables: Any, request: Any, agent: str, now: float) -> Step[Any]:
    """Claim for another agent without asking the claimed agent for the outcome."""
    service = tables.service(request.service)
    return Step(tables=route_finish.enqueue(tables, request, service))


def refuse_as_not_run(tables: Any, request: Any, agent: str, now: float) -> Step[Any]:
    problem = deadline_problem()
    return route_finish.refuse(tables, request, ran=Ran.NO, problem=problem, now=now)


SUBMISSION = route_claims.submission
UNPROTECTED_CASES: tuple[tuple[Callable[[RequestWorld], None], Any, str, Any], ...] = (
    (same_id_at_two_entries, route_claims, "submission", submission_without_conditions),
    (
        recall_before_dispatch,
        guard_requests,
        "store_outcome",
        lambda tables, *_: tables,
    ),
    (entry_dies_after_dispatch, guard_requests, "join_known", lambda *_: None),
    (
        duplicated_dispatches,
        guard_requests,
        "record_refused_attempt",
        lambda tables, _: tables,
    ),
    (answers_out_of_order, route_answers, "match_attempt", first_attempt),
    (agent_restarts, route_claim_outcomes, "recall", without_recall),
    (agent_dies, route_recall, "recall", refuse_as_not_run),
)


class ClaimTest(testtools.TestCase):
    def test_each_failure_gives_the_expected_outcomes(self) -> None:
        for scenario, expected in CASES:
            world = RequestWorld()
            scenario(world)
            world.check()
            ended = {call_id: world.outcome(call_id) for call_id in expected}
            self.assertEqual(expected, ended, scenario.__name__)

    def test_an_id_barred_by_the_only_agent_is_refused_after_few_claims(self) -> None:
        world = RequestWorld(agents=1)
        recall_before_dispatch(world)
        world.check()
        self.assertEqual({"not run"}, {world.outcome(name) for name in ("c1", "c2")})
        self.assertLess(world.store.revision, 6)

    def test_each_safeguard_is_needed(self) -> None:
        for scenario, module, name, patch in UNPROTECTED_CASES:
            world = RequestWorld()
            with mock.patch.object(module, name, patch):
                scenario(world)
            label = f"{scenario.__name__} without {name}"
            self.assertTrue(check_fails(world), label)


def check_fails(world: RequestWorld) -> bool:
    """Tell whether the world violates an invariant."""
    try:
        world.check()
    except AssertionError:
        return True
    return False
