"""Node functions that combine its parts: readiness, keys, connection limits, shadow settings."""

from functools import partial

import pytest
from balancer_harness import SETTINGS
from net_scenarios import NO_CANCELLATION
from node_harness import NodeHarness, received_text

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.decisions.shadow import ShadowBalancer


def test_shadow_settings_change_no_decision_and_report_their_counts():
    new = ServiceSettings.from_pairs(
        SETTINGS | {"report.how": "inline", "report.fields": "concurrent"}
    )
    net = NodeHarness(3, decider=partial(ShadowBalancer, new), **NO_CANCELLATION)
    assert NodeHarness().node.shadow_report() == (False, "nothing is watched")
    client = net.send_request()
    net.advance(600_000)
    assert len(net.host_sockets()) == 1, "no attempt may be cancelled"
    net.answer_from_host(net.host_socket(), more="Server-Load: concurrent=7\r\n")
    assert "200" in received_text(client)
    done, report = net.node.shadow_report()
    assert done and report == (
        "1 dispatches, owner 0, copy 0, repeat 0, call-off 1, answer 0, pause 0, limit 0"
    )


def test_a_very_long_key_is_accepted():
    net = NodeHarness(1)
    client = net.send_request("k" * 9_000)
    assert "/read/" + "k" * 9_000 in received_text(net.host_socket())
    net.answer_from_host(net.host_socket())
    assert received_text(client).startswith("HTTP/1.1 200")


def test_ready_only_with_a_list_and_until_shutdown():
    net = NodeHarness()
    assert received_text(net.client(b"GET /up HTTP/1.1\r\n\r\n")).startswith("HTTP/1.1 200")
    net.node.begin_shutdown()
    assert received_text(net.client(b"GET /up HTTP/1.1\r\n\r\n")).startswith("HTTP/1.1 503")


@pytest.mark.parametrize(
    ("memory", "sockets", "max_clients"),
    [
        (32, 256, 104),
        (32, 1024, 128),
        (64, 1024, 384),
        (192, 1024, 488),
        (192, 384, 168),
        (10, 256, 8),
    ],
)
def test_clients_may_use_half_of_the_shared_descriptors_if_memory_allows(
    memory, sockets, max_clients
):
    net = NodeHarness(1, memory=memory, sockets=sockets)
    assert (
        net.node.clients.max_clients == max_clients
        and net.node.pools.max_connections + max_clients <= sockets - 48
    )
