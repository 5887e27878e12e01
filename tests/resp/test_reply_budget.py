"""Replies of many clients together stay within a share of the memory."""

from resp_harness import Client, PipeliningClient, RespCluster

from orchidgap.net.loop import Loop
from orchidgap.net.memory_pressure import BYTES_PER_MB, SHORT_BUFFER_BYTES, MemoryPressure
from orchidgap.resp.reply_budget import (
    BUDGET_RATIO,
    MAX_HELD_BYTES,
    RECOUNT_INTERVAL_US,
    ReplyBudget,
)
from orchidgap.resp.server import WRITE_CHECK_INTERVAL_US, RespClientConnection
from orchidgap.resp.writers import encode_command

LIMIT_MB = 40
BUDGET_BYTES = int(LIMIT_MB * BUDGET_RATIO) * BYTES_PER_MB


class Holder:
    def __init__(self, held_bytes):
        self.held_bytes = held_bytes

    def held_reply_bytes(self):
        return self.held_bytes


class Clock:
    now = 0


def make_budget():
    clock = Clock()
    return clock, ReplyBudget(clock, MemoryPressure(Loop(), LIMIT_MB))


def test_a_client_may_hold_much_while_all_hold_little():
    _, budget = make_budget()
    clients = [Holder(MAX_HELD_BYTES), Holder(0)]
    assert budget.permits(MAX_HELD_BYTES, clients)
    assert not budget.permits(MAX_HELD_BYTES + 1, clients)


def test_a_client_that_holds_much_is_not_read_while_all_hold_too_much():
    _, budget = make_budget()
    clients = [Holder(MAX_HELD_BYTES) for _ in range(BUDGET_BYTES // MAX_HELD_BYTES)]
    assert budget.permits(MAX_HELD_BYTES, clients)
    _, budget = make_budget()
    assert not budget.permits(SHORT_BUFFER_BYTES + 1, [*clients, Holder(1)])


def test_a_client_that_holds_hardly_anything_is_always_read():
    # Guards against clients that get nothing as others do not read.
    _, budget = make_budget()
    clients = [Holder(MAX_HELD_BYTES) for _ in range(1_000)]
    assert budget.permits(0, clients) and budget.permits(SHORT_BUFFER_BYTES, clients)
    assert not budget.permits(SHORT_BUFFER_BYTES + 1, clients)


def test_accepted_commands_count_at_once_and_read_replies_after_the_next_count():
    clock, budget = make_budget()
    clients = [Holder(0) for _ in range(20)]
    much = BUDGET_BYTES // 10
    assert budget.permits(much, clients)
    budget.on_accepted(BUDGET_BYTES + 1)
    assert not budget.permits(much, clients)
    clock.now += RECOUNT_INTERVAL_US - 1
    assert not budget.permits(much, clients)
    clock.now += 1
    assert budget.permits(much, clients)


def test_pipelines_of_many_clients_expect_no_more_than_the_budget_and_one_reply_each():
    """Each of them had 16 commands of unknown size accepted."""
    cluster = RespCluster(latency_us=50_000, limits={"memory_mb": LIMIT_MB})
    clients = [Client(cluster) for _ in range(100)]
    for client in clients:
        client.send(encode_command(b"GET", b"k") * 40, wait_us=0)
    cluster.advance(20_000)
    connections = list(cluster.node.clients.open_clients)
    held = [connection.held_reply_bytes() for connection in connections]
    assert len(held) == 100 and min(held) > 0
    assert sum(held) <= BUDGET_BYTES + 100 * MAX_HELD_BYTES // 16
    replies = [client.take_replies(wait_us=5_000_000) for client in clients]
    assert all(each.count(b"\r\n") == 40 for each in replies), "every command is answered"


def test_one_look_at_a_time_is_scheduled_for_a_client_that_waits(monkeypatch):
    # Each reply to a client that waited for its buffer added a timer of its own.
    looks = []
    check = RespClientConnection.check_replies
    monkeypatch.setattr(
        RespClientConnection, "check_replies", lambda self: (looks.append(1), check(self))
    )
    cluster = RespCluster(latency_us=1_000)
    for server in cluster.servers:
        server.data = {b"k": b"v" * 400_000}
    client = PipeliningClient(cluster, (b"GET", b"k"), depth=4)
    client.conn.pause_reading(True)
    cluster.advance(500_000)
    assert 5 <= len(looks) <= 500_000 // WRITE_CHECK_INTERVAL_US
