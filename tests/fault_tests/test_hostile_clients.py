"""Clients that write slowly, endlessly or nonsense: memory, the others' answers, and the end."""

import itertools

import pytest
from process_harness import (
    LONGEST_STOP_S,
    MEMORY_MB,
    BalancerProcess,
    HostileClient,
    StandInHost,
    SteadyClient,
    assert_answered_in_time,
    attack,
    request_head,
)

ATTACK_S = 4.0
PART_BYTES = 1 << 16
STEPS_BETWEEN_REQUESTS = 100  # of a client that reads nothing: some ten requests a second


def endless_head():
    """Yield a head of very many short fields, each of another name, which never ends."""
    yield b"GET /read/k HTTP/1.1\r\n"
    for number in itertools.count(0, 10_000):
        yield b"".join(b"%x:\r\n" % each for each in range(number, number + 10_000))


def endless_small_chunks():
    """Yield a request whose body comes in chunks of one byte and never ends."""
    yield request_head("/write/k", id(object()), "PUT", 2, "Transfer-Encoding: chunked\r\n")
    while True:
        yield b"1\r\nx\r\n" * (PART_BYTES // 6)


def half_a_body():
    """Yield a request that stops shortly before the end of the largest body that is buffered."""
    yield request_head("/write/k", id(object()), "PUT", 2, "Content-Length: 65000\r\n")
    yield b"x" * 64_000


def waiting_request():
    return request_head("/read/slow", "waiting", timeout_s=9)


def unsound_behind_a_request():
    """Yield a valid request, and then endless bytes that are no request."""
    yield waiting_request()
    while True:
        yield b"\0no request\r\n" * (PART_BYTES // 13)


def small_requests():
    """Yield endless small requests that lack each needed field."""
    while True:
        yield b"GET / HTTP/1.1\r\n\r\n" * (PART_BYTES // 18)


def small_requests_behind_a_request():
    """Yield a valid request, and then endless small ones that lack each needed field."""
    yield waiting_request()
    yield from small_requests()


def head_behind_a_request():
    """Yield a valid request, and then a head that never ends."""
    yield waiting_request()
    yield from endless_head()


def body_behind_a_request():
    """Yield a valid request, and then one with a very large body."""
    yield waiting_request()
    yield request_head("/write/k", "large", "PUT", 2, "Content-Length: 40000000\r\n")
    while True:
        yield b"x" * PART_BYTES


def new_names():
    """Yield valid requests, each of another key and tenant."""
    for number in itertools.count():
        yield (
            b"GET /read/%d HTTP/1.1\r\nRequest-Id: %d\r\nTenant: t%d\r\nRequest-Timeout: 1\r\n\r\n"
            % (number, number, number)
        )


def assert_harmless(make_texts, count, host=None, reads=True, duration_s=ATTACK_S):
    """Check memory, the answers of another client, and the end, while `count` clients attack."""
    with BalancerProcess(host) as balancer:
        steady = SteadyClient(balancer)
        clients = [HostileClient(balancer, make_texts, reads) for _ in range(count)]
        attack(clients, duration_s)
        answers = steady.stop()
        peak_mb = balancer.peak_memory_mb()
        stop_s = balancer.seconds_to_stop()
        assert peak_mb <= MEMORY_MB
        assert_answered_in_time(answers)
        assert stop_s <= LONGEST_STOP_S


def test_endless_heads_of_short_fields_take_neither_memory_nor_turns():
    """Hundreds of clients sent heads of very many short fields: the process was killed."""
    assert_harmless(endless_head, 320)


def test_uploads_in_chunks_of_one_byte_leave_time_for_others_and_for_sigterm():
    """Uploads in tiny chunks took all turns: nobody else was served, SIGTERM was not heard."""
    assert_harmless(endless_small_chunks, 40)


@pytest.mark.parametrize(
    "make_texts",
    [
        unsound_behind_a_request,
        small_requests_behind_a_request,
        head_behind_a_request,
        body_behind_a_request,
    ],
)
def test_what_one_client_writes_behind_a_waiting_request_is_bounded(make_texts):
    """Bytes behind a request that waits were kept without a bound."""
    assert_harmless(make_texts, 1)


def test_pipelined_bad_requests_on_one_connection_after_another_are_not_kept():
    """Requests behind a rejected one stayed in memory until its connection had ended."""
    assert_harmless(small_requests, 8)


@pytest.mark.parametrize("count", [1, 60])
def test_requests_under_ever_new_names_take_no_memory(count):
    """Clients that ask at full speed under ever new names made memory grow."""
    assert_harmless(new_names, count, duration_s=2 * ATTACK_S)


def test_half_bodies_of_hundreds_of_clients_stay_within_the_memory():
    """Hundreds of clients that stopped within a large request took more than the memory limit."""
    assert_harmless(half_a_body, 320)


def test_answers_that_hundreds_of_clients_read_slowly_stay_within_the_memory():
    """Answers for hundreds of clients that do not read took more than the memory limit."""
    host = StandInHost()
    body = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"v" * 60_000
    host.answer = lambda sock: sock.sendall(body)

    numbers = itertools.count()

    def requests_in_turn():
        while True:
            number = next(numbers)
            yield request_head(f"/read/k{number}", f"unread-{number}", timeout_s=2)
            yield from [b""] * STEPS_BETWEEN_REQUESTS

    assert_harmless(requests_in_turn, 320, host, reads=False, duration_s=2 * ATTACK_S)
