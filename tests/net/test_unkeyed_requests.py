"""Requests of a keyed class that carry no idempotency key: hosts cannot recognize their repeats."""

import pytest
from node_harness import NodeHarness, received_text

KEY = "Idempotency-Key: m1\r\n"
EMPTY_KEY = "Idempotency-Key: \r\n"


def send_write(net, key_field, request_class="mark", body="v"):
    return net.client(
        f"PUT /{request_class}/k1 HTTP/1.1\r\nHost: s\r\nRequest-Id: r1\r\n{key_field}"
        f"Tenant: small\r\nRequest-Timeout: 2.0\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
    )


def reset(net):
    received_text(net.host_socket())
    net.host_socket().close()
    net.turn()


def fail(net):
    received_text(net.host_socket())
    net.answer_from_host(net.host_socket(), 500)


def stay_silent(net):
    received_text(net.host_socket())
    net.advance(2_000_000)


LOSSES = (reset, fail, stay_silent)


def requests_at_hosts(net):
    """Returns how many requests have arrived at hosts since the first one was read."""
    open_sockets = [far for far in net.host_sockets() if far.fileno() >= 0]
    return sum("PUT" in (received_text(far) or "") for far in open_sockets)


@pytest.mark.parametrize("lose_answer", LOSSES)
@pytest.mark.parametrize("key_field", ["", EMPTY_KEY])
def test_a_write_without_a_key_is_sent_once_and_never_refused_as_not_done(key_field, lose_answer):
    # The effect `dedup` of its class alone let the balancer send it again, so it ran twice.
    net = NodeHarness(1, ceilings__may_duplicate="true")
    client = send_write(net, key_field)
    lose_answer(net)
    net.advance(500_000)
    assert requests_at_hosts(net) == 0
    assert received_text(client).startswith("HTTP/1.1 500")


@pytest.mark.parametrize("lose_answer", [reset, fail])
def test_a_write_with_a_key_is_sent_again(lose_answer):
    net = NodeHarness(1)
    client = send_write(net, KEY)
    lose_answer(net)
    net.advance(500_000)
    assert requests_at_hosts(net) == 1 and received_text(client) is None


@pytest.mark.parametrize("key_field", ["", KEY])
def test_a_write_that_surely_did_not_run_is_sent_again(key_field):
    net = NodeHarness(1)
    client = send_write(net, key_field)
    received_text(net.host_socket())
    net.answer_from_host(net.host_socket(), 503, more="Not-Started: 1\r\n")
    net.advance(500_000)
    assert requests_at_hosts(net) == 1 and received_text(client) is None


@pytest.mark.parametrize(("key_field", "status"), [("", "500"), (KEY, "503")])
def test_a_large_write_without_a_key_is_not_refused_as_not_done(key_field, status):
    net = NodeHarness(1)
    client = send_write(net, key_field, body="v" * 100_000)
    for _ in range(4):
        net.turn()
        received_text(net.host_socket())
    net.host_socket().close()
    net.advance(200_000)
    assert received_text(client).startswith(f"HTTP/1.1 {status}")
