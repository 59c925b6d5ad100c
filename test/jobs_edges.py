"""Jobs at the edges of the platform's schema, drawn from a seed, on a simulated site.

Each field of a job, of its steps and of its queue is left out, 0, 1, usual, tiny or
huge. The jobs are submitted beside work that fills the hosts, the loss of the owner and
a crash of a backend server. The next owner also reads rows with such fields that nobody
has submitted. No role may raise an exception: what is stored would end each owner of
the shard in turn. Jobs that are submitted later have to complete in time, and what the
roles send and store has to be readable.
`python -m test.jobs_edges --seeds A-B` plays many seeds; `PYTHONPATH` names the root.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from bulrushpulley.entities.jobs.calls import CancelCall, JobAccepted
from bulrushpulley.entities.jobs.configuration import (
    Configuration,
    Queue,
    WaveOrder,
)
from bulrushpulley.entities.jobs.items import JobItem
from bulrushpulley.entities.jobs.rows import (
    BacklogRow,
    HarmEstimate,
    HarmsRow,
    HostRow,
    JobRow,
    JobState,
    ProgressRow,
    Row,
    RowKey,
    TaskProgress,
    WaveRow,
)
from bulrushpulley.entities.jobs.runs import RunEnd, RunRef
from bulrushpulley.entities.jobs.spec import JobSpec
from bulrushpulley.entities.link import Send
from bulrushpulley.entities.resources import Resources
from bulrushpulley.entities.step import Command
from bulrushpulley.errors import BulrushpulleyError, describe_error
from bulrushpulley.platform.executor import MAX_SERVER_CAPACITY
from bulrushpulley.platform.job_bodies import decode_job
from bulrushpulley.platform.order_rows import CONFIG_KEY, decode_order
from bulrushpulley.wire.job_items import decode_job_item, encode_job_item
from test.jobs_world import CAPACITY, QUEUE, JobsWorld, step

HUGE = 2**53
# A time divided by a span of so many milliseconds, in seconds, is infinite.
TINY = 1e-305
ENTRIES = 2
HOSTS = 3
DRAWN_JOBS = 8
STARTUP_S = 2.0
SUBMIT_INTERVAL_S = 0.4
OWNER_LOST_AT_S = 2.5
SERVER_CRASHES_AT_S = 4.5
SERVER_DOWN_S = 1.0
DRAWN_FOR_S = 9.0
# A lost owner, the leases of its runs and a crowded site may delay a job for so long.
MAX_COMPLETION_S = 20.0
LASTING_PAYLOAD = "1000.0"
LAST_JOB = 900
FIRST_STORED_JOB = 0xA00
STORED_JOBS = 3
# The edges of a field by the form of its values; None leaves it out.
COUNTS = (1, 1, 2, 4, 7)
AMOUNTS = (None, None, 0, 1, 500, 4_000, 4_001, HUGE)
LIMITS = (None, None, 0, 1, 2, HUGE)
SPANS_MS = (None, 0, TINY, 1, 900, HUGE)
FLAGS = (None, None, None, False, True)
LABELS = (None, None, None, "", "a", "b")
NUMBERS = (0, 1, 2, HUGE)
RACKS = (None, None, "", "rack-z0-0", "rack-none")
IMAGES = (None, None, "", "x", "y")
# Announcements without processors or memory are refused, but an agent of an earlier
# version may report them.
CAPACITIES = (
    CAPACITY,
    Resources(),
    Resources(processors_m=1, memory_mb=1, accelerators=1),
    Resources(processors_m=4_000),
    Resources(memory_mb=8_000),
    MAX_SERVER_CAPACITY,
)
PAYLOADS = ("0.2", "1.0", "3.0", "poison")


@dataclass(frozen=True, kw_only=True, slots=True)
class Edges:
    """What is drawn: jobs, their queue, the capacity of a host, measures and a wave.

    `rows` are stored as if earlier owners and agents had written them.
    """

    specs: tuple[JobSpec, ...]
    queue: Queue
    capacity: Resources
    measure: int
    wave: WaveOrder | None
    rows: tuple[Row, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class EdgeResult:
    """The result of a seed: the problems found, and how many jobs were accepted."""

    problems: tuple[str, ...]
    accepted: int


def _fields(draw: random.Random, edges: Mapping[str, Sequence[Any]]) -> dict[str, Any]:
    drawn = {name: draw.choice(values) for name, values in edges.items()}
    return {name: value for name, value in drawn.items() if value is not None}


STEP_EDGES: Mapping[str, Sequence[Any]] = {
    "Count": COUNTS,
    "Cpu": AMOUNTS,
    "MemMb": AMOUNTS,
    "Gpu": (None, None, None, None, None, 0, 1, HUGE),
    "EstimateMs": SPANS_MS,
    "Gang": FLAGS,
    "RackLocal": FLAGS,
    "Constraints": LABELS,
    "Affinity": RACKS,
    "AntiAffinity": LIMITS,
    "Checkpointing": FLAGS,
    "Speculative": FLAGS,
    "LongRunning": FLAGS,
    "Image": IMAGES,
    "TargetMs": (None, None, 0, TINY, 1, 100, HUGE),
    "Utilization": FLAGS,
    "MaxUnavailable": LIMITS,
}
TIME_EDGES: Mapping[str, Sequence[Any]] = {
    "RepeatCount": (1, 2, 3),
    # The virtual time is a few minutes since 1970.
    "StartAtMs": (None, 0, TINY, 1, 101_000, 106_000, HUGE),
    "IntervalMs": (None, 0, TINY, 1, 1_500, HUGE),
}
QUEUE_EDGES: Mapping[str, Sequence[Any]] = {
    "Priority": (None, 0, 1, HUGE),
    "MaxAttempts": (None, 0, 1, 3, HUGE),
    "LatencyFactor": (None, 0, TINY, 1.5, HUGE),
    "TargetLatencyMs": SPANS_MS,
    "TimeoutMs": (3_000,),
}
ADVICE_EDGES: Mapping[str, Sequence[Any]] = {
    "DecisionMs": SPANS_MS,
    "PerItemMs": SPANS_MS,
    "ValidityMs": (None, 0, TINY, 1, 5_000, HUGE),
}
WAVE_EDGES: Mapping[str, Sequence[Any]] = {
    "Machines": (None, [], ["m-z0-0"], ["m-z0-0", "m-z0-0"], ["m-z1-1", "m-none"]),
    "DurationS": (None, 0, TINY, 1, 20, HUGE),
    "MaxCount": (None, 0, 1, 2, HUGE),
}


def draw_body(draw: random.Random) -> dict[str, Any]:
    """Return the body of a submission."""
    steps = []
    for position in range(draw.choice((1, 1, 2, 3))):
        fields = _fields(draw, STEP_EDGES)
        if position:
            numbers = range(position)
            fields["After"] = draw.choices(numbers, k=draw.randint(0, 3))
        steps.append(fields)
    times = _fields(draw, TIME_EDGES) if draw.random() < 0.3 else {}
    return {"Spec": draw.choice(PAYLOADS), "Steps": steps, **times}


def draw_queue(draw: random.Random) -> Queue:
    """Return a queue with drawn settings, as it is read from the configuration."""
    route = {
        "Name": "r-edge",
        "Host": QUEUE.authority,
        "PathPrefix": "/edge/",
        "Service": QUEUE.service,
        **_fields(draw, QUEUE_EDGES),
    }
    if draw.random() < 0.3:
        route["Recommendation"] = _fields(draw, ADVICE_EDGES)
    body = json.dumps({"Version": 1, "Routes": [route]}).encode()
    configuration = decode_order(CONFIG_KEY, body)
    assert isinstance(configuration, Configuration)
    return configuration.queues[0]


def decoded(body: Mapping[str, Any]) -> JobSpec | None:
    """Return the spec of a submission; None if it is rejected as malformed."""
    try:
        return decode_job(json.dumps(body).encode())
    except BulrushpulleyError:
        return None


def draw_wave(draw: random.Random) -> WaveOrder | None:
    """Return a wave of upkeep as it is read from its order, or none."""
    if draw.random() < 0.7:
        return None
    body = json.dumps({"MaintenanceWave": 1, **_fields(draw, WAVE_EDGES)}).encode()
    order = decode_order("wave/1", body)
    assert isinstance(order, WaveOrder)
    return order


def draw_rows(draw: random.Random) -> tuple[Row, ...]:
    """Return rows of jobs that nobody has submitted, and of what concerns all jobs."""
    rows: list[Row] = []
    for number in range(STORED_JOBS):
        job_id = f"{FIRST_STORED_JOB + number:016x}"
        spec = decoded(draw_body(draw))
        if spec is not None:
            rows.extend(
                (_draw_job_row(draw, job_id, spec), _draw_progress(draw, job_id))
            )
    end = RunEnd(
        number=draw.choice(NUMBERS),
        task_id=draw.choice(("", "x", f"{FIRST_STORED_JOB:016x}.0.0.0")),
        run=draw.choice(NUMBERS),
        how=draw.choice(("", "done", "failed")),
        age_s=float(draw.choice(NUMBERS)),
    )
    estimate = HarmEstimate(
        serving=draw.choice(("", "x")),
        filling=draw.choice(("", "y")),
        estimate_ms=draw.choice((0.0, TINY, -50.0, float(HUGE))),
        variance=draw.choice((0.0, TINY, 1.0, float(HUGE))),
    )
    targets = (("x", draw.choice((0.0, TINY, 100.0, float(HUGE)))),)
    rows += (
        HostRow(
            host="z0-0",
            address="z0-0",
            failure_domain=draw.choice(("", "z0")),
            region="",
            life=draw.choice(("", "i-z0-0-1/1")),
            ends=(end,),
            epoch=draw.choice(NUMBERS),
            adoption=draw.choice(NUMBERS),
            runs=(RunRef(task_id=end.task_id, run=end.run),),
        ),
        HarmsRow(estimates=(estimate,), target_by_image=targets),
        WaveRow(number=1, ordered=draw.choice(((), ("m-z0-0",), ("m-none",)))),
        BacklogRow(waiting=(("r-edge", draw.choice(NUMBERS)),)),
    )
    return tuple(rows)


def _draw_job_row(draw: random.Random, job_id: str, spec: JobSpec) -> JobRow:
    return JobRow(
        job_id=job_id,
        queue=draw.choice(("", "r-edge", "r-none")),
        service=draw.choice(("", QUEUE.service)),
        priority=draw.choice(NUMBERS),
        max_attempts=draw.choice(NUMBERS),
        latency_factor=float(draw.choice(NUMBERS)),
        target_latency_s=float(draw.choice(NUMBERS)),
        accepted_at_s=float(draw.choice(NUMBERS)),
        spec=spec,
    )


def _draw_progress(draw: random.Random, job_id: str) -> ProgressRow:
    tasks = tuple(
        TaskProgress(
            occurrence=draw.choice(NUMBERS),
            step=draw.choice(NUMBERS),
            index=draw.choice(NUMBERS),
            done=draw.random() < 0.3,
            run=draw.choice(NUMBERS),
            failures=draw.choice(NUMBERS),
            host=draw.choice(("", "z0-0", "z9-9")),
            life=draw.choice(("", "i-z0-0-1/1")),
            checkpoint=draw.choice(("", "1")),
        )
        for _ in range(draw.randint(0, 3))
    )
    return ProgressRow(
        job_id=job_id,
        state=draw.choice(list(JobState)),
        tasks=tasks,
        ended_at_s=float(draw.choice(NUMBERS)),
        started=draw.random() < 0.5,
        page=draw.choice((0, 0, 0, 1, HUGE)),
        pages=draw.choice((1, 1, 1, 2, HUGE)),
        done_occurrences=draw.choice((0, 0, 1, HUGE)),
    )


def draw_edges(seed: int) -> Edges:
    """Return what is played for a seed."""
    draw = random.Random(seed)
    specs = [spec for _ in range(DRAWN_JOBS) if (spec := decoded(draw_body(draw)))]
    return Edges(
        specs=tuple(specs),
        queue=draw_queue(draw),
        capacity=draw.choice(CAPACITIES),
        measure=draw.choice((50, 50, 0, 1, HUGE)),
        wave=draw_wave(draw),
        rows=draw_rows(draw),
    )


def play_seed(seed: int) -> EdgeResult:
    """Submit the jobs of a seed beside work that fills the hosts, then usual jobs."""
    world = JobsWorld(entries=ENTRIES, hosts=HOSTS)
    problems: list[str] = []
    world.hook = partial(_check_encoding, problems)
    accepted = 0
    try:
        accepted = _play_drawn(world, draw_edges(seed))
        problems.extend(_play_usual(world))
    except Exception as error:
        problems.append(f"a role failed: {describe_error(error)}")
    # What is stored of a job that nobody has submitted may say that it has run.
    stored = tuple(f"{FIRST_STORED_JOB + each:016x}" for each in range(STORED_JOBS))
    problems.extend(
        each for each in world.violations if not any(job in each for job in stored)
    )
    problems.extend(
        f"unreadable row: {problem}"
        for problem in world.store.problems
        if not any(job in str(problem) for job in stored)
    )
    return EdgeResult(problems=tuple(problems), accepted=accepted)


def _check_encoding(problems: list[str], command: Command) -> None:
    """Check that a peer can read an item; some numbers are sent in rounded form."""
    if not isinstance(command, Send) or not isinstance(command.item, JobItem):
        return
    read = _sent(command.item)
    if read is None or _sent(read) != read:
        problems.append(f"is read as another item: {command.item}")


def _sent(item: JobItem) -> JobItem | None:
    return decode_job_item(encode_job_item(item), item.peer)


def _lose_owner(world: JobsWorld, rows: Iterable[Row]) -> None:
    """Kill the owner, and store rows that the next one has to read."""
    for row in rows:
        if isinstance(row, JobRow):
            world.spec_by_job[row.job_id] = row.spec
    world.store.put(*rows)
    world.restart(world.owner() or "entry-0")


def _order_wave(world: JobsWorld, wave: WaveOrder) -> None:
    world.machines.limit_by_wave[wave.number] = wave.at_once
    key = RowKey(table="op", part="", key=f"wave/{wave.number}")
    world.store.put(key=key, order=wave)


def _play_drawn(world: JobsWorld, edges: Edges) -> int:
    """Submit the drawn jobs, and return how many were accepted."""
    queue = edges.queue
    world.configure(QUEUE, queue)
    for executor in world.executor_by_host.values():
        executor.measure = edges.measure
    world.executor_by_host["z2-2"].capacity = edges.capacity
    world.run(STARTUP_S)
    begun_at = world.now
    serving = step(HOSTS, lasting=True, image="x", latency_target_ms=100.0)
    lasting = step(HOSTS * 2, lasting=True)
    filling = step(HOSTS, lasting=True, image="y", fills=True)
    world.submit(1, serving, lasting, filling, payload=LASTING_PAYLOAD)
    world.at(OWNER_LOST_AT_S, lambda: _lose_owner(world, edges.rows))
    crashing = world.executor_by_host["z1-1"]
    world.at(SERVER_CRASHES_AT_S, crashing.crash)
    world.at(SERVER_CRASHES_AT_S + SERVER_DOWN_S, lambda: crashing.restart(world.now))
    if edges.wave is not None:
        _order_wave(world, edges.wave)
    for number, spec in enumerate(edges.specs, start=2):
        world.run(SUBMIT_INTERVAL_S)
        world.submit_spec(number, spec, queue=queue, entry=f"entry-{number % ENTRIES}")
    world.run(DRAWN_FOR_S - (world.now - begun_at))
    count = len(edges.specs)
    answers = [world.answer_to(f"submit-{number + 2}") for number in range(count)]
    accepted = [each for each in answers if isinstance(each, JobAccepted)]
    for number, job_id in enumerate(list(world.spec_by_job)):
        _cancel(world, job_id, queue if number else QUEUE)
    return len(accepted)


def _cancel(world: JobsWorld, job_id: str, queue: Queue) -> None:
    call = CancelCall(
        call_id=f"cancel-{job_id}",
        authority=queue.authority,
        path=f"{queue.path_prefix}{job_id}",
        within_s=3.0,
        received_at_s=world.now,
    )
    world.tell(world.process_by_name["entry-0"], "intake", call)


def _play_usual(world: JobsWorld) -> list[str]:
    """Submit jobs as usual, and return which of them do not complete."""
    jobs = [world.submit(LAST_JOB + number, step(2)) for number in range(3)]
    world.run(MAX_COMPLETION_S)
    return [
        f"{job_id} is {world.state_of(job_id)}"
        for job_id in jobs
        if world.state_of(job_id) is not JobState.COMPLETED
    ]


def main() -> int:
    """Play the seeds that the arguments name, and print what failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="0-99", help="first and last seed, as A-B")
    first, _, last = parser.parse_args().seeds.partition("-")
    failed = accepted = 0
    for seed in range(int(first), int(last or first) + 1):
        result = play_seed(seed)
        accepted += result.accepted
        failed += bool(result.problems)
        for problem in result.problems[:3]:
            print(f"seed {seed}: {problem}")
    print(f"{failed} seeds failed, {accepted} drawn jobs were accepted")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
