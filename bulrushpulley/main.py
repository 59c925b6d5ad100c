"""The command line: ``bulrushpulley VERB --config FILE.toml``.

The verbs ``entry`` and ``agent``, and ``job-entry`` and ``job-agent`` on the users'
platform, run a process until SIGTERM or SIGINT. The other verbs are for operators.
"""

from __future__ import annotations

import gc
import os
import pathlib
import signal
import sys
import uuid
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from types import FrameType
from typing import Protocol

from absl import flags

from bulrushpulley.errors import Code, Problem
from bulrushpulley.logs import log_process
from bulrushpulley.roles.runtime import Runtime
from bulrushpulley.settings import (
    AgentSettings,
    EntrySettings,
    JobAgentSettings,
    JobEntrySettings,
    load,
)
from bulrushpulley.wire.http_message import problems_in

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2


class Process(Protocol):
    """A process that can be started and stopped."""

    runtime: Runtime

    def start(self) -> None:
        """Start all parts."""

    def stop(self) -> None:
        """Stop gracefully."""


# Allocated objects between collections of the youngest generation, and how many
# collections of each generation precede one of the next.
GC_THRESHOLDS = (20_000, 10, 20)


@dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """The checked command line of a verb that runs a process."""

    verb: str
    config: pathlib.Path


# Each verb imports only its own roles, so that a restarted process serves sooner.


def _make_entry(options: Options) -> Process:
    from bulrushpulley.roles.entry_process import EntryProcess

    settings = load(EntrySettings, options.config)
    return EntryProcess(settings=settings, incarnation=_new_incarnation(settings.name))


def _make_agent(options: Options) -> Process:
    from bulrushpulley.roles.agent_process import AgentProcess

    settings = load(AgentSettings, options.config)
    return AgentProcess(settings=settings, incarnation=_new_incarnation(settings.name))


def _make_job_entry(options: Options) -> Process:
    from bulrushpulley.roles.job_entry_process import JobEntryProcess

    settings = load(JobEntrySettings, options.config)
    return JobEntryProcess(
        settings=settings, incarnation=_new_incarnation(settings.name)
    )


def _make_job_agent(options: Options) -> Process:
    from bulrushpulley.roles.job_agent_process import JobAgentProcess

    settings = load(JobAgentSettings, options.config)
    return JobAgentProcess(
        settings=settings, incarnation=_new_incarnation(settings.name)
    )


def _new_incarnation(name: str) -> str:
    return f"{name}-{uuid.uuid4().hex[:12]}"


PROCESS_FACTORY_BY_VERB: Mapping[str, Callable[[Options], Process]] = {
    "entry": _make_entry,
    "agent": _make_agent,
    "job-entry": _make_job_entry,
    "job-agent": _make_job_agent,
}


def parse(argv: list[str]) -> Options:
    """Read the command line of a process verb; raises `flags.Error`."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_string(
        "config", None, "The settings file in TOML.", flag_values=values, required=True
    )
    rest = values(["bulrushpulley", *argv[1:]])
    if len(rest) > 1:
        raise flags.Error(f"unexpected argument {rest[1]!r}")
    return Options(verb=argv[0], config=pathlib.Path(values.config))


def run_process(process: Process) -> int:
    """Run a process until a signal or a failure; return the exit code.

    A second signal skips the notice period that the first one started.
    """
    runtime = process.runtime

    def stop(signum: int, frame: FrameType | None) -> None:
        if runtime.stopping.is_set():
            runtime.skip_notice.set()
        runtime.stopping.set()

    def reload(signum: int, frame: FrameType | None) -> None:
        # No running part depends on settings that may change, so changes take effect
        # at the next start.
        log_process(
            process=runtime.name,
            stage="reload",
            detail="SIGHUP received; settings are read at the next start",
        )

    signal.signal(signal.SIGHUP, reload)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        process.start()
    except OSError as error:
        print(_start_problem(error), file=sys.stderr)
        return EXIT_FAILED
    runtime.stopping.wait()
    process.stop()
    return EXIT_FAILED if runtime.failed.is_set() else EXIT_OK


def _start_problem(error: OSError) -> Problem:
    return Problem(
        code=Code.UNAVAILABLE, step="process.start", peer="self", detail=str(error)
    )


def main(argv: list[str] | None = None) -> int:
    """Carry out a verb and return the exit code."""
    argv = sys.argv[1:] if argv is None else argv
    if not argv or argv[0] not in PROCESS_FACTORY_BY_VERB:
        return _run_operator_verb(argv)
    return _run_process_verb(argv)


def _run_operator_verb(argv: list[str]) -> int:
    from bulrushpulley import verbs

    if not argv or argv[0] not in verbs.VERBS:
        known = ", ".join([*PROCESS_FACTORY_BY_VERB, *verbs.VERBS])
        print(f"usage: bulrushpulley VERB ...; verbs: {known}", file=sys.stderr)
        return EXIT_USAGE
    return verbs.run(argv)


def _make_process(argv: list[str]) -> Process:
    """Import and construct a process, and set the garbage collector for it.

    Modules and classes live until the end, so that they are not scanned. Rows are
    frozen and seldom in cycles, so that frequent collections would free nothing.
    """
    gc.disable()
    process = PROCESS_FACTORY_BY_VERB[argv[0]](parse(argv))
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()
    return process


def _run_process_verb(argv: list[str]) -> int:
    try:
        process = _make_process(argv)
    except flags.Error as error:
        print(error, file=sys.stderr)
        return EXIT_USAGE
    except ExceptionGroup as errors:
        for problem in problems_in(errors):
            print(problem, file=sys.stderr)
        return EXIT_USAGE
    return run_process(process)


def console() -> None:
    """Run `main` and exit without waiting for the threads of libraries."""
    code = main()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
