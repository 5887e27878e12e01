"""Framing: any split of the same bytes reads the same; what is ambiguous is turned down."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES
from orchidgap.http1.readers import RequestReader, ResponseReader

REQS = [
    b"GET /a/b HTTP/1.1\r\nRequest-Id: 1\r\n\r\n",
    b"PUT /a/b HTTP/1.1\r\nContent-Length: 5 \t\r\nTenant: x  \r\n\r\nhello",
    b'PUT /a/b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;ext="a;b"\r\nabc\r\n1;x\r\nd\r\n0\r\nTrailer: y\r\n\r\n',
    b"\r\nGET /c HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    b"HEAD /c HTTP/1.1\r\nHost:\ts\r\n\r\n",
]
ANSWERS = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    b"HTTP/1.1 204 No\r\n\r\n",
    b"HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n",
    b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Go\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2;e\r\nab\r\n1\r\nc\r\n0\r\nX: y\r\n\r\n",
    b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\nv",
    b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
]


def cut(text, places):
    ends = sorted({place % (len(text) + 1) for place in places} | {0, len(text)})
    return [text[start:end] for start, end in pairwise(ends)]


def told(message):
    return (
        message.method,
        message.status,
        message.target,
        message.version,
        message.fields,
        message.body,
        message.head_complete,
        message.complete,
        message.keep_alive,
        message.content_length,
        message.error_status,
    )


def reqs_of(pieces):
    reader, found = RequestReader(), []
    for piece in pieces:
        reader.feed(memoryview(bytearray(piece)))
        while reader.message.complete and not reader.message.error_status:
            found.append(told(reader.message))
            reader.advance()
    return found, reader.message.error_status


@given(
    st.lists(st.sampled_from(REQS), min_size=1, max_size=5),
    st.lists(st.integers(0, 1000), max_size=30),
    st.booleans(),
)
def test_reqs_read_the_same_however_they_are_cut(texts, places, bytewise):
    text = b"".join(texts)
    pieces = [text[i : i + 1] for i in range(len(text))] if bytewise else cut(text, places)
    whole = [reqs_of([text])[0][0] for text in texts]
    assert reqs_of(pieces) == (whole, 0)


@given(
    st.lists(st.sampled_from(ANSWERS), min_size=1, max_size=5),
    st.lists(st.integers(0, 1000), max_size=30),
)
def test_answers_read_the_same_however_they_are_cut(texts, places):
    reader = ResponseReader()
    for text in texts:  # one is asked for at a time
        once = ResponseReader()
        once.feed(memoryview(bytearray(text)))
        for piece in cut(text, places):
            reader.feed(memoryview(bytearray(piece)))
        assert (
            told(reader.message) == told(once.message)
            and reader.message.complete
            and not reader.has_excess_data
        )
        reader.reset()


@given(
    st.binary(max_size=300),
    st.lists(st.integers(0, 1000), max_size=10),
    st.sampled_from([*REQS, b""]),
)
def test_noise_is_never_an_exception_and_reads_the_same_however_it_is_cut(noise, places, first):
    text = first + noise
    whole, pieces = RequestReader(), RequestReader()
    whole.feed(memoryview(bytearray(text)))
    for piece in cut(text, places):
        pieces.feed(memoryview(bytearray(piece)))
        if pieces.incoming.error_status:
            break
    said = [
        [told(message)[:4] for message in (reader.message, *reader.pipelined) if message.complete]
        for reader in (whole, pieces)
    ]
    assert said[0] == said[1] and bool(whole.incoming.error_status) == bool(
        pieces.incoming.error_status
    )


HEAD = b"PUT /a/b HTTP/1.1\r\n"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: 3, 3\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: +3\r\n\r\nabc", 400),
        (HEAD + b"Content-Length: 0x3\r\n\r\nabc", 400),
        (HEAD + b"Content-Length:\r\n\r\n", 400),
        (HEAD + b"Content-Length : 3\r\n\r\nabc", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD.replace(b"1.1", b"1.0") + b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n-1\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1 1\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n", 400),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"f" * 17 + b"\r\n", 400),
        (HEAD + b"Host: a\r\nHost: b\r\n\r\n", 400),
        (HEAD + b"A: b\r\n c: d\r\n\r\n", 400),
        (HEAD + b"A\0: b\r\n\r\n", 400),
        (HEAD + b"A: b\nB: c\r\n\r\n", 400),
        (HEAD + b"X: " + b"x" * MAX_HEAD_BYTES, 431),
        (b"GET /" + b"x" * (MAX_HEAD_BYTES + 9), 431),
        (HEAD + b"Content-Length: 99999999\r\n\r\n", 413),
        (
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n1;"
            + b"x" * (MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES),
            413,
        ),
        (
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n0\r\nT: "
            + b"x" * (MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES),
            413,
        ),
    ],
)
@pytest.mark.parametrize("step", [7, 1 << 16])
def test_what_two_readers_could_take_in_two_ways_is_turned_down(text, status, step):
    reader = RequestReader()
    for i in range(0, len(text), step):
        reader.feed(memoryview(bytearray(text[i : i + step])))
        if reader.message.error_status:
            break
    assert reader.message.error_status == status


def test_a_body_in_chunks_of_a_byte_is_no_attack():
    reader = RequestReader()
    reader.feed(
        memoryview(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
        )
    )
    assert (
        reader.message.complete
        and reader.message.body_size == 50_000
        and not reader.message.error_status
    )


def test_a_bare_answer_has_no_body_whatever_its_head_says():
    reader = ResponseReader()
    reader.new_parser(True)
    reader.feed(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"))
    assert (
        reader.message.complete
        and reader.message.keep_alive
        and reader.message.content_length == 7
        and not reader.has_excess_data
    )
    reader.new_parser(False)
    reader.feed(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"))
    assert reader.message.complete and reader.message.body == b"v" and not reader.has_excess_data


@pytest.mark.parametrize(
    ("text", "whole"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\nto the end", True),
        (b"HTTP/1.0 200 OK\r\n\r\n", True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", False),
        (b"HTTP/1.1 200 OK\r\nContent-", False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", False),
        (b"HTTP/1.1 100 Go\r\n\r\n", False),
        (b"", False),
    ],
)
def test_the_end_of_a_connection_ends_only_what_has_no_other_end(text, whole):
    reader = ResponseReader()
    if text:
        reader.feed(memoryview(text))
    assert reader.on_connection_closed() == whole
