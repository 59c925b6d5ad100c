"""Deflates large messages and rows; small ones stay as they are.

Both are MessagePack maps or arrays, whose first byte is never `DEFLATED`, so a reader
can tell without being told. Entries' links and the store's are narrow, and rows and
orders of many alike tasks shrink to a quarter.
"""

from __future__ import annotations

import zlib

# Not the first byte of any MessagePack map or array.
COMPRESSED_PREFIX = b"\x01"
# Below this, deflating saves less than a packet's header.
MIN_BYTES_TO_COMPRESS = 400
# The fastest level; higher ones cost twice the time for a tenth less.
COMPRESSION_LEVEL = 1
# No row or message of ours is larger; a damaged one must not fill the memory.
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024


def compress(data: bytes) -> bytes:
    """Return the data, deflated if that is worth it."""
    if len(data) < MIN_BYTES_TO_COMPRESS:
        return data
    return COMPRESSED_PREFIX + zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return what was packed; raises `ValueError` if it cannot be inflated."""
    if data[:1] != COMPRESSED_PREFIX:
        return data
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data[1:], MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot be inflated: {error}") from error
    if not inflater.eof:
        raise ValueError(f"is cut off, or larger than {MAX_DECOMPRESSED_BYTES} bytes")
    return plain
