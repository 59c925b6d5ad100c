"""Compares the router's policy with simple baselines in virtual time.

Run with ``scripts/measure routing [--seed N]``. Random choice, least connections (both
with a queue at each backend server) and the router with its guards get the same
arrivals and service times. It prints a line for each run, and ratios between runs.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from unittest import mock

from absl import app, flags
from hdrh.histogram import HdrHistogram

from bulrushpulley.entities.calls import AnswerCall
from bulrushpulley.systems.route import calls as route_calls
from bulrushpulley.systems.route import queue as route_queue
from bulrushpulley.systems.route import shed as route_shed
from test.request_world import RequestWorld

FLAGS = flags.FLAGS
SERVER_COUNT = 10
SLOTS = 8
MEAN_SERVICE_TIME_S = 0.05
SERVICE_TIME_SIGMA = 0.5
REQUEST_TIMEOUT_S = 1.0
CAPACITY_PER_S = SERVER_COUNT * SLOTS / MEAN_SERVICE_TIME_S
WARM_UP_S = 1.0
SLOW_FACTOR = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """An open-loop load: arrivals at `rate` times the capacity, and slow runs.

    The first `slow_servers` servers are `SLOW_FACTOR` times slower, and so is the
    fraction `stalled_fraction` of the runs on the other servers. The fraction
    `unrepeatable_fraction` of the calls is unrepeatable, so that each needs a claim.
    """

    rate: float
    seconds: float
    slow_servers: int = 0
    stalled_fraction: float = 0.0
    unrepeatable_fraction: float = 0.0
    entries: int = 1
    seed: int = 1


@dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """Latencies of all answers, and the rate of the useful ones.

    An answer is useful within `REQUEST_TIMEOUT_S` of its arrival.
    """

    name: str
    p50_s: float
    p99_s: float
    useful_per_s: float
    offered_per_s: float


def arrivals(load: Load) -> list[float]:
    """Return the arrival times of a load."""
    rng = random.Random(load.seed)
    rate = load.rate * CAPACITY_PER_S
    now, arrival_times = 0.0, []
    while now < load.seconds:
        now += rng.expovariate(rate)
        arrival_times.append(now)
    return arrival_times


def service_time(load: Load) -> Callable[[int], float]:
    """Return a function that draws a service time for a server."""
    rng = random.Random(load.seed + 1)
    mu = -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2

    def draw(server: int) -> float:
        stalled = rng.random() < load.stalled_fraction
        factor = SLOW_FACTOR if server < load.slow_servers or stalled else 1.0
        return factor * MEAN_SERVICE_TIME_S * rng.lognormvariate(mu, SERVICE_TIME_SIGMA)

    return draw


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """The times at which a call arrived and was answered."""

    arrived_at: float
    ended_at: float

    @property
    def latency_s(self) -> float:
        """The time between arrival and answer."""
        return self.ended_at - self.arrived_at


def summarize(name: str, load: Load, answers: Sequence[Answer]) -> Result:
    """Return latency percentiles, and the rate of useful answers during the load."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    useful = [
        answer
        for answer in answers
        if answer.latency_s <= REQUEST_TIMEOUT_S
        and WARM_UP_S <= answer.ended_at < load.seconds
    ]
    for answer in answers:
        if answer.arrived_at >= WARM_UP_S:
            histogram.record_value(int(answer.latency_s * 1e6))
    span_s = load.seconds - WARM_UP_S
    return Result(
        name=name,
        p50_s=histogram.get_value_at_percentile(50) / 1e6,
        p99_s=histogram.get_value_at_percentile(99) / 1e6,
        useful_per_s=len(useful) / span_s,
        offered_per_s=load.rate * CAPACITY_PER_S,
    )


def run_baseline(name: str, load: Load) -> Result:
    """Queue each arrival at a server chosen at random or by least connections."""
    rng = random.Random(load.seed + 2)
    draw = service_time(load)
    free_at = [[0.0] * SLOTS for _ in range(SERVER_COUNT)]
    ends: list[list[float]] = [[] for _ in range(SERVER_COUNT)]
    answers: list[Answer] = []
    for now in arrivals(load):
        for queue in ends:
            while queue and queue[0] <= now:
                heapq.heappop(queue)
        server = rng.randrange(SERVER_COUNT)
        if name == "least connections":
            # Comparing by XOR with the random choice breaks ties at random.
            server = min(range(SERVER_COUNT), key=lambda n: (len(ends[n]), n ^ server))
        starts = max(now, heapq.heappop(free_at[server]))
        end = starts + draw(server)
        heapq.heappush(free_at[server], end)
        heapq.heappush(ends[server], end)
        answers.append(Answer(arrived_at=now, ended_at=end))
    return summarize(name, load, answers)


def run_router(name: str, load: Load) -> Result:
    """Send the arrivals through the routers of the entries to ten guards."""
    world = RequestWorld(entries=load.entries, agents=SERVER_COUNT)
    rng = random.Random(load.seed + 3)
    draw = service_time(load)
    number_by_agent = {agent: index for index, agent in enumerate(world.agents)}
    world.service_s = lambda agent: draw(number_by_agent[agent])
    start = world.world.now
    arrival_times = arrivals(load)
    for number, at in enumerate(arrival_times):
        call_id = f"c{number}"
        request_id = call_id if rng.random() < load.unrepeatable_fraction else ""
        entry = world.entries[number % load.entries]
        world.call_at(
            at, entry, call_id, request_id=request_id, within_s=REQUEST_TIMEOUT_S
        )
    world.run(load.seconds + 2 * REQUEST_TIMEOUT_S)
    answers = [
        Answer(
            arrived_at=arrival_times[int(call_id[1:])], ended_at=answer[0][0] - start
        )
        for call_id, answer in world.answers.items()
        if isinstance(answer[0][1], AnswerCall)
    ]
    return summarize(name, load, answers)


def format_result(result: Result) -> str:
    """Return a result as one line."""
    return (
        f"{result.name:<20} offered {result.offered_per_s:6.0f}/s"
        f" useful {result.useful_per_s:6.0f}/s"
        f" p50 {result.p50_s * 1e3:7.1f} ms p99 {result.p99_s * 1e3:7.1f} ms"
    )


POLICIES: tuple[tuple[str, Callable[[str, Load], Result]], ...] = (
    ("random", run_baseline),
    ("least connections", run_baseline),
    ("router", run_router),
)
LOAD_RATES = (0.5, 1.0, 2.0, 5.0)


def return_false(*_: object) -> bool:
    """Stand in for a condition that is switched off."""
    return False


def oldest_first(name: str, load: Load) -> Result:
    """Run the router without load shedding, and always serve the oldest call first."""
    with (
        mock.patch.object(route_queue, "is_standing_queue", return_false),
        mock.patch.object(route_shed, "MIN_QUEUE_LIMIT", sys.maxsize),
        mock.patch.object(route_shed, "MAX_QUEUE_LIMIT", sys.maxsize),
    ):
        return run_router(name, load)


def without_hedges(name: str, load: Load) -> Result:
    """Run the router without hedged attempts."""
    with mock.patch.object(route_calls, "MAX_HEDGE_TOKENS", 0.0):
        return run_router(name, load)


def measure_slow_server(seconds: float, seed: int) -> None:
    """Compare one slow server out of ten with ten healthy ones."""
    print(
        f"one of {SERVER_COUNT} servers {SLOW_FACTOR:.0f} times slower, 0.6x capacity"
    )
    for name, run in POLICIES:
        healthy = run(name, Load(rate=0.6, seconds=seconds, seed=seed))
        slow = run(name, Load(rate=0.6, seconds=seconds, slow_servers=1, seed=seed))
        print(f"  healthy  {format_result(healthy)}")
        print(
            f"  one slow {format_result(slow)}"
            f" p99 ratio {slow.p99_s / healthy.p99_s:.2f}"
        )


def measure_overload(seconds: float, seed: int) -> None:
    """Compare the useful answers for loads from below to above the capacity."""
    print(f"useful answers, capacity {CAPACITY_PER_S:.0f}/s")
    for name, run in (*POLICIES, ("router, oldest first", oldest_first)):
        loads = [Load(rate=rate, seconds=seconds, seed=seed) for rate in LOAD_RATES]
        print_overload(name, [run(name, load) for load in loads])


def measure_shared_servers(seconds: float, seed: int) -> None:
    """Measure overload with claims, and three entries that share the servers."""
    print("useful answers, three entries, half of the calls unrepeatable")
    loads = [
        Load(
            rate=rate, seconds=seconds, seed=seed, entries=3, unrepeatable_fraction=0.5
        )
        for rate in LOAD_RATES
    ]
    print_overload("router", [run_router("router", load) for load in loads])


def print_overload(name: str, results: Sequence[Result]) -> None:
    """Print results and their ratio to the lower of the peak and the offered load."""
    peak = max(result.useful_per_s for result in results)
    for rate, result in zip(LOAD_RATES, results, strict=True):
        fraction = result.useful_per_s / min(peak, result.offered_per_s)
        print(
            f"  {rate:3.1f}x {format_result(result)}"
            f" ratio to peak or offered load {fraction:.2f}"
        )


def measure_hedges(seconds: float, seed: int) -> None:
    """Compare runs with and without hedged attempts if 1 % of the runs stall."""
    print(f"1 % of the runs take {SLOW_FACTOR:.0f} times as long")
    for rate in (0.3, 0.6, 0.8):
        load = Load(rate=rate, seconds=seconds, stalled_fraction=0.01, seed=seed)
        before = without_hedges("without hedges", load)
        after = run_router("router", load)
        print(f"  {rate:3.1f}x {format_result(before)}")
        print(
            f"  {rate:3.1f}x {format_result(after)}"
            f" p99 ratio {after.p99_s / before.p99_s:.2f}"
        )


def main(argv: list[str]) -> None:
    """Run every measurement."""
    del argv
    measure_slow_server(FLAGS.seconds, FLAGS.seed)
    measure_hedges(FLAGS.seconds / 2, FLAGS.seed)
    measure_overload(FLAGS.seconds / 2, FLAGS.seed)
    measure_shared_servers(FLAGS.seconds / 2, FLAGS.seed)


if __name__ == "__main__":
    flags.DEFINE_integer("seed", 1, "Seed of arrivals and service times.")
    flags.DEFINE_float("seconds", 6.0, "Virtual seconds of each run.")
    app.run(main)
