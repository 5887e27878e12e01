"""The accept queue: what does a client see whose connection waits there as the process ends?

Each of these connections is up and its request is in the kernel before the turn in which it matters.
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
    free_address,
    queue_clients,
    settle,
    tally,
    unanswered,
    write_config,
)
from handover_harness import ProcessPair
from loopback_harness import LoopbackHarness, received_or_reset, request_text
from net_scenarios import signals

from orchidgap.decisions.lifecycle import SHUTDOWN_ACCEPT_US, State
from orchidgap.net.client_listener import BACKLOG, HANDSHAKE_US
from orchidgap.net.dialing import SO_ATTACH_FILTER, stop_handshakes

FEW_DESCRIPTORS = 64  # of them 8 for clients, and 16 clients more that read their last answer
LARGER_THAN_SOCKET_BUFFERS = 100
DESCRIPTORS_ARE_SHORT_US = 100_000
SO_DETACH_FILTER = 27  # Linux
SYSTEM_BACKLOG = 4_096  # more than that no listener of this system holds, whatever it asks for


def listening(descriptors=FEW_DESCRIPTORS, failure=lambda: None, on_empty=None):
    """A node that listens; `failure` and `on_empty` are those of its ScriptedListener."""
    net = LoopbackHarness(1, sockets=descriptors)
    address = net.listen()
    net.node.clients.listening_socket = ScriptedListener(
        net.node.clients.listening_socket, failure, on_empty
    )
    return net, address


def told_to_end(net):
    """SIGTERM was read, and the listener is shut in the next turn whose time has come."""
    signal.raise_signal(signal.SIGTERM)
    net.turn()
    assert net.node.lifecycle.state is State.LEAVING
    net.advance(SHUTDOWN_ACCEPT_US - 1)


@pytest.mark.parametrize("stays", [False, True])
def test_a_queue_longer_than_the_room_is_not_reset_by_the_end(stays):
    """More clients wait than there is room for as the listener is shut. Each is answered,
    whether or not those with an answer close their side.
    """
    net, address = listening()
    with signals(net, None):
        told_to_end(net)
        seen = settle(net, queue_clients(address, LARGER_THAN_SOCKET_BUFFERS, stays))
    assert not unanswered(seen), tally(seen)


def test_who_is_refused_at_the_end_is_told_when_to_come_back():
    """Clients for whom there is no room are answered 503. The settings have a Retry-After, and
    it stands in each.
    """
    net, address = listening()
    with signals(net, None):
        told_to_end(net)
        clients = queue_clients(address, LARGER_THAN_SOCKET_BUFFERS)
        seen = settle(net, clients)
    refused = [client for client in clients if client.saw() == "503"]
    untold = [client for client in refused if "Retry-After: " not in client.text]
    assert refused and not untold, f"{len(untold)} of {len(refused)} not told; {tally(seen)}"


@pytest.mark.parametrize("name", ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"])
def test_a_shortage_of_descriptors_resets_nobody_at_the_end(name):
    """`accept` fails for lack of descriptors as the listener is shut, and works again later.
    Whoever waited is answered.
    """
    net, address = listening(1024)
    works_at_us = net.now + SHUTDOWN_ACCEPT_US + DESCRIPTORS_ARE_SHORT_US
    net.node.clients.listening_socket.failure = lambda: (
        OSError(getattr(errno, name), name) if net.now < works_at_us else None
    )
    with signals(net, None):
        told_to_end(net)
        seen = settle(net, queue_clients(address, 20))
    assert not unanswered(seen), tally(seen)


def test_who_was_gone_before_it_was_let_in_hides_nobody_behind_it():
    """`accept` says ECONNABORTED again and again among those that wait as the listener is shut.
    Those behind are answered.
    """
    net, address = listening(1024)
    failures = iter([None, *[OSError(errno.ECONNABORTED, "")] * 3, None] * 20)
    net.node.clients.listening_socket.failure = lambda: next(failures, None)
    with signals(net, None):
        told_to_end(net)
        seen = settle(net, queue_clients(address, 20))
    assert not unanswered(seen), tally(seen)


def test_so_many_aborted_connections_that_no_count_is_left_hide_nobody():
    """As many ECONNABORTED as a look takes connections come first as the listener is shut. Those
    behind are answered.
    """
    net, address = listening(1024)
    failures = iter([OSError(errno.ECONNABORTED, "")] * (2 * BACKLOG))
    net.node.clients.listening_socket.failure = lambda: next(failures, None)
    with signals(net, None):
        told_to_end(net)
        seen = settle(net, queue_clients(address, 20))
    assert not unanswered(seen), tally(seen)


def test_clients_that_reset_in_the_queue_hide_nobody_behind_them():
    """Half of those that wait have reset their connections. The others are answered."""
    net, address = listening()
    with signals(net, None):
        told_to_end(net)
        clients = queue_clients(address, 40)
        for gone in clients[::2]:
            gone.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            gone.sock.close()
        seen = settle(net, clients[1::2])
    assert not unanswered(seen), tally(seen)


def test_where_another_process_accepts_nobody_is_taken_and_nobody_reset():
    """Another process of this balancer accepts as this one ends. It takes nobody from the queue,
    and its close resets nobody.
    """
    net, address = listening()
    other = net.node.clients.listening_socket.dup()
    net.node.clients.leave_listener()
    with signals(net, None):
        told_to_end(net)
        clients = queue_clients(address, LARGER_THAN_SOCKET_BUFFERS)
        seen = settle(net, clients)
    assert tally(seen) == {"no end": LARGER_THAN_SOCKET_BUFFERS}
    assert net.node.traffic_counts.connections_accepted == 0
    for _ in clients:
        other.accept()[0].close()
    with pytest.raises(BlockingIOError):
        other.accept()
    other.close()


def test_the_successor_is_given_what_comes_as_the_old_process_closes(monkeypatch):
    """A connection comes up, its request written, between the last look of a process that hands
    over and the close of its listener. The newer process answers it.
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
    saw = settle_pair(pair, late)
    pair.end()
    assert saw == ["200"], saw


def test_a_successor_that_dies_leaves_its_queue_to_the_old_process(monkeypatch):
    """The newer process dies with more in the queue than the old one has room for, and the old
    one is told to end in the same turn. Each of those that wait is answered.
    """
    pair, shared = pair_on_one_listener(monkeypatch)
    address = shared.getsockname()
    shared.close()
    clients = queue_clients(address, LARGER_THAN_SOCKET_BUFFERS)
    die(pair.new)
    with signals(pair.old, None):
        signal.raise_signal(signal.SIGTERM)
        seen = settle(pair.old, clients)
    assert not unanswered(seen), tally(seen)


def test_a_process_that_ends_before_its_successor_serves_leaves_it_the_queue(monkeypatch):
    """The old process ends while the newer one is there and does not serve yet. What waits in
    the queue as the old one closes its listener is answered by the newer one.
    """
    pair, shared = pair_on_one_listener(monkeypatch, serves=False)
    address = shared.getsockname()
    shared.close()
    pair.old.node.begin_shutdown()
    pair.old.advance(SHUTDOWN_ACCEPT_US - 1)
    clients = queue_clients(address, LARGER_THAN_SOCKET_BUFFERS)
    pair.new.now = pair.old.now
    saw = settle_pair(pair, clients)
    pair.end()
    assert not unanswered(saw), tally(saw)


def pair_on_one_listener(monkeypatch, serves=True):
    """Two processes of one balancer that share a listener; the older one has few descriptors."""
    shared = socket.create_server(("127.0.0.1", 0), backlog=BACKLOG)
    monkeypatch.setattr(handover_harness, "listener", lambda: nonblocking(shared.dup()))
    pair = ProcessPair(1, serves=serves, sockets=FEW_DESCRIPTORS)
    pair.old.node.clients.max_clients = 8
    assert pair.old.node.clients.accepts_elsewhere == serves
    return pair, shared


def nonblocking(sock):
    sock.setblocking(False)
    return sock


def settle_pair(pair, clients):
    for _ in range(100):
        pair.old.answer_all()
        pair.advance(10_000)
        for client in clients:
            client.look()
    return [client.saw() for client in clients]


def die(net):
    """A process has ended at once: the system closes all that it held."""
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


def wait_for_event(process, word):
    for line in process.stdout:
        if word in line:
            return
    raise AssertionError(f"it ended without {word!r}")


def stop(process):
    """It is stopped, and looks at nothing from now on."""
    process.send_signal(signal.SIGSTOP)
    os.waitid(os.P_PID, process.pid, os.WSTOPPED | os.WNOWAIT)


@pytest.mark.parametrize("text", [b"", request_text("k")], ids=["silent", "asking"])
def test_sigkill_resets_what_waits_in_the_queue(tmp_path, text):
    """A process is killed with a connection in its accept queue. Its client is told by a reset,
    not left waiting and not shown an end in order; a new connection is refused.
    """
    address = free_address()
    with start(write_config(tmp_path, address)) as process:
        wait_for_event(process, b"listening")
        stop(process)
        waiting = QueuedClient(address, text)
        process.kill()
        process.wait(20)
        waiting.look()
        assert waiting.saw() == RESET
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
    waiting.sock.close()


def test_sigkill_leaves_what_waits_at_a_listener_that_another_process_holds(tmp_path):
    """A process is killed that inherited its listener. The connection in the queue stays there,
    with its request, for the next process.
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
        waiting.look()
        assert waiting.saw() == "no end"
        accepted, _ = passed.accept()
        assert accepted.recv(1 << 16) == request_text("k")
        accepted.close()
        waiting.sock.close()


# --- while it starts


def test_before_the_listener_listens_a_connection_is_refused(monkeypatch):
    """A client dials between `bind` and `listen`. It is refused at once, and not held open by
    nobody.
    """
    listen, said = socket.socket.listen, []

    def dial_then_listen(sock, *backlog):
        with socket.socket() as early:
            said.append(early.connect_ex(sock.getsockname()))
        listen(sock, *backlog)

    net = LoopbackHarness(1)
    monkeypatch.setattr(socket.socket, "listen", dial_then_listen)
    net.listen()
    assert said == [errno.ECONNREFUSED]


@pytest.mark.parametrize("listed", [True, False])
def test_who_comes_before_the_first_accept_is_answered(listed):
    """A request is written between `listen` and the first `accept`, before the node has started.
    It gets its answer.
    """
    net = LoopbackHarness(1, start=False, listed=listed)
    early = net.connect_client(request_text("early"))
    net.node.start()
    net.turn()
    net.answer_all()
    net.advance(1_100_000)
    net.answer_all()
    said = received_or_reset(early)
    assert said and said.split()[1] in ("200", "503"), said


def test_sigterm_before_the_first_accept_resets_nobody():
    """SIGTERM is there before the first look at the listener, with a queue longer than the room.
    Whoever waits is answered.
    """
    net = LoopbackHarness(1, sockets=FEW_DESCRIPTORS, start=False)
    address = net.listen()
    clients = queue_clients(address, LARGER_THAN_SOCKET_BUFFERS)
    with signals(net, None):
        signal.raise_signal(signal.SIGTERM)
        net.node.start()
        seen = settle(net, clients)
    assert not unanswered(seen), tally(seen)


# --- between the last look and the close


def test_who_comes_between_a_look_and_the_close_is_not_reset():
    """A connection comes up, its request written, between the first `accept` after the time to
    accept is over, which finds nothing, and what follows it. It is answered.
    """
    net, address = listening(1024)
    late = []
    with signals(net, None):
        told_to_end(net)
        listener = net.node.clients.listening_socket
        listener.on_empty = lambda: late.extend(queue_clients(address, 1))
        seen = settle(net, late)
    assert late and not unanswered(seen), tally(seen)


def test_who_comes_after_every_look_is_not_reset():
    """One more connection comes up behind each `accept` that finds nothing, the last one too.
    Each that came up is answered; the others are refused, or never come up.
    """
    net, address = listening(1024)
    late = []

    def cross():
        sock = dial_without_waiting(address)
        if came_up(sock):
            late.append(QueuedClient(sock, request_text(f"k{len(late)}")))
        else:
            sock.close()
        listener.on_empty = cross

    with signals(net, None):
        told_to_end(net)
        listener = net.node.clients.listening_socket
        listener.on_empty = cross
        seen = settle(net, late)
    assert late and not unanswered(seen), tally(seen)


class HandshakeUnderWay(ScriptedListener):
    """One connection, `late`, comes up in the turn in which handshakes are ended: behind the next
    look, or at the end of that turn.
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


def test_a_handshake_under_way_as_handshakes_are_ended_is_not_reset():
    """A handshake that began before the listener stopped to begin any ends in the same turn, its
    request written. It is answered.
    """
    net = LoopbackHarness(1)
    net.listen()
    listener = HandshakeUnderWay(net.node.clients.listening_socket, net.loop)
    net.node.clients.listening_socket = listener
    with signals(net, None):
        told_to_end(net)
        seen = settle(net, listener.late)
    assert listener.late and not unanswered(seen), tally(seen)


def test_a_drain_by_hand_keeps_its_listener():
    """An operator drains; connections come while it is drained for long. The listener is not
    shut, and each is answered.
    """
    net, address = listening(1024)
    net.node.drain()
    net.advance(1_500_000)
    assert net.node.lifecycle.state is State.DRAINED
    clients = queue_clients(address, 20)
    for _ in range(5):
        net.answer_all()
        net.advance(10_000)
        for client in clients:
            client.look()
    seen = [client.saw() for client in clients]
    assert not unanswered(seen), tally(seen)
    assert net.node.clients.listening_socket


# --- the queue is full


@pytest.mark.parametrize("descriptors", [FEW_DESCRIPTORS, 1024])
@pytest.mark.parametrize("late", [False, True])
@pytest.mark.parametrize("many", [BACKLOG + 1, SYSTEM_BACKLOG + 1])
def test_sigterm_with_a_full_queue_resets_nobody(many, late, descriptors):
    """As many are dialled as fill the accept queue, and 20 more, at SIGTERM or as the listener is
    shut. Each connection that came up is answered; the others do not come up, and give up.
    """
    net, address = listening(descriptors)
    with signals(net, None):
        if late:
            told_to_end(net)
        dialled = [dial_without_waiting(address) for _ in range(many + 20)]
        clients = [
            QueuedClient(sock, request_text(f"k{i}"))
            for i, sock in enumerate(dialled)
            if came_up(sock)
        ]
        beyond = [sock for sock in dialled if not came_up(sock)]
        assert len(clients) > BACKLOG and (beyond or late), "the queue is full"
        for sock in beyond:
            sock.close()
        if not late:
            signal.raise_signal(signal.SIGTERM)
        seen = settle(net, clients)
    assert not unanswered(seen), tally(seen)


def dial_without_waiting(address):
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex(address)
    return sock


def came_up(sock):
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


# --- found by review: what else ends a request as room is made


def slow_reader(net, address, size=60_000):
    """A client that was sent its last answer and has read nothing of it; the rest is buffered here."""
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


@pytest.mark.parametrize("leaves", [False, True])
def test_a_last_answer_that_is_not_sent_yet_makes_no_way(leaves):
    """Newcomers without room had whoever was being sent its last answer for 50 ms closed: it
    read a part of it, and an end in order.
    """
    net, address = listening()
    net.node.clients.listening_socket.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    with signals(net, None):
        slow = slow_reader(net, address)
        if leaves:
            signal.raise_signal(signal.SIGTERM)
        net.advance(60_000)
        others = queue_clients(address, 60, stays=True)
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


def test_a_connection_that_is_handed_over_where_there_is_no_room_is_answered():
    """A successor that was full closed connections that it was given, over requests that had
    been written to them.
    """
    net, address = listening()
    full = queue_clients(address, 8, stays=True)
    net.turn()
    assert net.node.clients.is_full()
    with socket.create_server(("127.0.0.1", 0)) as door:
        moved = QueuedClient(door.getsockname(), request_text("moved"), stays=True)
        near, _ = door.accept()
    net.node.clients.adopt_connection(near)
    moved.look()
    assert moved.saw() == "503"
    for client in (moved, *full):
        client.sock.close()


def test_the_time_for_handshakes_runs_from_when_they_were_stopped():
    """It ran from the start of a turn that had taken longer than that: the listener was closed
    at once behind the filter.
    """
    net, _ = listening(1024)
    clients = net.node.clients

    def take_long():
        net.now += 2 * HANDSHAKE_US

    with signals(net, None):
        told_to_end(net)
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


def test_one_shortage_at_the_last_words_resets_nobody():
    """No descriptor was left once as the process ended, one came free, and all who waited were
    reset all the same.
    """
    net, address = listening(1024)
    idle = QueuedClient(address, b"", stays=True)
    net.advance(600_000)
    failures = iter([OSError(errno.EMFILE, "")])
    net.node.clients.listening_socket.failure = lambda: next(failures, None)
    clients = queue_clients(address, 20, stays=True)
    net.node.clients.abandon_listener()
    for client in clients:
        client.look()
    assert not unanswered([client.saw() for client in clients])
    assert net.node.traffic_counts.closed_over_backlog == 0
    for client in (idle, *clients):
        client.sock.close()


def test_a_newcomer_that_asks_during_the_last_words_is_answered():
    """Those who waited were told 503, and one who was let in before and asked meanwhile was
    closed unanswered.
    """
    net, address = listening(1024)
    newcomer = QueuedClient(address, b"", stays=True)
    net.turn()
    listener = net.node.clients.listening_socket
    listener.on_empty = lambda: net.send_more(newcomer.sock, request_text("late"))
    net.node.clients.abandon_listener()
    newcomer.look()
    assert newcomer.saw() == "503"
    newcomer.sock.close()


@pytest.mark.parametrize("descriptors", [FEW_DESCRIPTORS, 1024])
def test_from_sigterm_on_who_finds_no_room_does_not_wait_in_the_queue(descriptors):
    """Until the listener was to close, those without room were let in by sixteen in 50 ms, and
    a long queue outlived the grace of short timeouts.
    """
    net, address = listening(descriptors)
    with signals(net, None):
        signal.raise_signal(signal.SIGTERM)
        net.turn()
        clients = queue_clients(address, 3 * LARGER_THAN_SOCKET_BUFFERS)
        net.advance(20_000)
        for client in clients:
            client.look()
    places = net.node.clients.max_clients
    assert sum(client.saw() == "503" for client in clients) >= len(clients) - places - 20
    for client in clients:
        client.sock.close()
