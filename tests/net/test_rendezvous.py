"""How two processes of one balancer find each other, or do without."""

import pytest
from handover_harness import listener, turn
from node_harness import NodeHarness

from orchidgap.net.handover.coordinator import Handover


def test_processes_find_each_other_by_a_folder_and_a_stale_file_is_nobody(tmp_path):
    """A process was killed and left its socket file. The next one finds nobody there and
    serves; those alive find each other, also by a long path.
    """
    deep = tmp_path / ("x" * 60) / ("y" * 60)  # more than a Unix socket's address has room for
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
        second.node.handover.rendezvous.listener.close()  # as by a kill: the file stays
        third.node.handover.find_predecessor()
        third.node.start()
        assert third.node.handover.predecessor is None and third.node.is_ready()
        third.node.stop()
        assert not [path for path in folder.iterdir() if path.is_socket()]
        for net in nets:
            if net.node.clients.listening_socket:
                net.node.clients.listening_socket.close()


@pytest.mark.parametrize("folder", [None, "", "/nonexistent/folder"])
def test_without_a_common_folder_each_does_with_half(folder):
    """There is no folder that both processes see. Each takes half of the descriptors, as it
    cannot know of the other.
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
