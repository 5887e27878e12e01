"""Two processes of one balancer find each other by a folder, or serve without a handover."""

import pytest
from handover_harness import listener, turn
from node_harness import NodeHarness

from orchidgap.net.handover.coordinator import Handover


def test_processes_find_each_other_by_a_folder_and_ignore_a_stale_file(tmp_path):
    """A process was killed and left its socket file. The next one finds no process there and
    serves. Running processes find each other, also by a path that is too long for a Unix socket.
    """
    deep = tmp_path / ("x" * 60) / ("y" * 60)  # too long for a Unix socket address
    deep.mkdir(parents=True)
    for folder in (tmp_path, deep):
        nets = [
            NodeHarness(1, start=False),
            NodeHarness(1, start=False),
            NodeHarness(1, start=False),
        ]
        for net in nets:
            net.node.clients.use_listening_socket(listener())
            net.node.handover = Handover(net.loop, net.node, str(folder), shared=True)
        first, second, third = nets
        first.node.handover.find_predecessor()
        first.node.start()
        assert first.node.is_ready() and first.node.handover.predecessor is None
        second.node.handover.find_predecessor()
        second.node.start()
        assert second.node.handover.predecessor and not second.node.is_ready()
        turn([first, second, first, second])
        assert second.node.is_ready() and first.node.lifecycle.successor_accepts
        first.node.stop()
        turn([second])
        assert second.node.handover.predecessor is None and second.node.descriptor_limit == 1024
        second.node.handover.rendezvous.listener.close()  # like a kill, this leaves the file
        third.node.handover.find_predecessor()
        third.node.start()
        assert third.node.handover.predecessor is None and third.node.is_ready()
        third.node.stop()
        assert not [path for path in folder.iterdir() if path.is_socket()]
        for net in nets:
            if net.node.clients.listening_socket:
                net.node.clients.listening_socket.close()


@pytest.mark.parametrize("folder", [None, "", "/nonexistent/folder"])
def test_without_a_common_folder_each_uses_half_of_the_descriptors(folder):
    """There is no folder common to both processes. Each uses half of the descriptors, as it cannot
    find the other one.
    """
    net = NodeHarness(1, start=False, sockets=400)
    net.node.clients.use_listening_socket(listener())
    net.node.handover = Handover(net.loop, net.node, folder, shared=True)
    net.node.handover.find_predecessor()
    net.node.start()
    assert (
        net.node.is_ready()
        and net.node.descriptor_limit == 200
        and "handover unavailable" in net.log.lines
    )
    net.node.clients.listening_socket.close()
