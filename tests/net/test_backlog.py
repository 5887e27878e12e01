"""Outcomes of clients whose connections wait in the accept queue while the process ends.

Each of these connections is established and its request is in the kernel before the turn in which
it matters.
"""

import errno
import os
import signal
import socket
import subprocess
import sys

import handover_harness
import pytest
from backlog_harness import (
    RESET,
    QueuedClient,
    ScriptedListener,
    count_outcomes,
    free_address,
    queue_clients,
    run_until_exit,
    unanswered,
    write_config,
)
from handover_harness import ProcessPair
from loopback_harness import LoopbackHarness, received_or_reset, request_text
from net_scenarios import signal_handlers

from orchidgap.decisions.lifecycle import SHUTDOWN_ACCEPT_US, State
from orchidgap.net.client_listener import BACKLOG, HANDSHAKE_US
from orchidgap.net.dialing import SO_ATTACH_FILTER, stop_handshakes

FEW_DESCRIPTORS = 64  # 8 of them for clients; 16 more clients may be reading their last answer
MORE_THAN_CAPACITY = 100
DESCRIPTOR_SHORTAGE_US = 100_000
SO_DETACH_FILTER = 27  # Linux
SYSTEM_BACKLOG = (
    4_096  # limit of the system for every listener's queue, whatever backlog is requested
)


def listening_node(descriptors=FEW_DESCRIPTORS, failure=lambda: None, on_empty=None):
    """Return a node that listens; `failure` and `on_empty` are those of its ScriptedListener."""
    net = LoopbackHarness(1, sockets=descriptors)
    address = net.listen()
    net.node.clients.listening_socket = ScriptedListener(
        net.node.clients.listening_socket, failure, on_empty
    )
    return net, address


def advance_to_listener_close(net):
    """Send SIGTERM and stop just before the listener is due to close."""
    signal.raise_signal(signal.SIGTERM)
    net.turn()
    assert net.node.lifecycle.state is State.LEAVING
    net.advance(SHUTDOWN_ACCEPT_US - 1)


@pytest.mark.parametrize("stays_open", [False, True])
def test_a_queue_longer_than_the_capacity_is_not_reset_at_shutdown(stays_open):
    """More clients wait than the process has capacity for when the listener is closed. Each is
    answered, whether or not clients close their side after the answer.
    """
    net, address = listening_node()
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        seen = run_until_exit(net, queue_clients(address, MORE_THAN_CAPACITY, stays_open))
    assert not unanswered(seen), count_outcomes(seen)


def test_a_client_rejected_at_shutdown_is_sent_retry_after():
    """Clients beyond the capacity are answered 503 at shutdown. The settings enable Retry-After,
    so each of these answers carries it.
    """
    net, address = listening_node()
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        clients = queue_clients(address, MORE_THAN_CAPACITY)
        seen = run_until_exit(net, clients)
    refused = [client for client in clients if client.outcome() == "503"]
    without_retry_after = [client for client in refused if "Retry-After: " not in client.text]
    assert refused and not without_retry_after, (
        f"{len(without_retry_after)} of {len(refused)} lack Retry-After; {count_outcomes(seen)}"
    )


@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"])
def test_a_shortage_of_descriptors_resets_no_client_at_shutdown(name):
    """`accept` fails for lack of descriptors when the listener is closed, and works again later.
    Every waiting client is answered.
    """
    net, address = listening_node(1024)
    works_at_us = net.now + SHUTDOWN_ACCEPT_US + DESCRIPTOR_SHORTAGE_US
    net.node.clients.listening_socket.failure = lambda: (
        OSError(getattr(errno, name), name) if net.now < works_at_us else None
    )
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        seen = run_until_exit(net, queue_clients(address, 20))
    assert not unanswered(seen), count_outcomes(seen)


def test_aborted_connections_do_not_hide_the_clients_behind_them():
    """`accept` repeatedly fails with ECONNABORTED while clients wait and the listener is closed.
    The clients behind the aborted connections are answered.
    """
    net, address = listening_node(1024)
    failures = iter([None, *[OSError(errno.ECONNABORTED, "")] * 3, None] * 20)
    net.node.clients.listening_socket.failure = lambda: next(failures, None)
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        seen = run_until_exit(net, queue_clients(address, 20))
    assert not unanswered(seen), count_outcomes(seen)


def test_aborted_connections_that_use_up_a_whole_pass_hide_no_client():
    """As many calls of `accept` fail with ECONNABORTED as one pass over the queue accepts
    connections, and the listener is closed. The clients behind them are answered.
    """
    net, address = listening_node(1024)
    failures = iter([OSError(errno.ECONNABORTED, "")] * (2 * BACKLOG))
    net.node.clients.listening_socket.failure = lambda: next(failures, None)
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        seen = run_until_exit(net, queue_clients(address, 20))
    assert not unanswered(seen), count_outcomes(seen)


def test_clients_that_reset_in_the_queue_do_not_hide_those_behind_them():
    """Half of the waiting clients have reset their connections. The others are answered."""
    net, address = listening_node()
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        clients = queue_clients(address, 40)
        for reset_client in clients[::2]:
            reset_client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            reset_client.sock.close()
        seen = run_until_exit(net, clients[1::2])
    assert not unanswered(seen), count_outcomes(seen)


def test_with_another_accepting_process_none_are_accepted_and_none_reset():
    """Another process of this balancer accepts connections while this one ends. This one accepts
    none from the queue, and closing its listener resets none.
    """
    net, address = listening_node()
    other = net.node.clients.listening_socket.dup()
    net.node.clients.leave_listener()
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        clients = queue_clients(address, MORE_THAN_CAPACITY)
        seen = run_until_exit(net, clients)
    assert count_outcomes(seen) == {"no end": MORE_THAN_CAPACITY}
    assert net.node.traffic_counts.connections_accepted == 0
    for _ in clients:
        other.accept()[0].close()
    with pytest.raises(BlockingIOError):
        other.accept()
    other.close()


def test_the_successor_answers_a_client_that_connects_as_the_old_process_closes(monkeypatch):
    """A connection is established and its request written between the last `accept` of a process
    that hands over and the close of its listener. The successor answers it.
    """
    pair, shared = pair_on_one_listener(monkeypatch)
    address, late = shared.getsockname(), []
    old = pair.old.node.clients
    close = old.close_listener

    def dial_then_close():
        if old.listening_socket:
            late.append(QueuedClient(address, request_text("late")))
        close()

    monkeypatch.setattr(old, "close_listener", dial_then_close)
    shared.close()
    pair.old.node.begin_shutdown()
    seen = run_pair(pair, late)
    pair.end()
    assert seen == ["200"], seen


def test_a_successor_that_dies_leaves_its_queue_to_the_old_process(monkeypatch):
    """The successor dies with more clients in the queue than the old process has capacity for, and
    the old process gets SIGTERM in the same turn. Every waiting client is answered.
    """
    pair, shared = pair_on_one_listener(monkeypatch)
    address = shared.getsockname()
    shared.close()
    clients = queue_clients(address, MORE_THAN_CAPACITY)
    kill_process(pair.new)
    with signal_handlers(pair.old, None):
        signal.raise_signal(signal.SIGTERM)
        seen = run_until_exit(pair.old, clients)
    assert not unanswered(seen), count_outcomes(seen)


def test_a_process_that_ends_before_its_successor_serves_leaves_it_the_queue(monkeypatch):
    """The old process ends while its successor runs but does not serve yet. The successor answers
    the clients that are queued when the old process closes its listener.
    """
    pair, shared = pair_on_one_listener(monkeypatch, serves=False)
    address = shared.getsockname()
    shared.close()
    pair.old.node.begin_shutdown()
    pair.old.advance(SHUTDOWN_ACCEPT_US - 1)
    clients = queue_clients(address, MORE_THAN_CAPACITY)
    pair.new.now = pair.old.now
    seen = run_pair(pair, clients)
    pair.end()
    assert not unanswered(seen), count_outcomes(seen)


def pair_on_one_listener(monkeypatch, serves=True):
    """Return two processes of one balancer that share a listener; the older one has few
    descriptors.
    """
    shared = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
    monkeypatch.setattr(handover_harness, "listener", lambda: nonblocking(shared.dup()))
    pair = ProcessPair(1, serves=serves, sockets=FEW_DESCRIPTORS)
    pair.old.node.clients.max_clients = 8
    assert pair.old.node.clients.accepts_elsewhere == serves
    return pair, shared


def nonblocking(sock):
    sock.setblocking(False)
    return sock


def run_pair(pair, clients):
    for _ in range(100):
        pair.old.answer_all()
        pair.advance(10_000)
        for client in clients:
            client.read_available()
    return [client.outcome() for client in clients]


def kill_process(net):
    """Close all sockets of a process, as the system does when it dies."""
    for sibling in net.node.handover.siblings():
        sibling.channel.sock.close()
    net.node.clients.listening_socket.close()
    for client in net.node.clients.open_clients:
        client.conn.sock.close()


# --- SIGKILL


def start(path, **more):
    return subprocess.Popen(
        [sys.executable, "-m", "orchidgap", "serve", f"--config={path}"],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        **more,
    )


def wait_for_event(process, text):
    for line in process.stdout:
        if text in line:
            return
    raise AssertionError(f"the process ended before it wrote {text!r}")


def stop(process):
    """Send SIGSTOP and wait until the process has stopped."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)


@pytest.mark.parametrize("text", [b"", request_text("k")], ids=["silent", "asking"])
def test_sigkill_resets_connections_that_wait_in_the_queue(tmp_path, text):
    """A process is killed with a connection in its accept queue. The client sees a reset, not a
    hanging connection or an orderly close; a new connection is refused.
    """
    address = free_address()
    with start(write_config(tmp_path, address)) as process:
        wait_for_event(process, b"listening")
        stop(process)
        waiting = QueuedClient(address, text)
        process.kill()
        process.wait(20)
        waiting.read_available()
        assert waiting.outcome() == RESET
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
    waiting.sock.close()


def test_sigkill_keeps_the_queue_of_a_listener_that_another_process_holds(tmp_path):
    """A process that inherited its listener is killed. The connection stays in the queue, with its
    request, for the next process.
    """
    with socket.create_server(("127.0.0.1", 0)) as passed:
        number = passed.fileno()
        path = write_config(tmp_path, passed.getsockname())
        environment = os.environ | {"GW_PASSED_SOCKET": str(number)}
        with start(path, pass_fds=[number], env=environment) as process:
            wait_for_event(process, b"listening")
            stop(process)
            waiting = QueuedClient(passed.getsockname(), request_text("k"))
            process.kill()
            process.wait(20)
        waiting.read_available()
        assert waiting.outcome() == "no end"
        accepted, _ = passed.accept()
        assert accepted.recv(1 << 16) == request_text("k")
        accepted.close()
        waiting.sock.close()


# --- during startup


def test_before_the_listener_listens_a_connection_is_refused(monkeypatch):
    """A client dials between `bind` and `listen`. It is refused at once, and not kept waiting by a
    socket that no process accepts from.
    """
    listen, results = socket.socket.listen, []

    def dial_then_listen(sock, *backlog):
        with socket.socket() as early:
            results.append(early.connect_ex(sock.getsockname()))
        listen(sock, *backlog)

    net = LoopbackHarness(1)
    monkeypatch.setattr(socket.socket, "listen", dial_then_listen)
    net.listen()
    assert results == [errno.ECONNREFUSED]


@pytest.mark.parametrize("listed", [True, False])
def test_a_client_that_connects_before_the_first_accept_is_answered(listed):
    """A request is written between `listen` and the first `accept`, before the node has started.
    It is answered.
    """
    net = LoopbackHarness(1, start=False, listed=listed)
    early = net.connect_client(request_text("early"))
    net.node.start()
    net.turn()
    net.answer_all()
    net.advance(1_100_000)
    net.answer_all()
    answer = received_or_reset(early)
    assert answer and answer.split()[1] in ("200", "503"), answer


def test_sigterm_before_the_first_accept_resets_no_client():
    """SIGTERM arrives before the first `accept`, with a queue longer than the capacity. Every
    waiting client is answered.
    """
    net = LoopbackHarness(1, sockets=FEW_DESCRIPTORS, start=False)
    address = net.listen()
    clients = queue_clients(address, MORE_THAN_CAPACITY)
    with signal_handlers(net, None):
        signal.raise_signal(signal.SIGTERM)
        net.node.start()
        seen = run_until_exit(net, clients)
    assert not unanswered(seen), count_outcomes(seen)


# --- between the last accept and the close


def test_a_client_that_connects_between_an_accept_and_the_close_is_not_reset():
    """The time to accept has expired, and the first `accept` after it finds nothing. A connection
    that is established right after that call, with its request written, is answered.
    """
    net, address = listening_node(1024)
    late = []
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        listener = net.node.clients.listening_socket
        listener.on_empty = lambda: late.extend(queue_clients(address, 1))
        seen = run_until_exit(net, late)
    assert late and not unanswered(seen), count_outcomes(seen)


def test_a_client_that_connects_after_every_accept_is_not_reset():
    """Another connection is established after each `accept` that finds nothing, including the last
    one. Each established connection is answered; the others are refused or never established.
    """
    net, address = listening_node(1024)
    late = []

    def connect_again():
        sock = dial_without_waiting(address)
        if is_connected(sock):
            late.append(QueuedClient(sock, request_text(f"k{len(late)}")))
        else:
            sock.close()
        listener.on_empty = connect_again

    with signal_handlers(net, None):
        advance_to_listener_close(net)
        listener = net.node.clients.listening_socket
        listener.on_empty = connect_again
        seen = run_until_exit(net, late)
    assert late and not unanswered(seen), count_outcomes(seen)


class HandshakeInProgress(ScriptedListener):
    """Completes one connection, `late`, in the turn in which handshakes are stopped.

    It is established after the next `accept` that finds nothing, or at the end of that turn.
    """

    def __init__(self, sock, loop):
        super().__init__(sock)
        self.loop, self.late = loop, []

    def setsockopt(self, level, option, *value):
        self.sock.setsockopt(level, option, *value)
        if option == SO_ATTACH_FILTER and not self.late:
            self.on_empty = self.end_handshake
            self.loop.call_soon(self.end_handshake)

    def end_handshake(self):
        if not self.late:
            self.sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
            self.late.extend(queue_clients(self.sock.getsockname(), 1))
            stop_handshakes(self.sock)


def test_a_handshake_in_progress_when_handshakes_are_stopped_is_not_reset():
    """A handshake begins before the listener stops new ones, and completes in the same turn with
    its request written. It is answered.
    """
    net = LoopbackHarness(1)
    net.listen()
    listener = HandshakeInProgress(net.node.clients.listening_socket, net.loop)
    net.node.clients.listening_socket = listener
    with signal_handlers(net, None):
        advance_to_listener_close(net)
        seen = run_until_exit(net, listener.late)
    assert listener.late and not unanswered(seen), count_outcomes(seen)


def test_a_drain_by_an_operator_keeps_the_listener():
    """An operator drains the balancer, and connections arrive long after it is drained. The
    listener is not closed, and each client is answered.
    """
    net, address = listening_node(1024)
    net.node.drain()
    net.advance(1_500_000)
    assert net.node.lifecycle.state is State.DRAINED
    clients = queue_clients(address, 20)
    for _ in range(5):
        net.answer_all()
        net.advance(10_000)
        for client in clients:
            client.read_available()
    seen = [client.outcome() for client in clients]
    assert not unanswered(seen), count_outcomes(seen)
    assert net.node.clients.listening_socket


# --- with a full queue


@pytest.mark.parametrize("descriptors", [FEW_DESCRIPTORS, 1024])
@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("count", [BACKLOG + 1, SYSTEM_BACKLOG + 1])
def test_sigterm_with_a_full_queue_resets_no_client(count, late, descriptors):
    """20 more connections are dialled than fill the accept queue, at SIGTERM or when the listener
    is closed. Each established connection is answered; the others are never established, and the
    clients give up.
    """
    net, address = listening_node(descriptors)
    with signal_handlers(net, None):
        if late:
            advance_to_listener_close(net)
        dialled = [dial_without_waiting(address) for _ in range(count + 20)]
        clients = [
            QueuedClient(sock, request_text(f"k{i}"))
            for i, sock in enumerate(dialled)
            if is_connected(sock)
        ]
        not_connected = [sock for sock in dialled if not is_connected(sock)]
        assert len(clients) > BACKLOG and (not_connected or late), "the queue is full"
        for sock in not_connected:
            sock.close()
        if not late:
            signal.raise_signal(signal.SIGTERM)
        seen = run_until_exit(net, clients)
    assert not unanswered(seen), count_outcomes(seen)


def dial_without_waiting(address):
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(address)
    return sock


def is_connected(sock):
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


# --- other ways to lose a request while capacity is freed


def slow_reader(net, address, size=60_000):
    """Return a client that was sent its last answer and has read nothing; the node buffers the
    rest.
    """
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2_048)
    client.connect(address)
    client.sendall(request_text("slow", more="Connection: close\r\n"))
    net.turn()
    _, far = net.next_host_request()
    net.send_host_answer(far, "v" * size)
    for _ in range(20):
        net.advance(100)
    (near,) = net.node.clients.closing
    assert near.conn.write_buffer
    return client


@pytest.mark.parametrize("shuts_down", [False, True])
def test_a_client_is_not_evicted_while_its_last_answer_is_being_sent(shuts_down):
    """A client that was still being sent its last answer was evicted after 50 ms for new clients
    beyond the capacity: it read part of the answer and an orderly close.
    """
    net, address = listening_node()
    net.node.clients.listening_socket.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    with signal_handlers(net, None):
        slow = slow_reader(net, address)
        if shuts_down:
            signal.raise_signal(signal.SIGTERM)
        net.advance(60_000)
        others = queue_clients(address, 60, stays_open=True)
        net.advance(100_000)
        received = b""
        slow.setblocking(False)
        for _ in range(4_000):
            try:
                part = slow.recv(4_096)
            except BlockingIOError:
                net.turn(1)
                continue
            if not part:
                break
            received += part
    assert received.endswith(b"v" * 60_000), len(received)
    slow.close()
    for other in others:
        other.sock.close()


def test_a_connection_handed_over_to_a_full_successor_is_answered():
    """A successor without capacity closed connections that were handed over to it, although
    requests had been written to them.
    """
    net, address = listening_node()
    full = queue_clients(address, 8, stays_open=True)
    net.turn()
    assert net.node.clients.is_full()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        moved = QueuedClient(listener.getsockname(), request_text("moved"), stays_open=True)
        near, _ = listener.accept()
    net.node.clients.adopt_connection(near)
    moved.read_available()
    assert moved.outcome() == "503"
    for client in (moved, *full):
        client.sock.close()


def test_the_time_for_handshakes_runs_from_when_they_were_stopped():
    """The time was counted from the start of a turn that had taken longer than it: the listener
    was closed immediately after the filter was attached.
    """
    net, _ = listening_node(1024)
    clients = net.node.clients

    def take_long():
        net.now += 2 * HANDSHAKE_US

    with signal_handlers(net, None):
        advance_to_listener_close(net)
        clients.listening_socket.on_empty = take_long
        net.now += 1
        net.turn(1)
        stopped_at_us = net.now
        assert clients.handshakes_stopped_at_us == stopped_at_us
        net.turn()
        assert clients.is_listening
        net.advance(HANDSHAKE_US - 1)
        assert clients.is_listening
        net.advance(1)
        assert not clients.is_listening


def test_one_descriptor_shortage_during_the_final_answers_resets_no_client():
    """When the process ended, one `accept` found no descriptor and one became free again, but all
    waiting clients were reset.
    """
    net, address = listening_node(1024)
    idle = QueuedClient(address, b"", stays_open=True)
    net.advance(600_000)
    failures = iter([OSError(errno.EMFILE, "")])
    net.node.clients.listening_socket.failure = lambda: next(failures, None)
    clients = queue_clients(address, 20, stays_open=True)
    net.node.clients.abandon_listener()
    for client in clients:
        client.read_available()
    assert not unanswered([client.outcome() for client in clients])
    assert net.node.traffic_counts.closed_over_backlog == 0
    for client in (idle, *clients):
        client.sock.close()


def test_a_new_client_that_sends_its_request_during_the_final_answers_is_answered():
    """Waiting clients were answered 503, but one that was accepted earlier and sent its request
    meanwhile was closed without an answer.
    """
    net, address = listening_node(1024)
    newcomer = QueuedClient(address, b"", stays_open=True)
    net.turn()
    listener = net.node.clients.listening_socket
    listener.on_empty = lambda: net.send_more(newcomer.sock, request_text("late"))
    net.node.clients.abandon_listener()
    newcomer.read_available()
    assert newcomer.outcome() == "503"
    newcomer.sock.close()


@pytest.mark.parametrize("descriptors", [FEW_DESCRIPTORS, 1024])
def test_after_sigterm_clients_beyond_the_capacity_do_not_wait_in_the_queue(descriptors):
    """Clients beyond the capacity were accepted in batches of sixteen per 50 ms until the listener
    was about to close, so a long queue outlasted the grace period of short timeouts.
    """
    net, address = listening_node(descriptors)
    with signal_handlers(net, None):
        signal.raise_signal(signal.SIGTERM)
        net.turn()
        clients = queue_clients(address, 3 * MORE_THAN_CAPACITY)
        net.advance(20_000)
        for client in clients:
            client.read_available()
    places = net.node.clients.max_clients
    assert sum(client.outcome() == "503" for client in clients) >= len(clients) - places - 20
    for client in clients:
        client.sock.close()
