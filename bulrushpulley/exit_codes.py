"""The exit codes of the operators' verbs."""

from __future__ import annotations

import enum
from collections.abc import Mapping

from bulrushpulley.errors import Code


class ExitCode(enum.IntEnum):
    """The codes that scripts may rely on; `docs/RECORDS.md` explains each."""

    OK = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    OUTCOME_UNKNOWN = 5
    NOT_IN_FORCE = 6


EXIT_CODE_BY_ERROR_CODE: Mapping[str, ExitCode] = {
    Code.INVALID.value: ExitCode.BAD_INPUT,
    Code.UNKNOWN_KEY.value: ExitCode.BAD_INPUT,
    Code.UNKNOWN_KIND.value: ExitCode.BAD_INPUT,
    Code.SCHEMA_VERSION.value: ExitCode.BAD_INPUT,
    Code.TOO_LARGE.value: ExitCode.BAD_INPUT,
    Code.NOT_FOUND.value: ExitCode.BAD_INPUT,
    Code.CONFLICT.value: ExitCode.CONFLICT,
    Code.OUTCOME_UNKNOWN.value: ExitCode.OUTCOME_UNKNOWN,
    Code.DEADLINE.value: ExitCode.OUTCOME_UNKNOWN,
}


def exit_code_of(codes: list[str]) -> ExitCode:
    """Return the exit code for the first error code of an answer.

    Error codes without an exit code of their own give `ExitCode.UNAVAILABLE`.
    """
    if not codes:
        return ExitCode.OK
    return EXIT_CODE_BY_ERROR_CODE.get(codes[0], ExitCode.UNAVAILABLE)
