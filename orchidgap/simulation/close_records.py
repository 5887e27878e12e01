"""What balancers' own processes noted of clients' connections that they closed."""

from __future__ import annotations

from collections import defaultdict
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import orjson

from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.connection_log import CONNECTION_CLOSED, CONNECTION_SHUT_UNREAD
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.simulation.request_end import CloseRecord


class CloseNote(NamedTuple):
    """What one process noted of one connection.

    Attributes:
        end: Why it was closed; one that migrated goes on in another process.
        record: When that began, and what had been read and answered there.
    """

    end: ConnectionEnd
    record: CloseRecord


class CloseRecords:
    """The notes of one balancer's processes, by the connection: a number that its client knows."""

    def __init__(self) -> None:
        """Begin with none."""
        self.notes: dict[int, list[CloseNote]] = defaultdict(list)

    def note(
        self,
        connection: int,
        client: ClientConnection,
        end: ConnectionEnd,
        closed_at_us: int,
        was_looked_at: bool = False,
    ) -> None:
        """Keep what is known of a connection that a process is about to close.

        Args:
            connection: Its number.
            client: The process's end of it.
            end: Why it is closed.
            closed_at_us: When that began.
            was_looked_at: Nothing was unread then.
        """
        record = CloseRecord(
            closed_at_us,
            client.begun_request_count,
            client.requests_answered,
            not was_looked_at and client.conn.has_unread_bytes(),
            was_looked_at,
        )
        self.notes[connection].append(CloseNote(end, record))

    def note_shut_unread(self, connection: int, at_us: int) -> None:
        """Keep that a connection was shut for sending over bytes that were not read.

        Args:
            connection: Its number; without a note of its close nothing is kept.
            at_us: When they were found, behind the shutdown.
        """
        notes = self.notes.get(connection)
        if notes and notes[-1].end is ConnectionEnd.FINISHED:
            record = notes[-1].record._replace(shut_unread_at_us=at_us)
            notes[-1] = CloseNote(ConnectionEnd.FINISHED, record)

    def find(self, connection: int, opened_at_us: int) -> CloseRecord | None:
        """Return what is known of a connection, None where no process noted that it closed it.

        Args:
            connection: Its number.
            opened_at_us: Earlier notes are of another connection that had the same number.
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
    """Reads the notes from the log of a balancer's processes, by the client's port."""

    def __init__(self, log_path: Path, clock_offset_us: int) -> None:
        """Read this log; the offset leads from the clock of its times to the clients' clock."""
        super().__init__()
        self.log_path = log_path
        self.clock_offset_us = clock_offset_us
        self.offset_bytes = 0

    def find(self, connection: int, opened_at_us: int) -> CloseRecord | None:
        """Return what is known of a connection, after the new lines of the log are read."""
        self._read_on()
        return super().find(connection, opened_at_us)

    def _read_on(self) -> None:
        with suppress(OSError), open(self.log_path, "rb") as file:
            file.seek(self.offset_bytes)
            complete = file.read().rpartition(b"\n")[0]
            if complete:
                self.offset_bytes += len(complete) + 1
            for line in complete.splitlines():
                if CONNECTION_CLOSED.encode() in line:
                    self._read_close(line)
                elif CONNECTION_SHUT_UNREAD.encode() in line:
                    self._read_shut_unread(line)

    def _read_shut_unread(self, line: bytes) -> None:
        with suppress(ValueError, KeyError):
            facts = orjson.loads(line)
            _, port = facts["peer"]
            self.note_shut_unread(port, facts["shut_us"] + self.clock_offset_us)

    def _read_close(self, line: bytes) -> None:
        """Keep what a line tells; one that is cut or has no peer tells of no connection."""
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
