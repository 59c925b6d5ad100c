"""A load generator: ``python -m standins.caller --entries URL,URL --service NAME``.

Calls arrive in an open loop with a fixed seed. A call that was refused as not run,
or whose outcome is unknown, is retried with the same id through the next entry
until its deadline. With ``--backend_servers`` the runs of each id are counted
afterwards. Exits with 1 if an unrepeatable call ran twice, a call got a wrong answer,
or a call was refused as not run although it ran.
"""

from __future__ import annotations

import dataclasses
import sys
import threading
import time
from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import msgspec
import urllib3
from absl import app, flags
from urllib3.exceptions import HTTPError

from standins.caller_core import (
    EndedCall,
    Outcome,
    PlannedCall,
    Report,
    outcome_of,
    plan,
    tally,
)

FLAGS = flags.FLAGS
MAX_CONNECTIONS = 64
# The HTTP timeout of an attempt ends this long after the deadline of the call, so
# that an answer sent at the deadline is still received.
CALL_TIMEOUT_MARGIN_S = 1.0
CALL_RETRY_DELAY_S = 0.02
RETRYABLE_OUTCOMES = frozenset({Outcome.REFUSED, Outcome.UNKNOWN})


@dataclass(frozen=True, kw_only=True, slots=True)
class Target:
    """The entries and the service to call, and the limits of each call."""

    entries: tuple[str, ...]
    service: str
    within_s: float
    max_attempts: int
    body_bytes: int


class Caller:
    """Makes the planned calls over pooled connections."""

    def __init__(self, *, target: Target) -> None:
        self._target = target
        self._pool = urllib3.PoolManager(
            num_pools=len(target.entries), maxsize=MAX_CONNECTIONS, retries=False
        )

    def make(self, call: PlannedCall, number: int, due: float) -> EndedCall:
        """Make a call that was due at `due`, with its retries.

        The latency and the deadline count from `due`, even if the call started later.
        """
        deadline = due + self._target.within_s
        body = call.request_id.encode().ljust(self._target.body_bytes, b".")
        outcomes: list[Outcome] = []
        for attempt in range(self._target.max_attempts):
            entry = self._target.entries[(number + attempt) % len(self._target.entries)]
            outcomes.append(self._attempt(entry, call, body, deadline))
            remaining_s = deadline - time.monotonic() - CALL_RETRY_DELAY_S
            if outcomes[-1] not in RETRYABLE_OUTCOMES or remaining_s <= 0:
                break
            threading.Event().wait(CALL_RETRY_DELAY_S)
        return EndedCall(
            call=call,
            outcome=outcomes[-1],
            latency_s=time.monotonic() - due,
            attempts=len(outcomes),
            known_not_run=set(outcomes) == {Outcome.REFUSED},
        )

    def _attempt(
        self, entry: str, call: PlannedCall, body: bytes, deadline: float
    ) -> Outcome:
        within_s = max(0.001, deadline - time.monotonic())
        headers = {
            "Idempotency-Key": call.request_id,
            "X-Repeatable": str(call.repeatable).lower(),
            "X-Deadline-Ms": str(max(1, int(within_s * 1000))),
        }
        url = f"{entry}/v1/call/{self._target.service}"
        try:
            response = self._pool.request(
                "POST",
                url,
                body=body,
                headers=headers,
                timeout=within_s + CALL_TIMEOUT_MARGIN_S,
            )
        except (HTTPError, OSError):
            return Outcome.UNKNOWN
        return outcome_of(response.status, response.data, call, body)


def make_calls(
    caller: Caller, calls: Sequence[PlannedCall], threads: int
) -> list[EndedCall]:
    """Make every call when it is due, even if earlier calls are still in flight."""
    start = time.monotonic()
    waiter = threading.Event()
    with ThreadPoolExecutor(threads) as pool:
        futures = []
        for number, call in enumerate(calls):
            due = start + call.at_s
            waiter.wait(max(0.0, due - time.monotonic()))
            futures.append(pool.submit(caller.make, call, number, due))
        return [future.result() for future in futures]


def count_runs(urls: Sequence[str]) -> Counter[str]:
    """Sum the runs of each id over the backend servers."""
    pool = urllib3.PoolManager()
    run_count_by_id: Counter[str] = Counter()
    for url in urls:
        body = pool.request("GET", f"{url}/v1/runs").data
        run_count_by_id.update(msgspec.json.decode(body, type=dict[str, int]))
    return run_count_by_id


def format_report(report: Report) -> str:
    """Format a report as lines for a terminal."""
    values = dataclasses.asdict(report)
    return "\n".join(f"{name:<15} {value}" for name, value in values.items())


def main(argv: list[str]) -> None:
    """Generate the load given by the flags and print its report."""
    del argv
    target = Target(
        entries=tuple(url.rstrip("/") for url in FLAGS.entries),
        service=FLAGS.service,
        within_s=FLAGS.within_s,
        max_attempts=FLAGS.max_tries,
        body_bytes=FLAGS.body_bytes,
    )
    calls = plan(
        rate=FLAGS.rate,
        seconds=FLAGS.seconds,
        repeatable_fraction=FLAGS.repeatable_share,
        seed=FLAGS.seed,
        id_prefix=FLAGS.id_prefix,
    )
    ended_calls = make_calls(Caller(target=target), calls, FLAGS.threads)
    report = tally(ended_calls, count_runs(FLAGS.backend_servers))
    print(
        msgspec.json.encode(report).decode() if FLAGS.json else format_report(report),
        flush=True,
    )
    sys.exit(1 if report.doubled or report.wrong or report.false_refusals else 0)


if __name__ == "__main__":
    flags.DEFINE_list("entries", [], "Base URLs of the entries.")
    flags.DEFINE_list(
        "backend_servers",
        [],
        "Base URLs of the backend servers whose runs are counted.",
    )
    flags.DEFINE_string("service", "oven-conductor", "The service to call.")
    flags.DEFINE_string(
        "id_prefix", "call", "Prefix of every request id; must differ between loads."
    )
    flags.DEFINE_float("rate", 50.0, "Calls per second.")
    flags.DEFINE_float("seconds", 5.0, "Duration of the load in seconds.")
    flags.DEFINE_float("repeatable_share", 0.7, "Fraction of repeatable requests.")
    flags.DEFINE_float("within_s", 2.0, "Seconds until the deadline of each call.")
    flags.DEFINE_integer("max_tries", 3, "Maximum attempts of each call.")
    flags.DEFINE_integer("body_bytes", 200, "Size of each request body in bytes.")
    flags.DEFINE_integer("threads", 128, "Maximum calls in flight.")
    flags.DEFINE_integer(
        "seed", 1, "Seed of the arrivals and of which calls are repeatable."
    )
    flags.DEFINE_bool("json", False, "Print the report as one JSON line.")
    app.run(main)
