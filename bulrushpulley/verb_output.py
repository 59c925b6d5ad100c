"""Prints the answers that the operators' verbs get."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from bulrushpulley.errors import Problem
from bulrushpulley.operator_client import Answer

STATUS_LIST_KEYS = ("failure_domains", "members", "agents", "cells", "services", "jobs")


def print_problems(problems: Iterable[Problem]) -> None:
    """Print problems on standard error, one per line."""
    for problem in problems:
        print(problem, file=sys.stderr)


def print_answer(
    verb: str, answer: Answer, *, as_json: bool, in_force: bool | None = None
) -> None:
    """Print an answer as JSON, or as text with its problems on standard error."""
    value = dict(answer.value)
    if in_force is not None:
        value["in_force"] = in_force
    if as_json:
        print(msgspec.json.encode(value).decode())
        return
    for problem in answer.problems:
        print(_problem_line(problem), file=sys.stderr)
    if answer.problems:
        return
    lines = _LINES_BY_VERB.get(verb, _change_lines)(value)
    print("\n".join(lines))


def not_in_force_reason(in_force_answer: Answer | None) -> str:
    """Return the reason why a revision was not seen in force everywhere."""
    if in_force_answer is None:
        return "not in force everywhere: timed out before asking"
    if in_force_answer.problems:
        return _problem_line(in_force_answer.problems[0])
    missing = ", ".join(in_force_answer.value.get("missing", ()))
    return f"not in force everywhere yet; missing: {missing}"


def _problem_line(problem: Mapping[str, Any]) -> str:
    field = f" field {problem['field']}:" if problem.get("field") else ""
    where = f"{problem.get('step', '')} ({problem.get('peer', '')})"
    return f"{problem.get('code', '')} at {where}:{field} {problem.get('detail', '')}"


def _change_lines(value: Mapping[str, Any]) -> list[str]:
    line = f"accepted {value['kind']}/{value['name']} at revision {value['revision']}"
    if value.get("in_force"):
        line += ", in force everywhere"
    return [line]


def _explain_lines(value: Mapping[str, Any]) -> list[str]:
    if "tasks" in value:
        return _explain_job_lines(value)
    line = f"{value['task_id']}: {value['state']}, {value['detail']}"
    if value.get("cell"):
        line += f" (cell {value['cell']}, worker {value['worker_id'] or 'none'})"
    return [line]


def _explain_job_lines(value: Mapping[str, Any]) -> list[str]:
    lines = [
        f"{value['job_id']} of {value['queue']}: {value['state']}, {value['detail']};"
        f" {value['done']} tasks done, {len(value['tasks'])} not"
    ]
    for task in value["tasks"]:
        line = f"  {task['task_id']}#{task['run']}: {task['state']}"
        line += f" for {task['for_s']:.1f} s"
        if task["host"]:
            line += f" on {task['host']}"
        if task["failures"]:
            line += f", failed {task['failures']} times"
        if task["detail"]:
            line += f"; {task['detail']}"
        lines.append(line)
    return lines


def _status_lines(value: Mapping[str, Any]) -> list[str]:
    lines = [f"revision {value['revision']}"]
    for key in STATUS_LIST_KEYS:
        lines.append(f"{key.replace('_', ' ')}:")
        lines.extend(f"  {_row_line(row)}" for row in value[key])
    if value["incomplete"]:
        lines.append(f"incomplete: {value['incomplete']}")
    return lines


def _row_line(row: Mapping[str, Any]) -> str:
    shown = (f"{key}={_plain(value)}" for key, value in row.items() if value != "")
    return " ".join(shown)


def _plain(value: Any) -> str:
    if isinstance(value, dict):
        return "/".join(str(part) for part in value.values())
    return str(value)


_LINES_BY_VERB = {"status": _status_lines, "explain": _explain_lines}
