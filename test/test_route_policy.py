"""Tests the router's queue, budgets, server choice and claim deletion.

Long runs with random mixes of faults check the invariants of all calls.
"""

from __future__ import annotations

import random
from unittest import mock

import testtools

from bulrushpulley.entities.calls import CallAbandoned
from bulrushpulley.entities.commit import VersionedRow
from bulrushpulley.entities.link import Fetched
from bulrushpulley.entities.rows import ClaimRow
from bulrushpulley.systems.route import calls as route_calls
from bulrushpulley.systems.route import choice as route_choice
from bulrushpulley.systems.route import claim_outcomes as route_claim_outcomes
from bulrushpulley.systems.route import eject as route_eject
from bulrushpulley.systems.route import sweep as route_sweep
from test.request_world import SERVICE, RequestWorld
from test.virtual_world import Path

MIX_SEEDS = range(1, 7)
SHORTENED_CLAIM_TTL_S = 15.0


class PolicyTest(testtools.TestCase):
    def count_answers_in_time(self, rate: float, seconds: float = 2.0) -> int:
        """Count the answers in time under `rate` calls per second on 2 x 8 slots."""
        world = RequestWorld(entries=1, agents=2, service_s=0.1)
        rng = random.Random(1)
        for number in range(int(rate * seconds)):
            at = rng.random() * seconds
            world.call_at(at, "e1", f"c{number}", within_s=0.5)
        world.run(seconds + 1.0)
        ended = [world.outcome(call_id) for call_id in world.answers]
        return sum(outcome.startswith("done") for outcome in ended)

    def test_overload_does_not_reduce_answers_in_time(self) -> None:
        peak = self.count_answers_in_time(160.0)
        self.assertGreater(self.count_answers_in_time(800.0), 0.9 * peak)

    def test_repeatable_calls_survive_a_lost_agent_and_budgets_bound_retries(
        self,
    ) -> None:
        world = RequestWorld(agents=3, service_s=0.2)
        for number in range(12):
            world.call("e1", f"c{number}")
        world.run(0.05)
        world.kill("a1")
        world.run(1.0)
        outcomes = [world.outcome(f"c{number}") for number in range(12)]
        self.assertEqual([f"done c{number}" for number in range(12)], outcomes)
        self.assertEqual(4, world.counts["route.retries"])

    def test_without_a_budget_nothing_is_retried(self) -> None:
        with mock.patch.object(route_calls, "MAX_RETRY_TOKENS", 0.0):
            world = RequestWorld(agents=2, service_s=0.2)
            world.call("e1", "c1")
            world.run(0.05)
            world.kill(next(iter(world.run_on.values())))
            world.run(1.0)
        self.assertEqual("unknown", world.outcome("c1"))

    def slow_server_fraction(self) -> float:
        """Return the fraction of the calls that the slow one of four servers gets."""
        world = RequestWorld(entries=1, agents=4)
        world.service_s = lambda agent: 0.3 if agent == "a1" else 0.02
        for number in range(400):
            world.call_at(number * 0.01, "e1", f"c{number}")
        world.run(6.0)
        return list(world.run_on.values()).count("a1") / 400

    def test_a_slow_server_gets_few_calls(self) -> None:
        self.assertLess(self.slow_server_fraction(), 0.03)

    def test_without_ejection_and_weights_a_slow_server_gets_its_share(self) -> None:
        with (
            mock.patch.object(route_choice, "cost_s", lambda server: 0.0),
            mock.patch.object(route_eject, "EJECTION_LATENCY_FACTOR", 99.0),
        ):
            self.assertGreater(self.slow_server_fraction(), 0.03)

    def test_other_regions_get_only_calls_beyond_the_own_regions_slots(self) -> None:
        world = RequestWorld(entries=1, agents=1, service_s=0.2)
        world.agents.append("far")
        world.start_agent("far", region="marmara")
        world.run(0.2)
        for number in range(12):
            world.call("e1", f"c{number}")
        world.run(1.0)
        ran = list(world.run_on.values())
        self.assertEqual((9, 3), (ran.count("a1"), ran.count("far")))

    def stalled_latency_s(self) -> float:
        """Return the latency of a call whose first run stalls."""
        world = RequestWorld(entries=1, agents=2)
        for number in range(100):
            world.call_at(number * 0.02, "e1", f"c{number}")
        world.run(3.0)
        times = iter((1.5, 0.02))
        world.service_s = lambda agent: next(times)
        started_at = world.world.now
        world.call("e1", "late")
        world.run(2.0)
        return world.answers["late"][0][0] - started_at

    def test_a_slow_repeatable_call_is_hedged(self) -> None:
        self.assertLess(self.stalled_latency_s(), 0.3)
        with mock.patch.object(route_calls, "MAX_HEDGE_TOKENS", 0.0):
            self.assertGreater(self.stalled_latency_s(), 1.4)

    def test_an_abandoned_call_leaves_no_claim_and_does_not_run(self) -> None:
        world = RequestWorld(entries=1)
        world.call("e1", "c1", "id1")
        world.run(0.004)
        world.tell("e1", CallAbandoned(call_id="c1"))
        world.run(3.0)
        self.assertEqual((0, 0), (len(world.store.by_key), sum(world.runs.values())))

    def test_a_service_that_was_slow_once_is_tried_again(self) -> None:
        world = RequestWorld(entries=1, agents=2)
        for number in range(40):
            world.call_at(number * 0.5, "e1", f"c{number}", within_s=2.0)
        world.service_s = lambda agent: 3.0
        world.run(10.0)
        world.service_s = lambda agent: 0.02
        world.run(15.0)
        ended = {world.outcome(f"c{number}") for number in range(30, 40)}
        self.assertEqual({f"done c{number}" for number in range(30, 40)}, ended)
        servers = world.tables("e1").servers.rows()
        self.assertLess(max(server.latency_s for server in servers), 0.5)

    def test_bad_calls_are_refused_as_not_run(self) -> None:
        world = RequestWorld()
        for name, request_id, fields in (
            ("no id", "", {"repeatable": False}),
            ("slash", "a/b", {}),
            ("space", "a b", {}),
            ("large", "a", {"body": b"x" * (route_calls.MAX_CALL_BODY_BYTES + 1)}),
            ("late", "a", {"within_s": 0.0}),
        ):
            world.call("e1", name, request_id, **fields)
            world.run(0.1)
            self.assertEqual("not run", world.outcome(name), name)
        self.assertEqual(0, sum(world.runs.values()))

    def test_claims_are_deleted_when_they_expire(self) -> None:
        world = RequestWorld(entries=1)
        with mock.patch.object(
            route_claim_outcomes, "CLAIM_TTL_S", SHORTENED_CLAIM_TTL_S
        ):
            world.call("e1", "c1", "id1")
            world.run(SHORTENED_CLAIM_TTL_S - 1.0)
            self.assertEqual(1, len(world.store.by_key))
            world.run(20.0)
        self.assertEqual(0, len(world.store.by_key))

    def test_claims_of_dead_entries_are_swept(self) -> None:
        world = RequestWorld(entries=1)
        row = ClaimRow(
            service=SERVICE, request_id="x", agent="a", incarnation="a", claimed_at=0
        )
        key = f"claim/{SERVICE}/x"
        old = VersionedRow(key=key, version=3, row=row)
        world.store.by_key[key] = old
        prefix = f"claim/{SERVICE}/x"
        with mock.patch.object(route_sweep, "CLAIM_TTL_S", SHORTENED_CLAIM_TTL_S):
            for revision in (9, 12):
                self.assertEqual(1, len(world.store.by_key))
                page = Fetched(
                    fetch_id="f", prefix=prefix, revision=revision, rows=(old,)
                )
                world.tell("e1", page)
                world.run(SHORTENED_CLAIM_TTL_S + 1.0)
        self.assertEqual(0, len(world.store.by_key))


def run_mix(seed: int) -> RequestWorld:
    """Run calls through entries and agents that fail at random."""
    rng = random.Random(seed)
    world = RequestWorld(entries=3, agents=4)
    world.service_s = lambda agent: rng.choice((0.005, 0.02, 0.1, 0.6))
    world.path = Path(jitter_s=0.05, repeat_percent=10)
    for number in range(150):
        entry = rng.choice(world.entries)
        if world.world.alive(entry):
            world.call(entry, f"c{number}", f"id{rng.randrange(60)}")
        if rng.random() < 0.25:
            inject_fault(world, rng, number)
        world.run(rng.random() * 0.06)
    world.store.mode = "up"
    world.run(4.0)
    return world


def inject_fault(world: RequestWorld, rng: random.Random, number: int) -> None:
    """Inject one random fault."""
    entry, agent = rng.choice(world.entries), rng.choice(world.agents)
    kind = rng.randrange(6)
    if kind == 0:
        world.unlink(entry, agent)
        world.world.at(0.3, lambda: relink(world, entry, agent))
    elif kind == 1:
        world.world.pause(rng.choice((entry, agent)), rng.random())
    elif kind == 2:
        world.store.mode = rng.choice(("up", "down", "lose_answers"))
    elif kind == 3 and number % 5 == 0:
        world.kill(agent)
        world.agents[world.agents.index(agent)] = f"{agent}+"
        world.start_agent(f"{agent}+")
    elif kind == 4:
        world.store.delay_s = rng.choice((0.005, 0.3))
    else:
        world.cut_links ^= {(agent, entry)}


def relink(world: RequestWorld, entry: str, agent: str) -> None:
    """Restore a link if both processes are still alive."""
    if world.world.alive(entry) and world.world.alive(agent):
        world.link(entry, agent)


class MixTest(testtools.TestCase):
    def test_invariants_hold_in_mixes_of_faults(self) -> None:
        ended = 0
        for seed in MIX_SEEDS:
            world = run_mix(seed)
            world.check()
            ended += len(world.answers)
        self.assertGreater(ended, 100 * len(MIX_SEEDS))
