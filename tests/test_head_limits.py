"""Heads of requests: what they hold once they are parsed, and how long the forms that are rejected take."""

from __future__ import annotations

import time
import tracemalloc

import pytest

from example.toy import request
from tests.site import run_scenario, site
from weldquay.limits import MAX_HEAD_LINES, MAX_REASON_LENGTH, MAX_WHITESPACE_RUN
from weldquay.net import http_channel
from weldquay.net.chunk_decoder import decode_chunks
from weldquay.net.http_channel import HttpChannel, Progress, Rejection

HEAD = b"POST /lookup HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: c1\r\nContent-Length: 9\r\n%b\r\n"
HEAD_LINES = 5  # with the blank line
MAX_HELD_BYTES = 32 * 1024  # of objects, for a connection with a parsed head
HEADS = 40
MAX_TIME_S = 2.0  # for all heads; each took over a second


def receive(data: bytes) -> tuple[HttpChannel, Progress | Rejection]:
    """Return a channel that has received the data, and its progress."""
    channel = HttpChannel()
    channel.feed_data(data)
    return channel, channel.advance()


def test_a_head_of_very_many_short_fields_is_rejected() -> None:
    """Each field costs time, and objects many times its size; as many as the limit are allowed."""
    allowed = MAX_HEAD_LINES - HEAD_LINES
    assert receive(HEAD % (b"a:\r\n" * allowed))[1] is Progress.NEED_DATA
    _, progress = receive(HEAD % (b"a:\r\n" * (allowed + 1)))
    assert isinstance(progress, Rejection) and progress.status == 431


def test_a_head_in_pieces_has_the_same_limit() -> None:
    """The lines of all pieces count, also those of the trailers of a chunked body."""
    channel = HttpChannel()
    progress: Progress | Rejection = Progress.NEED_DATA
    for piece in (HEAD[:-4], *[b"a:\r\n"] * MAX_HEAD_LINES):
        assert progress is Progress.NEED_DATA
        channel.feed_data(piece)
        progress = channel.advance()
        if isinstance(progress, Rejection):
            break
    assert isinstance(progress, Rejection) and progress.status == 431
    chunked = b"POST /lookup HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
    _, progress = receive(chunked + b"a:\r\n" * MAX_HEAD_LINES + b"\r\n")
    assert isinstance(progress, Rejection) and progress.status == 431


@pytest.mark.parametrize("field", [b"a:\r\n", b"Accept: b\r\n", b"X-Unused: %b\r\n" % (b"x" * 40)])
def test_a_parsed_head_holds_little_memory(field: bytes) -> None:
    """A client may stop after its head, so the fields that are not used must not stay."""
    count = min(MAX_HEAD_LINES - HEAD_LINES, http_channel.MAX_HEAD_BYTES // len(field) - 50)
    receive(HEAD)  # caches of the first use
    tracemalloc.start()
    channels = [receive(HEAD % (field * count))[0] for _ in range(10)]
    held_bytes = tracemalloc.get_traced_memory()[0] / len(channels)
    tracemalloc.stop()
    assert all(channel.request is not None for channel in channels)
    assert held_bytes < MAX_HELD_BYTES


@pytest.mark.parametrize("end", [b"\0", b"\x7f\n", b"x\0"])
def test_long_white_space_in_a_malformed_field_takes_no_quadratic_time(end: bytes) -> None:
    """It is rejected before h11 matches it, wherever the pieces of the head end."""
    started_at = time.perf_counter()
    white_space = b" \t" * 7000
    for _ in range(HEADS // 2):
        data = HEAD % (b"a:" + white_space + end + b"\r\n")
        channel, progress = receive(data)
        assert isinstance(progress, Rejection) and progress.status == 400
        channel, progress = receive(data[:9000])
        assert progress is Progress.NEED_DATA
        channel.feed_data(data[9000:])
        assert isinstance(progress := channel.advance(), Rejection) and progress.status == 400
    assert time.perf_counter() - started_at < MAX_TIME_S
    short = b" " * MAX_WHITESPACE_RUN
    assert receive(HEAD % (b"a:" + short + b"b" + short + b"\r\n"))[1] is Progress.NEED_DATA


def test_a_long_chunk_extension_takes_no_quadratic_time() -> None:
    """A chunk head without its end is matched anew after each read."""
    started_at = time.perf_counter()
    for _ in range(HEADS):
        assert decode_chunks(bytearray(b"1;" + b" " * 16_000)) == (bytearray(), 0)
    assert time.perf_counter() - started_at < MAX_TIME_S


def test_the_response_to_a_long_malformed_line_is_short() -> None:
    """The connection holds the response until its client has read it."""

    async def scenario() -> None:
        async with site() as test_site:
            response = await request(test_site.address, HEAD % (b"\0" * 15_000 + b"\r\n"))
            assert response.status == 400 and len(response.body) <= MAX_REASON_LENGTH

    run_scenario(scenario())
