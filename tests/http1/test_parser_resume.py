"""A new reader continues in the middle of a message as if it had read the whole message."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.http1.chunked_encoding import ChunkState, ChunkTracker
from orchidgap.http1.parser_resume import resume_body, resume_request
from orchidgap.http1.readers import RequestReader, ResponseReader

CHUNKED = b'3;ext="a;b"\r\nabc\r\n1\r\nx\r\n0010\r\n0123456789abcdef\r\n0\r\nT: y\r\n\r\n'
REQUESTS = [
    b"PUT /a/b?q=1 HTTP/1.1\r\nContent-Length: 9\r\nTenant: x \r\n\r\n123456789",
    b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nRequest-Id: 7\r\n\r\n" + CHUNKED,
    b"\r\n\r\nPUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKED,
    b"GET /long/key HTTP/1.0\r\nConnection: keep-alive\r\nRequest-Id: 7\r\n\r\n",
    b"PUT /a HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc",
]
ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n" + b"v" * 30,
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nabcde",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNKED,
    b"HTTP/1.1 103 Early\r\nL: x\r\n\r\nHTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + CHUNKED,
    b"HTTP/1.0 200 OK\r\n\r\nto the end",
]


def feed(reader, text, positions):
    ends = sorted({position % (len(text) + 1) for position in positions} | {0, len(text)})
    for start, end in pairwise(ends):
        reader.feed(memoryview(bytearray(text[start:end])))
    return reader


def parsed_fields(message):
    return (
        message.method,
        message.target,
        message.version,
        message.fields,
        message.body,
        message.complete,
        message.keep_alive,
        message.body_size,
        message.error_status,
    )


POSITIONS = st.lists(st.integers(0, 300), max_size=12)


@given(st.sampled_from(REQUESTS), st.integers(0, 300), POSITIONS, POSITIONS)
def test_request_continues_in_another_reader(text, cut_at, positions_before, positions_after):
    cut_at = cut_at % len(text)
    first = feed(RequestReader(), text[:cut_at], positions_before)
    received_part = resume_request(first.message)
    if first.message.complete:
        assert received_part is None
        return
    assert received_part is not None
    second = feed(
        feed(RequestReader(), received_part, ()) if received_part else RequestReader(),
        text[cut_at:],
        positions_after,
    )
    assert parsed_fields(second.message) == parsed_fields(feed(RequestReader(), text, ()).message)


@given(st.sampled_from(ANSWERS), st.integers(0, 300), POSITIONS, POSITIONS)
def test_answer_continues_in_another_reader(text, cut_at, positions_before, positions_after):
    cut_at = cut_at % len(text)
    first = feed(ResponseReader(), text[:cut_at], positions_before)
    if not first.message.head_complete or first.message.complete:
        assert resume_body(first.message, b"HTTP/1.1 200 OK") is None
        return
    resume_text, placeholder_bytes = resume_body(
        first.message, b"HTTP/%b 200 OK" % first.message.version.encode()
    )
    second = feed(ResponseReader(), resume_text, ())
    assert sum(map(len, second.message.take_body())) == placeholder_bytes
    feed(second, text[cut_at:], positions_after)
    second.on_connection_closed()
    whole = feed(ResponseReader(), text, ())
    whole.on_connection_closed()
    assert first.message.body + second.message.body == whole.message.body
    assert (
        second.message.complete
        and second.message.keep_alive == whole.message.keep_alive
        and not second.message.error_status
    )


@pytest.mark.parametrize("text", [b"zz\r\n", b"\r\n", b"x" * (1 << 14) + b"x"])
def test_position_in_invalid_framing_is_unknown(text):
    tracker = ChunkTracker()
    tracker.feed(text)
    assert tracker.state is ChunkState.UNKNOWN and tracker.resume_text() is None


def test_pipelined_message_in_one_piece_with_another_cannot_be_resumed():
    reader = RequestReader()
    reader.feed(
        memoryview(
            b"GET / HTTP/1.1\r\n\r\nPUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na"
        )
    )
    reader.advance()
    assert reader.message.head_complete and resume_request(reader.message) is None
