"""The errors of decoders for data that another process wrote."""

from __future__ import annotations

import msgspec

# Text that is not UTF-8 or a damaged compression is a value error. Data that is nested
# too deeply ends with a recursion error.
DECODING_ERRORS = (msgspec.MsgspecError, KeyError, ValueError, RecursionError)
