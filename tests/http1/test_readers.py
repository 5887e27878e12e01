"""Readers: the same bytes give the same messages however they are split; ambiguous framing fails."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES, MAX_HEAD_BYTES
from orchidgap.http1.readers import RequestReader, ResponseReader

REQUESTS = [
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


def split_at(text, positions):
    ends = sorted({position % (len(text) + 1) for position in positions} | {0, len(text)})
    return [text[start:end] for start, end in pairwise(ends)]


def parsed_fields(message):
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


def read_requests(pieces):
    reader, found = RequestReader(), []
    for piece in pieces:
        reader.feed(memoryview(bytearray(piece)))
        while reader.message.complete and not reader.message.error_status:
            found.append(parsed_fields(reader.message))
            reader.advance()
    return found, reader.message.error_status


@given(
    st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=5),
    st.lists(st.integers(0, 1000), max_size=30),
    st.booleans(),
)
def test_requests_are_read_the_same_however_they_are_split(texts, positions, bytewise):
    text = b"".join(texts)
    pieces = [text[i : i + 1] for i in range(len(text))] if bytewise else split_at(text, positions)
    whole = [read_requests([text])[0][0] for text in texts]
    assert read_requests(pieces) == (whole, 0)


@given(
    st.lists(st.sampled_from(ANSWERS), min_size=1, max_size=5),
    st.lists(st.integers(0, 1000), max_size=30),
)
def test_answers_are_read_the_same_however_they_are_split(texts, positions):
    reader = ResponseReader()
    for text in texts:  # one response at a time
        expected = ResponseReader()
        expected.feed(memoryview(bytearray(text)))
        for piece in split_at(text, positions):
            reader.feed(memoryview(bytearray(piece)))
        assert (
            parsed_fields(reader.message) == parsed_fields(expected.message)
            and reader.message.complete
            and not reader.has_excess_data
        )
        reader.reset()


@given(
    st.binary(max_size=300),
    st.lists(st.integers(0, 1000), max_size=10),
    st.sampled_from([*REQUESTS, b""]),
)
def test_random_bytes_never_raise_and_are_read_the_same_however_they_are_split(
    noise, positions, first
):
    text = first + noise
    whole, pieces = RequestReader(), RequestReader()
    whole.feed(memoryview(bytearray(text)))
    for piece in split_at(text, positions):
        pieces.feed(memoryview(bytearray(piece)))
        if pieces.incoming.error_status:
            break
    results = [
        [
            parsed_fields(message)[:4]
            for message in (reader.message, *reader.pipelined)
            if message.complete
        ]
        for reader in (whole, pieces)
    ]
    assert results[0] == results[1] and bool(whole.incoming.error_status) == bool(
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
def test_ambiguous_framing_is_rejected(text, status, step):
    reader = RequestReader()
    for i in range(0, len(text), step):
        reader.feed(memoryview(bytearray(text[i : i + step])))
        if reader.message.error_status:
            break
    assert reader.message.error_status == status


def test_body_in_chunks_of_one_byte_is_accepted():
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


def test_bodiless_answer_has_no_body_even_with_content_length():
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
def test_connection_close_completes_only_an_answer_without_length(text, whole):
    reader = ResponseReader()
    if text:
        reader.feed(memoryview(text))
    assert reader.on_connection_closed() == whole
