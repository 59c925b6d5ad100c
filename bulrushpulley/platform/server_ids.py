"""Checks the ids of backend servers, which become headers of the calls to them."""

from __future__ import annotations

import re

from bulrushpulley.platform.fields import field_error

VISIBLE_ASCII = re.compile(r"[!-~]+")
MAX_SHOWN_CHARACTERS = 100


def check_server_id(server_id: str, step: str) -> str:
    """Return an id; raises `BulrushpulleyError` unless it can be sent as a header."""
    if VISIBLE_ASCII.fullmatch(server_id) is None:
        shown = ascii(server_id[:MAX_SHOWN_CHARACTERS])
        raise field_error(step, "Id", f"{shown} is not visible ASCII text")
    return server_id
