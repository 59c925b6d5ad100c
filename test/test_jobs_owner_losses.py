"""Tests of owners of the shard that are lost once, twice and three times in a row.

Nothing of a job that ends a step can run before the next owner has taken over. Where
the next one is lost as well, the times add up, and the job counts as LOST after 3 s.
`python -m test.jobs_owner_losses` plays all cases and drawn plans.
"""

from __future__ import annotations

import random

import testtools

from test.jobs_owner_losses import (
    ENTRY_COUNT,
    JOBS,
    MAX_IDLE_S,
    CutOff,
    CutOffFromStore,
    Frozen,
    Killed,
    Loss,
    NextLoss,
    Plan,
    Point,
    ZoneLost,
    draw_plan,
    once_table,
    plan_of,
    run_plan,
)

SEEDS = range(1, 4)
POINTS_OF_A_KIND = 2
# Longer than one takeover takes, so that no owner is there in between.
UNOWNED_S = 5.0


def problems_of(*plans: Plan) -> list[str]:
    """Return a line for each play with a job that stood still for too long."""
    found: list[str] = []
    for plan in plans:
        result = run_plan(plan)
        problems = list(result.problems)
        if result.worst is not None and result.worst_s > MAX_IDLE_S:
            problems.append(result.worst.describe())
        if result.losses != 1 + len(plan.next_losses):
            problems.append(f"{result.losses} owners were lost")
        found += [f"{plan.describe()}: {problem}" for problem in problems]
    return found


def drawn_points(kind: type[Loss], count: int) -> list[Point]:
    """Return a few points, others for each kind of loss."""
    return random.Random(kind.__name__).sample(list(Point), count)


class RecordTest(testtools.TestCase):
    """The starts and ends on the backend servers are what is measured."""

    # A meter that counts a run until an owner notes its end sees nothing here.
    def test_the_record_shows_time_without_an_owner(self) -> None:
        everyone = tuple(
            NextLoss(loss=Killed(away_s=UNOWNED_S), point=Point.CLAIM_SENT)
            for _ in range(ENTRY_COUNT - 1)
        )
        first = Killed(away_s=ENTRY_COUNT * UNOWNED_S)
        result = run_plan(Plan(first=first, next_losses=everyone, jobs=JOBS))
        self.assertGreater(result.worst_s, UNOWNED_S)

    def test_a_step_follows_soon_while_an_owner_lives(self) -> None:
        plan = Plan(first=Killed(), jobs=JOBS, first_loss_s=12.0)
        result = run_plan(plan)
        self.assertEqual((), result.problems)
        self.assertLess(result.worst_s, 0.5)


class OneLossTest(testtools.TestCase):
    """The owner is lost and the next one is not."""

    # A takeover that takes over 3 s is LOST for each step that ended at its start.
    def test_a_job_goes_on_after_its_owner_is_lost(self) -> None:
        kinds = Killed, Frozen, CutOff, CutOffFromStore
        plans = [plan for plan in once_table() if isinstance(plan.first, kinds)]
        near = [plan for plan in plans if not plan.far_entries]
        self.assertEqual([], problems_of(*near, plan_of((Killed,), (), ENTRY_COUNT)))

    # The next owner waits for the agent of the lost host before it places anything.
    def test_a_job_goes_on_after_the_zone_of_its_owner_is_lost(self) -> None:
        self.assertEqual([], problems_of(plan_of((ZoneLost,), ())))


class TwoLossesTest(testtools.TestCase):
    """The next owner is lost in the same way at a point of its tenure.

    The clock of a takeover begins anew with the second loss, so that steps that ended
    before the first one wait for both.
    """

    def assert_bounded(self, kind: type[Loss]) -> None:
        """Check the bound with the second loss at a few points."""
        points = drawn_points(kind, POINTS_OF_A_KIND)
        plans = [plan_of((kind, kind), (point,)) for point in points]
        self.assertEqual([], problems_of(*plans))

    # Two takeovers in a row, 5 s in all.
    def test_a_job_goes_on_after_two_owners_are_killed(self) -> None:
        self.assert_bounded(Killed)

    # Two takeovers in a row, 5 s in all, and two owners that return and are fenced.
    def test_a_job_goes_on_after_two_owners_are_frozen(self) -> None:
        self.assert_bounded(Frozen)

    # Two takeovers in a row, 5 s in all.
    def test_a_job_goes_on_after_two_owners_are_cut_off(self) -> None:
        self.assert_bounded(CutOff)

    # Two takeovers in a row, 5 s in all; the agents stay linked to a lost owner.
    def test_a_job_goes_on_after_two_owners_lose_the_store(self) -> None:
        self.assert_bounded(CutOffFromStore)

    # Two takeovers in a row, each with the wait for the agent of a lost host.
    def test_a_job_goes_on_after_the_zones_of_two_owners_are_lost(self) -> None:
        self.assert_bounded(ZoneLost)


class ThreeLossesTest(testtools.TestCase):
    """The next two owners are lost in the same way, each at a point of its tenure."""

    def assert_bounded(self, *kinds: type[Loss]) -> None:
        """Check the bound with the second and third loss at drawn points."""
        self.assertEqual(
            [],
            problems_of(
                *(plan_of((kind,) * 3, tuple(drawn_points(kind, 2))) for kind in kinds)
            ),
        )

    # Three takeovers in a row, 8 s in all.
    def test_a_job_goes_on_after_three_owners_are_lost(self) -> None:
        self.assert_bounded(Killed, Frozen, CutOff, CutOffFromStore)

    # Three takeovers in a row, each with the wait for the agent of a lost host.
    def test_a_job_goes_on_after_the_zones_of_three_owners_are_lost(self) -> None:
        self.assert_bounded(ZoneLost)


class DrawnLossesTest(testtools.TestCase):
    # One to three losses of any kinds, with steps that end at any time in between.
    def test_drawn_seeds(self) -> None:
        problems = [
            f"seed {seed}: {problem}"
            for seed in SEEDS
            for problem in problems_of(draw_plan(seed))
        ]
        self.assertEqual([], problems)
