"""Odd packets between two processes cost the channel and nothing else."""

import socket

import pytest
from handover_harness import one_side
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
def test_whatever_is_said_to_the_old_one_costs_the_channel_and_nothing_else(packet):
    """A process that calls the serving one says nonsense, or is of another balancer. Only the
    channel to it ends.
    """
    net, near, far = one_side(1)
    net.node.handover.accept_successor(near)
    far.send(packet) if packet else far.close()
    net.turn()
    assert (
        net.node.handover.successor is None
        and not net.node.clients.accepts_elsewhere
        and near.fileno() < 0
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
def test_whatever_is_said_to_the_new_one_it_serves(packet):
    """The serving process says nonsense to the new one, or closes. The new one serves without
    a snapshot.
    """
    net, near, far = one_side(1, start=False)
    net.node.handover.join_predecessor(far)
    net.node.start()
    near.send(packet) if packet else near.close()
    net.turn()
    net.advance(1_600_000)
    assert net.node.is_ready() and not net.node.clients.accepts_elsewhere
    client = net.send_request("k")
    net.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    net.node.clients.listening_socket.close()


def test_descriptors_that_come_with_an_odd_packet_are_closed():
    """A packet that makes no sense brings descriptors. They are closed, or each such packet
    would cost some.
    """
    net, near, far = one_side(1)
    net.node.handover.accept_successor(near)
    left, right = socket.socketpair()
    socket.send_fds(far, [b'["clients"]'], [left.fileno()])
    left.close()
    net.turn()
    right.settimeout(5)
    assert right.recv(1) == b"", "nobody holds the other end"
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
def test_a_request_under_way_that_makes_no_sense_costs_nothing(packet, fds):
    """A request that is handed over lacks sockets or words. The new process closes what came,
    and serves on.
    """
    net, near, far = one_side(1, start=False)
    net.node.handover.join_predecessor(far)
    net.node.start()
    pairs = [socket.socketpair() for _ in range(fds)]
    socket.send_fds(near, [packet + b"\nGET"], [pair[0].fileno() for pair in pairs])
    for pair in pairs:
        pair[0].close()
        pair[1].setblocking(False)
    net.turn()
    near.close()
    net.turn()
    net.advance(20_000_000)
    assert net.node.is_ready() and not net.node.exchanges and not net.node.pools.connection_count
    assert all(pair[1].recv(99) == b"" or pair[1].recv(99) == b"" for pair in pairs), (
        "nobody holds their other ends"
    )
    client = net.send_request("k")
    net.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    net.node.clients.listening_socket.close()
