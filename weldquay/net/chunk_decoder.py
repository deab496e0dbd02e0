"""Decoding of complete chunks of a chunked HTTP/1.1 body, without I/O.

It exists for its speed: h11 takes as long for a chunk of one byte as for one of many kilobytes.
Source: RFC 9112, section 7.1.
"""

from __future__ import annotations

import re
from functools import lru_cache

CRLF = b"\r\n"
# Group 1: the size in hexadecimal.  Possessive, since backtracking would take quadratic time.
CHUNK_HEAD = re.compile(rb"([0-9A-Fa-f]{1,20}+)(?:;[^\r\n]*+)?+[ \t]*+\r\n")
SHORT_HEAD_BYTES = 3  # one hexadecimal digit and CRLF


def decode_chunks(data: bytearray, start: int = 0) -> tuple[bytearray, int]:
    """Decode the complete chunks at the start of data, except the last chunk of a body, which is empty.

    Args:
        data: the received bytes.
        start: the offset of the first chunk.

    Returns:
        The body, and the offset of the first chunk that is incomplete, empty or malformed.
    """
    body = bytearray()
    previous_head = b""
    while (match := CHUNK_HEAD.match(data, start)) is not None:
        size = int(match[1], 16)
        data_start = match.end()
        data_end = data_start + size
        if not size or data[data_end : data_end + len(CRLF)] != CRLF:
            break
        head = match[0]
        if head == previous_head and len(head) == SHORT_HEAD_BYTES:
            start = _decode_equal_chunks(data, start, bytes(head), size, body)
        else:
            body += data[data_start:data_end]
            start = data_end + len(CRLF)
        previous_head = head
    return body, start


def _decode_equal_chunks(data: bytearray, start: int, head: bytes, size: int, body: bytearray) -> int:
    """Decode a run of short chunks with the same head, append them to body, and return the end of the run."""
    match = _equal_chunks_pattern(head, size).match(data, start)
    assert match is not None  # the caller has found one such chunk
    run = match[0]
    chunk_length = len(head) + size + len(CRLF)
    decoded = bytearray(len(run) // chunk_length * size)
    for offset in range(size):
        decoded[offset::size] = run[len(head) + offset :: chunk_length]
    body += decoded
    return match.end()


@lru_cache(maxsize=32)  # there are 21 heads of one non-zero digit
def _equal_chunks_pattern(head: bytes, size: int) -> re.Pattern[bytes]:
    """Return a pattern for one or more chunks with this head, which does not backtrack."""
    return re.compile(rb"(?:%b[\s\S]{%d}\r\n)++" % (head, size))
