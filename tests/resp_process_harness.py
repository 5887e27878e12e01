"""A RESP balancer in a process of its own, with one slot server and clients on real sockets."""

import contextlib
import time

from process_harness import ADDRESS, BalancerProcess, ThreadedServer, free_port

from orchidgap.resp.reader import RespReader
from orchidgap.resp.writers import encode_array, encode_bulk, encode_command

LAST_SLOT = 16_383
READ_BYTES = 1 << 16
COMMAND_TIMEOUT_S = 2.5


class SlotServer(ThreadedServer):
    """A slot server that owns all slots: a thread for each connection.

    Attributes:
        value: The value of every key.
        work_s: Time from a read to its reply.
        serial_work_s: Time that each command takes, one after another on a connection.
    """

    def __init__(self, value=b"v", work_s=0.03):
        self.value, self.work_s, self.serial_work_s = value, work_s, 0.0
        super().__init__()

    def _serve(self, sock):
        reader = RespReader()
        with contextlib.suppress(OSError), sock:
            while data := sock.recv(READ_BYTES):
                reader.feed(memoryview(data))
                replies = []
                while (words := reader.read_command()) is not None:
                    replies.append(self._reply(words))
                if any(reply.startswith((b"*", b"$")) for reply in replies):
                    time.sleep(self.work_s)
                for reply in replies:
                    time.sleep(self.serial_work_s)
                    sock.sendall(reply)

    def _reply(self, words):
        name = words[0].upper()
        if name == b"CLUSTER":
            server = [encode_bulk(ADDRESS.encode()), b":%d\r\n" % self.port, encode_bulk(b"s")]
            slots = [b":0\r\n", b":%d\r\n" % LAST_SLOT, encode_array(server)]
            return encode_array([encode_array(slots)])
        if name == b"MGET":
            return encode_array([encode_bulk(self.value)] * (len(words) - 1))
        return encode_bulk(self.value) if name == b"GET" else b"+OK\r\n"


class RespBalancerProcess(BalancerProcess):
    """A balancer that serves RESP before one slot server, until the end of the `with` block."""

    def _config(self, memory_mb):
        config = super()._config(memory_mb)
        config["known"] = None
        config["resp"] = {
            "seeds": [f"{ADDRESS}:{self.host.port}"],
            "read": "read",
            "write": "pay",
            "timeout-ms": round(COMMAND_TIMEOUT_S * 1_000),
            "tenant": "t",
        }
        config["discovery"] = f"{ADDRESS}:{free_port()}"
        return config

    def _is_ready(self):
        try:
            with self.connect() as sock:
                return RespClient(sock).call(b"SET", b"ready", b"1").startswith(b"+")
        except OSError:
            return False


class RespClient:
    """A client on a connected socket, with one command at a time."""

    def __init__(self, sock):
        self.sock, self.reader = sock, RespReader(max_item_bytes=1 << 25)

    def call(self, *words):
        """Return the reply; empty if the connection ends without one."""
        self.sock.sendall(encode_command(*words))
        while (reply := self.reader.read_item()) is None:
            data = self.sock.recv(READ_BYTES)
            if not data:
                return b""
            self.reader.feed(memoryview(data))
        return reply
