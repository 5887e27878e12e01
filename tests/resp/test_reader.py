"""The codec reads the same however the bytes are split, and nothing makes it raise or grow."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidgap.resp.framing import MAX_LINE_BYTES
from orchidgap.resp.reader import RespReader
from orchidgap.resp.values import decode_item
from orchidgap.resp.writers import encode_array, encode_bulk, encode_command

TEXT = st.binary(max_size=20)
LINE = st.binary(max_size=20).filter(lambda text: b"\r" not in text and b"\n" not in text)
LEAF = st.one_of(
    TEXT.map(encode_bulk),
    LINE.map(lambda text: b"+" + text + b"\r\n"),
    LINE.map(lambda text: b"-" + text + b"\r\n"),
    st.integers(-(10**15), 10**15).map(lambda n: b":%d\r\n" % n),
    st.just(b"$-1\r\n"),
    st.just(b"_\r\n"),
    st.just(b"#t\r\n"),
)
ITEM = st.recursive(
    LEAF, lambda inner: st.lists(inner, max_size=4).map(encode_array), max_leaves=12
)


def items(chunks):
    reader, found = RespReader(), []
    for chunk in chunks:
        reader.feed(chunk)
        while (item := reader.read_item()) is not None:
            found.append(item)
    return found, reader


def cut(data, places):
    ends = sorted({min(place, len(data)) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in pairwise(ends)]


@settings(max_examples=300, deadline=None)
@given(st.lists(ITEM, max_size=5), st.lists(st.integers(0, 300), max_size=12))
def test_any_split_reads_the_same(whole, places):
    found, reader = items(cut(b"".join(whole), places))
    assert found == whole and not reader.error and reader.unread_bytes() == 0
    for item in whole:
        decode_item(item)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.lists(TEXT, min_size=1, max_size=5), max_size=5),
    st.lists(st.integers(0, 300), max_size=12),
)
def test_commands_come_out_as_they_were_written(commands, places):
    reader, found = RespReader(), []
    for chunk in cut(b"".join(encode_command(*words) for words in commands), places):
        reader.feed(chunk)
        while (words := reader.read_command()) is not None:
            found.append(words)
    assert found == commands


@settings(max_examples=500, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                [
                    b"*",
                    b"$",
                    b"\r\n",
                    b"-1",
                    b"999999999",
                    b"*1\r\n",
                    b"%3\r\n",
                    b"$5\r\n",
                    b"|1\r\n",
                    b">2\r\n",
                    b":",
                ]
            ),
        ),
        max_size=30,
    )
)
def test_no_bytes_make_it_raise_or_grow(chunks):
    for read in ("read_item", "read_command"):
        reader = RespReader(max_item_bytes=4_096)
        for chunk in chunks * 20:
            reader.feed(chunk)
            while getattr(reader, read)() is not None:
                pass
            if reader.error:
                break
            assert reader.unread_bytes() <= MAX_LINE_BYTES + 4_096


@pytest.mark.parametrize(
    ("text", "what"),
    [
        (b"$536870912\r\nabc", "more than"),
        (b"$-2\r\n", "bulk length"),
        (b"$x\r\n", "bulk length"),
        (b"*1073741824\r\n", "entries"),
        (b"*-5\r\n", "multibulk"),
        (b"*1\r\n" * 9, "deeper"),
        (b"!bad\r\n", "bulk length"),
        (b"$3\r\nabcd\r\n", "does not end"),
        (b"?\r\n", "no type"),
        (b"+" + b"x" * 70_000, "without end"),
    ],
)
def test_what_cannot_be_read_is_told_once_and_keeps_nothing_waiting(text, what):
    reader = RespReader()
    reader.feed(text)
    assert reader.read_item() is None and what in reader.error
    assert reader.read_item() is None


def test_half_a_bulk_string_waits_for_the_rest():
    reader = RespReader()
    reader.feed(b"$10\r\nhalf")
    assert reader.read_item() is None and not reader.error and reader.bytes_needed == 17
    reader.feed(b" a one\r\n")
    assert reader.read_item() == b"$10\r\nhalf a one\r\n"
