"""Records that balancer processes make of the client connections that they close."""

from __future__ import annotations

from collections import defaultdict
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import orjson

from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.connection_log import CONNECTION_CLOSED, CONNECTION_HALF_CLOSED_UNREAD
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.simulation.request_end import CloseRecord


class CloseNote(NamedTuple):
    """One process's note of one connection.

    Attributes:
        end: Why it was closed; a migrated connection continues in another process.
        record: When the close began, and what had been read and answered by then.
    """

    end: ConnectionEnd
    record: CloseRecord


class CloseRecords:
    """The notes of one balancer's processes, by a connection number that clients know too."""

    def __init__(self) -> None:
        """Start without notes."""
        self.notes: dict[int, list[CloseNote]] = defaultdict(list)

    def note(
        self,
        connection: int,
        client: ClientConnection,
        end: ConnectionEnd,
        closed_at_us: int,
        had_read_all: bool = False,
    ) -> None:
        """Add the note of a connection that a process is about to close.

        Args:
            connection: The connection's number.
            client: The process's end of the connection.
            end: Why it is closed.
            closed_at_us: When the close began.
            had_read_all: No bytes were unread then.
        """
        record = CloseRecord(
            closed_at_us,
            client.begun_request_count,
            client.requests_answered,
            not had_read_all and client.conn.has_unread_bytes(),
            had_read_all,
        )
        self.notes[connection].append(CloseNote(end, record))

    def record_half_closed_unread(self, connection: int, at_us: int) -> None:
        """Record that unread bytes were found after the sending side had been shut down.

        Args:
            connection: The connection's number; ignored without a note of its close.
            at_us: When the bytes were found.
        """
        notes = self.notes.get(connection)
        if notes and notes[-1].end is ConnectionEnd.FINISHED:
            record = notes[-1].record._replace(half_closed_unread_at_us=at_us)
            notes[-1] = CloseNote(ConnectionEnd.FINISHED, record)

    def find(self, connection: int, opened_at_us: int) -> CloseRecord | None:
        """Return the record of a connection, None if no process noted that it closed it.

        Args:
            connection: The connection's number.
            opened_at_us: Earlier notes belong to another connection with the same number.
        """
        read = answered = 0
        for end, record in self.notes.get(connection, ()):
            if record.closed_at_us < opened_at_us:
                continue
            read += record.requests_read
            answered += record.requests_answered
            if end is not ConnectionEnd.MIGRATED:
                return record._replace(requests_read=read, requests_answered=answered)
        return None


class LoggedCloseRecords(CloseRecords):
    """Reads the notes from the log of a balancer's processes, by the client's port number."""

    def __init__(self, log_path: Path, clock_offset_us: int) -> None:
        """Read this log; the offset is added to its times to get times of the clients' clock."""
        super().__init__()
        self.log_path = log_path
        self.clock_offset_us = clock_offset_us
        self.offset_bytes = 0

    def find(self, connection: int, opened_at_us: int) -> CloseRecord | None:
        """Read new lines of the log, and return the record of a connection."""
        self._read_new_lines()
        return super().find(connection, opened_at_us)

    def _read_new_lines(self) -> None:
        with suppress(OSError), open(self.log_path, "rb") as file:
            file.seek(self.offset_bytes)
            complete = file.read().rpartition(b"\n")[0]
            if complete:
                self.offset_bytes += len(complete) + 1
            for line in complete.splitlines():
                if CONNECTION_CLOSED.encode() in line:
                    self._read_close(line)
                elif CONNECTION_HALF_CLOSED_UNREAD.encode() in line:
                    self._read_shut_unread(line)

    def _read_shut_unread(self, line: bytes) -> None:
        with suppress(ValueError, KeyError):
            facts = orjson.loads(line)
            _, port = facts["peer"]
            self.record_half_closed_unread(port, facts["shut_us"] + self.clock_offset_us)

    def _read_close(self, line: bytes) -> None:
        """Add the note of a log line; a truncated line or one without a peer is ignored."""
        with suppress(ValueError, KeyError):
            facts = orjson.loads(line)
            record = CloseRecord(
                facts["closed_us"] + self.clock_offset_us,
                facts["read"],
                facts["answered"],
                facts["unread"],
                facts["looked"],
            )
            _, port = facts["peer"]
            self.notes[port].append(CloseNote(ConnectionEnd(facts["end"]), record))
