"""A client and a server of control's RPC on one event loop."""

import socket

from orchidgap.control.messages import CHECK, REGISTER, EmptyMessage
from orchidgap.control.rpc_client import RpcClient
from orchidgap.control.rpc_server import RpcServer
from orchidgap.net.loop import Loop

TIMEOUT_US = 5_000_000  # much longer than any answer in these tests takes on a busy machine
WAIT_LIMIT_US = 10_000_000


class RpcPair:
    """A client and a server on one event loop; calls of CHECK stay unanswered in `pending`."""

    def __init__(self):
        self.loop = Loop()
        self.server = RpcServer(self.loop)
        self.pending = []
        self.server.add_handler(CHECK, lambda request, on_answer: self.pending.append(on_answer))
        self.server.add_handler(
            REGISTER, lambda request, on_answer: on_answer(EmptyMessage() if request.name else None)
        )
        self.server.listen(("127.0.0.1", 0))
        self.client = RpcClient(self.loop, self.server.listener.getsockname(), TIMEOUT_US)

    def run_until(self, condition):
        deadline_us = self.loop.clock() + WAIT_LIMIT_US
        while not condition():
            assert self.loop.clock() < deadline_us
            self.loop.run_once(5_000)

    def send_and_receive(self, text):
        """Sends bytes to the server; returns the received bytes until it closes or sends no more."""
        with socket.create_connection(self.server.listener.getsockname()) as sock:
            sock.sendall(text)
            sock.setblocking(False)
            data, empty_reads = b"", 0
            while empty_reads < 20:
                self.loop.run_once(1_000)
                try:
                    part = sock.recv(1 << 16)
                except BlockingIOError:
                    empty_reads += 1
                    continue
                if not part:
                    return data + b"<closed>"
                data, empty_reads = data + part, 0
            return data

    def close(self):
        self.client.close()
        for connection in list(self.server.connections):
            self.server.drop(connection)
        self.loop.unwatch(self.server.listener)
        self.server.listener.close()
