"""A node on real loopback sockets, driven turn by turn with a clock that only the test advances.

Everything that a turn must see is in the kernel before that turn starts: `wait_until_readable`
waits for it, so no test depends on the timing of delivery.
"""

import select
import socket
import struct
import time

from node_harness import NodeHarness, received_text

from orchidgap.net.addresses import Address
from orchidgap.net.dialing import dial
from orchidgap.net.receive_timestamps import ANCILLARY_BYTES, enable_receive_timestamps

SOCKET_TIMEOUT_S = 10  # for delivery by the kernel; reached only if something is wrong
RESET = "reset"


def wait_until_readable(*socks):
    """Wait until each socket has bytes, a connection or an end of stream to read."""
    for sock in socks:
        poll = select.poll()  # `select` supports no descriptor above 1,023
        poll.register(sock, select.POLLIN)
        assert poll.poll(SOCKET_TIMEOUT_S * 1000), "the kernel delivered nothing"


def wait_until_timestamped():
    """Wait until the kernel timestamps received bytes.

    It starts to do so shortly after the first socket enables timestamps.
    """
    deadline = time.monotonic() + SOCKET_TIMEOUT_S
    with socket.create_server(("127.0.0.1", 0)) as listener:
        assert enable_receive_timestamps(listener)
        sender = socket.create_connection(listener.getsockname(), SOCKET_TIMEOUT_S)
        receiver, _ = listener.accept()
        with sender, receiver:
            is_stamped = False
            while not is_stamped:
                assert time.monotonic() < deadline, "the kernel does not timestamp received bytes"
                sender.sendall(b"x")
                wait_until_readable(receiver)
                is_stamped = bool(receiver.recvmsg(1, ANCILLARY_BYTES)[1])


def send_without_delay(sock):
    """Make the socket non-blocking and disable Nagle's algorithm, so that bytes are sent at once."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setblocking(False)


def received_or_reset(far):
    """Return the same as `received_text`, but RESET if the connection was reset."""
    try:
        return far.recv(1 << 17).decode()
    except BlockingIOError:
        return None
    except ConnectionError:
        return RESET


class LoopbackHarness(NodeHarness):
    """A node whose dials to hosts and to discovery reach listeners of the harness.

    There is one listener for each port that the tests use as the port of a host or of discovery.
    """

    timestamped = False  # whether the kernel is known to timestamp received bytes

    def __init__(self, *args, **more):
        self.listeners_by_port = {}
        super().__init__(*args, **more)

    def dial(self, address):
        listener = self.listeners_by_port.get(address[1])
        if listener is None:
            listener = self.listeners_by_port[address[1]] = socket.create_server(("127.0.0.1", 0))
        sock = dial(listener.getsockname())
        if isinstance(sock, socket.socket):
            listener.settimeout(SOCKET_TIMEOUT_S)
            far, _ = listener.accept()
            send_without_delay(far)
            self.dialled.append((address[1], far))
        return sock

    def listen(self) -> Address:
        """Open the listener for clients and return its address."""
        self.node.clients.listen(("127.0.0.1", 0))
        return self.node.clients.listening_socket.getsockname()

    def connect_client(self, text=b""):
        """Connect a client and send its bytes; the node has not accepted the connection yet."""
        if self.node.clients.listening_socket is None:
            self.listen()
        if not self.timestamped:
            wait_until_timestamped()
            self.timestamped = True
        sock = socket.create_connection(
            self.node.clients.listening_socket.getsockname(), SOCKET_TIMEOUT_S
        )
        send_without_delay(sock)
        sock.sendall(text)
        self.open_sockets.append(sock)
        wait_until_readable(self.node.clients.listening_socket)
        return sock

    def accepted_socket(self, client):
        """Return the node's socket of this client's connection."""
        name = client.getsockname()
        return next(
            connection.conn.sock
            for connection in self.node.clients.open_clients
            if connection.conn.sock.getpeername() == name
        )

    def send_more(self, client, text):
        """Send further bytes from a client, which the node has not read yet."""
        client.sendall(text)
        wait_until_readable(self.accepted_socket(client))

    def wait_for_fin(self, connection):
        """Wait until the kernel has received the client's FIN, even if unread bytes precede it."""
        poll = select.poll()
        poll.register(connection.conn.sock, select.POLLRDHUP)
        assert poll.poll(SOCKET_TIMEOUT_S * 1000), "the kernel delivered no FIN"

    def close_client(self, client):
        """Close a client's connection; the node has not seen that yet."""
        node_socket = self.accepted_socket(client)
        client.close()
        wait_until_readable(node_socket)

    def next_host_request(self):
        """Return the next request text that a host received, with that host's socket, or ("",
        None).
        """
        return next(
            (
                (text, far)
                for far in self.host_sockets()
                if far.fileno() >= 0 and (text := received_text(far))
            ),
            ("", None),
        )

    def node_socket_of(self, far):
        """Return the node's socket of the connection to this host socket."""
        name = far.getpeername()
        return next(
            connection.conn.sock
            for pool in self.node.pools.by_host.values()
            for connection in pool.connections
            if connection.conn.sock.getsockname() == name
        )

    def reset_host(self, far):
        """Reset a connection from the host's side; the node has not seen that yet."""
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        far.close()

    def send_host_answer(self, far, body="v"):
        """Send an answer from a host, which the node has not read yet."""
        far.sendall(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


def request_text(key="k1", id="", left="2.0", rule_set="read", more=""):
    return (
        f"GET /{rule_set}/{key} HTTP/1.1\r\nHost: s\r\nRequest-Id: r-{id or key}\r\nTenant: small\r\n"
        f"Request-Timeout: {left}\r\n{more}\r\n"
    ).encode()


__all__ = [
    "RESET",
    "LoopbackHarness",
    "received_or_reset",
    "received_text",
    "request_text",
    "wait_until_readable",
]
