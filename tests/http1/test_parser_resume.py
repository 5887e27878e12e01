"""From where a message stands, a fresh reader goes on as if it had read all of it."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.http1.chunked_encoding import ChunkState, ChunkTracker
from orchidgap.http1.parser_resume import resume_body, resume_request
from orchidgap.http1.readers import RequestReader, ResponseReader

CHUNKED = b'3;ext="a;b"\r\nabc\r\n1\r\nx\r\n0010\r\n0123456789abcdef\r\n0\r\nT: y\r\n\r\n'
REQS = [
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


def feed(reader, text, places):
    ends = sorted({place % (len(text) + 1) for place in places} | {0, len(text)})
    for start, end in pairwise(ends):
        reader.feed(memoryview(bytearray(text[start:end])))
    return reader


def told(message):
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


PLACES = st.lists(st.integers(0, 300), max_size=12)


@given(st.sampled_from(REQS), st.integers(0, 300), PLACES, PLACES)
def test_a_req_goes_on_in_another_reader(text, place, before, after):
    place = place % len(text)
    first = feed(RequestReader(), text[:place], before)
    so_far = resume_request(first.message)
    if first.message.complete:
        assert so_far is None
        return
    assert so_far is not None
    second = feed(
        feed(RequestReader(), so_far, ()) if so_far else RequestReader(), text[place:], after
    )
    assert told(second.message) == told(feed(RequestReader(), text, ()).message)


@given(st.sampled_from(ANSWERS), st.integers(0, 300), PLACES, PLACES)
def test_an_answer_goes_on_in_another_reader(text, place, before, after):
    place = place % len(text)
    first = feed(ResponseReader(), text[:place], before)
    if not first.message.head_complete or first.message.complete:
        assert resume_body(first.message, b"HTTP/1.1 200 OK") is None
        return
    so_far, padding = resume_body(first.message, b"HTTP/%b 200 OK" % first.message.version.encode())
    second = feed(ResponseReader(), so_far, ())
    assert sum(map(len, second.message.take_body())) == padding
    feed(second, text[place:], after)
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
def test_what_is_no_framing_is_lost_count_of(text):
    chunks = ChunkTracker()
    chunks.feed(text)
    assert chunks.state is ChunkState.UNKNOWN and chunks.resume_text() is None


def test_a_message_that_shares_its_first_bytes_with_another_is_not_known():
    reader = RequestReader()
    reader.feed(
        memoryview(
            b"GET / HTTP/1.1\r\n\r\nPUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na"
        )
    )
    reader.advance()
    assert reader.message.head_complete and resume_request(reader.message) is None
