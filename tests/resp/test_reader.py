"""The reader returns the same items for any split of the bytes and accepts any input safely."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidgap.resp.framing import MAX_LINE_BYTES, ItemScanner
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


def read_items(chunks):
    reader, received = RespReader(), []
    for chunk in chunks:
        reader.feed(chunk)
        while (item := reader.read_item()) is not None:
            received.append(item)
    return received, reader


def split(data, offsets):
    ends = sorted({min(offset, len(data)) for offset in offsets} | {0, len(data)})
    return [data[start:end] for start, end in pairwise(ends)]


@settings(max_examples=300, deadline=None)
@given(st.lists(ITEM, max_size=5), st.lists(st.integers(0, 300), max_size=12))
def test_any_split_of_items_reads_the_same(sent, offsets):
    received, reader = read_items(split(b"".join(sent), offsets))
    assert received == sent and not reader.error and reader.unread_bytes() == 0
    for item in sent:
        decode_item(item)


@settings(max_examples=300, deadline=None)
@given(
    st.lists(st.lists(TEXT, min_size=1, max_size=5), max_size=5),
    st.lists(st.integers(0, 300), max_size=12),
)
def test_any_split_of_commands_reads_the_same(commands, offsets):
    reader, received = RespReader(), []
    for chunk in split(b"".join(encode_command(*words) for words in commands), offsets):
        reader.feed(chunk)
        while (words := reader.read_command()) is not None:
            received.append(words)
    assert received == commands


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
def test_no_bytes_make_the_reader_raise_or_grow(chunks):
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
    ("text", "error"),
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
def test_a_malformed_item_sets_the_error_and_returns_nothing(text, error):
    reader = RespReader()
    reader.feed(text)
    assert reader.read_item() is None and error in reader.error
    assert reader.read_item() is None


def test_a_partial_bulk_string_is_read_once_it_is_complete():
    reader = RespReader()
    reader.feed(b"$10\r\nhalf")
    assert reader.read_item() is None and not reader.error and reader.bytes_needed == 17
    reader.feed(b" a one\r\n")
    assert reader.read_item() == b"$10\r\nhalf a one\r\n"


@pytest.mark.parametrize("entries", [1_000, 4_000])
def test_a_command_in_pieces_is_scanned_once(entries, monkeypatch):
    # Each piece had all entries before it scanned anew, and other clients waited for that.
    scanned = []
    scan_entry = ItemScanner.scan_entry
    monkeypatch.setattr(
        ItemScanner, "scan_entry", lambda *given: scanned.append(1) or scan_entry(*given)
    )
    words = [b"MGET", *(b"key-%d" % number for number in range(entries))]
    text, reader = encode_command(*words), RespReader()
    pieces = [text[offset : offset + 100] for offset in range(0, len(text), 100)]
    for piece in pieces:
        assert reader.read_command() is None
        reader.feed(piece)
    assert reader.read_command() == words
    assert len(scanned) <= len(words) + 2 * len(pieces)
