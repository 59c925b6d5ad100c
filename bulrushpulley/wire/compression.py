"""Compresses large messages and rows; small ones are left uncompressed.

Both are MessagePack maps or arrays, whose first byte is never `COMPRESSED_PREFIX`, so
a reader can recognise compressed data. The network connections of entries and of the
store have little bandwidth, and rows and orders of many similar tasks shrink to a
quarter.
"""

from __future__ import annotations

import zlib

# Not the first byte of any MessagePack map or array.
COMPRESSED_PREFIX = b"\x01"
# Below this size, compression saves less than a packet's header.
MIN_BYTES_TO_COMPRESS = 400
# The fastest level; higher ones take twice the time and save a tenth in size.
COMPRESSION_LEVEL = 1
# The progress of a job with the maximum number of tasks has less than a megabyte. The
# bound keeps a malformed row from filling the memory of its readers.
MAX_DECOMPRESSED_BYTES = 4 * 1024 * 1024


def compress(data: bytes) -> bytes:
    """Return the data, compressed if it is large enough."""
    if len(data) < MIN_BYTES_TO_COMPRESS:
        return data
    return COMPRESSED_PREFIX + zlib.compress(data, COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the original data; raises `ValueError` if it cannot be decompressed."""
    if data[:1] != COMPRESSED_PREFIX:
        return data
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data[1:], MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot be decompressed: {error}") from error
    if not inflater.eof:
        raise ValueError(f"is truncated, or larger than {MAX_DECOMPRESSED_BYTES} bytes")
    return plain
