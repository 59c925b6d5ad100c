"""The operators' verbs of the command line.

`run` takes the arguments, of which the first is the verb, and returns the exit code.
`VERBS` lists the verbs.

Example::

    bulrushpulley submit job.json --config operator.toml --wait
"""

from __future__ import annotations

import pathlib
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from urllib.parse import quote

from absl import flags

from bulrushpulley import settings
from bulrushpulley.errors import Problem
from bulrushpulley.exit_codes import ExitCode, exit_code_of
from bulrushpulley.operator_client import Answer, Call, OperatorClient
from bulrushpulley.verb_output import not_in_force_reason, print_answer, print_problems
from bulrushpulley.wire.operator_http import problems_of
from bulrushpulley.wire.records import decode_object, parse_record

DEFAULT_TIMEOUT_S = 10.0
MAX_LONG_POLL_S = 5.0
# Leaves the rest of the time for the answer to arrive.
LONG_POLL_FRACTION = 0.7
MIN_REMAINING_S = 0.1


@dataclass(frozen=True, kw_only=True, slots=True)
class Options:
    """The checked command line of a verb."""

    verb: str
    arguments: tuple[str, ...]
    entries: tuple[str, ...]
    author: str
    timeout_s: float
    wait: bool
    as_json: bool
    revision: int

    @property
    def argument(self) -> str:
        """The argument of a verb that takes exactly one."""
        return self.arguments[0]


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "config",
        None,
        "Settings file of role operator; for check, a file to check.",
        flag_values=values,
    )
    flags.DEFINE_multi_string(
        "entry", [], "URL of an entry; may be repeated.", flag_values=values
    )
    flags.DEFINE_string(
        "author", None, "Name recorded as the author of the change.", flag_values=values
    )
    flags.DEFINE_float(
        "timeout",
        None,
        "Time limit of the verb in seconds.",
        0.1,
        3_600.0,
        flag_values=values,
    )
    flags.DEFINE_bool(
        "wait",
        False,
        "Wait until the change is in force everywhere.",
        flag_values=values,
    )
    flags.DEFINE_bool("json", False, "Print the answer as JSON.", flag_values=values)
    flags.DEFINE_integer(
        "revision",
        0,
        "Change the record only if it is at this revision.",
        0,
        flag_values=values,
    )


def parse(argv: list[str]) -> Options:
    """Read the command line; raises `flags.Error` or a group of problems."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    _define_flags(values)
    arguments = tuple(values(argv, known_only=False)[1:])
    verb = argv[0]
    counts = VERB_BY_NAME[verb].argument_counts
    if len(arguments) not in counts:
        expected = " or ".join(str(count) for count in counts[:2])
        raise flags.Error(f"{verb} takes {expected} argument(s), not {len(arguments)}")
    client_settings = None
    if values.config is not None and verb != "check":
        path = pathlib.Path(values.config)
        client_settings = settings.load(settings.OperatorClientSettings, path)
    entries = tuple(values.entry) or (
        client_settings.entries if client_settings else ()
    )
    if not entries and verb != "check":
        raise flags.Error("give --config with a file of role operator, or --entry")
    if verb == "check" and values.config is not None:
        arguments = (*arguments, values.config)
    return Options(
        verb=verb,
        arguments=arguments,
        entries=entries,
        author=values.author
        or (client_settings.author if client_settings else "operator"),
        timeout_s=values.timeout
        or (client_settings.timeout_s if client_settings else DEFAULT_TIMEOUT_S),
        wait=values.wait,
        as_json=values.json,
        revision=values.revision,
    )


def run(argv: list[str]) -> int:
    """Carry out the verb ``argv[0]`` with its arguments and return the exit code."""
    try:
        options = parse(argv)
        return VERB_BY_NAME[options.verb].run(options)
    except flags.Error as error:
        print(f"{argv[0]}: {error}", file=sys.stderr)
        return ExitCode.BAD_INPUT
    except Exception as error:
        problems = problems_of(error)
        print_problems(problems)
        return exit_code_of([problem.code.value for problem in problems])


def _check(options: Options) -> int:
    """Check files of settings and records without contacting an entry."""
    found: list[Problem] = []
    for name in options.arguments:
        try:
            _check_file(pathlib.Path(name))
        except Exception as error:
            found.extend(problems_of(error))
        else:
            print(f"{name}: good")
    print_problems(tuple(found))
    return ExitCode.BAD_INPUT if found else ExitCode.OK


def _check_file(path: pathlib.Path) -> None:
    if path.suffix == ".toml":
        settings.load_any(path)
    else:
        parse_record(decode_object(path.read_bytes(), peer=str(path)), peer=str(path))


def _submit(options: Options) -> int:
    body = _record_body(options)
    call = Call(method="POST", path="/v1/records", query={}, body=body, repeatable=True)
    return _send_change(options, call)


def _amend(options: Options) -> int:
    body = _record_body(options)
    parsed = parse_record(decode_object(body, peer=options.argument), peer="self")
    query = f"?revision={options.revision}"
    path = f"/v1/records/{parsed.kind}/{parsed.record.name}{query}"
    repeatable = options.revision > 0
    return _send_change(
        options,
        Call(method="PUT", path=path, query={}, body=body, repeatable=repeatable),
    )


def _record_body(options: Options) -> bytes:
    path = pathlib.Path(options.argument)
    body = path.read_bytes()
    parse_record(decode_object(body, peer=str(path)), peer=str(path))
    return body


def _cancel(options: Options) -> int:
    path = f"/v1/jobs/{quote(options.argument, safe='')}/cancel"
    return _send_change(
        options, Call(method="POST", path=path, query={}, repeatable=True)
    )


def _change_domain(options: Options) -> int:
    name = quote(options.argument, safe="")
    path = f"/v1/failure-domains/{name}/{options.verb}?revision={options.revision}"
    repeatable = options.revision > 0
    return _send_change(
        options, Call(method="POST", path=path, query={}, repeatable=repeatable)
    )


def _status(options: Options) -> int:
    query = {"job": options.argument} if options.arguments else {}
    return _send_query(options, Call(method="GET", path="/v1/status", query=query))


def _explain(options: Options) -> int:
    job, slash, index = options.argument.partition("/")
    path = f"/v1/explain/{quote(job, safe='')}"
    if slash:
        path += f"/{quote(index, safe='')}"
    return _send_query(options, Call(method="GET", path=path, query={}))


def _send_query(options: Options, call: Call) -> int:
    client = OperatorClient(entries=options.entries, author=options.author)
    query_call = Call(
        method=call.method, path=call.path, query=call.query, repeatable=True
    )
    answer = client.call(query_call, options.timeout_s)
    print_answer(options.verb, answer, as_json=options.as_json)
    return exit_code_of(answer.codes)


def _send_change(options: Options, call: Call) -> int:
    deadline = time.monotonic() + options.timeout_s
    client = OperatorClient(entries=options.entries, author=options.author)
    answer = client.call(call, options.timeout_s)
    if answer.codes or not options.wait:
        print_answer(options.verb, answer, as_json=options.as_json)
        return exit_code_of(answer.codes)
    in_force_answer = _wait_until_in_force(
        client, int(answer.value["revision"]), deadline
    )
    in_force = bool(
        in_force_answer is not None and in_force_answer.value.get("everywhere")
    )
    print_answer(options.verb, answer, as_json=options.as_json, in_force=in_force)
    if in_force:
        return ExitCode.OK
    print(not_in_force_reason(in_force_answer), file=sys.stderr)
    return ExitCode.NOT_IN_FORCE


def _wait_until_in_force(
    client: OperatorClient, revision: int, deadline: float
) -> Answer | None:
    """Long-poll the entries until the revision is in force or the time is up.

    A failed poll ends the wait. Returns the last answer without problems, otherwise
    the failure, or None if no time was left to ask.
    """
    last: Answer | None = None
    while (remaining_s := deadline - time.monotonic()) > MIN_REMAINING_S:
        wait_s = min(remaining_s * LONG_POLL_FRACTION, MAX_LONG_POLL_S)
        call = Call(
            method="GET",
            path=f"/v1/in-force/{revision}",
            query={"wait_s": f"{wait_s:.3f}"},
            repeatable=True,
        )
        answer = client.call(call, remaining_s)
        if answer.codes:
            return last or answer
        last = answer
        if answer.value.get("everywhere"):
            break
    return last


@dataclass(frozen=True, kw_only=True, slots=True)
class Verb:
    """A verb: the function that carries it out and how many arguments it takes."""

    run: Callable[[Options], int]
    argument_counts: range = range(1, 2)


VERB_BY_NAME: Mapping[str, Verb] = {
    "check": Verb(run=_check, argument_counts=range(1_000)),
    "submit": Verb(run=_submit),
    "amend": Verb(run=_amend),
    "cancel": Verb(run=_cancel),
    "status": Verb(run=_status, argument_counts=range(2)),
    "explain": Verb(run=_explain),
    "drain": Verb(run=_change_domain),
    "restore": Verb(run=_change_domain),
}
VERBS = tuple(VERB_BY_NAME)
