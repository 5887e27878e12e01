"""Records of closed connections: a record of another connection must not excuse a lost request."""

from types import SimpleNamespace

import orjson

from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.simulation.close_records import CloseRecords, LoggedCloseRecords
from orchidgap.simulation.request_end import CloseRecord

PORT = 40_001


def client(read, answered, unread=False):
    return SimpleNamespace(
        begun_request_count=read,
        requests_answered=answered,
        conn=SimpleNamespace(has_unread_bytes=lambda: unread),
    )


def test_a_record_of_an_earlier_connection_with_the_same_number_is_not_found():
    records = CloseRecords()
    records.note(PORT, client(4, 4), ConnectionEnd.SHUTDOWN, 1_000)
    assert records.find(PORT, 500) == CloseRecord(1_000, 4, 4, had_unread_bytes=False)
    assert records.find(PORT, 1_001) is None
    assert records.find(PORT + 1, 0) is None


def test_requests_that_two_processes_read_on_one_connection_add_up():
    records = CloseRecords()
    records.note(PORT, client(2, 1), ConnectionEnd.MIGRATED, 1_000)
    assert records.find(PORT, 0) is None
    records.note(PORT, client(3, 4, unread=True), ConnectionEnd.SILENT, 2_000)
    assert records.find(PORT, 0) == CloseRecord(2_000, 5, 5, had_unread_bytes=True)


def line(**facts):
    usual = {"event": "connection closed", "end": "shutdown", "read": 1, "answered": 1}
    return (
        orjson.dumps(
            usual | {"unread": False, "looked": False, "peer": ["127.0.0.1", PORT]} | facts
        )
        + b"\n"
    )


def test_a_growing_log_is_read_by_the_clients_clock_and_truncated_lines_are_ignored(tmp_path):
    path = tmp_path / "b0.log"
    records = LoggedCloseRecords(path, clock_offset_us=1_000_000)
    assert records.find(PORT, 0) is None
    first = line(closed_us=10)
    path.write_bytes(b"noise\n" + first[:-9])
    assert records.find(PORT, 0) is None
    second = line(closed_us=900, read=2, looked=True)
    path.write_bytes(b"noise\n" + first + second + line(cut="connection c"))
    assert records.find(PORT, 0) == CloseRecord(1_000_010, 1, 1, had_unread_bytes=False)
    assert records.find(PORT, 1_000_011) == CloseRecord(
        1_000_900, 2, 1, had_unread_bytes=False, had_read_all=True
    )


def test_unread_bytes_behind_a_shutdown_count_for_that_connection_only(tmp_path):
    path = tmp_path / "b0.log"
    records = LoggedCloseRecords(path, clock_offset_us=1_000_000)
    shut = {"event": "connection shut unread", "peer": ["127.0.0.1", PORT], "shut_us": 20}
    path.write_bytes(orjson.dumps(shut) + b"\n" + line(closed_us=10, end="finished"))
    assert records.find(PORT, 0).half_closed_unread_at_us == 0, (
        "the event belongs to an earlier connection"
    )
    with path.open("ab") as file:
        file.write(orjson.dumps(shut) + b"\n")
    assert records.find(PORT, 0).half_closed_unread_at_us == 1_000_020
    with path.open("ab") as file:
        file.write(line(closed_us=30) + orjson.dumps(shut | {"shut_us": 40}) + b"\n")
    assert records.find(PORT, 1_000_030).half_closed_unread_at_us == 0, (
        "the connection was closed, not shut down"
    )
