"""Replies of many clients together stay within a share of the memory."""

import pytest
from resp_harness import Client, PipeliningClient, RespCluster

from orchidgap.net.loop import Loop
from orchidgap.net.memory_account import MARGIN_RATIO, MemoryAccount, MemoryBooking
from orchidgap.net.memory_pressure import BYTES_PER_MB, SHORT_BUFFER_BYTES, MemoryPressure
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.resp.outstanding_replies import FIRST_REPLY_BYTES
from orchidgap.resp.reply_admission import Admission, ReplyAdmission
from orchidgap.resp.reply_budget import BUDGET_RATIO, MAX_HELD_BYTES, ReplyBudget
from orchidgap.resp.server import WRITE_CHECK_INTERVAL_US, RespClientConnection
from orchidgap.resp.writers import encode_command

LIMIT_MB = 40
BUDGET_BYTES = int(LIMIT_MB * BUDGET_RATIO) * BYTES_PER_MB
INITIAL_BYTES = 24 * BYTES_PER_MB
TIMEOUT_US = 2_400_000
CLIENT_TIMEOUT_US = 1_000_000  # of the cluster


def make_budget(limit_mb=LIMIT_MB, initial_bytes=0):
    memory_pressure = MemoryPressure(Loop(), limit_mb)
    memory_pressure.initial_bytes = initial_bytes
    return ReplyBudget(Loop(), MemoryAccount(memory_pressure))


class Waiting:
    """A client that waits for room; `tries` are the results of its next tries."""

    def __init__(self, *tries):
        self.tries = list(tries)

    def try_again(self):
        return self.tries.pop(0)


CLIENT = Waiting()


def booking_of(budget, held_bytes=0):
    booking = MemoryBooking(budget.account)
    booking.book(held_bytes)
    return booking


def test_a_client_may_hold_much_while_all_hold_little():
    budget = make_budget()
    client = booking_of(budget, MAX_HELD_BYTES)
    assert budget.permits(MAX_HELD_BYTES, 0, client, CLIENT)
    assert not budget.permits(MAX_HELD_BYTES + 1, 0, client, CLIENT)


def test_a_client_that_holds_much_is_not_read_while_all_hold_too_much():
    budget = make_budget()
    clients = [booking_of(budget, MAX_HELD_BYTES) for _ in range(BUDGET_BYTES // MAX_HELD_BYTES)]
    assert budget.permits(MAX_HELD_BYTES, 0, clients[0], CLIENT)
    other = booking_of(budget, 1)
    assert not budget.permits(SHORT_BUFFER_BYTES + 1, 0, other, CLIENT)
    assert not budget.permits(MAX_HELD_BYTES, 0, clients[0], CLIENT)


def test_a_client_without_replies_is_not_given_a_large_one_while_all_hold_too_much():
    # Guards against one large reply for each of many clients, which is more than the memory.
    budget = make_budget()
    other = booking_of(budget, BUDGET_BYTES)
    client = booking_of(budget)
    assert not budget.permits(0, FIRST_REPLY_BYTES, client, CLIENT)
    other.book(BUDGET_BYTES - FIRST_REPLY_BYTES)
    assert budget.permits(0, FIRST_REPLY_BYTES, client, CLIENT)


def test_a_client_that_holds_hardly_anything_is_read_while_others_hold_much():
    # Guards against clients that get nothing as others do not read.
    budget = make_budget()
    client = booking_of(budget)
    limit_bytes = budget.account.limit_bytes
    assert limit_bytes >= 2 * BUDGET_BYTES
    others = booking_of(budget, limit_bytes - SHORT_BUFFER_BYTES)
    assert budget.permits(SHORT_BUFFER_BYTES, 0, client, CLIENT) and budget.permits(
        0, 1, client, CLIENT
    )
    assert not budget.permits(SHORT_BUFFER_BYTES, 1, client, CLIENT)
    others.book(limit_bytes)
    assert not budget.permits(0, 1, client, CLIENT)


def test_the_memory_before_there_were_clients_is_left_out_of_the_budget():
    budget = make_budget(37, INITIAL_BYTES)
    left_bytes = int(37 * BYTES_PER_MB * (1 - MARGIN_RATIO)) - INITIAL_BYTES
    assert abs(budget.account.limit_bytes - left_bytes) <= 1
    others, client = booking_of(budget, left_bytes // 2), booking_of(budget)
    assert not budget.permits(0, FIRST_REPLY_BYTES, client, CLIENT)
    others.book(left_bytes // 2 - FIRST_REPLY_BYTES)
    assert budget.permits(0, FIRST_REPLY_BYTES, client, CLIENT)


@pytest.mark.parametrize("initial_mb", [36, 37, 50])
def test_one_client_is_served_however_small_the_memory_is(initial_mb):
    budget = make_budget(37, initial_mb * BYTES_PER_MB)
    assert budget.permits(0, 100 * MAX_HELD_BYTES, booking_of(budget), CLIENT)


def test_a_command_without_room_for_its_reply_waits_and_is_then_denied():
    budget = make_budget()
    others = booking_of(budget, BUDGET_BYTES)
    admission = ReplyAdmission(CLIENT, budget, TIMEOUT_US)
    decide = admission.decide
    assert decide(0, FIRST_REPLY_BYTES, 1_000) is Admission.WAITS
    assert decide(0, FIRST_REPLY_BYTES, 600_999) is Admission.WAITS
    assert decide(0, FIRST_REPLY_BYTES, 601_000) is Admission.DENIED
    assert decide(0, FIRST_REPLY_BYTES, 601_001) is Admission.DENIED, "so are those behind it"
    assert decide(100_000, FIRST_REPLY_BYTES, 601_002) is Admission.WAITS, "it has to read first"
    assert decide(0, FIRST_REPLY_BYTES, 601_003) is Admission.WAITS, "its wait begins anew"
    assert decide(0, FIRST_REPLY_BYTES, 601_003, may_wait=False) is Admission.DENIED
    others.book(0)
    assert decide(0, FIRST_REPLY_BYTES, 900_000) is Admission.ACCEPTED


def test_clients_that_wait_get_room_before_others_in_their_order():
    # Guards against room that always goes back to the clients that have just been answered.
    budget = make_budget()
    others = booking_of(budget, BUDGET_BYTES)
    first, second, third = Waiting(True), Waiting(False), Waiting()
    for waiter in (first, second, third):
        admission = ReplyAdmission(waiter, budget, TIMEOUT_US)
        assert admission.decide(0, FIRST_REPLY_BYTES, 0) is Admission.WAITS
    others.book(0)
    assert not budget.permits(0, FIRST_REPLY_BYTES, others, CLIENT), "it did not wait"
    assert budget.permits(0, SHORT_BUFFER_BYTES, others, CLIENT), "so little needs no wait"
    assert budget.permits(0, FIRST_REPLY_BYTES, others, second)
    budget.on_returned()
    budget.on_returned()
    budget.loop.run_once(0)
    assert [first.tries, second.tries] == [[], []], "each tries once, up to one without success"


def test_pipelines_of_many_clients_expect_no_more_than_the_budget():
    """Each of them had 16 commands of unknown size accepted, then one each whatever others had."""
    cluster = RespCluster(latency_us=50_000, limits={"memory_mb": LIMIT_MB})
    clients = [Client(cluster) for _ in range(100)]
    for client in clients:
        client.send(encode_command(b"GET", b"k") * 40, wait_us=0)
    cluster.advance(20_000)
    connections = list(cluster.node.clients.open_clients)
    held = [connection.held_reply_bytes() for connection in connections]
    assert len(held) == 100
    assert 0 < sum(held) <= BUDGET_BYTES
    replies = [client.take_replies(wait_us=5_000_000) for client in clients]
    assert all(each.count(b"\r\n") == 40 for each in replies), "every command is answered"
    assert all(b"TRYAGAIN" not in each for each in replies), "none waited for long"
    assert cluster.node.memory_account.booked_bytes == 0


def test_the_account_has_what_clients_hold_and_gets_it_back_at_their_end():
    cluster = RespCluster(latency_us=1_000, limits={"memory_mb": LIMIT_MB})
    for server in cluster.servers:
        server.data = {b"k": b"v" * 60_000}
    readers = [PipeliningClient(cluster, (b"GET", b"k"), depth=4) for _ in range(150)]
    for reader in readers:
        reader.conn.pause_reading(True)
    cluster.advance(200_000)
    account = cluster.node.memory_account
    held = [each.held_reply_bytes() for each in cluster.node.clients.open_clients]
    assert 0 < sum(held) == account.booked_bytes <= BUDGET_BYTES
    for reader in readers[:75]:
        reader.conn.close()
    for reader in readers[75:]:
        reader.depth = 0  # it writes no more
        reader.conn.pause_reading(False)
    cluster.advance(2_000_000)
    assert account.booked_bytes == 0


def test_a_client_that_waits_for_the_replies_of_others_is_answered():
    # Guards against clients that get nothing as others do not read.
    cluster = RespCluster(latency_us=1_000, limits={"memory_mb": LIMIT_MB})
    others = MemoryBooking(cluster.node.memory_account)
    others.book(BUDGET_BYTES)
    client = Client(cluster)
    commands = encode_command(b"GET", b"k") * 3 + encode_command(b"PING")
    early = client.send(commands, wait_us=CLIENT_TIMEOUT_US // 8)
    assert early == b"", "it waits"
    replies = client.take_replies(wait_us=CLIENT_TIMEOUT_US // 4)
    assert replies.count(b"-TRYAGAIN") == 3 and replies.endswith(b"+PONG\r\n"), "denied in time"
    others.book(0)
    assert client.send(encode_command(b"GET", b"k")) == b"$-1\r\n"


def test_a_client_that_waits_is_answered_once_others_have_read():
    cluster = RespCluster(latency_us=1_000, limits={"memory_mb": LIMIT_MB})
    others = MemoryBooking(cluster.node.memory_account)
    others.book(BUDGET_BYTES)
    client = Client(cluster)
    assert client.send(encode_command(b"GET", b"k") * 3, wait_us=100_000) == b""
    others.book(0)
    assert client.take_replies(wait_us=100_000) == b"$-1\r\n" * 3


def waiting_client():
    """Return a cluster whose replies leave no room, and a client whose command waits for it."""
    cluster = RespCluster(latency_us=1_000, limits={"memory_mb": LIMIT_MB})
    MemoryBooking(cluster.node.memory_account).book(BUDGET_BYTES)
    client = Client(cluster)
    assert client.send(encode_command(b"GET", b"k"), wait_us=10_000) == b""
    (connection,) = cluster.node.clients.open_clients
    assert connection.admission.is_waiting
    return cluster, client, connection


def test_a_command_does_not_wait_for_room_while_its_connection_ends():
    _, client, connection = waiting_client()
    connection.end_when_answered()
    assert client.take_replies(wait_us=WRITE_CHECK_INTERVAL_US + 5_000).startswith(b"-TRYAGAIN")
    assert client.end_reason == "closed"


def test_a_connection_that_closes_leaves_the_queue_for_room():
    # Guards against a queue that nobody gets past, as its first client never asks again.
    _, _, connection = waiting_client()
    connection.conn.send(b"x" * MAX_HELD_BYTES)  # not read, so that it takes long to close
    connection.finish()
    assert connection.admission.is_waiting
    assert connection.try_again()
    assert not connection.admission.budget.waiting


def test_a_connection_closed_to_make_room_returns_what_it_has_booked():
    # Guards against an account that stays used up by clients that did not read their last replies.
    cluster = RespCluster(latency_us=1_000, limits={"memory_mb": LIMIT_MB})
    client = PipeliningClient(cluster, (b"ECHO", b"v" * 100_000), depth=4)
    client.conn.pause_reading(True)
    cluster.advance(100_000)
    (connection,) = cluster.node.clients.open_clients
    assert cluster.node.memory_account.booked_bytes > 0
    connection.finish()
    connection.close(ConnectionEnd.FINISHED)
    assert cluster.node.memory_account.booked_bytes == 0


def test_one_look_at_a_time_is_scheduled_for_a_client_that_waits(monkeypatch):
    # Each reply to a client that waited for its buffer added a timer of its own.
    looks = []
    check = RespClientConnection.check_replies
    monkeypatch.setattr(
        RespClientConnection, "check_replies", lambda self: (looks.append(1), check(self))
    )
    cluster = RespCluster(latency_us=1_000)
    for server in cluster.servers:
        server.data = {b"k": b"v" * 100_000}
    client = PipeliningClient(cluster, (b"GET", b"k"), depth=40)  # more than are accepted at once
    client.conn.pause_reading(True)
    cluster.advance(500_000)
    assert 5 <= len(looks) <= 500_000 // WRITE_CHECK_INTERVAL_US
