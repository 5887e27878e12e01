"""Invalid packets between two processes end their channel and have no other effect."""

import socket

import pytest
from handover_harness import single_process
from node_harness import received_text


@pytest.mark.parametrize(
    "packet",
    [
        b"",
        b"{",
        b"null",
        b"[]",
        b"7",
        b'["what"]',
        b'["hello"]',
        b'["hello",1,"another"]',
        b'["hello",99,"n0"]',
        b'["now"]',
        b'["now",1,2,3]',
        b'["now",[],[],{"c0":"x"}]',
        b"\xff" * 100,
        b'["serving"',
        b'["clients"]' * 9,
    ],
)
def test_invalid_packet_to_the_old_process_only_ends_the_channel(packet):
    """A process connects to the serving one and sends an invalid message, or belongs to another
    balancer. Only the channel to it is closed.
    """
    net, node_end, test_end = single_process(1)
    net.node.handover.accept_successor(node_end)
    test_end.send(packet) if packet else test_end.close()
    net.turn()
    assert (
        net.node.handover.successor is None
        and not net.node.clients.accepts_elsewhere
        and node_end.fileno() < 0
    )
    client = net.send_request("k")
    net.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    net.node.clients.listening_socket.close()


@pytest.mark.parametrize(
    "packet",
    [
        b"[]",
        b'["what"]',
        b'["room","x"]',
        b'["list",[["c0"]]]',
        b'["list",[[[1,2,3,4,5,6,7],["c0","up",["h",1]]]]]',
        b'["list",7]',
        b'["estate",7]',
        b'["links",7]',
        b'["now",{},{},7]',
        b"",
    ],
)
def test_new_process_serves_after_an_invalid_packet(packet):
    """The serving process sends an invalid message to the new one, or closes the channel. The new
    one serves without a snapshot.
    """
    net, test_end, node_end = single_process(1, start=False)
    net.node.handover.join_predecessor(node_end)
    net.node.start()
    test_end.send(packet) if packet else test_end.close()
    net.turn()
    net.advance(1_600_000)
    assert net.node.is_ready() and not net.node.clients.accepts_elsewhere
    client = net.send_request("k")
    net.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    net.node.clients.listening_socket.close()


def test_descriptors_of_an_invalid_packet_are_closed():
    """An invalid packet contains descriptors. They are closed, as each such packet would leak
    descriptors otherwise.
    """
    net, node_end, test_end = single_process(1)
    net.node.handover.accept_successor(node_end)
    left, right = socket.socketpair()
    socket.send_fds(test_end, [b'["clients"]'], [left.fileno()])
    left.close()
    net.turn()
    right.settimeout(5)
    assert right.recv(1) == b"", "the descriptor is closed"
    net.node.clients.listening_socket.close()


@pytest.mark.parametrize(
    "packet",
    [
        b'["answer"]',
        b'["answer",{}]',
        b'["upload",{"name":"x","head":"","host":"c0","at":["127.0.0.1",100]}]',
        b'["begun"]',
        b'["answer",{"name":"x","head":"noise","host":"c0","at":["h",1],"version":"1.1","lasts":true,"chunked":7,"last":0}]',
    ],
)
@pytest.mark.parametrize("fds", [0, 1, 2])
def test_invalid_migrated_request_has_no_effect(packet, fds):
    """A request that is handed over lacks sockets or values. The new process closes the sockets
    that it received, and continues to serve.
    """
    net, test_end, node_end = single_process(1, start=False)
    net.node.handover.join_predecessor(node_end)
    net.node.start()
    socket_pairs = [socket.socketpair() for _ in range(fds)]
    socket.send_fds(test_end, [packet + b"\nGET"], [pair[0].fileno() for pair in socket_pairs])
    for pair in socket_pairs:
        pair[0].close()
        pair[1].setblocking(False)
    net.turn()
    test_end.close()
    net.turn()
    net.advance(20_000_000)
    assert net.node.is_ready() and not net.node.exchanges and not net.node.pools.connection_count
    assert all(pair[1].recv(99) == b"" or pair[1].recv(99) == b"" for pair in socket_pairs), (
        "all descriptors are closed"
    )
    client = net.send_request("k")
    net.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    net.node.clients.listening_socket.close()
