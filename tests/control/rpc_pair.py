"""A client and a server of control's RPC on one loop."""

import socket

from orchidgap.control.messages import CHECK, REGISTER, EmptyMessage
from orchidgap.control.rpc_client import RpcClient
from orchidgap.control.rpc_server import RpcServer
from orchidgap.net.loop import Loop

TIMEOUT_US = 5_000_000  # far more than any answer here takes on a busy machine
WAIT_LIMIT_US = 10_000_000


class RpcPair:
    """A client and a server on one loop; the server keeps the calls of CHECK unanswered in `pending`."""

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
        until = self.loop.clock() + WAIT_LIMIT_US
        while not condition():
            assert self.loop.clock() < until
            self.loop.run_once(5_000)

    def send_and_receive(self, text):
        """Sends bytes to the server; what comes back until it closes or says nothing more."""
        with socket.create_connection(self.server.listener.getsockname()) as sock:
            sock.sendall(text)
            sock.setblocking(False)
            data, quiet = b"", 0
            while quiet < 20:
                self.loop.run_once(1_000)
                try:
                    part = sock.recv(1 << 16)
                except BlockingIOError:
                    quiet += 1
                    continue
                if not part:
                    return data + b"<closed>"
                data, quiet = data + part, 0
            return data

    def close(self):
        self.client.close()
        for connection in list(self.server.connections):
            self.server.drop(connection)
        self.loop.unwatch(self.server.listener)
        self.server.listener.close()
