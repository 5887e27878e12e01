"""A request whose id comes again after its client has left: what runs, here and in an upgrade."""

import pytest
from handover_harness import ProcessPair
from node_harness import NodeHarness, received_text

from orchidgap.net.sent_request_ids import MAX_REMEMBERED, REMEMBERED_US, SentRequestIds, id_text


def writes_at_hosts(net):
    texts = (received_text(far) for far in net.host_sockets())
    return sum(bool(text) and text.startswith("PUT ") for text in texts)


def write(net, rule_set="once", key="k"):
    return net.send_request(key, rule_set=rule_set, method="PUT", body="v")


@pytest.mark.parametrize("rule_set", ["once", "mark"])
def test_a_write_is_not_sent_again_for_an_id_whose_client_has_left(rule_set):
    # 100 of 100 non-idempotent writes ran twice.
    net = NodeHarness(1)
    client = write(net, rule_set)
    assert writes_at_hosts(net) == 1
    client.close()
    net.turn()
    again = write(net, rule_set)
    assert received_text(again).startswith("HTTP/1.1 409") and writes_at_hosts(net) == 0


def test_a_write_is_not_sent_again_for_an_id_that_was_answered():
    net = NodeHarness(1)
    client = write(net)
    net.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    assert received_text(write(net)).startswith("HTTP/1.1 409")


def test_a_write_that_was_answered_as_never_executed_may_come_again():
    net = NodeHarness(1, ceilings__most_dispatches="1")
    net.refused.add(109)
    client = write(net)
    net.advance(3_000_000)
    assert received_text(client).startswith("HTTP/1.1 503")
    net.refused.clear()
    again = write(net)
    net.advance(100_000)
    assert received_text(again) is None and writes_at_hosts(net) == 1


def test_a_read_may_come_again_after_its_client_has_left():
    net = NodeHarness(1)
    net.send_request("k").close()
    net.turn()
    again = net.send_request("k")
    net.answer_from_host(net.host_socket())
    assert received_text(again).startswith("HTTP/1.1 200")


def test_a_write_whose_client_left_the_old_process_is_not_sent_by_the_new_one():
    # During an upgrade the id was known to the other process only while it was open there.
    pair = ProcessPair(1)
    client = write(pair.old)
    pair.advance(10_000)
    client.close()
    pair.advance(10_000)
    assert received_text(write(pair.new)).startswith("HTTP/1.1 409")
    pair.old.node.handover.successor.channel.close()
    pair.advance(10_000)
    assert pair.new.node.handover.predecessor is None
    assert received_text(write(pair.new)).startswith("HTTP/1.1 409"), "the old process has ended"
    pair.end()


def test_hundreds_of_ids_reach_the_other_process():
    pair = ProcessPair(1)
    ids = [b"r-%d" % number for number in range(700)]
    for request_id in ids:
        pair.old.node.sent_request_ids.add(request_id, pair.old.now)
    pair.advance(10_000)
    assert all(pair.new.node.is_request_open(request_id) for request_id in ids)
    pair.end()


def test_ids_take_bounded_memory_and_are_forgotten():
    ids = SentRequestIds()
    for number in range(MAX_REMEMBERED + 10):
        ids.add(b"%d" % number, number)
    assert len(ids.texts(0)) == MAX_REMEMBERED and not ids.contains(b"9", 0)
    assert ids.contains(b"10", 0) and len(id_text(b"r" * 16_000)) < 200
    assert not ids.texts(MAX_REMEMBERED + 10 + REMEMBERED_US)
