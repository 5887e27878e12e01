"""Framing: any split of the same bytes reads the same; what is ambiguous is turned down."""

from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.http1.codec import KEPT, MOST_HEAD, AnswerReader, ReqReader

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
        message.headed,
        message.whole,
        message.lasts,
        message.length,
        message.trouble,
    )


def reqs_of(pieces):
    reader, found = ReqReader(), []
    for piece in pieces:
        reader.feed(memoryview(bytearray(piece)))
        while reader.message.whole and not reader.message.trouble:
            found.append(told(reader.message))
            reader.next()
    return found, reader.message.trouble


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
    reader = AnswerReader()
    for text in texts:  # one is asked for at a time
        once = AnswerReader()
        once.feed(memoryview(bytearray(text)))
        for piece in cut(text, places):
            reader.feed(memoryview(bytearray(piece)))
        assert (
            told(reader.message) == told(once.message) and reader.message.whole and not reader.extra
        )
        reader.reset()


@given(
    st.binary(max_size=300),
    st.lists(st.integers(0, 1000), max_size=10),
    st.sampled_from([*REQS, b""]),
)
def test_noise_is_never_an_exception_and_reads_the_same_however_it_is_cut(noise, places, first):
    text = first + noise
    whole, pieces = ReqReader(), ReqReader()
    whole.feed(memoryview(bytearray(text)))
    for piece in cut(text, places):
        pieces.feed(memoryview(bytearray(piece)))
        if pieces.into.trouble:
            break
    said = [
        [told(message)[:4] for message in (reader.message, *reader.behind) if message.whole]
        for reader in (whole, pieces)
    ]
    assert said[0] == said[1] and bool(whole.into.trouble) == bool(pieces.into.trouble)


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
        (HEAD + b"X: " + b"x" * MOST_HEAD, 431),
        (b"GET /" + b"x" * (MOST_HEAD + 9), 431),
        (HEAD + b"Content-Length: 99999999\r\n\r\n", 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * (KEPT + MOST_HEAD), 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nT: " + b"x" * (KEPT + MOST_HEAD), 413),
    ],
)
@pytest.mark.parametrize("step", [7, 1 << 16])
def test_what_two_readers_could_take_in_two_ways_is_turned_down(text, status, step):
    reader = ReqReader()
    for i in range(0, len(text), step):
        reader.feed(memoryview(bytearray(text[i : i + step])))
        if reader.message.trouble:
            break
    assert reader.message.trouble == status


def test_a_body_in_chunks_of_a_byte_is_no_attack():
    reader = ReqReader()
    reader.feed(
        memoryview(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 50_000 + b"0\r\n\r\n"
        )
    )
    assert reader.message.whole and reader.message.size == 50_000 and not reader.message.trouble


def test_a_bare_answer_has_no_body_whatever_its_head_says():
    reader = AnswerReader()
    reader.renew(True)
    reader.feed(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n"))
    assert (
        reader.message.whole
        and reader.message.lasts
        and reader.message.length == 7
        and not reader.extra
    )
    reader.renew(False)
    reader.feed(memoryview(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv"))
    assert reader.message.whole and reader.message.body == b"v" and not reader.extra


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
    reader = AnswerReader()
    if text:
        reader.feed(memoryview(text))
    assert reader.ended() == whole
